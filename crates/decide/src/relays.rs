//! Choice of the instance that passes a request on to a target that this instance cannot reach.

use {
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time for which an instance that could not pass a request on is asked only if all others could not,
/// either.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);
/// Time for which an instance that has passed a request on is preferred.
const SUCCESS_MEMORY: Duration = Duration::from_secs(5);

/// Order in which instances are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Has passed requests on lately, and is in the data centre of the target or of this instance, so that
    /// the bytes cross between data centres no more often than without it.
    Near,
    /// Has passed requests on lately.
    Working,
    /// Nothing is known of it.
    Unknown,
    /// Could not pass a request on.
    Failing,
}

/// What an instance knows of the others' reach; `A` identifies an instance.
#[derive(Clone, Debug)]
pub struct Relays<A> {
    known: BTreeMap<A, Relay>,
}

#[derive(Clone, Debug, Default)]
struct Relay {
    data_centre: Option<Name>,
    last_success: Option<Instant>,
    last_failure: Option<Instant>,
}

impl<A> Default for Relays<A> {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
        }
    }
}

impl<A: Ord + Clone> Relays<A> {
    /// Records that an instance has reached a target, and its data centre if it has told that.
    pub fn record_success(&mut self, instance: &A, data_centre: Option<Name>, now: Instant) {
        let relay = self.known.entry(instance.clone()).or_default();
        relay.data_centre = data_centre.or(relay.data_centre.take());
        relay.last_success = Some(now);
        relay.last_failure = None;
    }

    /// Records that an instance did not answer, or is itself cut off from targets.
    pub fn record_failure(&mut self, instance: &A, now: Instant) {
        let relay = self.known.entry(instance.clone()).or_default();
        relay.last_success = None;
        relay.last_failure = Some(now);
    }

    /// Forgets instances that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&A) -> bool) {
        self.known.retain(|instance, _| is_member(instance));
    }

    /// Returns the members in the order in which to ask them. Of equal ones, those with lower `order` go
    /// first; `near` are the data centres of this instance and of the target.
    pub fn candidates<O: Ord>(
        &self,
        members: impl Iterator<Item = A>,
        near: &[&Name],
        now: Instant,
        order: impl Fn(&A) -> O,
    ) -> Vec<A> {
        let mut ranked: Vec<(Rank, O, A)> = members
            .map(|it| (self.rank(&it, near, now), order(&it), it))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, _, member)| member).collect()
    }

    fn rank(&self, instance: &A, near: &[&Name], now: Instant) -> Rank {
        let Some(relay) = self.known.get(instance) else {
            return Rank::Unknown;
        };
        let is_within =
            |at: Option<Instant>, memory: Duration| at.is_some_and(|at| now - at < memory);
        if is_within(relay.last_failure, FAILURE_MEMORY) {
            return Rank::Failing;
        }
        if !is_within(relay.last_success, SUCCESS_MEMORY) {
            return Rank::Unknown;
        }
        let is_near = |data_centre: &Name| near.contains(&data_centre);
        match relay.data_centre.as_ref().is_some_and(is_near) {
            true => Rank::Near,
            false => Rank::Working,
        }
    }
}
