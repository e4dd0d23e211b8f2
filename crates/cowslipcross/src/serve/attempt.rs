//! One attempt to send a request to a target, and what its end tells of the target.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        serve::{
            crashing_requests,
            exchange::ExchangeOutcome,
            permits::Permit,
            request::CallerRequest,
            request_events,
            target_connections::{ConnectError, LimitStatement, TargetConnections},
            target_path::{self, TargetLife},
            target_selection,
        },
        views::target_notices::{self, NoticeSource, TargetNotice},
    },
    cowslip_decide::{names::Name, owners::TargetIncarnation, permits::PermitOutcome},
    std::{rc::Rc, time::Duration},
    tokio::{
        task::{JoinHandle, spawn_local},
        time::Instant,
    },
};

/// What the coordinator of the pool is told of a target after an attempt.
struct TargetFeedback {
    /// What was found of a target that closed the connection without a response.
    life: Option<TargetLife>,
    /// Finds out whether other instances reach a target that this one could not connect to.
    search: Option<JoinHandle<bool>>,
    /// Time for which the target wants no requests from this instance.
    quiet_time: Option<Duration>,
    /// What the target has said of itself in its response.
    notice: Option<TargetNotice>,
}

/// Sends a request to a target once and reports the outcome with the permit.
///
/// A request that is not idempotent is continued in a task of its own if its caller disconnects.
pub async fn run_attempt(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    connections: Rc<TargetConnections>,
    target: &Name,
    permit: Option<Permit>,
) -> ExchangeOutcome {
    let max_connections = connection_limit(context, &request.service);
    let (context, target) = (context.clone(), target.clone());
    let request = request.clone();
    let is_idempotent = request.route.idempotent;
    let incarnation = TargetIncarnation {
        id: target.clone(),
        incarnation: connections.incarnation,
    };
    if target_selection::is_limited(&context, &incarnation) {
        context.metrics.count_limited_send(permit.is_some());
    }
    let attempt = async move {
        let exchange_outcome = target_path::send(
            &context,
            &connections,
            &incarnation,
            request.for_target(),
            max_connections,
        )
        .await;
        let feedback = apply_end(
            &context,
            &request,
            (&connections, &incarnation),
            &exchange_outcome,
        )
        .await;
        if let Some(permit) = permit {
            let is_path_lost = context.reach.borrow().is_lost();
            permit.outcome.set(permit_outcome(
                &exchange_outcome,
                feedback.life,
                is_path_lost,
            ));
            permit.slowdown.set(connections.slowdown());
            permit.quiet_time.set(feedback.quiet_time);
            permit.notice.replace(feedback.notice);
            if let Some(search) = feedback.search {
                let is_refused = exchange_outcome.is_refused();
                spawn_local(return_permit(permit, search, is_refused));
            }
        }
        exchange_outcome
    };
    if is_idempotent {
        return attempt.await;
    }
    let joined = spawn_local(attempt).await;
    joined.unwrap_or(ExchangeOutcome::Broken("task of the attempt failed"))
}

/// Returns a permit for a target that could not be connected to once it is known whether others can.
async fn return_permit(permit: Permit, search: JoinHandle<bool>, is_refused: bool) {
    match search.await {
        Ok(true) => permit.outcome.set(PermitOutcome::Unused),
        Ok(false) if is_refused => permit.outcome.set(PermitOutcome::ConnectionRefused),
        _ => {}
    }
}

/// Applies what the end of an attempt tells of the target and of the request.
async fn apply_end(
    context: &Rc<Context>,
    request: &CallerRequest,
    (connections, target): (&Rc<TargetConnections>, &TargetIncarnation),
    outcome: &ExchangeOutcome,
) -> TargetFeedback {
    let life = match outcome.is_closed() {
        true => Some(target_path::check_life(context, connections, target).await),
        false => None,
    };
    if let Some(TargetLife::Ended(confirmed)) = life {
        record_target_end(context, request, target, confirmed);
        let mut restarts = context.restarts.borrow_mut();
        restarts.record_doubt(target, Instant::now());
    }
    if matches!(outcome, ExchangeOutcome::Completed(_)) {
        crashing_requests::record_served(context, request);
    }
    let search = match outcome.is_unreachable() {
        true => target_path::look_for_others(context, connections, target),
        false => None,
    };
    let (quiet_time, notice) = apply_notices(context, &request.service, connections, target);
    TargetFeedback {
        search,
        life,
        quiet_time,
        notice,
    }
}

/// Applies what a target has said of itself in its responses; returns the rest of the time for which it
/// wants no requests from this instance, and what all instances have to know.
pub fn apply_notices(
    context: &Context,
    service: &Name,
    connections: &TargetConnections,
    target: &TargetIncarnation,
) -> (Option<Duration>, Option<TargetNotice>) {
    let notice = read_notice(context, connections, target);
    if let Some(notice) = &notice {
        target_notices::record(context, notice.clone(), NoticeSource::OwnRequest);
    }
    let quiet_time = apply_quiet_period(context, service, connections, target);
    (quiet_time, notice)
}

/// Records that a target has ended while it ran a request, which `confirmed` other instances confirm.
fn record_target_end(
    context: &Context,
    request: &CallerRequest,
    target: &TargetIncarnation,
    confirmed: u32,
) {
    context.metrics.count_target_end(&request.service);
    let cause = format!("crashed or killed, confirmed by {confirmed} instances");
    request_events::record(context, events::TARGET_ENDED, request, &target.id, &cause);
    crashing_requests::record_crash(context, request, target.clone());
}

/// Returns what a target has said of itself in its responses; `None` if nothing is to be told of it.
fn read_notice(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
) -> Option<TargetNotice> {
    let leaving = connections.is_leaving.get();
    let known_limit = context.target_notices.borrow().rate_limit(target);
    let (rate_limit, is_news) = match connections.limit_statement.take() {
        Some(LimitStatement::Limited(limit)) => (Some(limit), true),
        Some(LimitStatement::Unlimited) => (None, known_limit.is_some()),
        None => (known_limit, false),
    };
    (leaving || is_news).then(|| TargetNotice {
        target: target.clone(),
        leaving,
        rate_limit,
        observed_at: context.events.next_timestamp(),
    })
}

/// Applies the quiet period that a target has asked for; returns the rest of the time for which it
/// wants no requests from this instance.
fn apply_quiet_period(
    context: &Context,
    service: &Name,
    connections: &TargetConnections,
    target: &TargetIncarnation,
) -> Option<Duration> {
    let now = Instant::now();
    let end = connections.quiet_until.get().filter(|end| *end > now)?;
    let mut quiet_targets = context.quiet_targets.borrow_mut();
    if quiet_targets.record(service, target, end, now) {
        drop(quiet_targets);
        record_quiet_period(context, target, end - now);
        // Requests that wait for a permit for this target are refused.
        context.routing_changed.notify_waiters();
    }
    Some(end - now)
}

fn record_quiet_period(context: &Context, target: &TargetIncarnation, period: Duration) {
    let fields = EventFields {
        target: Some(target.id.clone()),
        detail: Some(format!("for {} ms", period.as_millis())),
        ..EventFields::default()
    };
    context.events.record(events::TARGET_QUIET, fields);
}

/// Returns the outcome to report to the coordinator of the pool. What this instance sees on a path that is
/// lost says nothing about the target.
fn permit_outcome(
    outcome: &ExchangeOutcome,
    life: Option<TargetLife>,
    is_path_lost: bool,
) -> PermitOutcome {
    match outcome {
        ExchangeOutcome::Completed(response) if response.status.is_server_error() => {
            PermitOutcome::ServerError
        }
        ExchangeOutcome::Completed(_) => PermitOutcome::Served,
        ExchangeOutcome::NotExecuted(refusal) if refusal.metadata.misdirected => {
            PermitOutcome::Unused
        }
        ExchangeOutcome::NotExecuted(..) => PermitOutcome::Shed,
        ExchangeOutcome::Unsent(ConnectError::LimitReached) | ExchangeOutcome::NotRelayed(_) => {
            PermitOutcome::Unused
        }
        _ if is_path_lost || life == Some(TargetLife::ReachedByOthers) => PermitOutcome::Unused,
        ExchangeOutcome::Unsent(ConnectError::Reset) => PermitOutcome::ConnectionClosed,
        ExchangeOutcome::Unsent(_) => PermitOutcome::NotConnected,
        _ if life.is_some_and(TargetLife::is_target_fault) => PermitOutcome::ConnectionClosed,
        ExchangeOutcome::Broken(_) | ExchangeOutcome::TimedOut => PermitOutcome::Broken,
    }
}

/// Returns this instance's share of the service's connection limit per target, at least 2.
pub fn connection_limit(context: &Context, service: &Name) -> u32 {
    let config = context.config.borrow();
    let service = config.as_ref().and_then(|it| it.services.get(service));
    let limit = service.map_or(1, |it| it.max_connections.min(10_000) as u32);
    (limit / context.instance_count.get().max(1)).max(2)
}
