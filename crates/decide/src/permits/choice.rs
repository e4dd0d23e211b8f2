//! Choice of the target for a request: the one that is expected to answer first, near ones preferred.

use {
    super::{
        PermitRequest, Pool,
        target_state::{Rank, TargetState},
    },
    crate::{
        names::Name,
        spill::{CentreUse, ExpectedTimes, Place, Spill},
    },
    std::{cmp::Ordering, collections::BTreeMap},
    tokio::time::Instant,
};

/// Part of the time left until the latency goal within which a target in the data centre of the
/// instance that asks has to be expected to answer to be preferred. Response times vary, so that a
/// target closer to the goal would often miss it.
const LOCAL_GOAL_RATIO: f64 = 0.75;

/// A warm target that accepts a request now.
#[derive(Debug)]
struct Candidate<'a> {
    rank: Rank,
    /// Expected response time in seconds.
    time: f64,
    name: &'a Name,
}

/// What to do with a request for which targets were looked at.
#[derive(Debug)]
enum Choice {
    /// Send it to this target.
    Send(Name),
    /// Let it wait for a warm target in its data centre.
    Wait,
    /// No warm target accepts it, nor should it wait for one.
    NoWarmTarget,
}

impl Candidate<'_> {
    fn order(a: &&Self, b: &&Self) -> Ordering {
        a.rank.cmp(&b.rank).then(a.time.total_cmp(&b.time))
    }
}

impl From<Option<&Candidate<'_>>> for Choice {
    fn from(best: Option<&Candidate<'_>>) -> Self {
        best.map_or(Self::NoWarmTarget, |it| Self::Send(it.name.clone()))
    }
}

impl<A: Ord + Clone> Pool<A> {
    /// Returns the target that may get the request of `instance` and is expected to answer it first.
    /// Targets in the data centre of that instance are preferred while they are expected to meet the
    /// latency goal: the caller loses nothing, and no bytes cross between data centres. Cold targets
    /// are chosen only if the pool has no warm one without a limit, each up to its rate and its slots.
    pub(super) fn choose_target(
        &mut self,
        instance: &A,
        request: &PermitRequest,
        now: Instant,
    ) -> Option<Name> {
        let mut spill = self.spill.take();
        let mean = self.mean_service_time();
        let has_queue = !self.queue.is_empty();
        let accepts = |name: &Name, target: &TargetState<A>, has_queue: bool| {
            !request.excluded.contains(name)
                && target.can_accept(has_queue, now)
                && !target.is_quiet(instance, now)
        };
        let warm = self.targets.iter();
        let warm = warm.filter(|(name, target)| accepts(name, target, has_queue));
        let warm = warm.filter(|(_, target)| target.info.cold_rate.is_none());
        let goal = request.latency_goal.saturating_duration_since(now);
        let max_local_time = LOCAL_GOAL_RATIO * goal.as_secs_f64();
        let ranked = warm.map(|(name, target)| {
            let time = target.response_time(request, mean, now);
            let is_preferred = target.is_local(request) && time <= max_local_time;
            let rank = match target.failures.is_avoided(now) {
                true => Rank::Failing,
                false if is_preferred => Rank::Preferred,
                false => Rank::Usual,
            };
            (rank, time, name)
        });
        let candidates = ranked.map(|(rank, time, name)| Candidate { rank, time, name });
        let choice = match &mut spill {
            None => candidates
                .min_by(|a, b| Candidate::order(&a, &b))
                .as_ref()
                .into(),
            Some(spill) => {
                let candidates: Vec<Candidate<'_>> = candidates.collect();
                self.choose_by_place(spill, request, &candidates, now)
            }
        };
        self.spill = spill;
        match choice {
            Choice::Send(name) => return Some(name),
            Choice::Wait => return None,
            Choice::NoWarmTarget => {}
        }
        let mut all = self.targets.values();
        if all.any(|it| it.is_unlimited()) {
            return None;
        }
        let mut cold = self.targets.iter();
        let found = cold.find(|(name, target)| accepts(name, target, false));
        found.map(|(name, _)| name.clone())
    }

    /// Chooses among the warm targets that accept a request which leaves its data centre only if that pays.
    fn choose_by_place(
        &self,
        spill: &mut Spill,
        request: &PermitRequest,
        accepting: &[Candidate<'_>],
        now: Instant,
    ) -> Choice {
        let uses = self.centre_uses();
        let is_home = |it: &&Candidate<'_>| self.targets[it.name].is_local(request);
        let takes_guest = |it: &&Candidate<'_>| {
            let data_centre = &self.targets[it.name].info.data_centre;
            uses.get(data_centre).is_none_or(CentreUse::takes_guest)
        };
        let at_home = accepting.iter().filter(is_home).min_by(Candidate::order);
        let wait = self.wait_at_home(request);
        if at_home.is_none() && wait.is_none() {
            return accepting.iter().min_by(Candidate::order).into();
        }
        let guests = accepting.iter().filter(|it| !is_home(it));
        let elsewhere = guests.filter(takes_guest).min_by(Candidate::order);
        let sound_time = |it: Option<&Candidate<'_>>| {
            let sound = it.filter(|it| it.rank != Rank::Failing);
            sound.map(|it| it.time)
        };
        let goal = request.latency_goal.saturating_duration_since(now);
        let times = ExpectedTimes {
            home: sound_time(at_home).or(wait),
            elsewhere: sound_time(elsewhere),
            goal: goal.as_secs_f64(),
        };
        let chosen = match spill.choose_place(&request.data_centre, times) {
            Place::Home => at_home,
            Place::Elsewhere => elsewhere.or(at_home),
        };
        match chosen {
            None if times.home.is_some() => Choice::Wait,
            chosen => chosen.into(),
        }
    }

    /// Returns the expected seconds until a queued request is answered by a target in its data centre;
    /// `None` if there is no warm one without a limit.
    fn wait_at_home(&self, request: &PermitRequest) -> Option<f64> {
        let service_time = self.mean_service_time();
        let home = self.targets.values();
        let home = home.filter(|it| it.is_local(request) && it.is_unlimited());
        let throughput: f64 = home.map(|it| it.throughput(service_time)).sum();
        let waiting = self.queue.iter().filter(|(_, it)| {
            it.data_centre == request.data_centre
                && (it.priority, it.latency_goal) < (request.priority, request.latency_goal)
        });
        let ahead = waiting.count() as f64 + 1.0;
        (throughput > 0.0).then(|| ahead / throughput + service_time)
    }

    /// Returns the use of each data centre's targets.
    fn centre_uses(&self) -> BTreeMap<Name, CentreUse> {
        let mut uses: BTreeMap<Name, CentreUse> = BTreeMap::new();
        for target in self.targets.values() {
            let centre = uses.entry(target.info.data_centre.clone()).or_default();
            let guests = target.permits.values().filter(|it| it.is_guest).count() as u32;
            centre.slots += target.info.slots;
            centre.guests += guests;
            centre.own += target.permits.len() as u32 - guests;
        }
        for (_, request) in &self.queue {
            if let Some(centre) = uses.get_mut(&request.data_centre) {
                centre.waiting += 1;
            }
        }
        uses
    }
}
