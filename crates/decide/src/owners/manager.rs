//! The leader's state machine for one service: grants keys, renews the grants and moves keys so
//! that no two targets own one key at a time.
//!
//! Keys change their owner in this order: the previous owner releases them, its last grant expires,
//! or its process is known to have ended; the new owner is recorded with a higher fence; the new
//! owner gets a grant. A grant without a response may take effect late. Until such a late grant has
//! expired, a release of its keys does not free them, unless the same owner has accepted a higher
//! fence since, under which the target refuses the late grant.

use {
    super::{
        previous_leaders::{PreviousLeaders, StoreTimeBound},
        state::{AssignmentState, CLOCK_MARGIN, MAX_UNANSWERED},
        table::{Assignment, AssignmentTable, TargetIncarnation},
        timing::{CommandTiming, max_grant_lifetime},
    },
    crate::names::{Fence, Name},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// A running target as a possible owner of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Incarnation that runs now.
    pub incarnation: u64,
    /// Whether the target may own keys.
    pub can_own: bool,
}

/// A command that the driver has to send to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Grants keys to their owner or renews the grant.
    Grant {
        /// Keys, owner and fence.
        assignment: Assignment,
        /// Time for which the owner may serve the keys, on its own clock.
        ttl: Duration,
        /// Handover data that the previous owner returned with its release.
        handover: Option<Name>,
        /// Whether its acceptance tells that the owner refuses a late grant from then on.
        is_fencing: bool,
    },
    /// Releases the keys from their owner.
    Release {
        /// Keys, owner and fence.
        assignment: Assignment,
    },
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The target accepted the grant.
    Accepted,
    /// The target has seen a higher fence.
    StaleFence,
    /// The target released the keys, with handover data if it returned any.
    Released(Option<Name>),
    /// The command was not sent; counts as unanswered.
    Unsent,
    /// Another target answered at the owner's address, so the owner's process has ended.
    TargetEnded,
    /// No response: the command may have taken effect, or may do so later.
    Unknown,
}

/// Most commands that [`AssignmentManager::next_commands`] starts at once; the next call continues.
const COMMAND_BATCH_LIMIT: usize = 200;

/// The leader's state machine for the assignments of one service.
#[derive(Debug)]
pub struct AssignmentManager {
    timing: CommandTiming,
    highest_fence: Fence,
    states: Vec<AssignmentState>,
    ended: BTreeSet<TargetIncarnation>,
}

impl AssignmentManager {
    /// Starts from the recorded owners. Grants of previous leaders count as in force until their
    /// known expiry, or else for the longest time that a grant can last.
    pub fn new(
        table: &AssignmentTable,
        timing: CommandTiming,
        previous: PreviousLeaders,
        now: Instant,
    ) -> Self {
        let max_lifetime = max_grant_lifetime(timing.max_ttl, timing.delivery_limit);
        let max_remaining = previous
            .time_until(previous.grants_expire)
            .unwrap_or(max_lifetime)
            .min(max_lifetime);
        let unknown_end = previous.unknown_until.map(|end| {
            // A lease and the grants at its end take less than twice the time of the grants alone.
            let remaining = previous.time_until(Some(end));
            now + remaining.unwrap_or(2 * max_lifetime)
        });
        let states = table.assignments.iter().map(|assignment| {
            let remaining = previous
                .time_until(assignment.expires_at)
                .unwrap_or(max_remaining)
                .min(max_remaining);
            let owner_end = assignment.owner.as_ref().map(|_| now + remaining);
            AssignmentState {
                grant_end: owner_end.or(unknown_end),
                late_end: owner_end,
                late_fence: assignment.fence,
                // A recorded expiry forbids further grants with that fence: revoke, do not renew.
                revocation: assignment.expires_at.map(|_| None),
                ..AssignmentState::new(assignment.clone(), now)
            }
        });
        Self {
            timing,
            highest_fence: table.highest_fence,
            states: states.collect(),
            ended: BTreeSet::new(),
        }
    }

    /// Returns the recorded owners, split as the manager handles them.
    pub fn table(&self) -> AssignmentTable {
        AssignmentTable {
            assignments: self
                .states
                .iter()
                .map(|state| state.assignment.clone())
                .collect(),
            highest_fence: self.highest_fence,
        }
    }

    /// Returns how long the grants can still be in force if no further one is sent.
    pub fn remaining_grant_time(&self, now: Instant) -> Duration {
        let last_end = |state: &AssignmentState| {
            let known = state.grant_end.max(state.late_end);
            let in_flight_ttl = state.sent_ttl.filter(|_| state.in_flight);
            let latest = in_flight_ttl
                .map(|ttl| now + self.timing.delivery_limit + ttl.mul_f64(CLOCK_MARGIN));
            known.max(latest)
        };
        let last = self.states.iter().filter_map(last_end).max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(now))
    }

    /// Returns whether a grant command has been sent and its outcome is not known yet.
    pub fn has_grant_in_flight(&self) -> bool {
        self.states
            .iter()
            .any(|state| state.in_flight && state.sent_ttl.is_some())
    }

    /// Returns whether an owner, a fence or the expiry of an unreachable owner has to be recorded.
    pub fn needs_recording(&self, now: Instant) -> bool {
        let awaits_record =
            |state: &AssignmentState| state.is_free || (state.needs_fence && !state.in_flight);
        self.states
            .iter()
            .any(|state| awaits_record(state) || state.recordable_expiry(now).is_some())
    }

    /// Returns the owners that do not answer commands about their keys.
    pub fn unanswered_owners(&self) -> BTreeSet<Name> {
        let unanswered = self
            .states
            .iter()
            .filter(|it| it.unanswered_count >= MAX_UNANSWERED);
        let owners = unanswered.filter_map(|it| Some(it.assignment.owner.as_ref()?.id.clone()));
        owners.collect()
    }

    /// Returns the incarnations whose processes are known to have ended.
    pub fn ended_incarnations(&self) -> &BTreeSet<TargetIncarnation> {
        &self.ended
    }

    /// Returns whether an assignment begins with this key and awaits no new owner or fence.
    pub fn is_settled(&self, first: u16) -> bool {
        let state = self
            .state_for(first)
            .filter(|it| it.assignment.first == first);
        state
            .is_some_and(|state| state.revocation.is_none() && !state.is_free && !state.needs_fence)
    }

    /// Frees keys without an owner once no unknown grant can be in force; revokes those whose owner is no candidate, may not own keys or
    /// has restarted.
    pub fn review_owners(&mut self, candidates: &BTreeMap<Name, Candidate>, now: Instant) {
        for state in &mut self.states {
            let Some(owner) = &state.assignment.owner else {
                state.is_free |= state.grant_end.is_none_or(|end| end <= now);
                continue;
            };
            match candidates.get(&owner.id) {
                Some(it) if it.can_own && it.incarnation == owner.incarnation => {}
                _ => state.start_revocation(None, now),
            }
        }
    }

    /// Starts to move keys to another target; the keys must lie in one assignment.
    ///
    /// Keys that are already changing their owner, or wait for the end of a command, are left out.
    pub fn start_transfer(&mut self, first: u16, last: u16, new_owner: &Name, now: Instant) {
        self.split_around(first, last);
        for state in &mut self.states {
            let is_inside = first <= state.assignment.first && state.assignment.last <= last;
            if is_inside && state.revocation.is_none() && !state.is_free && !state.in_flight {
                state.start_revocation(Some(new_owner.clone()), now);
            }
        }
    }

    /// Returns the commands to send now, which count as in flight from here on.
    pub fn next_commands(&mut self, is_store_unreachable: bool, now: Instant) -> Vec<Command> {
        let timing = self.timing.for_assignments(self.states.len());
        let ttl = match is_store_unreachable {
            true => timing.long_ttl,
            false => timing.ttl,
        };
        self.merge_neighbours();
        let mut commands = Vec::new();
        for state in &mut self.states {
            state.expire_grants(now);
            if state.in_flight || state.is_free || state.needs_fence || now < state.command_due {
                continue;
            }
            if state.assignment.owner.is_none() {
                continue;
            }
            if commands.len() == COMMAND_BATCH_LIMIT {
                break;
            }
            state.in_flight = true;
            let assignment = state.assignment.clone();
            let is_release = state.revocation.is_some() && !state.is_fence_pending();
            state.sent_ttl = (!is_release).then_some(ttl);
            commands.push(match is_release {
                true => Command::Release { assignment },
                false => Command::Grant {
                    assignment,
                    ttl,
                    handover: state.handover.clone(),
                    is_fencing: state.is_fence_pending(),
                },
            });
        }
        commands
    }

    /// Applies the outcome of a command that was sent at `sent_at`.
    pub fn handle_outcome(
        &mut self,
        command: &Command,
        outcome: CommandOutcome,
        sent_at: Instant,
        now: Instant,
    ) {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
        let timing = self.timing.for_assignments(self.states.len());
        for state in &mut self.states {
            let is_match = state.assignment.fence == assignment.fence
                && state.assignment.owner == assignment.owner
                && assignment.first <= state.assignment.first
                && state.assignment.last <= assignment.last;
            if is_match {
                state.handle_outcome(command, &outcome, &timing, (sent_at, now));
            }
            if is_match && outcome == CommandOutcome::TargetEnded {
                self.ended.extend(state.assignment.owner.clone());
            }
        }
    }

    /// Returns the table to record next, or `None` if it would not differ from the present one.
    ///
    /// `choose_owner` gets each free assignment with the target that it was to move to. The table
    /// takes effect only with [`AssignmentManager::apply_recorded`]. Without `store_time`, no
    /// expiry is added to it.
    pub fn propose_table(
        &self,
        store_time: Option<StoreTimeBound>,
        mut choose_owner: impl FnMut(&Assignment, Option<&Name>) -> Option<TargetIncarnation>,
    ) -> Option<AssignmentTable> {
        let mut table = self.table();
        let mut changed = false;
        for (index, state) in self.states.iter().enumerate() {
            if state.is_free {
                let wanted = state.revocation.as_ref().and_then(|target| target.as_ref());
                let Some(chosen) = choose_owner(&state.assignment, wanted) else {
                    continue;
                };
                table.assignments[index].owner = Some(chosen);
            } else if !state.needs_fence || state.in_flight {
                let expiry = store_time
                    .and_then(|it| Some(it.latest_at(state.recordable_expiry(it.local)?)));
                table.assignments[index].expires_at =
                    table.assignments[index].expires_at.or(expiry);
                changed |= expiry.is_some();
                continue;
            }
            table.assignments[index].fence = table.advance_fence();
            table.assignments[index].expires_at = None;
            changed = true;
        }
        changed.then_some(table)
    }

    /// Applies a proposed table that is recorded now.
    ///
    /// Assignments may have been split or merged since the proposal; each key keeps its own state.
    pub fn apply_recorded(&mut self, table: &AssignmentTable, now: Instant) {
        self.highest_fence = self.highest_fence.max(table.highest_fence);
        let ranges: Vec<(u16, u16)> = self
            .states
            .iter()
            .map(|state| (state.assignment.first, state.assignment.last))
            .collect();
        let mut table = table.clone();
        for (first, last) in ranges {
            table.split_around(first, last);
        }
        let states = table.assignments.into_iter().filter_map(|assignment| {
            let before = self.state_for(assignment.first)?;
            Some(before.with_recorded(assignment, now))
        });
        self.states = states.collect();
    }

    /// Returns the state of the assignment that contains a key.
    fn state_for(&self, key: u16) -> Option<&AssignmentState> {
        let after = self.states.partition_point(|it| it.assignment.first <= key);
        self.states[..after].last()
    }

    /// Splits the keys into equal assignments, one for each target, if none ever had an owner.
    pub fn split_evenly(&mut self, target_count: u32) {
        let is_unassigned = self.states.len() == 1 && self.states[0].assignment.owner.is_none();
        if !is_unassigned || target_count < 2 {
            return;
        }
        let size = (u32::from(u16::MAX) + 1) / target_count;
        let whole = self.states[0].clone();
        let part = |index: u32| {
            let last = if index + 1 == target_count {
                u16::MAX
            } else {
                ((index + 1) * size - 1) as u16
            };
            let assignment = Assignment {
                first: (index * size) as u16,
                last,
                ..whole.assignment.clone()
            };
            AssignmentState {
                assignment,
                ..whole.clone()
            }
        };
        self.states = (0..target_count).map(part).collect();
    }

    /// Merges neighbours with the same owner and fence, so that one grant covers both.
    fn merge_neighbours(&mut self) {
        self.states.dedup_by(|next, state| {
            let is_match = state.assignment.owner == next.assignment.owner
                && state.assignment.fence == next.assignment.fence;
            let are_idle = state.is_idle() && next.is_idle();
            if is_match && are_idle {
                state.assignment.last = next.assignment.last;
                state.grant_end = state.grant_end.max(next.grant_end);
                state.late_end = state.late_end.max(next.late_end);
                state.late_fence = state.late_fence.max(next.late_fence);
                state.command_due = state.command_due.min(next.command_due);
            }
            is_match && are_idle
        });
    }

    fn split_around(&mut self, first: u16, last: u16) {
        let mut table = self.table();
        table.split_around(first, last);
        let states = table.assignments.into_iter().filter_map(|assignment| {
            let before = self.state_for(assignment.first)?;
            Some(AssignmentState {
                assignment,
                ..before.clone()
            })
        });
        self.states = states.collect();
    }
}
