//! Whether a request may have run, and why it was refused.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Whether a request ran at a target.
///
/// Only [`Verdict::NotRun`] permits sending a request again that may not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached a target, or the target said that it did not run it.
    NotRun,
    /// The target ran the request and its whole answer is known.
    Ran,
    /// The request was at least partly sent and no whole answer came back.
    MayHaveRun,
}

impl Verdict {
    /// Returns the word that answers, logs and rows of the table carry.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "may-have-run" => Ok(Self::MayHaveRun),
            other => Err(format!(
                "verdict {other:?} is none of not-run, ran, may-have-run"
            )),
        }
    }
}

/// Rank of a request; the highest is served first and shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Bookings and purchases.
    High,
    /// Removals, purges and status checks.
    Middle,
    /// Lookups and previews.
    Low,
}

impl Priority {
    /// Every priority, the highest first.
    pub const ALL: [Self; 3] = [Self::High, Self::Middle, Self::Low];

    /// Returns the word that documents and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Middle => "middle",
            Self::Low => "low",
        }
    }
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The queue for the target is full or sheds this priority.
    Overload,
    /// The request cannot be served before its deadline, or the deadline has passed.
    Deadline,
    /// The key has no owner at this moment, or the service no target.
    NoOwner,
    /// The instance asked does not hold the target; the sender's assignment is old.
    WrongHolder,
    /// The instance has no lease from a majority of the members.
    NoLease,
    /// The target refused or shed the request without running it.
    Shed,
    /// The connection broke or went silent before a whole answer came.
    Broken,
    /// The table service cannot be reached and the order could not be journalled.
    TableDown,
    /// An order with the same idempotency key is in progress or was given up.
    Duplicate,
    /// The instance is stopping.
    Stopping,
    /// The caller's request is not valid.
    BadRequest,
}

impl Reason {
    /// Returns the word that answers and metrics carry.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoOwner => "no-owner",
            Self::WrongHolder => "wrong-holder",
            Self::NoLease => "no-lease",
            Self::Shed => "shed",
            Self::Broken => "broken",
            Self::TableDown => "table-down",
            Self::Duplicate => "duplicate",
            Self::Stopping => "stopping",
            Self::BadRequest => "bad-request",
        }
    }
}

impl FromStr for Reason {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        const ALL: [Reason; 11] = [
            Reason::Overload,
            Reason::Deadline,
            Reason::NoOwner,
            Reason::WrongHolder,
            Reason::NoLease,
            Reason::Shed,
            Reason::Broken,
            Reason::TableDown,
            Reason::Duplicate,
            Reason::Stopping,
            Reason::BadRequest,
        ];
        ALL.into_iter()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| format!("reason {text:?} is not known"))
    }
}
