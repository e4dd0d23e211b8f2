//! One recorded piece of keys, and what its leader knows of the owner's hold on it.

use {
    super::{
        manager::{Command, CommandOutcome, CommandTiming},
        table::Assignment,
    },
    crate::names::{Fence, Name},
    std::time::Duration,
    tokio::time::Instant,
};

/// Slowest rate of a target's clock is 2% below the true one; holds are counted 3% longer.
pub(super) const CLOCK_MARGIN: f64 = 1.03;

/// Orders in a row without an answer after which keys leave their owner.
pub(super) const GIVEN_UP: u32 = 3;

/// Orders in a row without an answer after which the end of the owner's hold is recorded, so that
/// a further leader need not assume that its predecessor granted the keys just before it ended.
const UNREACHABLE: u32 = 2;

/// Shortest time until that end for which a record is worth its write.
const WORTH_RECORD: Duration = Duration::from_millis(1500);

/// Most doublings of the time after which an order that failed is sent again.
const MOST_DOUBLINGS: u32 = 3;

/// A recorded piece with what may be true of it at its owner.
#[derive(Clone, Debug)]
pub(super) struct AssignmentState {
    pub assignment: Assignment,
    /// Time until which its owner may serve it.
    pub until: Option<Instant>,
    /// Time until which a grant without an answer may still give it to its owner.
    pub late: Option<Instant>,
    /// Highest fence of a grant without an answer.
    pub lost: Fence,
    /// Time of the next order.
    pub next: Instant,
    /// Whether an order is on its way.
    pub busy: bool,
    /// Hold of the last grant that was sent.
    pub sent: Option<Duration>,
    /// Whether it is to leave its owner, and for whom if that is decided.
    pub leave: Option<Option<Name>>,
    /// Whether its owner has released it, or has ended.
    pub free: bool,
    /// What the last owner said when it released it.
    pub handover: Option<Name>,
    /// Whether its owner gets a higher fence with the next record.
    pub refence: bool,
    /// Orders in a row that got no answer.
    pub silent: u32,
}

impl AssignmentState {
    pub fn new(assignment: Assignment, now: Instant) -> Self {
        Self {
            assignment,
            until: None,
            late: None,
            lost: Fence(0),
            next: now,
            busy: false,
            sent: None,
            leave: None,
            free: false,
            handover: None,
            refence: false,
            silent: 0,
        }
    }

    /// Returns what is true of a piece of these keys once it is recorded.
    pub fn recorded(&self, assignment: Assignment, now: Instant) -> Self {
        let changed = assignment.fence != self.assignment.fence;
        if self.free && changed {
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
            next.refence = false;
            next.next = now;
        }
        next
    }

    /// Begins to leave the owner, unless that has begun.
    pub fn leave(&mut self, to: Option<Name>, now: Instant) {
        if self.leave.is_some() || self.free {
            return;
        }
        self.leave = Some(to);
        self.handover = None;
        self.next = now;
    }

    /// Frees keys whose owner's process has ended.
    pub fn end(&mut self, now: Instant) {
        self.leave(None, now);
        self.set_free(None);
    }

    fn set_free(&mut self, handover: Option<Name>) {
        if self.free {
            return;
        }
        self.free = true;
        self.refence = false;
        self.handover = handover;
    }

    /// Returns whether nothing is under way.
    pub fn is_quiet(&self) -> bool {
        let waits = self.busy || self.free || self.refence || self.leave.is_some();
        !waits && self.assignment.owner.is_some() && self.handover.is_none()
    }

    /// Returns whether the owner has yet to take the fence that makes it refuse late grants.
    pub fn shields(&self) -> bool {
        self.late.is_some() && self.assignment.fence > self.lost
    }

    /// Returns when the hold of an owner that is to lose the keys, and cannot be reached, has run out
    /// for sure; `None` where that is recorded or not worth it.
    pub fn lost_end(&self, now: Instant) -> Option<Instant> {
        let lost = self.leave.is_some() && self.silent >= UNREACHABLE;
        if !lost || self.free || self.busy || self.shields() || self.assignment.expires_at.is_some()
        {
            return None;
        }
        let end = self.until.max(self.late)?;
        (end > now + WORTH_RECORD).then_some(end)
    }

    /// Frees keys that are to leave once no grant can be in force any more.
    pub fn expire(&mut self, now: Instant) {
        if self.late.is_some_and(|late| late <= now) {
            self.late = None;
        }
        let over = self.until.is_none_or(|until| until <= now) && self.late.is_none();
        if self.leave.is_some() && over && !self.busy {
            self.set_free(None);
        }
    }

    pub fn done(
        &mut self,
        order: &Command,
        done: &CommandOutcome,
        timing: &CommandTiming,
        span: (Instant, Instant),
    ) {
        let (sent, now) = span;
        self.busy = false;
        self.silent = match done {
            CommandOutcome::Unsent | CommandOutcome::Unknown => self.silent + 1,
            _ => 0,
        };
        if self.silent >= GIVEN_UP {
            self.leave(None, now);
        }
        match (order, done) {
            (Command::Grant { ttl, .. }, CommandOutcome::Accepted) => {
                let end = now + ttl.mul_f64(CLOCK_MARGIN);
                self.until = self.until.max(Some(end));
                if self.assignment.fence > self.lost {
                    self.late = None;
                }
                if self.leave.is_none() {
                    self.handover = None;
                }
                self.next = match self.leave {
                    Some(_) => now,
                    None => sent + timing.renewal_interval,
                };
            }
            (Command::Grant { ttl, .. }, CommandOutcome::Unknown) => {
                let end = now + timing.delivery_limit + ttl.mul_f64(CLOCK_MARGIN);
                self.until = self.until.max(Some(end));
                self.late = self.late.max(Some(end));
                self.lost = self.lost.max(self.assignment.fence);
                self.next = now;
            }
            (Command::Grant { .. }, CommandOutcome::StaleFence) => {
                self.refence = true;
                self.next = now;
            }
            (Command::Release { .. }, CommandOutcome::Released(handover)) => match self.late {
                None => self.set_free(handover.clone()),
                Some(_) => {
                    self.handover.clone_from(handover);
                    self.refence = true;
                    self.next = now;
                }
            },
            (_, CommandOutcome::TargetEnded) => self.end(now),
            _ => {
                let doublings = self.silent.saturating_sub(1).min(MOST_DOUBLINGS);
                self.next = now + timing.retry_delay * (1 << doublings);
            }
        }
    }
}
