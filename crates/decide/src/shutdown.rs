//! Decides which requests an instance that shuts down still takes and sends.
//!
//! At the end of the grace period the platform kills the process, and whatever is in progress then is cut
//! without an answer. Callers reach an instance for a while after the signal, until the platform has seen that it
//! is not ready. After that, requests are rare: those whose head or body arrives in pieces. They are taken only
//! if they are certain to be answered in time.

use {std::time::Duration, tokio::time::Instant};

/// Time for which connections and all requests are accepted after the signal: the platform takes up to two
/// seconds to notice that the instance is not ready; the rest is a margin.
const ACCEPT_DURATION: Duration = Duration::from_millis(2600);
/// The process exits this long before the end of the grace period, at which it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time before the exit that the responses to requests at their deadlines take.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Course of a shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    accept_until: Instant,
    exit_at: Instant,
}

impl Shutdown {
    /// Begins a shutdown with this grace period.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let exit_at = now + grace.saturating_sub(EXIT_MARGIN);
        Self {
            accept_until: exit_at.min(now + ACCEPT_DURATION),
            exit_at,
        }
    }

    /// Returns when no further connections are accepted, and idle ones are closed.
    pub fn accept_until(&self) -> Instant {
        self.accept_until
    }

    /// Returns when the process exits, whatever is in progress then.
    pub fn exit_at(&self) -> Instant {
        self.exit_at
    }

    /// Returns when an incomplete request with this deadline is refused: it would not be taken any more if it
    /// became complete.
    pub fn refuse_at(&self, deadline: Instant) -> Instant {
        match self.ends_before_exit(deadline) {
            true => deadline,
            false => self.accept_until,
        }
    }

    /// Returns whether a request with this deadline that is complete now is taken.
    pub fn takes(&self, deadline: Instant, now: Instant) -> bool {
        now < self.accept_until || self.ends_before_exit(deadline)
    }

    /// Returns until when a request may be sent to a target, which is expected to answer within `answer_time`.
    pub fn send_until(&self, deadline: Instant, answer_time: Duration) -> Instant {
        match self.ends_before_exit(deadline) {
            true => deadline,
            // An exit that early is over already.
            false => self.exit_at.checked_sub(answer_time).unwrap_or(deadline),
        }
    }

    /// Returns whether a request is answered before the exit even if no target answers before its deadline.
    fn ends_before_exit(&self, deadline: Instant) -> bool {
        deadline + ANSWER_MARGIN <= self.exit_at
    }
}
