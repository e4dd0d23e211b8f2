//! Description of a settings field: type, range, unit, default and purpose.

use std::fmt;

/// A settings field; a test compares each with its row in `docs/CONFIGURATION.md`.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Dotted path of keys; `*` matches any key.
    pub path: &'static str,
    /// Type and allowed range.
    pub data_type: DataType,
    /// Unit of a number; empty if it has none.
    pub unit: &'static str,
    /// Default value as text; `None` if the field is required.
    pub default: Option<&'static str>,
    /// Purpose of the field, as printed in the docs.
    pub description: &'static str,
}

/// Type of a field with its allowed range.
///
/// The platform fills a template of the settings file whose placeholders stand in quotes. Therefore
/// a number may arrive as a string, and a placeholder without a value as an empty string, which
/// selects the default of a duration or decimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataType {
    /// String with a minimum and maximum length in bytes.
    Text(usize, usize),
    /// Like `Text`, but error messages never contain the value.
    Secret(usize, usize),
    /// Integer between a minimum and a maximum, both included.
    Integer(u64, u64),
    /// `ip:port` with a port of 1 or more.
    Address,
    /// String with a duration and its unit.
    DurationText,
    /// Number of 0 or more, which may be given as a string.
    Decimal,
    /// `true` or `false`, which may be given as a string.
    Flag,
}

impl Field {
    /// Returns the last key of the path.
    pub fn key(&self) -> &'static str {
        self.path.rsplit('.').next().unwrap_or(self.path)
    }

    /// Returns the row for this field in the table of `docs/CONFIGURATION.md`.
    pub fn markdown_row(&self) -> String {
        let default = match self.default {
            None => "required".to_owned(),
            Some("") => "empty".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        format!(
            "| `{}` | {} | {} | {} | {} |",
            self.path, self.data_type, self.unit, default, self.description
        )
    }
}

impl fmt::Display for DataType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(min, max) => write!(f, "a string of {min} to {max} bytes"),
            Self::Secret(min, max) => write!(f, "a secret string of {min} to {max} bytes"),
            Self::Integer(min, max) => write!(f, "an integer from {min} to {max}"),
            Self::Address => f.write_str("an address as ip:port with a port from 1 to 65535"),
            Self::DurationText => f.write_str("a duration like \"2500ms\" or \"6s\", up to a day"),
            Self::Decimal => f.write_str("a number of 0 or more"),
            Self::Flag => f.write_str("true or false"),
        }
    }
}
