//! Permits to send requests, requested by datagram from the instance that coordinates the pool.
//!
//! Each target of a sharded service is a pool of its own; all targets of an unsharded service form
//! one. The coordinator of a pool follows from the members and a hash without an agreement between
//! them: two coordinators at a time only let a few more requests through.

use {
    crate::{
        context::Context,
        peers::{datagram, heartbeat_protocol, message::Message},
        serve::request::CallerRequest,
        views::target_notices::TargetNotice,
    },
    cowslip_decide::{
        names::Name,
        permits::{
            PermitOutcome, PermitReply, PermitReport, PermitRequest, PermitRequestId, Pool,
            PoolTarget,
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout_at},
    },
};

/// Time after which an unanswered permit request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(15);
/// Unanswered permit requests after which a coordinator is skipped.
const MAX_UNANSWERED: u32 = 3;
/// Time for which a coordinator that does not answer is skipped.
const SKIP_DURATION: Duration = Duration::from_millis(1500);
/// Time after which a queued permit request is sent again, to learn whether it is still queued.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the coordinator processes its queues.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a pool: a service, and the target if the service is sharded.
pub type PoolKey = (Name, Option<Name>);

/// State of the permits that this instance grants as coordinator and requests from coordinators.
#[derive(Default)]
pub struct Permits {
    /// Pools that this instance coordinates.
    pools: RefCell<BTreeMap<PoolKey, Pool<SocketAddr>>>,
    /// Pool of each request, of any instance, that is queued or has a permit at this coordinator.
    pool_keys: RefCell<BTreeMap<PermitRequestId<SocketAddr>, PoolKey>>,
    /// Replies to this instance's own permit requests, by number.
    pending_replies: RefCell<BTreeMap<u64, Rc<PendingReply>>>,
    /// Coordinators that did not answer, with the time until which they are skipped.
    skipped: RefCell<BTreeMap<SocketAddr, Instant>>,
    next_number: Cell<u64>,
}

#[derive(Default)]
struct PendingReply {
    reply: RefCell<Option<PermitReply>>,
    received: Notify,
}

/// A permit, or a request for one; returned to the coordinator on drop.
pub struct Permit {
    context: Rc<Context>,
    coordinator: SocketAddr,
    number: u64,
    /// How the request with the permit ended.
    pub outcome: Cell<PermitOutcome>,
    /// Slowdown as last reported by the target.
    pub slowdown: Cell<Option<f64>>,
    /// Time for which the target wants no requests from this instance.
    pub quiet_time: Cell<Option<Duration>>,
    /// What the target has said of itself in its response.
    pub notice: RefCell<Option<TargetNotice>>,
}

/// Result of a permit request.
pub enum PermitResult {
    /// Send the request to this target.
    Acquired(Permit, Name),
    /// The request cannot be served in time; a retry may succeed after this time.
    Denied(Duration),
    /// The routing data changed while the request was queued: select a target again.
    RoutingChanged,
    /// No coordinator answers: send without a permit.
    Unanswered,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::PermitReturned {
            number: self.number,
            outcome: encode_outcome(self.outcome.get()),
            slowdown: self.slowdown.get().map(|it| it as f32),
            quiet_ms: self.quiet_time.get().map(|it| it.as_millis() as u64),
            notice: self.notice.borrow().as_ref().map(Into::into),
        };
        self.context
            .permits
            .pending_replies
            .borrow_mut()
            .remove(&self.number);
        send_message(&self.context, message, self.coordinator);
    }
}

/// Requests a permit for a target, or for any target of an unsharded service except `excluded`.
pub async fn request_permit(
    context: &Rc<Context>,
    request: &CallerRequest,
    target: Option<&Name>,
    excluded: &[Name],
) -> PermitResult {
    let pool_key = (request.service.clone(), target.cloned());
    let Some(coordinator) = find_coordinator(context, &pool_key) else {
        return PermitResult::Unanswered;
    };
    let (permit, pending) = create_permit(context, coordinator);
    let mut unanswered = 0;
    loop {
        let message = permit_message(context, request, &pool_key, permit.number, excluded);
        send_message(context, message, coordinator);
        // A late reply counts as unanswered here and is read after the next send.
        let _ = timeout_at(Instant::now() + RESEND_DELAY, pending.wait_for_reply()).await;
        let mut reply = pending.reply.borrow_mut().take();
        match reply {
            None => unanswered += 1,
            Some(PermitReply::Queued) => {
                unanswered = 0;
                // For an unsharded service the coordinator chooses the target: changes of the
                // routing data do not matter here.
                let changed = context.routing_changed.notified();
                let check_at = (Instant::now() + QUEUE_CHECK_INTERVAL).min(request.deadline);
                tokio::select! {
                    _ = timeout_at(check_at, pending.wait_for_reply()) => {}
                    () = changed, if target.is_some() => return PermitResult::RoutingChanged,
                }
                reply = pending.reply.borrow_mut().take();
            }
            _ => {}
        }
        match reply {
            Some(PermitReply::Granted(target)) => return PermitResult::Acquired(permit, target),
            Some(PermitReply::Refused(wait)) => return PermitResult::Denied(wait),
            _ if Instant::now() >= request.deadline => return PermitResult::Denied(Duration::ZERO),
            _ if unanswered >= MAX_UNANSWERED => {
                skip_coordinator(context, coordinator);
                return PermitResult::Unanswered;
            }
            _ => {}
        }
    }
}

/// Creates a permit that is not granted yet, and the entry that receives the coordinator's replies.
fn create_permit(context: &Rc<Context>, coordinator: SocketAddr) -> (Permit, Rc<PendingReply>) {
    let permits = &context.permits;
    let number = permits.next_number.get();
    permits.next_number.set(number + 1);
    let pending = Rc::new(PendingReply::default());
    permits
        .pending_replies
        .borrow_mut()
        .insert(number, pending.clone());
    let permit = Permit {
        context: context.clone(),
        coordinator,
        number,
        outcome: Cell::new(PermitOutcome::Unused),
        slowdown: Cell::new(None),
        quiet_time: Cell::new(None),
        notice: RefCell::default(),
    };
    (permit, pending)
}

fn permit_message(
    context: &Context,
    request: &CallerRequest,
    pool_key: &PoolKey,
    number: u64,
    excluded: &[Name],
) -> Message {
    let now = Instant::now();
    let millis_until = |time: Instant| time.saturating_duration_since(now).as_millis() as u64;
    Message::PermitRequest {
        number,
        service: pool_key.0.clone(),
        target: pool_key.1.clone(),
        priority: request.route.priority,
        deadline_ms: millis_until(request.deadline),
        goal_ms: millis_until(request.arrived + request.route.latency_goal),
        data_centre: context.settings.data_centre.clone(),
        excluded: excluded.to_vec(),
    }
}

/// Skips a coordinator that does not answer for [`SKIP_DURATION`].
fn skip_coordinator(context: &Context, coordinator: SocketAddr) {
    let until = Instant::now() + SKIP_DURATION;
    context
        .permits
        .skipped
        .borrow_mut()
        .insert(coordinator, until);
    context.metrics.count_permit_timeout();
}

impl PendingReply {
    async fn wait_for_reply(&self) {
        // A stored notification may be for a reply that was taken before.
        while self.reply.borrow().is_none() {
            self.received.notified().await;
        }
    }
}

/// Returns the member that coordinates a pool; skipped members do not count.
fn find_coordinator(context: &Context, pool_key: &PoolKey) -> Option<SocketAddr> {
    let now = Instant::now();
    let skipped = context.permits.skipped.borrow();
    let is_eligible = |member: &SocketAddr| skipped.get(member).is_none_or(|until| *until <= now);
    let target = pool_key.1.as_deref().unwrap_or_default();
    let membership = context.membership.borrow();
    membership.select_coordinator(&format!("{} {target}", pool_key.0), is_eligible)
}

/// Handles a datagram about permits; other messages are ignored.
pub fn handle_message(context: &Context, message: Message, from: SocketAddr) {
    match message {
        Message::PermitRequest {
            number,
            service,
            target,
            priority,
            deadline_ms,
            goal_ms,
            data_centre,
            excluded,
        } => {
            let now = Instant::now();
            let permit_request = PermitRequest {
                priority,
                latency_goal: now + Duration::from_millis(goal_ms),
                deadline: now + Duration::from_millis(deadline_ms),
                data_centre,
                excluded,
            };
            handle_request(context, (from, number), (service, target), permit_request);
        }
        Message::PermitReturned {
            number,
            outcome,
            slowdown,
            quiet_ms,
            notice,
        } => {
            heartbeat_protocol::handle_notices(context, Vec::from_iter(notice));
            let report = PermitReport {
                outcome: decode_outcome(outcome),
                slowdown: slowdown.map(f64::from),
                quiet_time: quiet_ms.map(Duration::from_millis),
            };
            handle_return(context, &(from, number), report);
        }
        Message::PermitGranted { number, target } => {
            store_reply(context, number, PermitReply::Granted(target))
        }
        Message::PermitQueued { number } => store_reply(context, number, PermitReply::Queued),
        Message::PermitRefused { number, wait_ms } => {
            store_reply(
                context,
                number,
                PermitReply::Refused(Duration::from_millis(wait_ms)),
            );
        }
        _ => {}
    }
}

/// Stores a reply for the task that waits for it.
fn store_reply(context: &Context, number: u64, reply: PermitReply) {
    let all = context.permits.pending_replies.borrow();
    if let Some(pending) = all.get(&number) {
        *pending.reply.borrow_mut() = Some(reply);
        pending.received.notify_one();
    }
}

/// Grants, queues or refuses a permit as coordinator.
fn handle_request(
    context: &Context,
    id: PermitRequestId<SocketAddr>,
    pool_key: PoolKey,
    permit_request: PermitRequest,
) {
    let now = Instant::now();
    let targets = pool_targets(context, &pool_key, now);
    // Without a reply the requesting instance sends without a permit and skips this coordinator.
    if targets.is_empty() {
        return;
    }
    let mut pools = context.permits.pools.borrow_mut();
    let pool = pools.entry(pool_key.clone()).or_default();
    pool.update_targets(&targets, now);
    let reply = pool.request_permit(id, permit_request, now);
    drop(pools);
    if !matches!(reply, PermitReply::Refused(_)) {
        context.permits.pool_keys.borrow_mut().insert(id, pool_key);
    }
    send_reply(context, id, reply);
}

/// Frees the slot of a returned permit, or removes the request for it, and grants queued requests.
fn handle_return(context: &Context, id: &PermitRequestId<SocketAddr>, report: PermitReport) {
    let Some(pool_key) = context.permits.pool_keys.borrow_mut().remove(id) else {
        return;
    };
    let now = Instant::now();
    let mut pools = context.permits.pools.borrow_mut();
    let Some(pool) = pools.get_mut(&pool_key) else {
        return;
    };
    pool.finish_request(id, report, now);
    let replies = if pool.queue_length() > 0 {
        pool.process_queue(now)
    } else {
        Vec::new()
    };
    drop(pools);
    send_replies(context, replies);
}

/// Returns the smoothed service times in milliseconds of the sharded services' targets whose pools
/// this instance coordinates.
pub fn service_times(context: &Context) -> BTreeMap<Name, u32> {
    let pools = context.permits.pools.borrow();
    let times = pools.iter().filter_map(|((_, target), pool)| {
        let target = target.as_ref()?;
        let seconds = pool.service_time(target)?;
        Some((target.clone(), (1000.0 * seconds) as u32))
    });
    times.collect()
}

/// Processes the queues of the pools at intervals; never returns.
pub async fn process_queues(context: Rc<Context>) {
    loop {
        let has_queued = context
            .permits
            .pools
            .borrow()
            .values()
            .any(|it| it.queue_length() > 0);
        // While nothing is queued, only expired permits, whose return was lost, are removed.
        sleep(if has_queued {
            QUEUE_POLL_INTERVAL
        } else {
            5 * QUEUE_POLL_INTERVAL
        })
        .await;
        let now = Instant::now();
        let mut replies = Vec::new();
        let mut pools = context.permits.pools.borrow_mut();
        for (pool_key, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_idle()) {
            pool.update_targets(&pool_targets(&context, pool_key, now), now);
            replies.extend(pool.process_queue(now));
        }
        let mut pool_keys = context.permits.pool_keys.borrow_mut();
        pool_keys
            .retain(|id, pool_key| pools.get(pool_key).is_some_and(|pool| pool.has_request(id)));
        drop(pool_keys);
        drop(pools);
        send_replies(&context, replies);
    }
}

fn send_replies(context: &Context, replies: Vec<(PermitRequestId<SocketAddr>, PermitReply)>) {
    for (id, reply) in replies {
        if matches!(reply, PermitReply::Refused(_)) {
            context.permits.pool_keys.borrow_mut().remove(&id);
        }
        send_reply(context, id, reply);
    }
}

fn send_reply(
    context: &Context,
    (address, number): PermitRequestId<SocketAddr>,
    reply: PermitReply,
) {
    let message = match reply {
        PermitReply::Granted(target) => Message::PermitGranted { number, target },
        PermitReply::Queued => Message::PermitQueued { number },
        PermitReply::Refused(wait) => Message::PermitRefused {
            number,
            wait_ms: wait.as_millis() as u64,
        },
    };
    send_message(context, message, address);
}

/// Sends a datagram, or handles the message directly if it is for this instance.
fn send_message(context: &Context, message: Message, to: SocketAddr) {
    match to == context.settings.listen.heartbeats {
        true => handle_message(context, message, to),
        false => datagram::try_send(context, &message, to),
    }
}

/// Returns the targets of a pool that may get requests.
fn pool_targets(context: &Context, pool_key: &PoolKey, now: Instant) -> BTreeMap<Name, PoolTarget> {
    let (service, owner) = pool_key;
    let config = context.config.borrow();
    let config = config.as_ref().and_then(|it| it.services.get(service));
    let cold_rate = config.map_or(0.0, |it| it.cold_rate);
    let targets = context.targets.borrow();
    let withdrawn = context.withdrawn.borrow();
    let notices = context.target_notices.borrow();
    targets
        .for_service(service)
        .filter(|view| match owner {
            // The requesting instance decides whether the owner of a key may still get requests.
            Some(owner) => view.report.id == *owner,
            None => {
                view.draining_since.is_none() && !withdrawn.contains_key(&view.report.data_centre)
            }
        })
        .map(|view| {
            let pool_target = PoolTarget {
                slots: view.report.slots.min(1000) as u32,
                data_centre: view.report.data_centre.clone(),
                cold_rate: view.is_cold(now).then_some(cold_rate),
                rate_limit: notices.rate_limit(&view.target_incarnation()),
            };
            (view.report.id.clone(), pool_target)
        })
        .collect()
}

/// Returns the outcome's number in datagrams.
fn encode_outcome(outcome: PermitOutcome) -> u8 {
    match outcome {
        PermitOutcome::Served => 0,
        PermitOutcome::Shed => 1,
        PermitOutcome::Unused => 2,
        PermitOutcome::NotConnected => 3,
        PermitOutcome::Broken => 4,
        PermitOutcome::ServerError => 5,
    }
}

/// Returns the outcome with a number in datagrams; unknown ones count as [`PermitOutcome::Broken`].
fn decode_outcome(code: u8) -> PermitOutcome {
    match code {
        0 => PermitOutcome::Served,
        1 => PermitOutcome::Shed,
        2 => PermitOutcome::Unused,
        3 => PermitOutcome::NotConnected,
        5 => PermitOutcome::ServerError,
        _ => PermitOutcome::Broken,
    }
}
