//! What is wrong with a settings file, and where.

use {
    cowslip_decide::names::Name,
    std::{fmt, io, sync::Arc},
};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// A refused settings file or flag.
#[derive(Clone, Debug)]
pub enum Error {
    /// The file cannot be read.
    Unreadable {
        /// File that was asked for.
        file: Name,
        /// Answer of the operating system.
        cause: Arc<io::Error>,
    },
    /// The text is not TOML.
    Syntax {
        /// Where the text goes wrong.
        location: Location,
        /// What the parser says.
        message: String,
    },
    /// A field that does not exist.
    UnknownField {
        /// Where the field stands.
        location: Location,
        /// Path of the field.
        path: String,
        /// Fields that exist there.
        expected: String,
    },
    /// A field without default is absent.
    MissingField {
        /// Where the table begins that lacks the field.
        location: Location,
        /// Path of the field.
        path: String,
        /// What the field should hold.
        expected: String,
    },
    /// A field holds a value of another type, out of bounds or at odds with another field.
    InvalidValue {
        /// Where the value stands.
        location: Location,
        /// Path of the field.
        path: String,
        /// What the field should hold.
        expected: String,
        /// What it holds.
        found: String,
    },
}

/// Place of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// A line of a file, counted from 1.
    Line {
        /// Name of the file.
        file: Name,
        /// Number of the line.
        line: usize,
    },
    /// A flag of the command line.
    Flag,
}

impl Error {
    /// Returns the path of the field that is wrong, if the error is about one field.
    pub fn path(&self) -> Option<&str> {
        match self {
            Self::Unreadable { .. } | Self::Syntax { .. } => None,
            Self::UnknownField { path, .. }
            | Self::MissingField { path, .. }
            | Self::InvalidValue { path, .. } => Some(path),
        }
    }

    /// Returns the line that is wrong, or `None` for a flag or an unreadable file.
    pub fn line(&self) -> Option<usize> {
        let location = match self {
            Self::Unreadable { .. } => return None,
            Self::Syntax { location, .. }
            | Self::UnknownField { location, .. }
            | Self::MissingField { location, .. }
            | Self::InvalidValue { location, .. } => location,
        };
        match location {
            Location::Line { line, .. } => Some(*line),
            Location::Flag => None,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { file, line } => write!(f, "{file}:{line}"),
            Self::Flag => f.write_str("--set"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => write!(f, "{file}: cannot be read: {cause}"),
            Self::Syntax { location, message } => {
                write!(f, "{location}: not valid TOML: {message}")
            }
            Self::UnknownField {
                location,
                path,
                expected,
            } => write!(f, "{location}: {path}: unknown field, expected {expected}"),
            Self::MissingField {
                location,
                path,
                expected,
            } => write!(f, "{location}: {path}: missing, expected {expected}"),
            Self::InvalidValue {
                location,
                path,
                expected,
                found,
            } => write!(f, "{location}: {path}: expected {expected}, found {found}"),
        }
    }
}

impl std::error::Error for Error {}
