//! Errors of settings files and flags, with the location of the fault.

use {
    cowslip_decide::names::Name,
    std::{fmt, io, sync::Arc},
};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a settings file or a flag was rejected.
#[derive(Clone, Debug)]
pub enum Error {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        file: Name,
        /// Error of the operating system.
        cause: Arc<io::Error>,
    },
    /// The file is not valid TOML.
    Syntax {
        /// Location of the first syntax error.
        location: Location,
        /// Message of the TOML parser.
        detail: String,
    },
    /// The field does not exist.
    UnknownField {
        /// Location of the field.
        location: Location,
        /// Path of the field.
        path: String,
        /// Fields that are allowed in the same table.
        expected: String,
    },
    /// A required field is missing.
    MissingField {
        /// Start of the table that should contain the field.
        location: Location,
        /// Path of the field.
        path: String,
        /// Expected type and range.
        expected: String,
    },
    /// The value has the wrong type or is out of range.
    InvalidValue {
        /// Location of the value.
        location: Location,
        /// Path of the field.
        path: String,
        /// Expected type and range.
        expected: String,
        /// Value that was found; secrets are left out.
        found: String,
    },
}

/// Origin of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// A line of a settings file.
    Line {
        /// Path of the file.
        file: Name,
        /// Line number, counted from 1.
        line: usize,
    },
    /// A `--set` flag on the command line.
    Flag,
}

impl Error {
    /// Returns the path of the faulty field, or `None` if the error concerns the whole file.
    pub fn path(&self) -> Option<&str> {
        match self {
            Self::Unreadable { .. } | Self::Syntax { .. } => None,
            Self::UnknownField { path, .. }
            | Self::MissingField { path, .. }
            | Self::InvalidValue { path, .. } => Some(path),
        }
    }

    /// Returns the line of the fault, or `None` for a flag or an unreadable file.
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
            Self::Syntax { location, detail } => write!(f, "{location}: not valid TOML: {detail}"),
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
