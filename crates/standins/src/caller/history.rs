//! What a caller remembers of a request.

use {
    cowslip_decide::verdict::Verdict,
    serde::{Deserialize, Serialize},
};

/// Why an answer cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No answer came: the connection broke or the caller gave up.
    Lost,
    /// The answer has no verdict.
    Unjudged,
    /// The answer belongs to another request or is not whole.
    Foreign,
}

/// One request and its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sent {
    /// Id, which the body begins with; the idempotency key of an order.
    pub id: String,
    /// Number of the kind.
    pub kind: usize,
    /// Key.
    pub key: String,
    /// Whether the id went along as an idempotency key.
    pub keyed: bool,
    /// Time at which it was due, in microseconds of the machine's clock.
    pub sent: u64,
    /// Time of the end.
    pub answered: u64,
    /// Status, or 0 without an answer.
    pub status: u16,
    /// Verdict.
    pub verdict: Option<Verdict>,
    /// Reason of a refusal.
    pub reason: Option<String>,
    /// Id of the request in events.
    pub request: Option<String>,
    /// Instance that answered.
    pub instance: Option<String>,
    /// What is wrong with the answer.
    pub fault: Option<Fault>,
}
