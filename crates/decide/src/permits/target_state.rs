//! What the coordinator of a pool knows of one of its targets.

use {
    super::{
        PermitOutcome, PermitReport, PermitRequest, PermitRequestId, PoolTarget, failures::Failures,
    },
    crate::{
        limits::{RateLimit, TokenBucket, usable_cold_rate},
        service_time::{ServiceTime, TargetEstimate},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Requests beyond its slots that a target gets while others wait, so that the next one is at hand
/// when a slot becomes free.
const REQUESTS_BEYOND_SLOTS: u32 = 1;
/// Time for which a target gets no requests after a failure to connect to it.
const CONNECT_FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a target gets no more requests after it shed one, unless it answers another.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// Age from which a reported slowdown is ignored.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub(super) struct TargetState<A: Ord> {
    pub info: PoolTarget,
    pub permits: BTreeMap<PermitRequestId<A>, Permit>,
    pub service_time: ServiceTime,
    /// Slowdown as last reported, and when.
    slowdown: Option<(f64, Instant)>,
    /// End of the pause after a failure to connect.
    connect_pause: Option<Instant>,
    /// End of the pause after a shed request.
    shed_pause: Option<Instant>,
    /// Instances from which the target wants no requests, with the ends of these times.
    quiet_periods: BTreeMap<A, Instant>,
    pub failures: Failures,
    /// Limits the rate of a target that is cold or has named a limit.
    tokens: Option<TokenBucket>,
}

#[derive(Debug)]
pub(super) struct Permit {
    pub granted_at: Instant,
    pub expires_at: Instant,
    /// Whether the caller is in another data centre than the target.
    pub is_guest: bool,
}

/// Order in which targets are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// In the data centre of the instance that asks, and expected to meet the latency goal.
    Preferred,
    Usual,
    /// Has failed to serve requests.
    Failing,
}

impl<A: Ord> TargetState<A> {
    /// Creates the state of a target of which nothing is known yet.
    pub fn new(info: PoolTarget, now: Instant) -> Self {
        let mut created = Self {
            info: info.clone(),
            permits: BTreeMap::new(),
            service_time: ServiceTime::default(),
            slowdown: None,
            connect_pause: None,
            shed_pause: None,
            quiet_periods: BTreeMap::new(),
            failures: Failures::default(),
            tokens: None,
        };
        created.update(info, now);
        created
    }

    /// Replaces what the coordinator is told about the target.
    pub fn update(&mut self, info: PoolTarget, now: Instant) {
        self.info = info;
        self.tokens = match self.max_rate() {
            None => None,
            Some(_) => self.tokens.take().or(Some(TokenBucket::new(1.0, now))),
        };
    }

    /// Returns the requests per second that the target may get; `None` if there is no limit.
    fn max_rate(&self) -> Option<f64> {
        let named = self.info.rate_limit.map(RateLimit::usable_rate);
        let rates = named
            .into_iter()
            .chain(self.info.cold_rate.map(usable_cold_rate));
        rates.min_by(f64::total_cmp)
    }

    /// Returns whether the target takes as many requests as its slots serve.
    pub fn is_unlimited(&self) -> bool {
        self.max_rate().is_none()
    }

    /// Returns the time until the target's rate allows the next request.
    pub fn token_wait(&self, now: Instant) -> Duration {
        match (&self.tokens, self.max_rate()) {
            (Some(tokens), Some(rate)) => tokens.wait(rate, now),
            _ => Duration::ZERO,
        }
    }

    /// Counts a request against the target's rate.
    pub fn take_token(&mut self, now: Instant) {
        let rate = self.max_rate();
        if let (Some(tokens), Some(rate)) = (&mut self.tokens, rate) {
            // Only a target with a token is chosen, see `can_accept`.
            let _ = tokens.try_take(rate, now);
        }
    }

    /// Returns the requests per second that the target can serve, if each takes `service_time`
    /// seconds.
    pub fn throughput(&self, service_time: f64) -> f64 {
        let served = f64::from(self.info.slots) / service_time;
        self.max_rate().map_or(served, |rate| rate.min(served))
    }

    pub fn can_accept(&self, has_queue: bool, now: Instant) -> bool {
        let is_paused = |until: Option<Instant>| until.is_some_and(|until| until > now);
        if is_paused(self.connect_pause) || is_paused(self.shed_pause) {
            return false;
        }
        let extra = if has_queue { REQUESTS_BEYOND_SLOTS } else { 0 };
        let has_slot = (self.permits.len() as u32) < self.info.slots + extra;
        has_slot && self.token_wait(now).is_zero()
    }

    /// Returns whether the target gets no requests, or only those that no other one can take, because
    /// instances could not connect to it or got no result from it.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let is_paused = self.connect_pause.is_some_and(|until| until > now);
        is_paused || self.failures.is_avoided(now)
    }

    /// Returns whether the target wants no requests from an instance now.
    pub fn is_quiet(&self, instance: &A, now: Instant) -> bool {
        let end = self.quiet_periods.get(instance);
        end.is_some_and(|end| *end > now)
    }

    /// Returns the expected response time in seconds; `mean` stands in for a service time that is
    /// not known yet.
    pub fn response_time(&self, request: &PermitRequest, mean: f64, now: Instant) -> f64 {
        let slowdown = match self.slowdown {
            Some((slowdown, time)) if now - time < MAX_SLOWDOWN_AGE => slowdown.clamp(0.5, 5.0),
            _ => 1.0,
        };
        let estimate = TargetEstimate {
            service_time: self.service_time.seconds().unwrap_or(mean),
            in_flight: self.permits.len() as f64,
            slots: self.info.slots,
            slowdown,
            is_local: self.is_local(request),
        };
        estimate.response_time()
    }

    /// Returns whether the target is in the data centre of the instance that asks.
    pub fn is_local(&self, request: &PermitRequest) -> bool {
        request.data_centre == self.info.data_centre
    }

    /// Applies what `instance` reports about a request that took `time`.
    pub fn record_report(
        &mut self,
        instance: &A,
        report: PermitReport,
        time: Duration,
        now: Instant,
    ) where
        A: Clone,
    {
        if let Some(slowdown) = report.slowdown {
            self.slowdown = Some((slowdown, now));
        }
        if let Some(quiet_time) = report.quiet_time {
            self.quiet_periods.retain(|_, end| *end > now);
            self.quiet_periods
                .insert(instance.clone(), now + quiet_time);
        }
        match report.outcome {
            PermitOutcome::Served => {
                self.service_time.record(time);
                self.shed_pause = None;
                self.failures.record_success();
            }
            PermitOutcome::ServerError
            | PermitOutcome::Broken
            | PermitOutcome::ConnectionClosed => self.failures.record_failure(now),
            PermitOutcome::Shed => self.shed_pause = Some(now + SHED_PAUSE),
            PermitOutcome::NotConnected | PermitOutcome::ConnectionRefused => {
                self.connect_pause = Some(now + CONNECT_FAILURE_PAUSE);
            }
            PermitOutcome::Unused => {}
        }
    }
}
