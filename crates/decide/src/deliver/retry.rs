//! Whether an attempt is sent again after its end.

use {
    crate::verdict::{Reason, Verdict},
    std::time::Duration,
    tokio::time::Instant,
};

/// Part of a retry that each success pays.
const SHARE: f64 = 0.1;

/// Retries that may be saved up.
const MOST_SAVED: f64 = 100.0;

/// First wait before a retry; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(5);

/// Most attempts of one request.
const MOST_ATTEMPTS: u32 = 8;

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Attempts so far, at least 1.
    pub attempts: u32,
}

/// End of the last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Whether the attempt ran.
    pub verdict: Verdict,
    /// Why it was refused or given up.
    pub reason: Option<Reason>,
    /// When trying again helps.
    pub wait: Option<Duration>,
}

/// What to do with a request whose attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the end on to the caller at once.
    Answer,
    /// Send another attempt at this time.
    Again {
        /// Time of the next attempt.
        at: Instant,
    },
}

/// Retries that may still be sent: a share of the successes.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl Budget {
    /// Notes a request that ran.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(MOST_SAVED);
    }

    /// Takes one retry out of the budget; returns `false` when it is used up.
    fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Decides what follows the end of an attempt.
///
/// A request that may not be repeated is sent again only after [`Verdict::NotRun`].
pub fn after(ended: &Ended, request: &Request, budget: &mut Budget, now: Instant) -> Next {
    if ended.verdict == Verdict::Ran {
        budget.earn();
        return Next::Answer;
    }
    if ended.verdict == Verdict::MayHaveRun && !request.repeatable {
        return Next::Answer;
    }
    if !ended.reason.is_some_and(passing) || request.attempts >= MOST_ATTEMPTS {
        return Next::Answer;
    }
    let backoff = FIRST_WAIT * 2u32.pow(request.attempts.saturating_sub(1));
    let at = now + ended.wait.unwrap_or_default().max(backoff);
    if at >= request.deadline || !budget.spend() {
        return Next::Answer;
    }
    Next::Again { at }
}

/// Returns whether the cause of a refusal may pass by itself before the deadline.
fn passing(reason: Reason) -> bool {
    match reason {
        Reason::NoOwner
        | Reason::WrongHolder
        | Reason::NoLease
        | Reason::Shed
        | Reason::Broken
        | Reason::Stopping => true,
        Reason::Overload
        | Reason::Deadline
        | Reason::TableDown
        | Reason::Duplicate
        | Reason::BadRequest => false,
    }
}
