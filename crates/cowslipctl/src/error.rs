//! Why a subcommand failed, and the exit code that scripts see.

use {
    cowslip_settings::error::Error as SettingsError,
    std::{fmt, io},
};

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit code of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success,
    /// The configuration was refused, or nothing was found.
    Failure,
    /// Wrong flags or settings.
    Usage,
    /// The store, or every instance asked, could not be reached.
    Unreachable,
    /// Some instances could not be reached.
    Partial,
}

/// Failure of a subcommand.
#[derive(Debug)]
pub enum Error {
    /// The configuration is not valid, or nothing was found.
    Failure(String),
    /// The settings of the command are not valid.
    Settings(SettingsError),
    /// The settings lack what the subcommand needs.
    Usage(String),
    /// A file cannot be read or written.
    File {
        /// Name of the file.
        file: String,
        /// Answer of the operating system.
        cause: io::Error,
    },
    /// The store cannot be reached.
    Unreachable(String),
}

impl ExitStatus {
    /// Returns the number that the process ends with.
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
    /// Returns the exit code of the failure.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Failure(_) => ExitStatus::Failure,
            Self::Settings(_) | Self::Usage(_) | Self::File { .. } => ExitStatus::Usage,
            Self::Unreachable(_) => ExitStatus::Unreachable,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(f),
            Self::Failure(message) | Self::Usage(message) => message.fmt(f),
            Self::File { file, cause } => write!(f, "{file}: {cause}"),
            Self::Unreachable(cause) => write!(f, "store unreachable: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
