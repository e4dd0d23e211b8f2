//! Attempts to send a request to targets until it is answered, refused or has failed.

use {
    crate::{
        context::Context,
        events,
        serve::{
            attempt,
            caller_response::{Refusal, RequestOutcome, STOPPING_WAIT},
            crashing_requests,
            exchange::ExchangeOutcome,
            late_requests,
            permits::{self, Permit, PermitResult},
            request::CallerRequest,
            request_events,
            target_connections::{ConnectError, ConnectionUsage, TargetConnections},
            target_selection::{self, Selection, select_target},
        },
    },
    cowslip_decide::{
        attempts::{AttemptHistory, AttemptOutcome, FinalError, NextAction, RetryPolicy},
        names::Name,
        verdict::Reason,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// Time after which a refused caller should retry if no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// What to do after a target was selected or an attempt ended.
enum Step {
    /// End the request.
    Finish(RequestOutcome),
    /// Select a target again after this time.
    SelectAfter(Duration),
    /// Select a target again when the routing data change, or after this time.
    SelectOnChange(Duration),
}

/// Sends a request to targets until one answers, it is refused, or no attempt may follow.
pub async fn forward_request(context: Rc<Context>, request: Rc<CallerRequest>) -> RequestOutcome {
    context.count_request(&request.service);
    let mut history = AttemptHistory::default();
    loop {
        if Instant::now() >= request.deadline {
            return error_outcome(history.final_error(Reason::Deadline));
        }
        if let Some((reason, wait)) = find_obstacle(&context, &request) {
            return unsendable_outcome(&history, reason, wait);
        }
        let step = match select_target(&context, &request) {
            Selection::Refuse(wait) => return overload_outcome(&history, wait),
            Selection::Wait(poll_interval) => Step::SelectOnChange(poll_interval),
            Selection::Owner(connections, target) => {
                history.clear_owner_wait();
                forward_to_owner(&context, &request, &mut history, connections, &target).await
            }
            Selection::AnyTarget => forward_to_any(&context, &request, &mut history).await,
        };
        match step {
            Step::Finish(outcome) => return outcome,
            Step::SelectAfter(Duration::ZERO) => {}
            Step::SelectAfter(delay) => sleep(delay).await,
            Step::SelectOnChange(poll_interval) => {
                if let Some(outcome) =
                    wait_for_change(&context, &request, &mut history, poll_interval).await
                {
                    return outcome;
                }
            }
        }
    }
}

/// Sends a request to the owner of its key, without a permit if no coordinator answers.
async fn forward_to_owner(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    history: &mut AttemptHistory,
    connections: Rc<TargetConnections>,
    target: &Name,
) -> Step {
    let permit = match permits::request_permit(context, request, Some(target), &[]).await {
        PermitResult::Acquired(permit, _) => Some(permit),
        PermitResult::Denied(wait) => return Step::Finish(overload_outcome(history, wait)),
        PermitResult::RoutingChanged => return Step::SelectAfter(Duration::ZERO),
        PermitResult::Unanswered => None,
    };
    let is_still_owner =
        |selection| matches!(selection, Selection::Owner(_, owner) if owner == *target);
    // The key may have got another owner while the request waited for the permit.
    if permit.is_some() && !is_still_owner(select_target(context, request)) {
        return Step::SelectAfter(Duration::ZERO);
    }
    // With a permit, the coordinator limits the rate of the target.
    if permit.is_none()
        && let Err(wait) = target_selection::admit_without_permit(context, target)
    {
        return Step::Finish(overload_outcome(history, wait));
    }
    send_if_allowed(context, request, history, (connections, target), permit).await
}

/// Sends a request to a target of an unsharded service, without a permit if no coordinator answers.
async fn forward_to_any(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    history: &mut AttemptHistory,
) -> Step {
    let excluded = match target_selection::excluded_targets(context, request, &history.excluded) {
        Ok(excluded) => excluded,
        Err(wait) => return Step::Finish(overload_outcome(history, wait)),
    };
    let (connections, target, permit) =
        match permits::request_permit(context, request, None, &excluded).await {
            PermitResult::Acquired(permit, target) => {
                match target_selection::connections_if_available(context, request, &target) {
                    Some(connections) => (connections, target, Some(permit)),
                    None => {
                        history.exclude_target(target);
                        return Step::SelectAfter(Duration::ZERO);
                    }
                }
            }
            PermitResult::Denied(wait) => return Step::Finish(overload_outcome(history, wait)),
            PermitResult::RoutingChanged => return Step::SelectAfter(Duration::ZERO),
            PermitResult::Unanswered => {
                match target_selection::select_without_permit(context, request, &excluded) {
                    Ok((connections, target)) => (connections, target, None),
                    Err(wait) => return Step::Finish(overload_outcome(history, wait)),
                }
            }
        };
    send_if_allowed(context, request, history, (connections, &target), permit).await
}

/// Returns why a request must not be sent any more, and the time after which its caller should come back.
fn find_obstacle(context: &Context, request: &CallerRequest) -> Option<(Reason, Duration)> {
    if let Some(wait) = crashing_requests::remaining_block(context, request) {
        return Some((Reason::CrashesTargets, wait));
    }
    let is_too_late = Instant::now() >= late_requests::send_until(context, request);
    is_too_late.then_some((Reason::Stopping, STOPPING_WAIT))
}

/// Sends a request to a target, unless it must not be sent any more since it has waited for the permit.
async fn send_if_allowed(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    history: &mut AttemptHistory,
    (connections, target): (Rc<TargetConnections>, &Name),
    permit: Option<Permit>,
) -> Step {
    if find_obstacle(context, request).is_some() {
        return Step::SelectAfter(Duration::ZERO);
    }
    let outcome = attempt::run_attempt(context, request, connections, target, permit).await;
    finish_attempt(context, request, history, target, outcome)
}

/// Waits until the routing data change, at most `poll_interval`; returns the outcome if the request
/// may not wait any longer.
async fn wait_for_change(
    context: &Context,
    request: &CallerRequest,
    history: &mut AttemptHistory,
    poll_interval: Duration,
) -> Option<RequestOutcome> {
    let now = Instant::now();
    let Some(wait_until) = history.poll_owner_wait(request.deadline, now) else {
        return Some(error_outcome(history.final_error(Reason::NoOwner)));
    };
    let changed = context.routing_changed.notified();
    // After a timeout a target is selected again as after a change.
    let _ = timeout_at(wait_until.min(now + poll_interval), changed).await;
    None
}

/// Records how an attempt ended and returns what to do next.
fn finish_attempt(
    context: &Context,
    request: &CallerRequest,
    history: &mut AttemptHistory,
    target: &Name,
    outcome: ExchangeOutcome,
) -> Step {
    context.metrics.count_attempt(&request.service, &outcome);
    let attempt = attempt_outcome(request, &outcome);
    match attempt {
        AttemptOutcome::Answered | AttemptOutcome::ServerError => unblock_keys(context, request),
        AttemptOutcome::NotOwner => block_keys(context, request),
        _ => {}
    }
    record_attempt_event(context, request, target, &outcome, attempt);
    let policy = RetryPolicy {
        idempotent: request.route.idempotent,
        sharded: request.key.is_some(),
        max_attempts: request.route.max_attempts,
    };
    let next = history.record_attempt(policy, target, attempt, || {
        context.reserve_retry(&request.service)
    });
    match (next, outcome) {
        (NextAction::ReturnResponse, ExchangeOutcome::Completed(response)) => {
            Step::Finish(RequestOutcome::Completed(response))
        }
        // Only complete responses are passed on.
        (NextAction::ReturnResponse, _) => Step::Finish(RequestOutcome::Failed(Reason::Broken)),
        (NextAction::ReturnError(error), _) => Step::Finish(error_outcome(error)),
        (NextAction::RetryOnChange(poll_interval), _) => Step::SelectOnChange(poll_interval),
        (NextAction::RetryAfter(delay), _) => {
            if matches!(
                attempt,
                AttemptOutcome::ServerError | AttemptOutcome::Broken
            ) {
                request_events::record(context, events::RETRY, request, target, "idempotent");
            }
            Step::SelectAfter(delay)
        }
    }
}

/// Returns the outcome of an exchange as input to the decision about the next attempt.
fn attempt_outcome(request: &CallerRequest, outcome: &ExchangeOutcome) -> AttemptOutcome {
    match outcome {
        ExchangeOutcome::Completed(response) if response.status.is_server_error() => {
            AttemptOutcome::ServerError
        }
        ExchangeOutcome::Completed(_) => AttemptOutcome::Answered,
        ExchangeOutcome::NotExecuted(refusal)
            if refusal.metadata.misdirected && request.key.is_some() =>
        {
            AttemptOutcome::NotOwner
        }
        ExchangeOutcome::NotExecuted(..) => AttemptOutcome::Refused,
        ExchangeOutcome::Unsent(_) | ExchangeOutcome::NotRelayed(_) => AttemptOutcome::Unsent,
        ExchangeOutcome::Broken(_) => AttemptOutcome::Broken,
        ExchangeOutcome::TimedOut => AttemptOutcome::DeadlinePassed,
    }
}

fn record_attempt_event(
    context: &Context,
    request: &CallerRequest,
    target: &Name,
    outcome: &ExchangeOutcome,
    attempt: AttemptOutcome,
) {
    let (code, cause) = match (attempt, outcome) {
        (AttemptOutcome::NotOwner, _) => (events::WRONG_OWNER, "owner moved"),
        (AttemptOutcome::Refused, ExchangeOutcome::NotExecuted(refusal)) => {
            let ConnectionUsage {
                connection,
                requests,
            } = refusal.usage;
            let cause = format!("refused on connection {connection}, its request {requests}");
            return request_events::record(context, events::TARGET_SHED, request, target, &cause);
        }
        (_, ExchangeOutcome::Unsent(cause)) => (events::NO_CONNECTION, cause.message()),
        (_, ExchangeOutcome::Broken(cause)) => (events::MAY_HAVE_RUN, *cause),
        (AttemptOutcome::DeadlinePassed, _) => (events::MAY_HAVE_RUN, "deadline passed"),
        _ => return,
    };
    request_events::record(context, code, request, target, cause);
}

/// Blocks the assignment of the request's key: its owner refused the request.
fn block_keys(context: &Context, request: &CallerRequest) {
    let all_recorded = context.recorded_assignments.borrow();
    if let (Some(recorded), Some(key)) = (all_recorded.get(&request.service), request.key) {
        let mut blocked = context.blocked_keys.borrow_mut();
        blocked.record_refusal(
            &request.service,
            recorded.table.assignment(key),
            Instant::now(),
        );
    }
}

/// Unblocks the assignment of the request's key: its owner answered the request.
fn unblock_keys(context: &Context, request: &CallerRequest) {
    let all_recorded = context.recorded_assignments.borrow();
    if let (Some(recorded), Some(key)) = (all_recorded.get(&request.service), request.key) {
        let mut blocked = context.blocked_keys.borrow_mut();
        blocked.unblock(&request.service, recorded.table.assignment(key));
    }
}

/// Returns the outcome of a request that no target can serve in time.
fn overload_outcome(history: &AttemptHistory, wait: Duration) -> RequestOutcome {
    match history.final_error(Reason::Overload) {
        FinalError::Refused(reason) => RequestOutcome::Refused(Refusal { reason, wait }),
        other => error_outcome(other),
    }
}

/// Returns the outcome of a request that must not be sent any more.
fn unsendable_outcome(history: &AttemptHistory, reason: Reason, wait: Duration) -> RequestOutcome {
    match history.unsendable_error(reason) {
        FinalError::Refused(reason) => RequestOutcome::Refused(Refusal { reason, wait }),
        other => error_outcome(other),
    }
}

/// Converts the error of a request that got no response of a target.
fn error_outcome(error: FinalError) -> RequestOutcome {
    match error {
        FinalError::Refused(reason) => RequestOutcome::Refused(Refusal {
            reason,
            wait: DEFAULT_RETRY_AFTER,
        }),
        FinalError::Failed(reason) => RequestOutcome::Failed(reason),
        FinalError::TimedOut => RequestOutcome::TimedOut,
    }
}

impl ConnectError {
    /// Returns the cause for the log.
    fn message(self) -> &'static str {
        match self {
            Self::LimitReached => "connection limit reached",
            Self::Reset => "connection reset at once",
            Self::Closed => "nothing listens",
            Self::Failed => "could not connect",
        }
    }
}
