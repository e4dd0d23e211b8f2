//! Selection of the target for the next attempt of a request.

use {
    crate::{
        context::Context,
        serve::{
            caller_response::RETRY_AFTER_JITTER, request::CallerRequest,
            target_connections::TargetConnections,
        },
        views::target_snapshot::{TargetSnapshot, TargetView},
    },
    cowslip_decide::{
        names::Name,
        owners::TargetIncarnation,
        service_time::{self, TargetEstimate},
    },
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time for which a draining owner still gets requests for its keys; after it, requests wait for
/// the next owner.
const OWNER_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Part of the setting `bounds.withdrawal` for which owners in a withdrawn data centre still get
/// requests.
const OWNER_WITHDRAWAL_FACTOR: f64 = 0.4;
/// Time constant with which the number of requests in a load report decays.
const LOAD_DECAY_TIME: Duration = Duration::from_millis(400);
/// Slots assumed of a target that has not reported its load.
const ASSUMED_SLOTS: u32 = 2;
/// Random factor on expected response times, so that equal targets get equal parts.
const COST_JITTER: RangeInclusive<f64> = 0.9..=1.1;
/// Time after which a target is selected again if the routing data have not changed.
const RESELECT_INTERVAL: Duration = Duration::from_millis(150);

/// What to do with a request next.
pub enum Selection {
    /// Send the request to the owner of its key.
    Owner(Rc<TargetConnections>, Name),
    /// Send the request to any target of its service.
    AnyTarget,
    /// Wait until the routing data change, at most for this time.
    Wait(Duration),
    /// Refuse the request; a retry may succeed after this time.
    Refuse(Duration),
}

/// Selects the target of the next attempt by the current configuration, owners and targets.
pub fn select_target(context: &Context, request: &CallerRequest) -> Selection {
    let now = Instant::now();
    let config = context.config.borrow().clone();
    let service = config
        .as_ref()
        .and_then(|it| it.services.get(&request.service));
    let Some(service) = service else {
        return Selection::Refuse(RESELECT_INTERVAL);
    };
    let targets = context.targets.borrow().clone();
    match request.key {
        Some(key) => select_owner(context, request, (&targets, key), now),
        None if service.sharded => Selection::Refuse(RESELECT_INTERVAL),
        None => Selection::AnyTarget,
    }
}

/// Selects the owner of a key, or a wait while the key has no owner that takes requests.
fn select_owner(
    context: &Context,
    request: &CallerRequest,
    (targets, key): (&TargetSnapshot, u16),
    now: Instant,
) -> Selection {
    let all_recorded = context.recorded_assignments.borrow();
    let Some(recorded) = all_recorded.get(&request.service) else {
        return Selection::Wait(RESELECT_INTERVAL);
    };
    let assigned = recorded.table.assignment(key);
    if let Some(wait) =
        context
            .blocked_keys
            .borrow()
            .remaining_wait(&request.service, assigned, now)
    {
        return Selection::Wait(wait);
    }
    let Some(owner_incarnation) = assigned.owner.as_ref() else {
        return Selection::Wait(RESELECT_INTERVAL);
    };
    let Some(view) = targets.get_incarnation(owner_incarnation) else {
        return Selection::Wait(RESELECT_INTERVAL);
    };
    let is_drain_over = |since: Instant| now - since > OWNER_DRAIN_TIME;
    if view.draining_since.is_some_and(is_drain_over)
        || is_withdrawn(context, view, now, OWNER_WITHDRAWAL_FACTOR)
    {
        return Selection::Wait(RESELECT_INTERVAL);
    }
    if let Some(wait) = quiet_time(context, view, now) {
        return Selection::Refuse(time_to_return(wait));
    }
    Selection::Owner(connections_to(context, view), view.report.id.clone())
}

/// Returns whether this instance may pass a request of another one on to an incarnation of a target.
pub fn may_relay(context: &Context, target: &TargetIncarnation) -> bool {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let Some(view) = targets.get_incarnation(target) else {
        return false;
    };
    let is_drain_over = |since: Instant| now - since > OWNER_DRAIN_TIME;
    // The instance that asks has checked what is specific to its service.
    !view.draining_since.is_some_and(is_drain_over)
        && !is_withdrawn(context, view, now, OWNER_WITHDRAWAL_FACTOR)
        && quiet_time(context, view, now).is_none()
}

/// Returns the connections to an incarnation of a target; `None` if it does not report itself.
pub fn connections_to_target(
    context: &Context,
    target: &TargetIncarnation,
) -> Option<Rc<TargetConnections>> {
    let targets = context.targets.borrow();
    let view = targets.get_incarnation(target)?;
    Some(connections_to(context, view))
}

/// Returns whether an incarnation of a target takes only so many requests a second.
pub fn is_limited(context: &Context, target: &TargetIncarnation) -> bool {
    let targets = context.targets.borrow();
    let view = targets.get_incarnation(target);
    view.is_some_and(|view| has_limited_rate(context, view, Instant::now()))
}

/// Returns whether a target is cold, may have restarted cold, or has named a limit.
fn has_limited_rate(context: &Context, view: &TargetView, now: Instant) -> bool {
    let notices = context.target_notices.borrow();
    let target = view.target_incarnation();
    view.is_cold(now)
        || notices.rate_limit(&target).is_some()
        || context.restarts.borrow().may_be_cold(&target)
}

/// Returns the rest of the time for which a target wants no requests from this instance.
fn quiet_time(context: &Context, view: &TargetView, now: Instant) -> Option<Duration> {
    let quiet_targets = context.quiet_targets.borrow();
    quiet_targets.remaining(&view.report.service, &view.target_incarnation(), now)
}

/// Returns the time after which a caller should come back, so that none does before the end of a quiet
/// period.
fn time_to_return(quiet_time: Duration) -> Duration {
    quiet_time.div_f64(*RETRY_AFTER_JITTER.start())
}

/// Returns the targets of an unsharded service that must not get a request: those in `excluded` and
/// those that want no requests from this instance.
///
/// # Errors
/// Returns the time after which a retry may succeed if the only targets left want no requests now.
pub fn excluded_targets(
    context: &Context,
    request: &CallerRequest,
    excluded: &[Name],
) -> Result<Vec<Name>, Duration> {
    let now = Instant::now();
    let quiet = context
        .quiet_targets
        .borrow()
        .for_service(&request.service, now);
    if quiet.is_empty() {
        return Ok(excluded.to_vec());
    }
    let targets = context.targets.borrow();
    let others = targets
        .for_service(&request.service)
        .filter(|view| !excluded.contains(&view.report.id) && is_available(context, view, now));
    let waits: Option<Vec<Duration>> = others.map(|view| quiet_time(context, view, now)).collect();
    match waits.and_then(|waits| waits.into_iter().min()) {
        Some(wait) => Err(time_to_return(wait)),
        None => Ok([excluded, &quiet].concat()),
    }
}

/// Returns the connections to a target of an unsharded service; `None` if it may get no new work.
///
/// The coordinator that chose the target may not know yet that it is draining or withdrawn, or wants
/// no requests from this instance.
pub fn connections_if_available(
    context: &Context,
    request: &CallerRequest,
    target: &Name,
) -> Option<Rc<TargetConnections>> {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let view = targets
        .get(target)
        .filter(|view| view.report.service == request.service)
        .filter(|view| {
            is_available(context, view, now) && quiet_time(context, view, now).is_none()
        })?;
    Some(connections_to(context, view))
}

/// Returns whether a target of an unsharded service may get new work.
fn is_available(context: &Context, view: &TargetView, now: Instant) -> bool {
    view.draining_since.is_none() && !is_withdrawn(context, view, now, 0.0)
}

/// Checks whether a target may get a request without a permit. One that takes only so many requests a
/// second may not: only its coordinator counts what all instances send.
///
/// # Errors
/// Returns the time after which a retry may succeed if the target may not get the request now.
pub fn admit_without_permit(context: &Context, target: &Name) -> Result<(), Duration> {
    let targets = context.targets.borrow();
    let view = targets.get(target);
    match view.is_some_and(|view| has_limited_rate(context, view, Instant::now())) {
        true => Err(RESELECT_INTERVAL),
        false => Ok(()),
    }
}

/// Selects a target of an unsharded service without a permit, except those in `excluded`.
///
/// The one with the least expected response time is chosen, among those that need no permit.
///
/// # Errors
/// Returns the time after which a retry may succeed if no target may get the request now.
pub fn select_without_permit(
    context: &Context,
    request: &CallerRequest,
    excluded: &[Name],
) -> Result<(Rc<TargetConnections>, Name), Duration> {
    let now = Instant::now();
    let targets = context.targets.borrow().clone();
    let available = targets
        .for_service(&request.service)
        .filter(|view| is_available(context, view, now))
        .filter(|view| !excluded.contains(&view.report.id))
        .filter(|view| !has_limited_rate(context, view, now));
    let best = available
        .map(|view| {
            let connections = connections_to(context, view);
            let is_local = view.report.data_centre == context.settings.data_centre;
            let cost = (
                connections.is_avoided(now),
                expected_seconds(&connections, is_local, now),
            );
            (connections, view, cost)
        })
        .min_by(|(_, _, a), (_, _, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(connections, view, _)| (connections, view.report.id.clone()))
        .ok_or(RESELECT_INTERVAL)
}

/// Estimates a target's response time to another request, in seconds.
fn expected_seconds(connections: &TargetConnections, is_local: bool, now: Instant) -> f64 {
    let reported = connections.load.get().map(|(load, reported_at)| {
        let age = (now - reported_at).as_secs_f64() / LOAD_DECAY_TIME.as_secs_f64();
        let requests = f64::from(load.running.saturating_add(load.waiting)) * (-age).exp();
        (requests, load.slots)
    });
    let (requests, slots) = reported.unwrap_or((0.0, ASSUMED_SLOTS));
    let estimate = TargetEstimate {
        service_time: connections
            .service_time
            .get()
            .seconds()
            .unwrap_or(service_time::DEFAULT_SERVICE_TIME_S),
        in_flight: requests.max(f64::from(connections.active_requests.get())),
        slots,
        slowdown: 1.0,
        is_local,
    };
    estimate.response_time() * rand::random_range(COST_JITTER)
}

/// Returns whether a target's data centre has been withdrawn for `factor` times the setting
/// `bounds.withdrawal`.
fn is_withdrawn(context: &Context, view: &TargetView, now: Instant, factor: f64) -> bool {
    let withdrawn = context.withdrawn.borrow();
    let limit = context.bounds.borrow().withdrawal.mul_f64(factor);
    let since = withdrawn.get(&view.report.data_centre);
    since.is_some_and(|since| now - *since >= limit)
}

/// Returns the connections to the current incarnation of a target.
fn connections_to(context: &Context, view: &TargetView) -> Rc<TargetConnections> {
    let mut all = context.connections.borrow_mut();
    let id = &view.report.id;
    if let Some(known) = all.get(id).filter(|it| it.matches_target(&view.report)) {
        return known.clone();
    }
    let budget = context.memory_budget.clone();
    let created = Rc::new(TargetConnections::new(&view.report, budget));
    all.insert(id.clone(), created.clone());
    created
}
