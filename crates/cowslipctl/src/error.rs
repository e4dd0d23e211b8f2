//! Errors of subcommands and their exit codes.

use {
    cowslip_settings::error::Error as SettingsError,
    std::{fmt, io},
};

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, Error>;

/// Outcome of a command, as its exit code reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The configuration is not valid, nothing was found, or the diagram cannot be drawn.
    Failure,
    /// The flags or settings are not valid, or a file cannot be read or written.
    Usage,
    /// The store, or every instance, could not be queried.
    Unreachable,
    /// Some instances could not be queried.
    Partial,
}

/// Failure of a subcommand.
#[derive(Debug)]
pub enum Error {
    /// The configuration is not valid, nothing was found, or the diagram cannot be drawn.
    Failure(String),
    /// The settings are not valid.
    Settings(SettingsError),
    /// A subcommand or a setting that it needs is missing.
    MissingInput(String),
    /// A file cannot be read or written.
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The store could not be queried.
    Unreachable(String),
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Unreachable => 4,
            Self::Partial => 5,
        }
    }
}

impl Error {
    /// Returns the exit status for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Failure(_) => ExitStatus::Failure,
            Self::Settings(_) | Self::MissingInput(_) | Self::File { .. } => ExitStatus::Usage,
            Self::Unreachable(_) => ExitStatus::Unreachable,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(f),
            Self::Failure(message) | Self::MissingInput(message) => message.fmt(f),
            Self::File { file, cause } => write!(f, "{file}: {cause}"),
            Self::Unreachable(cause) => write!(f, "store unreachable: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
