//! Permits to send to the targets of a pool: a coordinator counts the targets' slots and queues
//! requests by priority.
//!
//! When many instances send to few slots, none of them sees what the others have sent, so that
//! targets shed requests or queue them by arrival instead of priority. Permits only save time and
//! guarantee nothing else: an instance whose coordinator does not answer sends without one.

mod choice;
mod failures;
mod target_state;

use {
    crate::{limits::RateLimit, names::Name, service_time, spill::Spill},
    std::{collections::BTreeMap, time::Duration},
    target_state::{Permit, TargetState},
    tokio::time::Instant,
};

/// Time from a request's deadline until its permit expires if it was not returned.
const PERMIT_GRACE: Duration = Duration::from_millis(300);
/// Part of the expected wait after which a refused caller should come back.
const RETRY_AFTER_RATIO: f64 = 0.5;
/// Part of the mean service time that must be left before the deadline.
const MIN_SERVICE_RATIO: f64 = 0.8;
/// Requests per second that a pool serves at least, for estimates of waits.
const MIN_THROUGHPUT: f64 = 0.01;
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identifies a permit request: the instance that asks, and the number that it gave the request.
pub type PermitRequestId<A> = (A, u64);

/// Request of an instance for a permit.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// End of the time within which a response is worth most.
    pub latency_goal: Instant,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Data centre of the instance that asks.
    pub data_centre: Name,
    /// Targets that must not be chosen.
    pub excluded: Vec<Name>,
}

/// Reply of the coordinator to a permit request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// Send to this target now.
    Granted(Name),
    /// Wait for another reply.
    Queued,
    /// The request cannot be served in time; come back after this time.
    Refused(Duration),
}

/// How the request with a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The target answered with a result.
    Served,
    /// The target answered with a server error.
    ServerError,
    /// The target refused the request without running it.
    Shed,
    /// The request did not run, and this says nothing about the target.
    Unused,
    /// No connection to the target could be opened.
    NotConnected,
    /// The target refuses connections, and not only from the instance that sent the request.
    ConnectionRefused,
    /// The target closed the connection without a response, although its path is not at fault.
    ConnectionClosed,
    /// No complete response came.
    Broken,
}

impl PermitOutcome {
    /// Returns whether the target answered the request.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Served | Self::ServerError | Self::Shed)
    }
}

/// A permit that was returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedPermit {
    /// Target that the permit was for.
    pub target: Name,
    /// When the permit was granted.
    pub granted_at: Instant,
    /// Whether other permits for the target are in use.
    pub has_others: bool,
}

impl ReturnedPermit {
    /// Returns whether the target may have restarted if the request with the permit has ended like this. A
    /// target that is full closes single connections; one that ends closes all.
    pub fn shows_break(&self, outcome: PermitOutcome) -> bool {
        match outcome {
            PermitOutcome::ConnectionRefused => true,
            PermitOutcome::ConnectionClosed => !self.has_others,
            _ => false,
        }
    }
}

/// What an instance tells the coordinator when it returns a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitReport {
    /// How the request ended.
    pub outcome: PermitOutcome,
    /// Slowdown that the target reported with its response.
    pub slowdown: Option<f64>,
    /// Time for which the target wants no requests from that instance.
    pub quiet_time: Option<Duration>,
}

/// What the coordinator is told about a target of the pool.
#[derive(Clone, Debug)]
pub struct PoolTarget {
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Requests per second while the target is cold; `None` for a warm one.
    pub cold_rate: Option<f64>,
    /// Limit that the target has named.
    pub rate_limit: Option<RateLimit>,
}

/// Coordinator's state of a pool of targets; `A` identifies an instance.
#[derive(Debug)]
pub struct Pool<A: Ord> {
    targets: BTreeMap<Name, TargetState<A>>,
    queue: Vec<(PermitRequestId<A>, PermitRequest)>,
    /// Which requests leave their data centre; `None` if they do whenever that is faster.
    spill: Option<Spill>,
}

impl<A: Ord + Clone> Default for Pool<A> {
    fn default() -> Self {
        Self {
            targets: BTreeMap::new(),
            queue: Vec::new(),
            spill: None,
        }
    }
}

impl<A: Ord + Clone> Pool<A> {
    /// Replaces the targets that may be sent to; permits for removed targets end.
    pub fn update_targets(&mut self, pool_targets: &BTreeMap<Name, PoolTarget>, now: Instant) {
        self.targets
            .retain(|name, _| pool_targets.contains_key(name));
        for (name, info) in pool_targets {
            match self.targets.get_mut(name) {
                Some(target) => target.update(info.clone(), now),
                None => {
                    let target = TargetState::new(info.clone(), now);
                    self.targets.insert(name.clone(), target);
                }
            }
        }
    }

    /// Sets whether requests stay in their data centre unless leaving it pays.
    pub fn keep_home(&mut self, keeps_home: bool) {
        if keeps_home != self.spill.is_some() {
            self.spill = keeps_home.then(Spill::default);
        }
    }

    /// Returns the number of data centres whose requests leave at present because its targets are too few.
    pub fn leaving_centres(&self) -> usize {
        self.spill.as_ref().map_or(0, Spill::leaving_centres)
    }

    /// Returns whether no request is queued and no permit is in use.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.targets.values().all(|it| it.permits.is_empty())
    }

    /// Returns whether a request is queued or has a permit.
    pub fn has_request(&self, id: &PermitRequestId<A>) -> bool {
        let is_queued = self.queue.iter().any(|(queued, _)| queued == id);
        is_queued || self.find_permit(id).is_some()
    }

    /// Returns the number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of targets that get no requests, or only those that no other one can take,
    /// because of failures that instances reported.
    pub fn avoided_targets(&self, now: Instant) -> usize {
        let all = self.targets.values();
        all.filter(|it| it.is_avoided(now)).count()
    }

    /// Returns the smoothed service time of a target in seconds for each successful response; `None`
    /// before its first one.
    pub fn service_time(&self, target: &str) -> Option<f64> {
        let target = self.targets.get(target)?;
        Some(target.service_time.seconds()? / target.failures.success_rate())
    }

    /// Grants a permit, or queues or refuses the request; the reply to a repeated request tells its
    /// current state.
    pub fn request_permit(
        &mut self,
        id: PermitRequestId<A>,
        request: PermitRequest,
        now: Instant,
    ) -> PermitReply {
        if let Some(target) = self.find_permit(&id) {
            return PermitReply::Granted(target);
        }
        if self.queue.iter().any(|(queued, _)| *queued == id) {
            return PermitReply::Queued;
        }
        let before = self.queue.iter();
        let before = before.filter(|(_, it)| it.priority <= request.priority);
        let ahead = before.clone().count();
        // Requests that wait for a target in another data centre do not hold up those of this one.
        let is_first = match self.spill {
            None => ahead == 0,
            Some(_) => !before
                .into_iter()
                .any(|(_, it)| it.data_centre == request.data_centre),
        };
        if is_first && let Some(target) = self.choose_target(&id.0, &request, now) {
            self.add_permit(id, &request, &target, now);
            return PermitReply::Granted(target);
        }
        if let Some(wait) = self.refusal_wait(ahead, &request, now) {
            return PermitReply::Refused(wait);
        }
        self.queue.push((id, request));
        PermitReply::Queued
    }

    /// Removes a request that has ended or is no longer waiting; returns its permit if it had one.
    pub fn finish_request(
        &mut self,
        id: &PermitRequestId<A>,
        report: PermitReport,
        now: Instant,
    ) -> Option<ReturnedPermit> {
        self.queue.retain(|(queued, _)| queued != id);
        let mut returned = None;
        for (name, target) in &mut self.targets {
            if let Some(Permit { granted_at, .. }) = target.permits.remove(id) {
                target.record_report(&id.0, report, now - granted_at, now);
                returned = Some(ReturnedPermit {
                    target: name.clone(),
                    granted_at,
                    has_others: !target.permits.is_empty(),
                });
            }
        }
        returned
    }

    /// Removes expired permits and returns the replies to queued requests: permits for free slots,
    /// and refusals of those that can no longer be served in time.
    pub fn process_queue(&mut self, now: Instant) -> Vec<(PermitRequestId<A>, PermitReply)> {
        for target in self.targets.values_mut() {
            target.permits.retain(|_, permit| permit.expires_at > now);
        }
        let mut replies = Vec::new();
        // Within a priority, requests that can still meet their latency goal go first.
        let expected = Duration::from_secs_f64(self.mean_service_time());
        self.queue.sort_by_key(|(_, request)| {
            (
                request.priority,
                request.latency_goal < now + expected,
                request.latency_goal,
            )
        });
        let mut index = 0;
        while index < self.queue.len() {
            let (id, request) = self.queue[index].clone();
            let Some(target) = self.choose_target(&id.0, &request, now) else {
                index += 1;
                continue;
            };
            self.queue.remove(index);
            self.add_permit(id.clone(), &request, &target, now);
            replies.push((id, PermitReply::Granted(target)));
        }
        replies.extend(self.refuse_late_requests(now));
        replies
    }

    /// Removes queued requests that will not get a slot in time, and returns their refusals.
    fn refuse_late_requests(&mut self, now: Instant) -> Vec<(PermitRequestId<A>, PermitReply)> {
        let mut replies = Vec::new();
        let mut index = 0;
        while index < self.queue.len() {
            match self.refusal_wait(index, &self.queue[index].1, now) {
                Some(wait) => {
                    let (id, _) = self.queue.remove(index);
                    replies.push((id, PermitReply::Refused(wait)));
                }
                None => index += 1,
            }
        }
        replies
    }

    /// Returns the target for which a request has a permit.
    fn find_permit(&self, id: &PermitRequestId<A>) -> Option<Name> {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| target.permits.contains_key(id));
        found.map(|(name, _)| name.clone())
    }

    fn add_permit(
        &mut self,
        id: PermitRequestId<A>,
        request: &PermitRequest,
        target: &Name,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            let permit = Permit {
                granted_at: now,
                expires_at: request.deadline + PERMIT_GRACE,
                is_guest: !target.is_local(request),
            };
            target.permits.insert(id, permit);
            target.take_token(now);
        }
    }

    /// Returns the time after which the caller should come back, if a request behind `ahead` others
    /// cannot be served in time.
    fn refusal_wait(
        &self,
        ahead: usize,
        request: &PermitRequest,
        now: Instant,
    ) -> Option<Duration> {
        let slots: u32 = self.targets.values().map(|it| it.info.slots).sum();
        let service_time = self.mean_service_time();
        let remaining = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        if slots == 0 {
            return (remaining < MIN_SERVICE_RATIO * service_time).then_some(MIN_RETRY_AFTER);
        }
        let permits: usize = self.targets.values().map(|it| it.permits.len()).sum();
        // On average a running request has half of its service time left.
        let queue = ahead as f64 + 0.5 * permits.min(slots as usize) as f64;
        let throughput: f64 = self
            .targets
            .values()
            .map(|it| it.throughput(service_time))
            .sum();
        let throughput = throughput.max(MIN_THROUGHPUT);
        let wait = queue / throughput;
        // The rate of limited targets does not depend on when their requests end.
        let token_waits = self.targets.values().map(|it| it.token_wait(now));
        let token_wait = token_waits.min().unwrap_or_default().as_secs_f64();
        let rate_wait = match token_wait > 0.0 {
            true => token_wait + ahead as f64 / throughput,
            false => 0.0,
        };
        let retry_after = rate_wait.max(wait * RETRY_AFTER_RATIO);
        (wait.max(rate_wait) + MIN_SERVICE_RATIO * service_time > remaining)
            .then(|| MIN_RETRY_AFTER.max(Duration::from_secs_f64(retry_after)))
    }

    /// Returns the mean of the targets' service times in seconds.
    fn mean_service_time(&self) -> f64 {
        let times: Vec<f64> = self
            .targets
            .values()
            .filter_map(|it| it.service_time.seconds())
            .collect();
        match times.len() {
            0 => service_time::DEFAULT_SERVICE_TIME_S,
            count => times.iter().sum::<f64>() / count as f64,
        }
    }
}
