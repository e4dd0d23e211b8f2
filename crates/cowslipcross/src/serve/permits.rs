//! Permits to send requests, requested by datagram from the instance that coordinates the pool.
//!
//! Each target of a sharded service is a pool of its own; all targets of an unsharded service form
//! one. The coordinator of a pool follows from the members and a hash without an agreement between
//! them: two coordinators at a time only let a few more requests through.

use {
    crate::{
        context::Context,
        peers::{datagram, heartbeat_protocol, message::Message},
        serve::{coordinator, late_requests, organisations, request::CallerRequest},
        views::target_notices::TargetNotice,
    },
    cowslip_decide::{
        names::Name,
        permits::{PermitOutcome, PermitReply, PermitReport, PermitRequest},
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
        time::{Instant, timeout_at},
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

/// Identifies a pool: a service, and the target if the service is sharded.
pub type PoolKey = (Name, Option<Name>);

/// State of the permits that this instance requests from coordinators.
#[derive(Default)]
pub struct Permits {
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
    /// The routing data changed while the request was queued, or it may not be sent any more: select a target again.
    RoutingChanged,
    /// No coordinator answers: send without a permit.
    Unanswered,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::PermitReturned {
            number: self.number,
            outcome: self.outcome.get().into(),
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
                let send_until = late_requests::send_until(context, request);
                let check_at = (Instant::now() + QUEUE_CHECK_INTERVAL).min(send_until);
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
            _ if Instant::now() >= late_requests::send_until(context, request) => {
                return PermitResult::RoutingChanged;
            }
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
        priority: organisations::rank(request.organisation.as_deref(), request.route.priority),
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
            coordinator::handle_request(context, (from, number), (service, target), permit_request);
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
                outcome: outcome.into(),
                slowdown: slowdown.map(f64::from),
                quiet_time: quiet_ms.map(Duration::from_millis),
            };
            coordinator::handle_return(context, &(from, number), report);
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

/// Sends a datagram, or handles the message directly if it is for this instance.
pub fn send_message(context: &Context, message: Message, to: SocketAddr) {
    match to == context.settings.listen.heartbeats {
        true => handle_message(context, message, to),
        false => datagram::try_send(context, &message, to),
    }
}
