//! The leader's part: grants, renewals and moves of keys, so that no two targets own one key.
//!
//! Keys change hands in this order: the old owner releases them, or its last hold has run out, or
//! it is known to have ended; the new owner is recorded with a higher fence; the new owner gets its
//! grant. A grant without an answer may be carried out later. It blocks the release of its keys
//! until its hold has run out, or until the same owner has taken a higher fence, under which the
//! target refuses the late one.

use {
    super::{
        state::{AssignmentState, CLOCK_MARGIN, GIVEN_UP},
        table::{Assignment, AssignmentTable, TargetIncarnation},
    },
    crate::names::{Fence, Name},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Periods and bounds of the orders to targets.
#[derive(Clone, Copy, Debug)]
pub struct CommandTiming {
    /// Hold of a grant.
    pub ttl: Duration,
    /// Hold of a grant while the store is out of reach.
    pub long_ttl: Duration,
    /// Longest hold that any leader gives.
    pub max_ttl: Duration,
    /// Time after which a grant is renewed.
    pub renewal_interval: Duration,
    /// The same where there are more than [`MANY`] pieces.
    pub slow_renewal: Duration,
    /// Time after which an order that failed is sent again.
    pub retry_delay: Duration,
    /// Longest time from the sending of an order to its arrival or loss.
    pub delivery_limit: Duration,
}

impl CommandTiming {
    /// Returns the timing for so many pieces: holds outlast two renewals, as far as they may.
    fn at(&self, assignments: usize) -> Self {
        if assignments <= MANY {
            return *self;
        }
        let least = Duration::from_secs_f64(assignments as f64 / MOST_RENEWALS);
        let renewal_interval = self
            .slow_renewal
            .max(least)
            .min(self.max_ttl.mul_f64(LATEST));
        let ttl = renewal_interval
            .mul_f64(OUTLASTS)
            .max(self.ttl)
            .min(self.max_ttl);
        Self {
            renewal_interval,
            ttl,
            ..*self
        }
    }
}

/// A target that may own keys, or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its present run.
    pub incarnation: u64,
    /// Whether it may own keys.
    pub can_own: bool,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Grant or renew.
    Grant {
        /// Keys, owner and fence.
        assignment: Assignment,
        /// Time for which the owner may serve them.
        ttl: Duration,
        /// What the last owner said when it released them.
        handover: Option<Name>,
    },
    /// Take keys back.
    Release {
        /// Keys, owner and fence.
        assignment: Assignment,
    },
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The target took the grant.
    Accepted,
    /// The target has seen a higher fence.
    StaleFence,
    /// The target released the keys.
    Released(Option<Name>),
    /// The order was not sent.
    Unsent,
    /// Another target has the address: the process of the one that was meant has ended.
    TargetEnded,
    /// No answer: the order may have been carried out, or may be later.
    Unknown,
}

/// Pieces from which renewals are less frequent, so that the leader can bear them.
const MANY: usize = 300;

/// Most orders that are begun at a time; the others follow at the next look.
const MOST_ORDERS: usize = 200;

/// Multiple of the time between two renewals that holds last.
const OUTLASTS: f64 = 2.4;

/// Part of the longest hold after which grants are renewed at the latest.
const LATEST: f64 = 0.45;

/// Most renewals a second that a leader sends.
const MOST_RENEWALS: f64 = 550.0;

/// Returns the time after which a grant of the longest hold, sent just now, is not in force any more.
pub fn max_grant_lifetime(max_ttl: Duration, delivery_limit: Duration) -> Duration {
    delivery_limit + max_ttl.mul_f64(CLOCK_MARGIN)
}

/// What is known of the leaders before this one, in times of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PreviousLeaders {
    /// Time after which none of their grants is in force, if they said so.
    pub grants_expire: Option<Duration>,
    /// Time that has passed for sure.
    pub earliest_now: Option<Duration>,
}

impl StoreTimeBound {
    /// Returns a time of the store's clock that does not come before a moment here, in whole
    /// milliseconds as rows tell it.
    fn store_time(&self, at: Instant) -> Duration {
        let time = self.latest + at.saturating_duration_since(self.local);
        Duration::from_millis(time.as_millis() as u64 + 1)
    }
}

impl PreviousLeaders {
    /// Returns for how long something may last that ends at a time of the store's clock.
    fn left(&self, end: Option<Duration>) -> Option<Duration> {
        Some(end?.saturating_sub(self.earliest_now?))
    }
}

/// A moment by this machine's clock and by the store's.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimeBound {
    /// The moment.
    pub local: Instant,
    /// Time that the store's clock shows then at the latest.
    pub latest: Duration,
}

/// Ownership of one service's keys as its leader keeps it.
#[derive(Debug)]
pub struct AssignmentManager {
    timing: CommandTiming,
    fence: Fence,
    kept: Vec<AssignmentState>,
    ended: BTreeSet<TargetIncarnation>,
}

impl AssignmentManager {
    /// Takes over the recorded owners. Grants of former leaders are in force for as long as is known
    /// of them, or else for the longest time that a grant can last.
    pub fn new(
        table: &AssignmentTable,
        timing: CommandTiming,
        former: PreviousLeaders,
        now: Instant,
    ) -> Self {
        let longest = max_grant_lifetime(timing.max_ttl, timing.delivery_limit);
        let longest = former
            .left(former.grants_expire)
            .unwrap_or(longest)
            .min(longest);
        let kept = table.assignments.iter().map(|assignment| {
            let left = former
                .left(assignment.expires_at)
                .unwrap_or(longest)
                .min(longest);
            let until = assignment.owner.as_ref().map(|_| now + left);
            AssignmentState {
                until,
                late: until,
                lost: assignment.fence,
                // Whose hold is recorded to end gets no grant with that fence any more.
                leave: assignment.expires_at.map(|_| None),
                ..AssignmentState::new(assignment.clone(), now)
            }
        });
        Self {
            timing,
            fence: table.highest_fence,
            kept: kept.collect(),
            ended: BTreeSet::new(),
        }
    }

    /// Returns the owners as they are recorded.
    pub fn table(&self) -> AssignmentTable {
        AssignmentTable {
            assignments: self
                .kept
                .iter()
                .map(|kept| kept.assignment.clone())
                .collect(),
            highest_fence: self.fence,
        }
    }

    /// Returns the time after which none of its grants is in force, if no further one is sent.
    pub fn remaining_grant_time(&self, now: Instant) -> Duration {
        let end = |kept: &AssignmentState| {
            let known = kept.until.max(kept.late);
            let sent = kept.sent.filter(|_| kept.busy);
            let arrives =
                sent.map(|ttl| now + self.timing.delivery_limit + ttl.mul_f64(CLOCK_MARGIN));
            known.max(arrives)
        };
        let last = self.kept.iter().filter_map(end).max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(now))
    }

    /// Returns whether a grant is under way.
    pub fn has_grant_in_flight(&self) -> bool {
        self.kept
            .iter()
            .any(|kept| kept.busy && kept.sent.is_some())
    }

    /// Returns whether keys wait for a new owner or a higher fence, which has to be recorded first,
    /// or the end of an unreachable owner's hold should be.
    pub fn needs_recording(&self, now: Instant) -> bool {
        let waits = |kept: &AssignmentState| kept.free || (kept.refence && !kept.busy);
        self.kept
            .iter()
            .any(|kept| waits(kept) || kept.lost_end(now).is_some())
    }

    /// Returns the targets that answer no orders about keys of their own.
    pub fn unanswered_owners(&self) -> BTreeSet<Name> {
        let silent = self.kept.iter().filter(|it| it.silent >= GIVEN_UP);
        let owners = silent.filter_map(|it| Some(it.assignment.owner.as_ref()?.id.clone()));
        owners.collect()
    }

    /// Returns the runs of targets whose processes have ended.
    pub fn ended_incarnations(&self) -> &BTreeSet<TargetIncarnation> {
        &self.ended
    }

    /// Takes note that the process of a run of a target has ended: it holds nothing any more.
    pub fn mark_ended(&mut self, life: &TargetIncarnation, now: Instant) {
        let own = |kept: &&mut AssignmentState| kept.assignment.owner.as_ref() == Some(life);
        for kept in self.kept.iter_mut().filter(own) {
            kept.end(now);
        }
        self.ended.insert(life.clone());
    }

    /// Returns the runs of targets that own keys.
    pub fn owners(&self) -> BTreeSet<&TargetIncarnation> {
        let owners = self.kept.iter();
        owners
            .filter_map(|it| it.assignment.owner.as_ref())
            .collect()
    }

    /// Returns whether a piece that begins with this key stays with its owner.
    pub fn is_settled(&self, first: u16) -> bool {
        let kept = self
            .kept_of(first)
            .filter(|it| it.assignment.first == first);
        kept.is_some_and(|kept| kept.leave.is_none() && !kept.free && !kept.refence)
    }

    /// Marks the keys of owners that may not own any: unknown, unusable, or in another run.
    pub fn review_owners(&mut self, all: &BTreeMap<Name, Candidate>, now: Instant) {
        for kept in &mut self.kept {
            let Some(owner) = &kept.assignment.owner else {
                kept.free = true;
                continue;
            };
            match all.get(&owner.id) {
                Some(it) if it.can_own && it.incarnation == owner.incarnation => {}
                _ => kept.leave(None, now),
            }
        }
    }

    /// Begins to move keys to another target; the keys must lie in one piece.
    pub fn start_transfer(&mut self, first: u16, last: u16, to: &Name, now: Instant) {
        self.cut(first, last);
        for kept in &mut self.kept {
            let inside = first <= kept.assignment.first && kept.assignment.last <= last;
            if inside && kept.leave.is_none() && !kept.free && !kept.busy {
                kept.leave(Some(to.clone()), now);
            }
        }
    }

    /// Returns the orders that are due; `strained` says that the store is out of reach.
    pub fn next_commands(&mut self, strained: bool, now: Instant) -> Vec<Command> {
        let timing = self.timing.at(self.kept.len());
        let ttl = match strained {
            true => timing.long_ttl,
            false => timing.ttl,
        };
        self.join();
        let mut orders = Vec::new();
        for kept in &mut self.kept {
            kept.expire(now);
            if kept.busy || kept.free || kept.refence || now < kept.next {
                continue;
            }
            if kept.assignment.owner.is_none() {
                continue;
            }
            if orders.len() == MOST_ORDERS {
                break;
            }
            kept.busy = true;
            let assignment = kept.assignment.clone();
            let releases = kept.leave.is_some() && !kept.shields();
            kept.sent = (!releases).then_some(ttl);
            orders.push(match releases {
                true => Command::Release { assignment },
                false => Command::Grant {
                    assignment,
                    ttl,
                    handover: kept.handover.clone(),
                },
            });
        }
        orders
    }

    /// Takes the end of an order that was sent at `sent`.
    pub fn handle_outcome(
        &mut self,
        order: &Command,
        done: CommandOutcome,
        sent: Instant,
        now: Instant,
    ) {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = order;
        let timing = self.timing.at(self.kept.len());
        for kept in &mut self.kept {
            let same = kept.assignment.fence == assignment.fence
                && kept.assignment.owner == assignment.owner
                && assignment.first <= kept.assignment.first
                && kept.assignment.last <= assignment.last;
            if same {
                kept.done(order, &done, &timing, (sent, now));
            }
            if same && done == CommandOutcome::TargetEnded {
                self.ended.extend(kept.assignment.owner.clone());
            }
        }
    }

    /// Returns the owners to record next: `place` chooses a target for each free piece.
    ///
    /// The table is not in force before [`AssignmentManager::apply_recorded`] is called with it. Without a time of
    /// the store's clock it says of no further owner when its hold ends.
    pub fn propose_table(
        &self,
        present: Option<StoreTimeBound>,
        mut place: impl FnMut(&Assignment, Option<&Name>) -> Option<TargetIncarnation>,
    ) -> Option<AssignmentTable> {
        let mut table = self.table();
        let mut changed = false;
        for (at, kept) in self.kept.iter().enumerate() {
            if kept.free {
                let wish = kept.leave.as_ref().and_then(|to| to.as_ref());
                let Some(life) = place(&kept.assignment, wish) else {
                    continue;
                };
                table.assignments[at].owner = Some(life);
            } else if !kept.refence || kept.busy {
                let end = present.and_then(|it| Some(it.store_time(kept.lost_end(it.local)?)));
                table.assignments[at].expires_at = table.assignments[at].expires_at.or(end);
                changed |= end.is_some();
                continue;
            }
            table.assignments[at].fence = table.advance_fence();
            table.assignments[at].expires_at = None;
            changed = true;
        }
        changed.then_some(table)
    }

    /// Takes over a table that was proposed and is now recorded.
    ///
    /// Keys may have been cut otherwise since the proposal; what is known of each stays its own.
    pub fn apply_recorded(&mut self, table: &AssignmentTable, now: Instant) {
        self.fence = self.fence.max(table.highest_fence);
        let assignments: Vec<(u16, u16)> = self
            .kept
            .iter()
            .map(|kept| (kept.assignment.first, kept.assignment.last))
            .collect();
        let mut table = table.clone();
        for (first, last) in assignments {
            table.split_around(first, last);
        }
        let kept = table.assignments.into_iter().filter_map(|assignment| {
            let before = self.kept_of(assignment.first)?;
            Some(before.recorded(assignment, now))
        });
        self.kept = kept.collect();
    }

    /// Returns what is known of the piece of a key.
    fn kept_of(&self, key: u16) -> Option<&AssignmentState> {
        let after = self.kept.partition_point(|it| it.assignment.first <= key);
        self.kept[..after].last()
    }

    /// Divides keys that never had an owner into equal pieces, one for each of `count` targets.
    pub fn split_evenly(&mut self, count: u32) {
        let whole = self.kept.len() == 1 && self.kept[0].assignment.owner.is_none();
        if !whole || count < 2 {
            return;
        }
        let size = (u32::from(u16::MAX) + 1) / count;
        let whole = self.kept[0].clone();
        let part = |at: u32| {
            let last = if at + 1 == count {
                u16::MAX
            } else {
                ((at + 1) * size - 1) as u16
            };
            let assignment = Assignment {
                first: (at * size) as u16,
                last,
                ..whole.assignment.clone()
            };
            AssignmentState {
                assignment,
                ..whole.clone()
            }
        };
        self.kept = (0..count).map(part).collect();
    }

    /// Joins neighbours that belong to one owner under one fence, so that one grant serves both.
    fn join(&mut self) {
        self.kept.dedup_by(|next, kept| {
            let same = kept.assignment.owner == next.assignment.owner
                && kept.assignment.fence == next.assignment.fence;
            let quiet = kept.is_quiet() && next.is_quiet();
            if same && quiet {
                kept.assignment.last = next.assignment.last;
                kept.until = kept.until.max(next.until);
                kept.late = kept.late.max(next.late);
                kept.lost = kept.lost.max(next.lost);
                kept.next = kept.next.min(next.next);
            }
            same && quiet
        });
    }

    fn cut(&mut self, first: u16, last: u16) {
        let mut table = self.table();
        table.split_around(first, last);
        let kept = table.assignments.into_iter().filter_map(|assignment| {
            let before = self.kept_of(assignment.first)?;
            Some(AssignmentState {
                assignment,
                ..before.clone()
            })
        });
        self.kept = kept.collect();
    }
}
