//! What follows the attempts of a request: another attempt, a wait, or the final answer.
//!
//! Answers the load in which targets refuse, break connections or are about to lose their keys. A
//! request that may not be repeated goes out again only while it certainly has not run; a caller
//! gets the verdict as soon as nothing better can come.

use {
    crate::{names::Name, verdict::Reason},
    std::time::Duration,
    tokio::time::Instant,
};

/// Refused sends of one request after which its caller gets the refusal.
const MOST_REFUSED: u32 = 3;
/// Sends to owners that lost the key, or without a connection, after which it does: these cost
/// targets nothing.
const MOST_UNSENT: u32 = 2 * MOST_REFUSED;
/// Wait before the owner of a key that shed a request is asked again.
const SHED_WAIT: Duration = Duration::from_millis(120);
/// Wait before another connection to the owner of a key is tried.
const LINK_WAIT: Duration = Duration::from_millis(100);
/// Part of the time left for which a request waits for an owner of its key.
const OWNER_WAIT: f64 = 0.4;
/// Longest wait for an owner of a key.
const LONGEST_WAIT: Duration = Duration::from_millis(1200);

/// What decides about the attempts of a request from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether one target alone owns its key.
    pub sharded: bool,
    /// Most targets that it may run at.
    pub max_attempts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered with a result.
    Answered,
    /// The target answered that it failed.
    ServerError,
    /// The target does not own the key and did not run the request.
    NotOwner,
    /// The target did not run the request.
    Refused,
    /// There was no connection.
    Unsent,
    /// Bytes left, and no whole answer came.
    Broken,
    /// Bytes left, and the deadline passed.
    DeadlinePassed,
}

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The caller gets the target's answer.
    ReturnAnswer,
    /// Choose again after this time.
    RetryAfter(Duration),
    /// Choose again when something has changed, or after this time.
    RetryOnChange(Duration),
    /// The caller gets this.
    ReturnError(FinalError),
}

/// Final answer to a request without an answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalError {
    /// It has not run and will not.
    Refused(Reason),
    /// It may have run, and no answer will come.
    Failed(Reason),
    /// It may have run, and it is not waited for any longer.
    TimedOut,
}

/// What has become of a request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Targets that did not serve it, where others may.
    pub excluded: Vec<Name>,
    run: u32,
    refused: u32,
    waiting: Option<Instant>,
}

impl AttemptHistory {
    /// Takes the end of an attempt at a target; `repeat` takes one out of the bound on repeats.
    pub fn record_attempt(
        &mut self,
        kind: RetryPolicy,
        target: &Name,
        seen: AttemptOutcome,
        repeat: impl FnOnce() -> bool,
    ) -> NextAction {
        match seen {
            AttemptOutcome::Answered => {
                self.run += 1;
                NextAction::ReturnAnswer
            }
            AttemptOutcome::ServerError => match self.runs_again(kind, target, repeat) {
                true => NextAction::RetryAfter(Duration::ZERO),
                false => NextAction::ReturnAnswer,
            },
            AttemptOutcome::Broken => match self.runs_again(kind, target, repeat) {
                true => NextAction::RetryAfter(Duration::ZERO),
                false => NextAction::ReturnError(FinalError::Failed(Reason::Broken)),
            },
            AttemptOutcome::DeadlinePassed => {
                self.run += 1;
                NextAction::ReturnError(FinalError::TimedOut)
            }
            AttemptOutcome::NotOwner => match self.sends_again(MOST_UNSENT) && repeat() {
                true => NextAction::RetryOnChange(LINK_WAIT),
                false => NextAction::ReturnError(self.unrun(Reason::NoOwner)),
            },
            AttemptOutcome::Refused => match self.sends_again(MOST_REFUSED) && repeat() {
                true => self.elsewhere(kind, target, SHED_WAIT),
                false => NextAction::ReturnError(self.unrun(Reason::Shed)),
            },
            AttemptOutcome::Unsent => match self.sends_again(MOST_UNSENT) {
                true => self.elsewhere(kind, target, LINK_WAIT),
                false => NextAction::ReturnError(self.unrun(Reason::Broken)),
            },
        }
    }

    /// Returns the end of a request that is not sent any more.
    pub fn final_error(&self, reason: Reason) -> FinalError {
        match self.run {
            0 => FinalError::Refused(reason),
            _ => FinalError::TimedOut,
        }
    }

    /// Passes a target over that must not get the request.
    pub fn exclude_target(&mut self, target: Name) {
        self.excluded.push(target);
    }

    /// Notes that the key has an owner that takes requests.
    pub fn clear_owner_wait(&mut self) {
        self.waiting = None;
    }

    /// Returns until when it waits for an owner of its key; `None` if it has waited long enough.
    pub fn poll_owner_wait(&mut self, deadline: Instant, now: Instant) -> Option<Instant> {
        let since = *self.waiting.get_or_insert(now);
        let left = deadline.saturating_duration_since(since);
        let end = since + left.mul_f64(OWNER_WAIT).min(LONGEST_WAIT);
        (now < end).then_some(end)
    }

    /// Counts a send that may have run; returns whether another one may.
    fn runs_again(
        &mut self,
        kind: RetryPolicy,
        target: &Name,
        repeat: impl FnOnce() -> bool,
    ) -> bool {
        self.run += 1;
        if !kind.idempotent || self.run >= kind.max_attempts || !repeat() {
            return false;
        }
        if !kind.sharded {
            self.excluded.push(target.clone());
        }
        true
    }

    /// Counts a send that did not run; returns whether another one may follow.
    fn sends_again(&mut self, most: u32) -> bool {
        self.refused += 1;
        self.refused <= most
    }

    /// Tries another target at once, or the only one that owns the key after a wait.
    fn elsewhere(&mut self, kind: RetryPolicy, target: &Name, wait: Duration) -> NextAction {
        if kind.sharded {
            return NextAction::RetryAfter(wait);
        }
        self.excluded.push(target.clone());
        NextAction::RetryAfter(Duration::ZERO)
    }

    /// Returns the end of a request whose last attempt did not run.
    fn unrun(&self, reason: Reason) -> FinalError {
        match self.run {
            0 => FinalError::Refused(reason),
            _ => FinalError::Failed(reason),
        }
    }
}
