//! Keys whose recorded owner refused a request: it has lost them, or has not got their grant yet.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::Assignment,
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Wait after the first refusal; doubled with each further one.
const INITIAL_BLOCK_DURATION: Duration = Duration::from_millis(50);
/// Longest wait after a refusal.
const MAX_BLOCK_DURATION: Duration = Duration::from_millis(400);

/// Assignments whose owner refused a request, by service and first key.
///
/// Requests for these keys wait for a new owner instead of each being refused by the old one.
#[derive(Debug, Default)]
pub struct BlockedKeys(BTreeMap<(Name, u16), BlockedAssignment>);

#[derive(Debug)]
struct BlockedAssignment {
    fence: Fence,
    until: Instant,
    duration: Duration,
}

impl BlockedKeys {
    /// Blocks an assignment whose owner refused a request, unless it is blocked already.
    pub fn record_refusal(&mut self, service: &Name, assignment: &Assignment, now: Instant) {
        let key = (service.clone(), assignment.first);
        let known = self.0.get(&key).filter(|it| it.fence == assignment.fence);
        if known.is_some_and(|it| it.until > now) {
            return;
        }
        let duration = known.map_or(INITIAL_BLOCK_DURATION, |it| {
            (2 * it.duration).min(MAX_BLOCK_DURATION)
        });
        let blocked = BlockedAssignment {
            fence: assignment.fence,
            until: now + duration,
            duration,
        };
        self.0.insert(key, blocked);
    }

    /// Unblocks an assignment whose owner answered a request.
    pub fn unblock(&mut self, service: &Name, assignment: &Assignment) {
        self.0.remove(&(service.clone(), assignment.first));
    }

    /// Returns how long requests for an assignment still wait; `None` if it is not blocked or its
    /// fence has changed.
    pub fn remaining_wait(
        &self,
        service: &Name,
        assignment: &Assignment,
        now: Instant,
    ) -> Option<Duration> {
        let entry = self.0.get(&(service.clone(), assignment.first))?;
        let is_blocked = entry.fence == assignment.fence && entry.until > now;
        is_blocked.then(|| entry.until - now)
    }
}
