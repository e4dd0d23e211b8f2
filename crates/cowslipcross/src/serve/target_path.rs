//! The way on which a request reaches a target: this instance's own path, or another instance that passes
//! it on while this one cannot connect to the target.
//!
//! Only the way differs: permits, retries, limits and deadlines are those of the instance that the caller
//! has sent the request to. An instance that passes a request on connects to the target itself, so that a
//! request is passed on once at most.

use {
    crate::{
        context::Context,
        events,
        serve::{
            exchange::{self, ExchangeOutcome, Path, TargetRequest},
            relay_headers::{RelayReply, RelayRequest, RelayTask},
            target_connections::{Bypass, ConnectError, TargetConnections},
            target_selection,
        },
    },
    bytes::Bytes,
    cowslip_decide::{names::Name, owners::TargetIncarnation, reach::ReachChange},
    http::{HeaderMap, HeaderValue, Method},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::{JoinHandle, spawn_local},
        time::Instant,
    },
};

/// Instances that are asked to pass on one request at most, and whether they reach a target.
const MAX_RELAYS: usize = 3;
/// Instances that are asked whether a target has ended. More, as several may be cut off at once.
const MAX_WITNESSES: usize = 5;
/// Connections to an instance that passes requests on.
const MAX_RELAY_CONNECTIONS: u32 = 256;
/// Time from one attempt to connect to a target on the own path to the next, while other instances pass
/// requests on.
const OWN_PATH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which no instance is asked again to reach a target that none of those asked reached.
const RELAY_PAUSE: Duration = Duration::from_millis(300);
/// [`RELAY_PAUSE`] if all found that nothing listens at the target's address.
const ENDED_PAUSE: Duration = Duration::from_secs(1);
/// Time within which an instance has to tell whether it reaches a target.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// What is found of a target that closed a connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLife {
    /// This instance has connected to it.
    Reached,
    /// Another instance has connected to it, but this one cannot.
    ReachedByOthers,
    /// Nothing listens at its address, as this number of other instances confirms.
    Ended(u32),
    /// Nobody can tell.
    Unknown,
}

impl TargetLife {
    /// Returns whether the target closed the connection itself, and not a path to it.
    pub fn is_target_fault(self) -> bool {
        matches!(self, Self::Reached | Self::Ended(_))
    }
}

/// Sends a request to a target on the own path, or through another instance.
pub async fn send(
    context: &Rc<Context>,
    connections: &Rc<TargetConnections>,
    target: &TargetIncarnation,
    request: TargetRequest<'_>,
    max_connections: u32,
) -> ExchangeOutcome {
    if uses_own_path(context, connections) {
        return send_directly(context, connections, target, request, max_connections).await;
    }
    retry_own_path(context, connections);
    match send_through_others(context, connections, target, request).await {
        Some(outcome) => outcome,
        // The own path may be whole again before it was tried, and the others gone.
        None if !context.reach.borrow().is_lost() => {
            send_directly(context, connections, target, request, max_connections).await
        }
        None => ExchangeOutcome::Unsent(ConnectError::Failed),
    }
}

/// Sends a request to a target on the own path.
pub async fn send_directly(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
    request: TargetRequest<'_>,
    max_connections: u32,
) -> ExchangeOutcome {
    let path = Path {
        pool: connections,
        target: connections,
        relay: None,
    };
    let budget = &context.memory_budget;
    let last_opened = connections.opened_at.get();
    let outcome = exchange::send_request(budget, &path, &target.id, request, max_connections).await;
    if connections.opened_at.get() != last_opened {
        record_opened(context);
    }
    if outcome.is_closed() {
        context.reach.borrow_mut().record_broken(Instant::now());
    }
    outcome
}

/// Finds out whether a target has ended that closed a connection without a response.
pub async fn check_life(
    context: &Rc<Context>,
    connections: &Rc<TargetConnections>,
    target: &TargetIncarnation,
) -> TargetLife {
    let own = connections.check().await;
    match own {
        Ok(()) => {
            record_opened(context);
            return TargetLife::Reached;
        }
        Err(ConnectError::Closed) => {}
        // A target whose process has ended refuses connections; nobody has to wait for what others find.
        Err(_) => {
            look_for_others(context, connections, target);
            return TargetLife::Unknown;
        }
    }
    let replies = ask_others(context, connections, target, MAX_WITNESSES).await;
    if replies.contains(&RelayReply::TargetReached) {
        record_bypassed(context, connections, target);
        return TargetLife::ReachedByOthers;
    }
    let confirmed = count_closed(&replies);
    let is_alone = replies.is_empty() && !context.reach.borrow().is_lost();
    match confirmed >= 1 || is_alone {
        true => TargetLife::Ended(confirmed),
        false => TargetLife::Unknown,
    }
}

/// Finds out whether only the own path to a target is at fault, unless that is known already.
pub async fn check_path(context: &Rc<Context>, target: &TargetIncarnation) {
    let Some(connections) = target_selection::connections_to_target(context, target) else {
        return;
    };
    if context.reach.borrow().is_lost() || connections.is_checked.replace(true) {
        return;
    }
    check_life(context, &connections, target).await;
    connections.is_checked.set(false);
}

/// Returns whether to send on the own path.
fn uses_own_path(context: &Context, connections: &TargetConnections) -> bool {
    let now = Instant::now();
    let reach = context.reach.borrow();
    if reach.is_lost() && connections.bypass.get().is_none() {
        let retry_at = now + OWN_PATH_INTERVAL;
        connections.bypass.set(Some(Bypass { retry_at }));
    }
    if !reach.keeps_connections(now) {
        connections.close_idle();
    }
    connections.bypass.get().is_none() || connections.has_idle()
}

/// Tries to connect to a target on the own path, in a task of its own, if that is due.
fn retry_own_path(context: &Rc<Context>, connections: &Rc<TargetConnections>) {
    let now = Instant::now();
    let is_due = |bypass: Bypass| bypass.retry_at <= now;
    if !connections.bypass.get().is_some_and(is_due) {
        return;
    }
    let retry_at = now + OWN_PATH_INTERVAL;
    connections.bypass.set(Some(Bypass { retry_at }));
    let (context, connections) = (context.clone(), connections.clone());
    spawn_local(async move {
        if let Ok(connection) = connections.open(u32::MAX).await {
            connections.return_idle(connection, None);
            connections.bypass.set(None);
            record_opened(&context);
        }
    });
}

/// Finds out, in a task of its own, whether others can connect to a target that this instance could not
/// connect to; if so, the next requests for it go through them. Returns the task, or `None` while this is
/// being found out or was a moment ago.
///
/// The request that found it does not wait: mostly the target is at fault, and another may serve it.
pub fn look_for_others(
    context: &Rc<Context>,
    connections: &Rc<TargetConnections>,
    target: &TargetIncarnation,
) -> Option<JoinHandle<bool>> {
    let now = Instant::now();
    let is_paused = |until: Instant| until > now;
    if connections.relay_pause.get().is_some_and(is_paused) {
        return None;
    }
    connections.relay_pause.set(Some(now + RELAY_PAUSE));
    let (context, connections) = (context.clone(), connections.clone());
    let target = target.clone();
    Some(spawn_local(async move {
        let replies = ask_others(&context, &connections, &target, MAX_RELAYS).await;
        let is_reached = replies.contains(&RelayReply::TargetReached);
        if is_reached {
            record_bypassed(&context, &connections, &target);
        } else if !replies.is_empty() && count_closed(&replies) as usize == replies.len() {
            let pause_end = Instant::now() + ENDED_PAUSE;
            connections.relay_pause.set(Some(pause_end));
        }
        is_reached
    }))
}

fn count_closed(replies: &[RelayReply]) -> u32 {
    let closed = replies.iter().filter(|it| **it == RelayReply::TargetClosed);
    closed.count() as u32
}

/// Asks other instances to pass a request on; returns `None` if none of them sent it.
async fn send_through_others(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
    request: TargetRequest<'_>,
) -> Option<ExchangeOutcome> {
    let task = match request.idempotent {
        true => RelayTask::SendIdempotent,
        false => RelayTask::SendOnce,
    };
    for instance in candidates(context, target).into_iter().take(MAX_RELAYS) {
        let outcome = ask(context, connections, target, instance, task, request).await;
        let is_sent = !is_not_passed_on(&outcome);
        context.metrics.count_relayed(is_sent);
        if is_sent {
            connections.avoid_until.set(None);
            return Some(outcome);
        }
        if Instant::now() >= request.deadline {
            return None;
        }
    }
    None
}

/// Asks up to `count` instances, at most [`MAX_WITNESSES`], at once whether they can connect to a target;
/// returns the replies.
async fn ask_others(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
    count: usize,
) -> Vec<RelayReply> {
    let mut instances = candidates(context, target).into_iter().take(count);
    let mut ask_next = || {
        let instance = instances.next();
        async move { ask_for_check(context, connections, target, instance?).await }
    };
    let (a, b, c, d, e) = tokio::join!(ask_next(), ask_next(), ask_next(), ask_next(), ask_next());
    [a, b, c, d, e].into_iter().flatten().collect()
}

/// Asks an instance whether it can connect to a target; returns `None` if it does not answer.
async fn ask_for_check(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
    instance: SocketAddr,
) -> Option<RelayReply> {
    let request = TargetRequest {
        id: &HeaderValue::from_static("check"),
        method: &Method::GET,
        path: "/",
        headers: &HeaderMap::new(),
        body: &Bytes::new(),
        deadline: Instant::now() + CHECK_TIMEOUT,
        idempotent: true,
    };
    let task = RelayTask::Check;
    match ask(context, connections, target, instance, task, request).await {
        ExchangeOutcome::NotRelayed(reply) => Some(reply),
        _ => None,
    }
}

/// Sends a request to an instance that is to do `task` with it, and records whether it could.
async fn ask(
    context: &Context,
    connections: &TargetConnections,
    target: &TargetIncarnation,
    instance: SocketAddr,
    task: RelayTask,
    request: TargetRequest<'_>,
) -> ExchangeOutcome {
    let relay = RelayRequest {
        task,
        incarnation: target.incarnation,
    };
    let pool = instance_connections(context, instance);
    let path = Path {
        pool: &pool,
        target: connections,
        relay: Some(relay.into()),
    };
    let budget = &context.memory_budget;
    let max = MAX_RELAY_CONNECTIONS;
    let outcome = exchange::send_request(budget, &path, &target.id, request, max).await;
    let mut relays = context.relays.borrow_mut();
    let now = Instant::now();
    match &outcome {
        ExchangeOutcome::Completed(_) | ExchangeOutcome::NotExecuted(..) => {
            let data_centre = pool.data_centre.borrow().clone();
            relays.record_success(&instance, data_centre, now);
        }
        ExchangeOutcome::NotRelayed(RelayReply::TargetReached) => {
            relays.record_success(&instance, None, now);
        }
        ExchangeOutcome::Unsent(_)
        | ExchangeOutcome::NotRelayed(RelayReply::CutOff | RelayReply::TargetUnreachable) => {
            relays.record_failure(&instance, now);
        }
        _ => {}
    }
    outcome
}

/// Returns the other members in the order in which to ask them to reach a target.
fn candidates(context: &Context, target: &TargetIncarnation) -> Vec<SocketAddr> {
    let own = context.settings.listen.heartbeats;
    let membership = context.membership.borrow();
    let members = membership.members().iter().map(|it| it.address);
    let members: Vec<SocketAddr> = members.filter(|it| *it != own).collect();
    let targets = context.targets.borrow();
    let view = targets.get(&target.id);
    let target_centre = view.map(|view| &view.report.data_centre);
    let own_centre = &context.settings.data_centre;
    let near: Vec<&Name> = target_centre.into_iter().chain([own_centre]).collect();
    let mut relays = context.relays.borrow_mut();
    relays.retain(|it| members.contains(it));
    let mut pools = context.relay_connections.borrow_mut();
    pools.retain(|it, _| members.contains(it));
    relays.candidates(members.into_iter(), &near, Instant::now(), |_| {
        rand::random::<u32>()
    })
}

fn instance_connections(context: &Context, instance: SocketAddr) -> Rc<TargetConnections> {
    let mut all = context.relay_connections.borrow_mut();
    let budget = context.memory_budget.clone();
    let created = || Rc::new(TargetConnections::to_instance(instance, budget));
    all.entry(instance).or_insert_with(created).clone()
}

/// Returns whether an instance did not send the request that it was asked to pass on.
fn is_not_passed_on(outcome: &ExchangeOutcome) -> bool {
    matches!(
        outcome,
        ExchangeOutcome::Unsent(_) | ExchangeOutcome::NotRelayed(_)
    )
}

/// Records that another instance reached a target that this one cannot connect to.
fn record_bypassed(context: &Context, connections: &TargetConnections, target: &TargetIncarnation) {
    let now = Instant::now();
    if connections.bypass.get().is_none() {
        let retry_at = now + OWN_PATH_INTERVAL;
        connections.bypass.set(Some(Bypass { retry_at }));
    }
    let known = context.targets.borrow().all().count();
    let change = context
        .reach
        .borrow_mut()
        .record_bypassed(&target.id, known, now);
    apply_change(context, change);
}

/// Records that this instance has connected to a target itself.
fn record_opened(context: &Context) {
    let change = context.reach.borrow_mut().record_opened();
    apply_change(context, change);
}

fn apply_change(context: &Context, change: ReachChange) {
    match change {
        ReachChange::Lost => {
            let detail = "only other instances reach them";
            context.record_event(events::TARGETS_UNREACHABLE, detail.into());
        }
        ReachChange::Regained => {
            let detail = "connected to one of them";
            context.record_event(events::TARGETS_REACHABLE, detail.into());
        }
        ReachChange::None => {}
    }
}
