//! Messages between instances: generated types, and conversions from and to the types that the
//! decisions use.

pub mod heartbeat;
pub mod losses;

/// Types and stubs generated from `proto/peer.proto` by `tools/regen`.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/cowslip.peer.rs");
}

use std::fmt;

/// Result of a conversion from a message.
pub type Result<T> = std::result::Result<T, Malformed>;

/// A message whose field does not hold what it must.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Path of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: String,
}

impl Malformed {
    /// Returns the error for `field`.
    pub fn new(field: &'static str, why: impl Into<String>) -> Self {
        Self {
            field,
            why: why.into(),
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "field {:?} of a peer's message: {}",
            self.field, self.why
        )
    }
}

impl std::error::Error for Malformed {}
