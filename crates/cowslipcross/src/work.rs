//! A request on its way through the process, and its end.

use {
    bytes::Bytes,
    cowslip_decide::{
        names::{Fence, Name, Version},
        verdict::{Priority, Reason, Verdict},
    },
    std::time::Duration,
    tokio::{sync::oneshot, time::Instant},
};

/// One attempt of a request, ready for the holder of its target.
#[derive(Clone, Debug)]
pub struct Work {
    /// Id of the attempt, unique over all instances.
    pub request: Name,
    /// Service of the request.
    pub service: Name,
    /// Route of the request.
    pub route: Name,
    /// Key, for divided services.
    pub key: Option<Name>,
    /// Hash of the key.
    pub hash: Option<u64>,
    /// Where it goes.
    pub aim: Aim,
    /// Rank in the queue.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Id of the order, if the caller gave one.
    pub order: Option<Name>,
    /// HTTP method.
    pub method: http::Method,
    /// Media type of the body.
    pub media: Option<Name>,
    /// Whole body.
    pub body: Bytes,
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Aim {
    /// The owner of the key under this fence.
    Owner {
        /// Target that owns the key.
        target: Name,
        /// Fence of the owner.
        fence: Fence,
    },
    /// Any target of this pool.
    Pool(Name),
}

/// End of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Why it was refused or given up; `None` with a whole answer.
    pub reason: Option<Reason>,
    /// Status of the target's answer, or of the refusal.
    pub status: u16,
    /// Media type of the body.
    pub media: Option<Name>,
    /// Whole body of the answer.
    pub body: Bytes,
    /// When trying again helps.
    pub wait: Option<Duration>,
    /// Target that answered, if one did.
    pub target: Option<Name>,
    /// Version of the assignment at the instance that judged.
    pub version: Version,
}

/// An attempt with the place for its end; dropping the receiver cancels it.
#[derive(Debug)]
pub struct Ticket {
    /// The attempt.
    pub work: Work,
    /// Receives the end.
    pub reply: oneshot::Sender<Outcome>,
}

impl Outcome {
    /// Returns the end of an attempt of which no whole answer came back.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, Version(0))
        }
    }

    /// Returns the end of an attempt that was refused before a byte of it was sent.
    pub fn not_run(reason: Reason, version: Version) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason: Some(reason),
            status: 503,
            media: None,
            body: Bytes::new(),
            wait: None,
            target: None,
            version,
        }
    }
}
