//! Decides what follows each attempt of a request: a retry, a wait, or the final response.
//!
//! Targets may refuse requests, break connections or be about to lose their keys. A request that is
//! not idempotent is sent again only while it certainly has not run, and the caller gets an error
//! as soon as no retry can help.

use {
    crate::{names::Name, verdict::Reason},
    std::time::Duration,
    tokio::time::Instant,
};

/// A refused attempt is retried only if at most this many attempts of the request, itself included,
/// did not run.
const MAX_REFUSALS: u32 = 3;
/// Like [`MAX_REFUSALS`], for an attempt without a connection or at a target that does not own the
/// key. Higher, as these attempts cost targets nothing.
const MAX_UNSENT: u32 = 2 * MAX_REFUSALS;
/// Delay before a request is sent again to the owner of its key, which refused it.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Delay before a request without a connection to the owner of its key is retried, and longest
/// delay before it is retried after a target answered that it does not own the key.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Part of the time until the deadline for which a request waits for an owner of its key.
const OWNER_WAIT_RATIO: f64 = 0.4;
/// Longest total wait of a request while its key has no owner that takes requests.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(1200);

/// Properties of a request that decide about its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether running the request more than once is harmless.
    pub idempotent: bool,
    /// Whether only the target that owns the key may run the request.
    pub sharded: bool,
    /// Most attempts of an idempotent request that may have run.
    pub max_attempts: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered with a result.
    Answered,
    /// The target answered with a server error.
    ServerError,
    /// The target does not own the key and did not run the request.
    NotOwner,
    /// The target did not run the request for another reason.
    Refused,
    /// No connection was available, so nothing was sent.
    Unsent,
    /// The request was at least partly sent, and no complete response came.
    Broken,
    /// The request was at least partly sent, and its deadline passed.
    DeadlinePassed,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Return the target's response to the caller.
    ReturnResponse,
    /// Choose a target again after this time.
    RetryAfter(Duration),
    /// Choose a target again when owners or targets have changed, or after this time.
    RetryOnChange(Duration),
    /// Return an error to the caller.
    ReturnError(FinalError),
}

/// Error that a caller gets instead of a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalError {
    /// The request has not run and will not run.
    Refused(Reason),
    /// The request may have run, and no response will come.
    Failed(Reason),
    /// The request may have run, and its response is no longer waited for.
    TimedOut,
}

/// Attempts of one request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Targets that are no longer considered for the request; used only where others may serve it.
    pub excluded: Vec<Name>,
    /// Attempts that may have run.
    run_count: u32,
    /// Attempts that certainly did not run.
    not_run_count: u32,
    owner_wait_start: Option<Instant>,
}

impl AttemptHistory {
    /// Records how an attempt at a target ended and returns what to do next.
    ///
    /// `take_retry` takes a retry out of the service's retry budget and returns whether the budget
    /// allows it. It is called only if nothing else forbids the retry, and not for
    /// [`AttemptOutcome::Unsent`], which never reached a target.
    pub fn record_attempt(
        &mut self,
        policy: RetryPolicy,
        target: &Name,
        outcome: AttemptOutcome,
        take_retry: impl FnOnce() -> bool,
    ) -> NextAction {
        match outcome {
            AttemptOutcome::Answered => {
                self.run_count += 1;
                NextAction::ReturnResponse
            }
            AttemptOutcome::ServerError => match self.record_run(policy, target, take_retry) {
                true => NextAction::RetryAfter(Duration::ZERO),
                false => NextAction::ReturnResponse,
            },
            AttemptOutcome::Broken => match self.record_run(policy, target, take_retry) {
                true => NextAction::RetryAfter(Duration::ZERO),
                false => NextAction::ReturnError(FinalError::Failed(Reason::Broken)),
            },
            AttemptOutcome::DeadlinePassed => {
                self.run_count += 1;
                NextAction::ReturnError(FinalError::TimedOut)
            }
            AttemptOutcome::NotOwner => match self.record_not_run(MAX_UNSENT) && take_retry() {
                true => NextAction::RetryOnChange(OWNER_RETRY_DELAY),
                false => NextAction::ReturnError(self.not_run_error(Reason::NoOwner)),
            },
            AttemptOutcome::Refused => match self.record_not_run(MAX_REFUSALS) && take_retry() {
                true => self.retry_elsewhere(policy, target, REFUSED_RETRY_DELAY),
                false => NextAction::ReturnError(self.not_run_error(Reason::Shed)),
            },
            AttemptOutcome::Unsent => match self.record_not_run(MAX_UNSENT) {
                true => self.retry_elsewhere(policy, target, OWNER_RETRY_DELAY),
                false => NextAction::ReturnError(self.not_run_error(Reason::Broken)),
            },
        }
    }

    /// Returns the error for a request that is abandoned between two attempts, such as at its
    /// deadline. If an attempt may have run, this is [`FinalError::TimedOut`] for any reason.
    pub fn final_error(&self, reason: Reason) -> FinalError {
        match self.run_count {
            0 => FinalError::Refused(reason),
            _ => FinalError::TimedOut,
        }
    }

    /// Returns the error for a request that must not be sent again for this reason, however long its caller would
    /// wait.
    pub fn unsendable_error(&self, reason: Reason) -> FinalError {
        self.not_run_error(reason)
    }

    /// Excludes a target from further attempts without counting an attempt.
    pub fn exclude_target(&mut self, target: Name) {
        self.excluded.push(target);
    }

    /// Ends the wait for an owner, as the key has one that takes requests.
    pub fn clear_owner_wait(&mut self) {
        self.owner_wait_start = None;
    }

    /// Starts or continues the wait for an owner of the key; returns when it ends, or `None` if the
    /// request has waited long enough. Only [`Self::clear_owner_wait`] resets the wait.
    pub fn poll_owner_wait(&mut self, deadline: Instant, now: Instant) -> Option<Instant> {
        let start = *self.owner_wait_start.get_or_insert(now);
        let remaining = deadline.saturating_duration_since(start);
        let end = start + remaining.mul_f64(OWNER_WAIT_RATIO).min(MAX_OWNER_WAIT);
        (now < end).then_some(end)
    }

    /// Counts an attempt that may have run; returns whether another one may follow.
    fn record_run(
        &mut self,
        policy: RetryPolicy,
        target: &Name,
        take_retry: impl FnOnce() -> bool,
    ) -> bool {
        self.run_count += 1;
        if !policy.idempotent || self.run_count >= policy.max_attempts || !take_retry() {
            return false;
        }
        if !policy.sharded {
            self.excluded.push(target.clone());
        }
        true
    }

    /// Counts an attempt that did not run; returns whether another one may follow.
    fn record_not_run(&mut self, limit: u32) -> bool {
        self.not_run_count += 1;
        self.not_run_count <= limit
    }

    /// Retries at another target at once, or at the only owner of the key after `delay`.
    fn retry_elsewhere(
        &mut self,
        policy: RetryPolicy,
        target: &Name,
        delay: Duration,
    ) -> NextAction {
        if policy.sharded {
            return NextAction::RetryAfter(delay);
        }
        self.excluded.push(target.clone());
        NextAction::RetryAfter(Duration::ZERO)
    }

    /// Returns the error for a request whose last attempt did not run.
    fn not_run_error(&self, reason: Reason) -> FinalError {
        match self.run_count {
            0 => FinalError::Refused(reason),
            _ => FinalError::Failed(reason),
        }
    }
}
