//! Permits to send: asked for by datagram, given by the instance that holds the pool.
//!
//! Each target of a divided service is a pool of its own; the targets of an undivided service are
//! one. The members and a hash say who holds a pool, so no agreement is needed: two holders at once
//! only let a little more through.

use {
    crate::{
        context::Context,
        peers::{datagram, message::Message},
        serve::request::Request,
    },
    cowslip_decide::{
        names::Name,
        permits::{PermitOutcome, PermitReply, PermitRequest, PermitRequestId, Pool, PoolTarget},
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

/// Time after which a question without a reply is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(15);
/// Questions without a reply after which the holder is passed over.
const MOST_ASKS: u32 = 3;
/// Time for which a silent holder is passed over.
const SILENT: Duration = Duration::from_millis(1500);
/// Time after which one that waits asks whether it still does.
const CHECK: Duration = Duration::from_millis(300);
/// Period in which the holder looks after those that wait.
const TICK: Duration = Duration::from_millis(20);
/// Multiple of its rate that a cold target gets; the bound is above it.
const COLD_SHARE: f64 = 1.1;

/// A pool: a service, and one target of it if it is divided.
pub type PoolKey = (Name, Option<Name>);

/// Permits that this instance gives and asks for.
#[derive(Default)]
pub struct Permits {
    pools: RefCell<BTreeMap<PoolKey, Pool<SocketAddr>>>,
    askers: RefCell<BTreeMap<PermitRequestId<SocketAddr>, PoolKey>>,
    waiters: RefCell<BTreeMap<u64, Rc<Waiter>>>,
    silent: RefCell<BTreeMap<SocketAddr, Instant>>,
    next: Cell<u64>,
}

#[derive(Default)]
struct Waiter {
    reply: RefCell<Option<PermitReply>>,
    told: Notify,
}

/// A permit; it goes back to its holder when this is dropped.
pub struct Permit {
    context: Rc<Context>,
    holder: SocketAddr,
    number: u64,
    /// How the request ended.
    pub outcome: Cell<PermitOutcome>,
    /// Momentary slowness that the target told.
    pub slowness: Cell<Option<f64>>,
}

/// What the question for a permit came to.
pub enum Permitted {
    /// Send to this target.
    Yes(Permit, Name),
    /// The request cannot be served in time.
    No(Duration),
    /// Something changed while the request waited: choose again.
    Changed,
    /// No holder answers: send without a permit.
    Alone,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::PermitReturned {
            number: self.number,
            outcome: outcome_code(self.outcome.get()),
            slowdown: self.slowness.get(),
        };
        self.context
            .permits
            .waiters
            .borrow_mut()
            .remove(&self.number);
        tell(&self.context, message, self.holder);
    }
}

/// Asks for a permit to send to a target, or to any of an undivided service.
pub async fn ask(
    context: &Rc<Context>,
    request: &Request,
    target: Option<&Name>,
    tried: &[Name],
) -> Permitted {
    let pool = (request.service.clone(), target.cloned());
    let Some(holder) = holder(context, &pool) else {
        return Permitted::Alone;
    };
    let (permit, waiter) = begin(context, holder);
    let mut unanswered = 0;
    loop {
        let question = question(context, request, &pool, permit.number, tried);
        tell(context, question, holder);
        // A late reply counts as none; the question is repeated.
        let _ = timeout_at(Instant::now() + ASK_AGAIN, waiter.heard()).await;
        let mut reply = waiter.reply.borrow_mut().take();
        match reply {
            None => unanswered += 1,
            Some(PermitReply::Queued) => {
                unanswered = 0;
                let changed = context.routing_changed.notified();
                let check = (Instant::now() + CHECK).min(request.deadline);
                tokio::select! {
                    _ = timeout_at(check, waiter.heard()) => {}
                    () = changed, if target.is_some() => return Permitted::Changed,
                }
                reply = waiter.reply.borrow_mut().take();
            }
            _ => {}
        }
        match reply {
            Some(PermitReply::Granted(target)) => return Permitted::Yes(permit, target),
            Some(PermitReply::Refused(wait)) => return Permitted::No(wait),
            _ if Instant::now() >= request.deadline => return Permitted::No(Duration::ZERO),
            _ if unanswered >= MOST_ASKS => {
                pass_over(context, holder);
                return Permitted::Alone;
            }
            _ => {}
        }
    }
}

/// Makes a permit that is not given yet, and who waits for it.
fn begin(context: &Rc<Context>, holder: SocketAddr) -> (Permit, Rc<Waiter>) {
    let permits = &context.permits;
    let number = permits.next.get();
    permits.next.set(number + 1);
    let waiter = Rc::new(Waiter::default());
    permits.waiters.borrow_mut().insert(number, waiter.clone());
    let permit = Permit {
        context: context.clone(),
        holder,
        number,
        outcome: Cell::new(PermitOutcome::Unused),
        slowness: Cell::new(None),
    };
    (permit, waiter)
}

fn question(
    context: &Context,
    request: &Request,
    pool: &PoolKey,
    number: u64,
    tried: &[Name],
) -> Message {
    let now = Instant::now();
    let left = |until: Instant| until.saturating_duration_since(now).as_millis() as u64;
    Message::PermitRequest {
        number,
        service: pool.0.clone(),
        target: pool.1.clone(),
        priority: request.route.priority,
        deadline_ms: left(request.deadline),
        goal_ms: left(request.arrived + request.route.latency_goal),
        data_centre: context.settings.data_centre.clone(),
        excluded: tried.to_vec(),
    }
}

/// Leaves a holder that does not reply alone for a while.
fn pass_over(context: &Context, holder: SocketAddr) {
    let until = Instant::now() + SILENT;
    context.permits.silent.borrow_mut().insert(holder, until);
    context.metrics.count_permit_timeout();
}

impl Waiter {
    async fn heard(&self) {
        // A stored notification may belong to a reply that was taken before.
        while self.reply.borrow().is_none() {
            self.told.notified().await;
        }
    }
}

/// Returns the member that holds a pool, of those that are not silent.
fn holder(context: &Context, pool: &PoolKey) -> Option<SocketAddr> {
    let now = Instant::now();
    let silent = context.permits.silent.borrow();
    let open = |member: &SocketAddr| silent.get(member).is_none_or(|until| *until <= now);
    let target = pool.1.as_deref().unwrap_or_default();
    let membership = context.membership.borrow();
    membership.select_coordinator(&format!("{} {target}", pool.0), open)
}

/// Takes a datagram about permits.
pub fn take(context: &Context, message: Message, from: SocketAddr) {
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
            let ask = PermitRequest {
                priority,
                latency_goal: now + Duration::from_millis(goal_ms),
                deadline: now + Duration::from_millis(deadline_ms),
                data_centre,
                excluded,
            };
            asked(context, (from, number), (service, target), ask);
        }
        Message::PermitReturned {
            number,
            outcome,
            slowdown,
        } => returned(context, &(from, number), code_outcome(outcome), slowdown),
        Message::PermitGranted { number, target } => {
            told(context, number, PermitReply::Granted(target))
        }
        Message::PermitQueued { number } => told(context, number, PermitReply::Queued),
        Message::PermitRefused { number, wait_ms } => {
            told(
                context,
                number,
                PermitReply::Refused(Duration::from_millis(wait_ms)),
            );
        }
        _ => {}
    }
}

fn told(context: &Context, number: u64, reply: PermitReply) {
    let waiters = context.permits.waiters.borrow();
    if let Some(waiter) = waiters.get(&number) {
        *waiter.reply.borrow_mut() = Some(reply);
        waiter.told.notify_one();
    }
}

fn asked(context: &Context, asker: PermitRequestId<SocketAddr>, key: PoolKey, ask: PermitRequest) {
    let now = Instant::now();
    let members = members(context, &key, now);
    // Without a reply the asker turns to another member.
    if members.is_empty() {
        return;
    }
    let mut pools = context.permits.pools.borrow_mut();
    let pool = pools.entry(key.clone()).or_default();
    pool.update_targets(&members, now);
    let reply = pool.request_permit(asker, ask, now);
    drop(pools);
    if !matches!(reply, PermitReply::Refused(_)) {
        context.permits.askers.borrow_mut().insert(asker, key);
    }
    answer(context, asker, reply);
}

fn returned(
    context: &Context,
    asker: &PermitRequestId<SocketAddr>,
    outcome: PermitOutcome,
    slowness: Option<f64>,
) {
    let Some(key) = context.permits.askers.borrow_mut().remove(asker) else {
        return;
    };
    let now = Instant::now();
    let mut pools = context.permits.pools.borrow_mut();
    let Some(pool) = pools.get_mut(&key) else {
        return;
    };
    pool.finish_request(asker, outcome, slowness, now);
    let replies = if pool.queue_length() > 0 {
        pool.process_queue(now)
    } else {
        Vec::new()
    };
    drop(pools);
    send_all(context, replies);
}

/// Returns the average times of the targets of divided services that this instance holds, in
/// milliseconds.
pub fn paces(context: &Context) -> BTreeMap<Name, u32> {
    let pools = context.permits.pools.borrow();
    let paces = pools.iter().filter_map(|((_, target), pool)| {
        let target = target.as_ref()?;
        let pace = pool.service_time(target)?;
        Some((target.clone(), (1000.0 * pace) as u32))
    });
    paces.collect()
}

/// Looks after those that wait, for ever.
pub async fn serve(context: Rc<Context>) {
    loop {
        let waiting = context
            .permits
            .pools
            .borrow()
            .values()
            .any(|it| it.queue_length() > 0);
        // Without anyone waiting there is only old state to drop.
        sleep(if waiting { TICK } else { 5 * TICK }).await;
        let now = Instant::now();
        let mut replies = Vec::new();
        let mut pools = context.permits.pools.borrow_mut();
        for (key, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_idle()) {
            pool.update_targets(&members(&context, key, now), now);
            replies.extend(pool.process_queue(now));
        }
        let mut askers = context.permits.askers.borrow_mut();
        askers.retain(|asker, key| pools.get(key).is_some_and(|pool| pool.has_request(asker)));
        drop(askers);
        drop(pools);
        send_all(&context, replies);
    }
}

fn send_all(context: &Context, replies: Vec<(PermitRequestId<SocketAddr>, PermitReply)>) {
    for (asker, reply) in replies {
        if matches!(reply, PermitReply::Refused(_)) {
            context.permits.askers.borrow_mut().remove(&asker);
        }
        answer(context, asker, reply);
    }
}

fn answer(context: &Context, (address, number): PermitRequestId<SocketAddr>, reply: PermitReply) {
    let message = match reply {
        PermitReply::Granted(target) => Message::PermitGranted { number, target },
        PermitReply::Queued => Message::PermitQueued { number },
        PermitReply::Refused(wait) => Message::PermitRefused {
            number,
            wait_ms: wait.as_millis() as u64,
        },
    };
    tell(context, message, address);
}

/// Sends a datagram, or takes it at once if it is for this instance.
fn tell(context: &Context, message: Message, to: SocketAddr) {
    match to == context.settings.listen.heartbeats {
        true => take(context, message, to),
        false => datagram::try_send(context, &message, to),
    }
}

/// Returns the targets of a pool that may be sent to.
fn members(context: &Context, key: &PoolKey, now: Instant) -> BTreeMap<Name, PoolTarget> {
    let (service, only) = key;
    let config = context.config.borrow();
    let config = config.as_ref().and_then(|it| it.services.get(service));
    let rate = config.map_or(0.0, |it| it.cold_rate * COLD_SHARE);
    let targets = context.targets.borrow();
    let withdrawn = context.withdrawn.borrow();
    targets
        .for_service(service)
        .filter(|seen| match only {
            // Whether the owner of keys may still be sent to is for the asker to say.
            Some(only) => seen.report.id == *only,
            None => {
                seen.draining_since.is_none() && !withdrawn.contains_key(&seen.report.data_centre)
            }
        })
        .map(|seen| {
            let member = PoolTarget {
                slots: seen.report.slots.min(1000) as u32,
                data_centre: seen.report.data_centre.clone(),
                cold_rate: seen.is_cold(now).then_some(rate),
            };
            (seen.report.id.clone(), member)
        })
        .collect()
}

fn outcome_code(outcome: PermitOutcome) -> u8 {
    match outcome {
        PermitOutcome::Served => 0,
        PermitOutcome::Shed => 1,
        PermitOutcome::Unused => 2,
        PermitOutcome::NotConnected => 3,
        PermitOutcome::Broken => 4,
    }
}

fn code_outcome(code: u8) -> PermitOutcome {
    match code {
        0 => PermitOutcome::Served,
        1 => PermitOutcome::Shed,
        2 => PermitOutcome::Unused,
        3 => PermitOutcome::NotConnected,
        _ => PermitOutcome::Broken,
    }
}
