//! The fields of settings: type, unit, default, bounds and meaning.

use std::fmt;

/// One field; the pages of the docs are checked against these.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Path without indices; `*` stands for any name.
    pub path: &'static str,
    /// Type and bounds.
    pub value_type: ValueType,
    /// Unit of a number, or nothing.
    pub unit: &'static str,
    /// Value of an absent field; `None` if the field must be there.
    pub default: Option<&'static str>,
    /// What the field is for.
    pub description: &'static str,
}

/// Type of a field with its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// Text of so many bytes.
    Text(usize, usize),
    /// Text of so many bytes that errors do not repeat.
    Secret(usize, usize),
    /// A whole number within bounds, both included.
    Integer(u64, u64),
    /// `ip:port` with a port of 1 or more.
    Address,
    /// A time with its unit as a text; an empty one stands for the default.
    Duration,
    /// A number of 0 or more, also as a text; an empty one stands for the default.
    Decimal,
}

impl Field {
    /// Returns the last segment of the path.
    pub fn key(&self) -> &'static str {
        self.path.rsplit('.').next().unwrap_or(self.path)
    }

    /// Returns the row of this field in `docs/CONFIGURATION.md`.
    pub fn markdown_row(&self) -> String {
        let default = match self.default {
            None => "required".to_owned(),
            Some("") => "empty".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        format!(
            "| `{}` | {} | {} | {} | {} |",
            self.path, self.value_type, self.unit, default, self.description
        )
    }
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(low, high) => write!(f, "a text of {low} to {high} bytes"),
            Self::Secret(low, high) => write!(f, "a secret text of {low} to {high} bytes"),
            Self::Integer(low, high) => write!(f, "a whole number from {low} to {high}"),
            Self::Address => f.write_str("an address as ip:port with a port from 1 to 65535"),
            Self::Duration => f.write_str("a time such as \"2500ms\" or \"6s\", at most a day"),
            Self::Decimal => f.write_str("a number of 0 or more"),
        }
    }
}
