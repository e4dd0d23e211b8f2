//! Permits to send to the targets of a pool: one instance counts their slots and orders who waits.
//!
//! Answers the load in which many instances send to few slots: none of them sees what the others
//! have sent, so that targets shed, or queue by arrival what should go by rank. Permits protect
//! nothing but time: an instance that hears nothing of the holder sends without one.

use {
    crate::{
        limits::TokenBucket,
        names::Name,
        service_time::{self, ServiceTime, TargetEstimate},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Requests beyond its slots that a target gets while others wait: the next one is then at hand
/// when a slot becomes free.
const AHEAD: u32 = 1;
/// Time beyond its deadline after which a permit that was not returned is void.
const VOID: Duration = Duration::from_millis(300);
/// Time for which a target that took no connection is passed over.
const AVOIDED: Duration = Duration::from_millis(700);
/// Time for which a target that shed a request gets no more than it has.
const FULL: Duration = Duration::from_millis(100);
/// Age at which a target's momentary slowness says nothing any more.
const SLOWNESS_AGE: Duration = Duration::from_millis(300);
/// Part of the expected wait after which a refused caller should come back.
const COME_BACK: f64 = 0.5;
/// Part of the average time of an answer for which there must be time left.
const LEAST_LEFT: f64 = 0.8;
/// Shortest advice when to come back.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// Who asks: an instance and its number for the request.
pub type PermitRequestId<A> = (A, u64);

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Time within which its answer earns its full worth.
    pub latency_goal: Instant,
    /// Time by which its caller wants the answer.
    pub deadline: Instant,
    /// Data centre of the instance that asks.
    pub data_centre: Name,
    /// Targets that did not serve it before.
    pub excluded: Vec<Name>,
}

/// What the holder tells an asker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// Send to this target now.
    Granted(Name),
    /// Wait.
    Queued,
    /// The request cannot be served in time; come back after this.
    Refused(Duration),
}

/// How the request of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The target answered.
    Served,
    /// The target refused it without running it.
    Shed,
    /// It was not sent, for no fault of the target.
    Unused,
    /// The target took no connection.
    NotConnected,
    /// There was no whole answer.
    Broken,
}

/// A target of the pool as the holder knows it.
#[derive(Clone, Debug)]
pub struct PoolTarget {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Data centre.
    pub data_centre: Name,
    /// Requests a second while it is cold; `None` for a warm one.
    pub cold_rate: Option<f64>,
}

/// The holder's view of a pool of targets.
#[derive(Debug)]
pub struct Pool<A: Ord> {
    targets: BTreeMap<Name, Target<A>>,
    queue: Vec<(PermitRequestId<A>, PermitRequest)>,
}

#[derive(Debug)]
struct Target<A: Ord> {
    member: PoolTarget,
    running: BTreeMap<PermitRequestId<A>, Permit>,
    pace: ServiceTime,
    slowness: Option<(f64, Instant)>,
    avoid: Option<Instant>,
    full: Option<Instant>,
    tokens: Option<TokenBucket>,
}

#[derive(Debug)]
struct Permit {
    since: Instant,
    void: Instant,
}

impl<A: Ord + Clone> Default for Pool<A> {
    fn default() -> Self {
        Self {
            targets: BTreeMap::new(),
            queue: Vec::new(),
        }
    }
}

impl<A: Ord + Clone> Pool<A> {
    /// Takes the targets that may be sent to; permits of those that are not there any more end.
    pub fn update_targets(&mut self, members: &BTreeMap<Name, PoolTarget>, now: Instant) {
        self.targets.retain(|name, _| members.contains_key(name));
        for (name, member) in members {
            let target = self.targets.entry(name.clone()).or_insert_with(|| Target {
                member: member.clone(),
                running: BTreeMap::new(),
                pace: ServiceTime::default(),
                slowness: None,
                avoid: None,
                full: None,
                tokens: None,
            });
            target.member = member.clone();
            match member.cold_rate {
                None => target.tokens = None,
                Some(_) if target.tokens.is_some() => {}
                Some(_) => target.tokens = Some(TokenBucket::new(1.0, now)),
            }
        }
    }

    /// Returns whether nobody waits and no permit is out.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.targets.values().all(|it| it.running.is_empty())
    }

    /// Returns whether someone waits or has a permit.
    pub fn has_request(&self, asker: &PermitRequestId<A>) -> bool {
        let waits = self.queue.iter().any(|(known, _)| known == asker);
        waits || self.holds(asker).is_some()
    }

    /// Returns how many wait.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Returns the average time of a target's answers in seconds.
    pub fn service_time(&self, target: &str) -> Option<f64> {
        self.targets.get(target)?.pace.seconds()
    }

    /// Takes a question; a repeated one gets the reply as it stands.
    pub fn request_permit(
        &mut self,
        asker: PermitRequestId<A>,
        ask: PermitRequest,
        now: Instant,
    ) -> PermitReply {
        if let Some(target) = self.holds(&asker) {
            return PermitReply::Granted(target);
        }
        if self.queue.iter().any(|(known, _)| *known == asker) {
            return PermitReply::Queued;
        }
        let ahead = self
            .queue
            .iter()
            .filter(|(_, it)| it.priority <= ask.priority);
        let ahead = ahead.count();
        if ahead == 0
            && let Some(target) = self.pick(&ask, now)
        {
            self.permit(asker, &ask, &target, now);
            return PermitReply::Granted(target);
        }
        if let Some(wait) = self.too_late(ahead, &ask, now) {
            return PermitReply::Refused(wait);
        }
        self.queue.push((asker, ask));
        PermitReply::Queued
    }

    /// Takes the end of a request with a permit, or of one that waits no longer.
    pub fn finish_request(
        &mut self,
        asker: &PermitRequestId<A>,
        outcome: PermitOutcome,
        slowness: Option<f64>,
        now: Instant,
    ) {
        self.queue.retain(|(known, _)| known != asker);
        for target in self.targets.values_mut() {
            if let Some(permit) = target.running.remove(asker) {
                target.ended(outcome, now - permit.since, slowness, now);
            }
        }
    }

    /// Returns the replies to those that waited: permits for free slots, and refusals of those that
    /// cannot be served in time any more.
    pub fn process_queue(&mut self, now: Instant) -> Vec<(PermitRequestId<A>, PermitReply)> {
        for target in self.targets.values_mut() {
            target.running.retain(|_, permit| permit.void > now);
        }
        let mut replies = Vec::new();
        // Those that can still earn their full worth go first within their rank.
        let soon = Duration::from_secs_f64(self.usual());
        self.queue.sort_by_key(|(_, ask)| {
            (
                ask.priority,
                ask.latency_goal < now + soon,
                ask.latency_goal,
            )
        });
        let mut at = 0;
        while at < self.queue.len() {
            let ask = self.queue[at].1.clone();
            let Some(target) = self.pick(&ask, now) else {
                at += 1;
                continue;
            };
            let (asker, _) = self.queue.remove(at);
            self.permit(asker.clone(), &ask, &target, now);
            replies.push((asker, PermitReply::Granted(target)));
        }
        replies.extend(self.give_up(now));
        replies
    }

    /// Refuses those that will not get a slot in time, in the order in which they would be served.
    fn give_up(&mut self, now: Instant) -> Vec<(PermitRequestId<A>, PermitReply)> {
        let mut replies = Vec::new();
        let mut at = 0;
        while at < self.queue.len() {
            match self.too_late(at, &self.queue[at].1, now) {
                Some(wait) => {
                    let (asker, _) = self.queue.remove(at);
                    replies.push((asker, PermitReply::Refused(wait)));
                }
                None => at += 1,
            }
        }
        replies
    }

    fn holds(&self, asker: &PermitRequestId<A>) -> Option<Name> {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| target.running.contains_key(asker));
        found.map(|(name, _)| name.clone())
    }

    fn permit(
        &mut self,
        asker: PermitRequestId<A>,
        ask: &PermitRequest,
        target: &Name,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            let permit = Permit {
                since: now,
                void: ask.deadline + VOID,
            };
            target.running.insert(asker, permit);
        }
    }

    /// Returns the target with a free slot at which the request ends soonest; a cold one only where
    /// no warm one is open, and at its own rate.
    fn pick(&mut self, ask: &PermitRequest, now: Instant) -> Option<Name> {
        let usual = self.usual();
        let backlog = !self.queue.is_empty();
        let open = |(name, target): &(&Name, &Target<A>)| {
            !ask.excluded.contains(name) && target.is_open(backlog, now)
        };
        let cost = |target: &Target<A>| target.cost(ask, usual, now);
        let warm = self.targets.iter().filter(open);
        let warm = warm.filter(|(_, target)| target.member.cold_rate.is_none());
        let best = warm.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        if let Some((name, _)) = best {
            return Some(name.clone());
        }
        let any_warm = self
            .targets
            .values()
            .any(|it| it.member.cold_rate.is_none());
        if any_warm {
            return None;
        }
        let cold = self.targets.iter_mut();
        let cold = cold.filter(|(name, it)| !ask.excluded.contains(name) && it.is_open(false, now));
        for (name, target) in cold {
            let rate = target.member.cold_rate.unwrap_or_default();
            let tokens = target.tokens.as_mut()?;
            if tokens.try_take(rate, now).is_ok() {
                return Some(name.clone());
            }
        }
        None
    }

    /// Returns when to come back if a request behind `ahead` others would be served too late.
    fn too_late(&self, ahead: usize, ask: &PermitRequest, now: Instant) -> Option<Duration> {
        let slots: u32 = self.targets.values().map(|it| it.member.slots).sum();
        let pace = self.usual();
        let left = ask.deadline.saturating_duration_since(now).as_secs_f64();
        if slots == 0 {
            return (left < LEAST_LEFT * pace).then_some(LEAST_WAIT);
        }
        let running: usize = self.targets.values().map(|it| it.running.len()).sum();
        // Of the requests that run, the average one has half of its time left.
        let queue = ahead as f64 + 0.5 * running.min(slots as usize) as f64;
        let wait = queue * pace / f64::from(slots);
        (wait + LEAST_LEFT * pace > left)
            .then(|| LEAST_WAIT.max(Duration::from_secs_f64(wait * COME_BACK)))
    }

    /// Returns the average time of the pool's answers in seconds.
    fn usual(&self) -> f64 {
        let paces: Vec<f64> = self
            .targets
            .values()
            .filter_map(|it| it.pace.seconds())
            .collect();
        match paces.len() {
            0 => service_time::DEFAULT_SERVICE_TIME_S,
            count => paces.iter().sum::<f64>() / count as f64,
        }
    }
}

impl<A: Ord> Target<A> {
    fn is_open(&self, backlog: bool, now: Instant) -> bool {
        let blocked = |until: Option<Instant>| until.is_some_and(|until| until > now);
        if blocked(self.avoid) || blocked(self.full) {
            return false;
        }
        let ahead = if backlog { AHEAD } else { 0 };
        (self.running.len() as u32) < self.member.slots + ahead
    }

    /// Returns the time after which a request would likely end, in seconds.
    fn cost(&self, ask: &PermitRequest, usual: f64, now: Instant) -> f64 {
        let slowness = match self.slowness {
            Some((slowness, at)) if now - at < SLOWNESS_AGE => slowness.clamp(0.5, 5.0),
            _ => 1.0,
        };
        let outlook = TargetEstimate {
            service_time: self.pace.seconds().unwrap_or(usual),
            in_flight: self.running.len() as f64,
            slots: self.member.slots,
            slowdown: slowness,
            is_local: ask.data_centre == self.member.data_centre,
        };
        outlook.response_time()
    }

    fn ended(
        &mut self,
        outcome: PermitOutcome,
        time: Duration,
        slowness: Option<f64>,
        now: Instant,
    ) {
        if let Some(slowness) = slowness {
            self.slowness = Some((slowness, now));
        }
        match outcome {
            PermitOutcome::Served => {
                self.pace.record(time);
                self.full = None;
            }
            PermitOutcome::Shed => self.full = Some(now + FULL),
            PermitOutcome::NotConnected => self.avoid = Some(now + AVOIDED),
            PermitOutcome::Broken | PermitOutcome::Unused => {}
        }
    }
}
