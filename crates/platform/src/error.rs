//! Why a call failed, and whether a write may have happened all the same.

use std::{fmt, result};

/// Result of a call to the platform.
pub type Result<T> = result::Result<T, Error>;

/// Failure of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Conditions failed: nothing was written.
    Refused {
        /// Places of the items whose condition failed, in the order of the transaction.
        items: Vec<usize>,
    },
    /// The service answered that it did not carry out the call: nothing was written.
    Rejected {
        /// Status of the answer.
        status: u16,
        /// What the service said.
        message: String,
    },
    /// No byte was sent: nothing was written.
    NotSent(String),
    /// The call was sent and its outcome is not known: the write may have happened.
    Unknown(String),
}

impl Error {
    /// Returns whether the write may have happened.
    pub fn may_have_happened(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { items } => write!(f, "conditions of items {items:?} failed"),
            Self::Rejected { status, message } => write!(f, "rejected with {status}: {message}"),
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "sent, outcome unknown: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
