//! Keys whose recorded owner does not own them any more, or not yet.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::Assignment,
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// First time for which requests wait; it doubles with each further refusal.
const FIRST: Duration = Duration::from_millis(50);
/// Longest time for which requests wait.
const LONGEST: Duration = Duration::from_millis(400);

/// Pieces whose owner refused a request, by service and first key.
///
/// Requests for them wait for another owner, so that one refusal does for all of them.
#[derive(Debug, Default)]
pub struct BlockedKeys(BTreeMap<(Name, u16), BlockedAssignment>);

#[derive(Debug)]
struct BlockedAssignment {
    fence: Fence,
    until: Instant,
    wait: Duration,
}

impl BlockedKeys {
    /// Takes the refusal of a request by the owner of a piece.
    pub fn record_refusal(&mut self, service: &Name, piece: &Assignment, now: Instant) {
        let key = (service.clone(), piece.first);
        let before = self.0.get(&key).filter(|it| it.fence == piece.fence);
        if before.is_some_and(|it| it.until > now) {
            return;
        }
        let wait = before.map_or(FIRST, |it| (2 * it.wait).min(LONGEST));
        let block = BlockedAssignment {
            fence: piece.fence,
            until: now + wait,
            wait,
        };
        self.0.insert(key, block);
    }

    /// Takes an answer of the owner of a piece.
    pub fn remove(&mut self, service: &Name, piece: &Assignment) {
        self.0.remove(&(service.clone(), piece.first));
    }

    /// Returns how long requests for a piece wait, unless it has another owner by then.
    pub fn remaining_wait(
        &self,
        service: &Name,
        piece: &Assignment,
        now: Instant,
    ) -> Option<Duration> {
        let block = self.0.get(&(service.clone(), piece.first))?;
        let blocked = block.fence == piece.fence && block.until > now;
        blocked.then(|| block.until - now)
    }
}
