//! Why a subcommand failed, and the exit code that scripts see.

use {
    cowslip_settings::error::Error as SettingsError,
    std::{fmt, io},
};

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit code of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// The document or the change was refused; nothing was published.
    Refused,
    /// Wrong flags or settings.
    Usage,
    /// Another operator published first; nothing was published.
    LostRace,
    /// The platform, or every instance asked, could not be reached.
    Unreachable,
    /// Some instances could not be reached or do not yet follow.
    Partly,
}

/// Failure of a subcommand.
#[derive(Debug)]
pub enum Error {
    /// The document is not valid.
    Invalid(SettingsError),
    /// The change cannot be made.
    Refused(String),
    /// The settings of the command are not valid.
    Settings(SettingsError),
    /// The settings lack what the subcommand needs.
    Lacking(String),
    /// A file cannot be read or written.
    File {
        /// Name of the file.
        file: String,
        /// Answer of the operating system.
        cause: io::Error,
    },
    /// Another configuration than the expected one is current.
    LostRace {
        /// Version that was to be replaced.
        expected: u64,
        /// Version that is current.
        version: u64,
        /// Who published it.
        author: String,
    },
    /// A service of the platform cannot be reached; nothing was published.
    Unreachable(String),
    /// The write was sent, no answer came and the row could not be read back.
    Unknown {
        /// Version that the write would have.
        version: u64,
    },
}

impl Exit {
    /// Returns the number that the process ends with.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::LostRace => 3,
            Self::Unreachable => 4,
            Self::Partly => 5,
        }
    }
}

impl Error {
    /// Returns the exit code of the failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Invalid(_) | Self::Refused(_) => Exit::Refused,
            Self::Settings(_) | Self::Lacking(_) | Self::File { .. } => Exit::Usage,
            Self::LostRace { .. } => Exit::LostRace,
            Self::Unreachable(_) | Self::Unknown { .. } => Exit::Unreachable,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) | Self::Settings(error) => error.fmt(f),
            Self::Refused(message) | Self::Lacking(message) => message.fmt(f),
            Self::File { file, cause } => write!(f, "{file}: {cause}"),
            Self::LostRace {
                expected,
                version,
                author,
            } => write!(
                f,
                "lost race: version {version} by {author:?} is current, version {expected} was \
                 expected; nothing was published"
            ),
            Self::Unreachable(cause) => write!(f, "platform unreachable: {cause}"),
            Self::Unknown { version } => write!(
                f,
                "outcome unknown: version {version} was sent and could not be read back; run \
                 \"cowslipctl show\" before anything else"
            ),
        }
    }
}

impl std::error::Error for Error {}
