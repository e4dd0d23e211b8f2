//! Names and counters used by the whole package.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Name of an instance, data centre, service, route, target or caller.
pub type Name = Arc<str>;

/// Version of a row of the store, or of the whole store; later ones are greater.
///
/// A store that was restored from a backup gives out the same numbers again. Its era rises with each
/// restoration and goes before the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreVersion {
    /// Era of the store; 0 for a store that does not report one.
    pub era: u64,
    /// Number within the era; 0 for a row that does not exist or was not read.
    pub number: u64,
}

impl StoreVersion {
    /// Version of a row that does not exist, or of data that were never read.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Returns whether this is the version of a row that does not exist or was not read.
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => self.number.fmt(f),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns this value plus one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter! {
    /// Fencing token that orders the owners of a key range; a target refuses lower ones than it has
    /// seen.
    Fence
}
counter! {
    /// One run of an instance under its name; a later run has a higher number.
    Incarnation
}

/// Fences of an era of the store start at the era times this number. A leader that does not know the
/// fences of earlier eras thus gives out higher ones.
const FENCES_PER_ERA: u64 = 1 << 36;

impl Fence {
    /// Returns the fence below all fences of an era of the store.
    pub fn before_era(era: u64) -> Self {
        Self(era.saturating_mul(FENCES_PER_ERA))
    }
}
