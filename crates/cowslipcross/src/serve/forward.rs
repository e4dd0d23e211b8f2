//! The attempts of a request, up to the answer for its caller.

use {
    crate::{
        context::Context,
        events::{self, EventCode, EventFields},
        serve::{
            exchange::{self, ExchangeOutcome},
            permits::{self, Permit, PermitResult},
            request::CallerRequest,
            response::{Refusal, RequestOutcome},
            target_connections::{ConnectError, TargetConnections},
            target_selection::{self, Selection, select_target},
        },
    },
    cowslip_decide::{
        attempts::{AttemptHistory, AttemptOutcome, FinalError, NextAction, RetryPolicy},
        names::Name,
        permits::PermitOutcome,
        verdict::Reason,
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, timeout_at},
    },
};

/// Time after which callers come back where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// What follows a choice of a target.
enum Step {
    /// The caller gets this.
    Finish(RequestOutcome),
    /// Choose again after this time.
    Again(Duration),
    /// Choose again when something has changed, or after this time.
    Change(Duration),
}

/// Sends a request until it is answered or given up.
pub async fn forward_request(context: Rc<Context>, request: Rc<CallerRequest>) -> RequestOutcome {
    context.count_request(&request.service);
    let mut course = AttemptHistory::default();
    loop {
        if Instant::now() >= request.deadline {
            return ended(course.final_error(Reason::Deadline));
        }
        let step = match select_target(&context, &request) {
            Selection::Refuse(wait) => return given_back(&course, wait),
            Selection::Wait(look) => Step::Change(look),
            Selection::Owner(line, target) => {
                course.clear_owner_wait();
                to_owner(&context, &request, &mut course, line, &target).await
            }
            Selection::AnyTarget => to_any(&context, &request, &mut course).await,
        };
        match step {
            Step::Finish(answer) => return answer,
            Step::Again(Duration::ZERO) => {}
            Step::Again(pause) => sleep(pause).await,
            Step::Change(look) => {
                if let Some(answer) = wait(&context, &request, &mut course, look).await {
                    return answer;
                }
            }
        }
    }
}

/// Sends a request to the owner of its key, with a permit if there is who gives one.
async fn to_owner(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    course: &mut AttemptHistory,
    line: Rc<TargetConnections>,
    target: &Name,
) -> Step {
    let permit = match permits::request_permit(context, request, Some(target), &[]).await {
        PermitResult::Granted(permit, _) => Some(permit),
        PermitResult::Refused(wait) => return Step::Finish(given_back(course, wait)),
        PermitResult::RoutingChanged => return Step::Again(Duration::ZERO),
        PermitResult::Unanswered => None,
    };
    let same = |choice| matches!(choice, Selection::Owner(_, owner) if owner == *target);
    if permit.is_some() && !same(select_target(context, request)) {
        return Step::Again(Duration::ZERO);
    }
    if permit.is_none()
        && let Err(wait) = target_selection::take_cold_token(context, request, target)
    {
        return Step::Finish(given_back(course, wait));
    }
    let end = attempt(context, request, line, target, permit).await;
    after(context, request, course, target, end)
}

/// Sends a request to a target of an undivided service.
async fn to_any(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    course: &mut AttemptHistory,
) -> Step {
    let (line, target, permit) =
        match permits::request_permit(context, request, None, &course.excluded).await {
            PermitResult::Granted(permit, target) => {
                match target_selection::open_connections(context, &target) {
                    Some(line) => (line, target, Some(permit)),
                    None => {
                        course.exclude_target(target);
                        return Step::Again(Duration::ZERO);
                    }
                }
            }
            PermitResult::Refused(wait) => return Step::Finish(given_back(course, wait)),
            PermitResult::RoutingChanged => return Step::Again(Duration::ZERO),
            PermitResult::Unanswered => {
                match target_selection::select_without_permit(context, request, &course.excluded) {
                    Ok((line, target)) => (line, target, None),
                    Err(wait) => return Step::Finish(given_back(course, wait)),
                }
            }
        };
    let end = attempt(context, request, line, &target, permit).await;
    after(context, request, course, &target, end)
}

/// Waits for a change; returns the refusal of a request that has waited long enough.
async fn wait(
    context: &Context,
    request: &CallerRequest,
    course: &mut AttemptHistory,
    look: Duration,
) -> Option<RequestOutcome> {
    let now = Instant::now();
    let Some(end) = course.poll_owner_wait(request.deadline, now) else {
        return Some(ended(course.final_error(Reason::NoOwner)));
    };
    let changed = context.routing_changed.notified();
    // A timeout only means that it is time to look again.
    let _ = timeout_at(end.min(now + look), changed).await;
    None
}

/// Sends a request once.
///
/// One that may not be repeated goes on at its target when its caller leaves.
async fn attempt(
    context: &Rc<Context>,
    request: &Rc<CallerRequest>,
    line: Rc<TargetConnections>,
    target: &Name,
    permit: Option<Permit>,
) -> ExchangeOutcome {
    let most = connections(context, request);
    let exchange = exchange::send_request(line.clone(), target.clone(), request.clone(), most);
    let run = async move {
        let end = exchange.await;
        if let Some(permit) = permit {
            permit.outcome.set(outcome(&end));
            permit.slowdown.set(line.slowdown());
        }
        end
    };
    if request.route.idempotent {
        return run.await;
    }
    let ended = spawn_local(run).await;
    ended.unwrap_or(ExchangeOutcome::Broken("attempt ended"))
}

/// Returns what the holder of the pool has to know of an end.
fn outcome(end: &ExchangeOutcome) -> PermitOutcome {
    match end {
        ExchangeOutcome::Completed(_) => PermitOutcome::Served,
        ExchangeOutcome::NotExecuted(signs) if signs.misdirected => PermitOutcome::Unused,
        ExchangeOutcome::NotExecuted(_) => PermitOutcome::Shed,
        ExchangeOutcome::Unsent(ConnectError::LimitReached) => PermitOutcome::Unused,
        ExchangeOutcome::Unsent(ConnectError::Failed) => PermitOutcome::NotConnected,
        ExchangeOutcome::Broken(_) | ExchangeOutcome::DeadlinePassed => PermitOutcome::Broken,
    }
}

/// Returns how many connections this instance may have to one target of the service.
fn connections(context: &Context, request: &CallerRequest) -> u32 {
    let config = context.config.borrow();
    let service = config
        .as_ref()
        .and_then(|it| it.services.get(&request.service));
    let all = service.map_or(1, |it| it.max_connections.min(10_000) as u32);
    (all / context.instance_count.get().max(1)).max(2)
}

/// Takes the end of an attempt, and returns what follows.
fn after(
    context: &Context,
    request: &CallerRequest,
    course: &mut AttemptHistory,
    target: &Name,
    end: ExchangeOutcome,
) -> Step {
    context.metrics.count_attempt(&request.service, &end);
    let seen = seen(request, &end);
    match seen {
        AttemptOutcome::Answered | AttemptOutcome::ServerError => unblock(context, request),
        AttemptOutcome::NotOwner => block(context, request),
        _ => {}
    }
    note_end(context, request, target, &end, seen);
    let kind = RetryPolicy {
        idempotent: request.route.idempotent,
        sharded: request.key.is_some(),
        max_attempts: request.route.max_attempts,
    };
    let next = course.record_attempt(kind, target, seen, || {
        context.reserve_retry(&request.service)
    });
    match (next, end) {
        (NextAction::ReturnAnswer, ExchangeOutcome::Completed(whole)) => {
            Step::Finish(RequestOutcome::Completed(whole))
        }
        // Only whole answers are passed on.
        (NextAction::ReturnAnswer, _) => Step::Finish(RequestOutcome::Failed(Reason::Broken)),
        (NextAction::ReturnError(ending), _) => Step::Finish(ended(ending)),
        (NextAction::RetryOnChange(look), _) => Step::Change(look),
        (NextAction::RetryAfter(pause), _) => {
            if matches!(seen, AttemptOutcome::ServerError | AttemptOutcome::Broken) {
                note(context, events::RETRY, request, target, "repeatable");
            }
            Step::Again(pause)
        }
    }
}

/// Returns what an end says to the decision about the next attempt.
fn seen(request: &CallerRequest, end: &ExchangeOutcome) -> AttemptOutcome {
    match end {
        ExchangeOutcome::Completed(whole) if whole.status.is_server_error() => {
            AttemptOutcome::ServerError
        }
        ExchangeOutcome::Completed(_) => AttemptOutcome::Answered,
        ExchangeOutcome::NotExecuted(signs) if signs.misdirected && request.key.is_some() => {
            AttemptOutcome::NotOwner
        }
        ExchangeOutcome::NotExecuted(_) => AttemptOutcome::Refused,
        ExchangeOutcome::Unsent(_) => AttemptOutcome::Unsent,
        ExchangeOutcome::Broken(_) => AttemptOutcome::Broken,
        ExchangeOutcome::DeadlinePassed => AttemptOutcome::DeadlinePassed,
    }
}

fn note_end(
    context: &Context,
    request: &CallerRequest,
    target: &Name,
    end: &ExchangeOutcome,
    seen: AttemptOutcome,
) {
    let (code, cause) = match (seen, end) {
        (AttemptOutcome::NotOwner, _) => (events::WRONG_OWNER, "owner moved"),
        (AttemptOutcome::Refused, _) => (events::TARGET_SHED, "refused"),
        (_, ExchangeOutcome::Unsent(cause)) => (events::NO_CONNECTION, cause.text()),
        (_, ExchangeOutcome::Broken(cause)) => (events::MAY_HAVE_RUN, *cause),
        (AttemptOutcome::DeadlinePassed, _) => (events::MAY_HAVE_RUN, "deadline passed"),
        _ => return,
    };
    note(context, code, request, target, cause);
}

/// Lets requests for the same keys wait for another owner.
fn block(context: &Context, request: &CallerRequest) {
    let owners = context.owners.borrow();
    if let (Some(owners), Some(key)) = (owners.get(&request.service), request.key) {
        let mut blocks = context.blocked_keys.borrow_mut();
        blocks.record_refusal(
            &request.service,
            owners.table.assignment(key),
            Instant::now(),
        );
    }
}

fn unblock(context: &Context, request: &CallerRequest) {
    let owners = context.owners.borrow();
    if let (Some(owners), Some(key)) = (owners.get(&request.service), request.key) {
        let mut blocks = context.blocked_keys.borrow_mut();
        blocks.remove(&request.service, owners.table.assignment(key));
    }
}

/// Returns the answer to a request that nobody can serve in time.
fn given_back(course: &AttemptHistory, wait: Duration) -> RequestOutcome {
    match course.final_error(Reason::Overload) {
        FinalError::Refused(reason) => RequestOutcome::Refused(Refusal { reason, wait }),
        other => ended(other),
    }
}

/// Returns the answer to a request that ended without one of a target.
fn ended(ending: FinalError) -> RequestOutcome {
    match ending {
        FinalError::Refused(reason) => RequestOutcome::Refused(Refusal {
            reason,
            wait: COME_BACK,
        }),
        FinalError::Failed(reason) => RequestOutcome::Failed(reason),
        FinalError::TimedOut => RequestOutcome::TimedOut,
    }
}

fn note(context: &Context, code: EventCode, request: &CallerRequest, target: &Name, cause: &str) {
    let detail = format!(
        "{cause}, service {}, {}, {} ms left",
        request.service,
        context.describe_views(&request.service),
        request
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
    );
    let about = EventFields {
        request: request.id.to_str().ok().map(Name::from),
        key: request.key.map(|key| key.to_string().into()),
        target: Some(target.clone()),
        detail: Some(detail),
        ..EventFields::default()
    };
    context.events.record(code, about);
}

impl ConnectError {
    /// Returns the cause in words.
    fn text(self) -> &'static str {
        match self {
            Self::LimitReached => "as many connections as the target may have",
            Self::Failed => "no connection",
        }
    }
}
