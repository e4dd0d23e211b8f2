//! Leader's state for one assignment: what its owner may have been granted, and what comes next.

use {
    super::{
        manager::{Command, CommandOutcome},
        table::Assignment,
        timing::CommandTiming,
    },
    crate::names::{Fence, Name},
    std::time::Duration,
    tokio::time::Instant,
};

/// Factor by which the leader lengthens a TTL in its own calculation: a target's clock may run up
/// to 2% slow, so that the grant ends later; 3% are added.
pub(super) const CLOCK_MARGIN: f64 = 1.03;

/// Consecutive commands without a response after which keys are revoked from their owner.
pub(super) const MAX_UNANSWERED: u32 = 3;

/// Consecutive commands without a response after which the expiry of the owner's grant is recorded.
///
/// Without that record, the next leader has to assume that the present one granted the keys just
/// before it ended.
const UNANSWERED_BEFORE_EXPIRY: u32 = 2;

/// Shortest time until the expiry of a grant for which its record is worth a write to the store.
const MIN_REMAINING_TO_RECORD: Duration = Duration::from_millis(1500);

/// Most doublings of the retry delay after failed commands.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// A recorded assignment and what may be in force at its owner.
#[derive(Clone, Debug)]
pub(super) struct AssignmentState {
    pub assignment: Assignment,
    /// Latest time at which the owner's grant expires; `None` if the keys never had an owner.
    pub grant_end: Option<Instant>,
    /// Latest time at which a late grant, one without a response, expires.
    pub late_end: Option<Instant>,
    /// Highest fence of a late grant.
    pub late_fence: Fence,
    /// Time of the next command.
    pub command_due: Instant,
    /// Whether a command has been sent and has not ended.
    pub in_flight: bool,
    /// TTL of the last command if that was a grant, `None` for a release.
    pub sent_ttl: Option<Duration>,
    /// `Some` while the keys are being revoked, with the target that gets them if it is chosen.
    pub revocation: Option<Option<Name>>,
    /// Whether the keys wait for a new owner.
    pub is_free: bool,
    /// Handover data that the previous owner returned with its release, for the next grant.
    pub handover: Option<Name>,
    /// Whether the owner has to get a higher fence with the next record.
    pub needs_fence: bool,
    /// Consecutive commands that were not sent or got no response.
    pub unanswered_count: u32,
}

impl AssignmentState {
    pub fn new(assignment: Assignment, now: Instant) -> Self {
        Self {
            assignment,
            grant_end: None,
            late_end: None,
            late_fence: Fence(0),
            command_due: now,
            in_flight: false,
            sent_ttl: None,
            revocation: None,
            is_free: false,
            handover: None,
            needs_fence: false,
            unanswered_count: 0,
        }
    }

    /// Returns the state after `assignment`, a part of these keys, was recorded.
    ///
    /// A new fence for free keys means a new owner, of which nothing is known yet.
    pub fn with_recorded(&self, assignment: Assignment, now: Instant) -> Self {
        let changed = assignment.fence != self.assignment.fence;
        if self.is_free && changed {
            return Self {
                handover: self.handover.clone(),
                ..Self::new(assignment, now)
            };
        }
        let mut next = Self {
            assignment,
            ..self.clone()
        };
        if changed {
            next.needs_fence = false;
            next.command_due = now;
        }
        next
    }

    /// Starts to revoke the keys, unless they are free or being revoked.
    pub fn start_revocation(&mut self, to: Option<Name>, now: Instant) {
        if self.revocation.is_some() || self.is_free {
            return;
        }
        self.revocation = Some(to);
        self.handover = None;
        self.command_due = now;
    }

    /// Frees the keys because the owner's process has ended.
    pub fn mark_owner_ended(&mut self, now: Instant) {
        self.start_revocation(None, now);
        self.mark_free(None);
    }

    fn mark_free(&mut self, handover: Option<Name>) {
        if self.is_free {
            return;
        }
        self.is_free = true;
        self.needs_fence = false;
        self.handover = handover;
    }

    /// Returns whether no command, revocation, record or handover is outstanding.
    pub fn is_idle(&self) -> bool {
        let is_pending =
            self.in_flight || self.is_free || self.needs_fence || self.revocation.is_some();
        !is_pending && self.assignment.owner.is_some() && self.handover.is_none()
    }

    /// Returns whether a late grant may be in force and the owner has yet to accept the higher
    /// fence under which it refuses that grant.
    pub fn is_fence_pending(&self) -> bool {
        self.late_end.is_some() && self.assignment.fence > self.late_fence
    }

    /// Returns when the grant of an unreachable owner, from which the keys are being revoked, has
    /// expired at the latest; `None` if that is recorded already or not worth a record, or if a
    /// command in flight or a higher fence may still extend the owner's time.
    pub fn recordable_expiry(&self, now: Instant) -> Option<Instant> {
        let is_unreachable =
            self.revocation.is_some() && self.unanswered_count >= UNANSWERED_BEFORE_EXPIRY;
        if !is_unreachable
            || self.is_free
            || self.in_flight
            || self.is_fence_pending()
            || self.assignment.expires_at.is_some()
        {
            return None;
        }
        let expiry = self.grant_end.max(self.late_end)?;
        (expiry > now + MIN_REMAINING_TO_RECORD).then_some(expiry)
    }

    /// Frees keys that are being revoked once no grant of them can be in force any more.
    pub fn expire_grants(&mut self, now: Instant) {
        if self.late_end.is_some_and(|late| late <= now) {
            self.late_end = None;
        }
        let is_expired = self.grant_end.is_none_or(|until| until <= now) && self.late_end.is_none();
        if self.revocation.is_some() && is_expired && !self.in_flight {
            self.mark_free(None);
        }
    }

    /// Applies the outcome of a command; `times` are those of its sending and of its outcome.
    pub fn handle_outcome(
        &mut self,
        command: &Command,
        outcome: &CommandOutcome,
        timing: &CommandTiming,
        times: (Instant, Instant),
    ) {
        let (sent_at, now) = times;
        self.in_flight = false;
        self.unanswered_count = match outcome {
            CommandOutcome::Unsent | CommandOutcome::Unknown => self.unanswered_count + 1,
            _ => 0,
        };
        if self.unanswered_count >= MAX_UNANSWERED {
            self.start_revocation(None, now);
        }
        match (command, outcome) {
            (Command::Grant { ttl, .. }, CommandOutcome::Accepted) => {
                let expiry = now + ttl.mul_f64(CLOCK_MARGIN);
                self.grant_end = self.grant_end.max(Some(expiry));
                if self.assignment.fence > self.late_fence {
                    self.late_end = None;
                }
                if self.revocation.is_none() {
                    self.handover = None;
                }
                self.command_due = match self.revocation {
                    // The release follows at once.
                    Some(_) => now,
                    None => sent_at + timing.renewal_interval,
                };
            }
            (Command::Grant { ttl, .. }, CommandOutcome::Unknown) => {
                let expiry = now + timing.delivery_limit + ttl.mul_f64(CLOCK_MARGIN);
                self.grant_end = self.grant_end.max(Some(expiry));
                self.late_end = self.late_end.max(Some(expiry));
                self.late_fence = self.late_fence.max(self.assignment.fence);
                self.command_due = now;
            }
            (Command::Grant { .. }, CommandOutcome::StaleFence) => {
                self.needs_fence = true;
                self.command_due = now;
            }
            (Command::Release { .. }, CommandOutcome::Released(handover)) => match self.late_end {
                None => self.mark_free(handover.clone()),
                // The late grant could take effect after the release, so a higher fence is needed.
                Some(_) => {
                    self.handover.clone_from(handover);
                    self.needs_fence = true;
                    self.command_due = now;
                }
            },
            (_, CommandOutcome::TargetEnded) => self.mark_owner_ended(now),
            _ => {
                let doublings = self
                    .unanswered_count
                    .saturating_sub(1)
                    .min(MAX_RETRY_DOUBLINGS);
                self.command_due = now + timing.retry_delay * (1 << doublings);
            }
        }
    }
}
