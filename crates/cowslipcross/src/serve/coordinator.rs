//! Permits that this instance grants as coordinator of pools.

use {
    crate::{
        context::Context,
        peers::message::Message,
        serve::permits::{self, PoolKey},
        views::target_snapshot::TargetView,
    },
    cowslip_decide::{
        names::Name,
        permits::{
            PermitOutcome, PermitReply, PermitReport, PermitRequest, PermitRequestId, Pool,
            PoolTarget, ReturnedPermit,
        },
    },
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval at which the coordinator processes its queues.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bandwidth of the instances' links in Mbit/s below which traffic between data centres counts as dear.
const NARROW_LINK_MBPS: f64 = 500.0;

/// State of the pools that this instance coordinates.
#[derive(Default)]
pub struct Coordinator {
    pools: RefCell<BTreeMap<PoolKey, Pool<SocketAddr>>>,
    /// Pool of each request, of any instance, that is queued or has a permit here.
    pool_keys: RefCell<BTreeMap<PermitRequestId<SocketAddr>, PoolKey>>,
}

/// Grants, queues or refuses a permit as coordinator.
pub fn handle_request(
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
    let mut pools = context.coordinator.pools.borrow_mut();
    let pool = pools.entry(pool_key.clone()).or_default();
    pool.keep_home(keeps_home(context, &pool_key));
    pool.update_targets(&targets, now);
    let reply = pool.request_permit(id, permit_request, now);
    drop(pools);
    if !matches!(reply, PermitReply::Refused(_)) {
        context
            .coordinator
            .pool_keys
            .borrow_mut()
            .insert(id, pool_key);
    }
    send_reply(context, id, reply);
}

/// Frees the slot of a returned permit, or removes the request for it, and grants queued requests.
pub fn handle_return(context: &Context, id: &PermitRequestId<SocketAddr>, report: PermitReport) {
    let Some(pool_key) = context.coordinator.pool_keys.borrow_mut().remove(id) else {
        return;
    };
    let now = Instant::now();
    let mut pools = context.coordinator.pools.borrow_mut();
    let Some(pool) = pools.get_mut(&pool_key) else {
        return;
    };
    let returned = pool.finish_request(id, report, now);
    if let Some(permit) = &returned {
        record_life(context, permit, report.outcome, now);
    }
    if returned.is_some_and(|it| it.shows_break(report.outcome)) {
        pool.update_targets(&pool_targets(context, &pool_key, now), now);
    }
    let replies = if pool.queue_length() > 0 {
        pool.process_queue(now)
    } else {
        Vec::new()
    };
    drop(pools);
    send_replies(context, replies);
}

/// Records what the end of a request with a permit tells of whether the target has restarted.
fn record_life(context: &Context, permit: &ReturnedPermit, outcome: PermitOutcome, now: Instant) {
    let targets = context.targets.borrow();
    // The permit may have been for an earlier incarnation.
    let is_same = |view: &&TargetView| view.known_since <= permit.granted_at;
    let Some(view) = targets.get(&permit.target).filter(is_same) else {
        return;
    };
    let target = view.target_incarnation();
    let mut restarts = context.restarts.borrow_mut();
    if permit.shows_break(outcome) {
        restarts.record_doubt(&target, now);
    } else if outcome.is_response() {
        restarts.record_response(&target, permit.granted_at, now);
    }
}

/// Returns the smoothed service times in milliseconds of the sharded services' targets whose pools
/// this instance coordinates.
pub fn service_times(context: &Context) -> BTreeMap<Name, u32> {
    let pools = context.coordinator.pools.borrow();
    let times = pools.iter().filter_map(|((_, target), pool)| {
        let target = target.as_ref()?;
        let seconds = pool.service_time(target)?;
        Some((target.clone(), (1000.0 * seconds) as u32))
    });
    times.collect()
}

/// Returns the number of data centres whose requests leave them because their targets are too few, over the
/// pools coordinated here.
pub fn leaving_centres(context: &Context) -> usize {
    let pools = context.coordinator.pools.borrow();
    pools.values().map(Pool::leaving_centres).sum()
}

/// Returns the number of targets that the pools coordinated here avoid because of failures.
pub fn avoided_targets(context: &Context) -> usize {
    let now = Instant::now();
    let pools = context.coordinator.pools.borrow();
    pools.values().map(|pool| pool.avoided_targets(now)).sum()
}

/// Processes the queues of the pools at intervals; never returns.
pub async fn process_queues(context: Rc<Context>) {
    loop {
        let has_queued = context
            .coordinator
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
        let mut pools = context.coordinator.pools.borrow_mut();
        for (pool_key, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_idle()) {
            pool.update_targets(&pool_targets(&context, pool_key, now), now);
            replies.extend(pool.process_queue(now));
        }
        let mut pool_keys = context.coordinator.pool_keys.borrow_mut();
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
            context.coordinator.pool_keys.borrow_mut().remove(&id);
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
    permits::send_message(context, message, address);
}

/// Returns whether requests of a pool leave their data centre only if that pays: traffic between data
/// centres is dear on narrow links, and for services with large responses.
fn keeps_home(context: &Context, (service, owner): &PoolKey) -> bool {
    let config = context.config.borrow();
    let service = config.as_ref().and_then(|it| it.services.get(service));
    let is_dear =
        context.settings.link < NARROW_LINK_MBPS || service.is_some_and(|it| it.large_responses);
    // A key has one owner, wherever its callers are.
    owner.is_none() && is_dear
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
    let restarts = context.restarts.borrow();
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
            let incarnation = view.target_incarnation();
            let is_cold = view.is_cold(now) || restarts.may_be_cold(&incarnation);
            let pool_target = PoolTarget {
                slots: view.report.slots.min(1000) as u32,
                data_centre: view.report.data_centre.clone(),
                cold_rate: is_cold.then_some(cold_rate),
                rate_limit: notices.rate_limit(&incarnation),
            };
            (view.report.id.clone(), pool_target)
        })
        .collect()
}
