//! Declares a section of whole numbers once: its struct, its defaults and its fields.

/// Declares a section of the process settings whose fields are whole numbers with a default.
macro_rules! numbers {
    (
        $(#[$doc:meta])*
        pub struct $name:ident in $section:literal {
            $(
                #[doc = $meaning:literal]
                $field:ident: $default:literal in $low:literal..=$high:literal $unit:literal,
            )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct $name {
            $(
                #[doc = $meaning]
                #[doc = concat!(" In ", $unit, ", ", stringify!($default), " by default.")]
                pub $field: u64,
            )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $name {
            /// Every field of the section.
            pub const FIELDS: &'static [$crate::field::Field] = &[
                $($crate::field::Field {
                    path: concat!($section, ".", stringify!($field)),
                    kind: $crate::field::Kind::Number($low, $high),
                    unit: $unit,
                    default: Some(stringify!($default)),
                    meaning: $meaning.trim_ascii(),
                },)*
            ];

            /// Reads the section; an absent one has its defaults.
            pub(crate) fn read(root: &$crate::reader::Section<'_>) -> $crate::error::Result<Self> {
                let Some(section) = root.section($section)? else {
                    return Ok(Self::default());
                };
                let mut fields = Self::FIELDS.iter();
                let mut next = || fields.next().map_or(Ok(0), |field| section.number(field));
                Ok(Self { $($field: next()?,)* })
            }
        }
    };
}

pub(crate) use numbers;
