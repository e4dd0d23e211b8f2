//! The leader's periodic work: assigns every key to one target, rebalances the load and sends
//! heartbeats.

use {
    crate::{
        clock,
        context::Context,
        lead::{
            assignment_recorder,
            command_sender::{self, CommandSender},
            target_status::{TargetStatus, target_statuses},
        },
        peers::heartbeat_protocol,
        serve::target_path,
    },
    cowslip_decide::{
        names::{Fence, Name, StoreVersion},
        owners::{
            AssignmentManager, AssignmentTable, Candidate, Command, CommandOutcome, CommandTiming,
            HotKeyPlacer, TargetCapacities, Transfer, rebalance,
        },
    },
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, timeout},
    },
};

/// Longest time between two rounds of the leader loop.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Additional pause after each round, for each target: a round costs CPU time for each of them.
const PAUSE_PER_TARGET: Duration = Duration::from_micros(50);
/// Shortest time between two heartbeats, for each member.
const HEARTBEAT_GAP_PER_MEMBER: Duration = Duration::from_micros(400);
/// TTL of a grant.
const GRANT_TTL: Duration = Duration::from_millis(2700);
/// Time from a grant to its renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(650);
/// [`RENEWAL_INTERVAL`] of a service with many assignments.
const SLOW_RENEWAL_INTERVAL: Duration = Duration::from_millis(1100);
/// Time after which a failed command is sent again.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a heartbeat with new owners, so that the grants to them usually arrive first.
const NEW_OWNERS_DELAY: Duration = Duration::from_millis(3);
/// Keys get their first owners once the number of targets has been the same for this time.
const STABLE_TARGETS_TIME: Duration = Duration::from_millis(1000);
/// Time after which keys get their first owners even if the number of targets still changes.
const MAX_TARGETS_WAIT: Duration = Duration::from_millis(3500);
/// Shortest time between two rebalances of a service.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Most transfers that one rebalance starts: this many, and one more for every
/// [`TARGETS_PER_TRANSFER`] targets.
const BASE_TRANSFERS: usize = 6;
const TARGETS_PER_TRANSFER: usize = 8;
/// Bound on transfers times targets in one rebalance, except that one transfer is always allowed:
/// each transfer is chosen among all targets.
const MAX_TARGET_CHECKS: usize = 10_000;
/// Bounds of a target's speed in relation to the mean.
const MIN_SPEED: f64 = 0.2;
const MAX_SPEED: f64 = 2.0;

/// State of the leader loop that is not in the store; empty on instances that do not lead.
#[derive(Default)]
pub struct LeaderState {
    /// Sharded services by name.
    pub services: BTreeMap<Name, ServiceState>,
    /// Epoch of the election to which the services belong.
    epoch: u64,
    command_sender: Rc<CommandSender>,
}

impl LeaderState {
    /// Returns whether a grant is in flight.
    pub fn has_grant_in_flight(&self) -> bool {
        self.services
            .values()
            .any(|it| it.manager.has_grant_in_flight())
    }
}

/// Leader's state for one sharded service.
pub struct ServiceState {
    /// State machine of the service's assignments.
    pub manager: AssignmentManager,
    /// Version of the recorded assignments; none if there are none.
    pub recorded_version: StoreVersion,
    /// Table whose write was not confirmed, and the version of the leader's row at that time.
    pub unconfirmed_write: Option<(AssignmentTable, StoreVersion)>,
    /// Whether a task is writing assignments or resolving an unconfirmed write.
    pub is_recording: bool,
    /// When the last such task started.
    pub last_recording: Option<Instant>,
    /// When this state was created; tells it from earlier ones of the same service.
    pub started_at: Instant,
    last_rebalance: Instant,
    hot_keys: HotKeyPlacer,
    /// Number of targets that may own keys, and since when it has not changed; used only until the
    /// first owners are recorded.
    stable_targets: (usize, Instant),
}

impl ServiceState {
    /// Returns whether to wait for further targets before keys get their first owners.
    fn is_awaiting_targets(&mut self, count: usize, now: Instant) -> bool {
        if !self.recorded_version.is_none() {
            return false;
        }
        if count != self.stable_targets.0 {
            self.stable_targets = (count, now);
        }
        let is_stable = count > 0 && now - self.stable_targets.1 >= STABLE_TARGETS_TIME;
        !is_stable && now - self.started_at < MAX_TARGETS_WAIT
    }
}

/// Returns the time after which no grant is in force if this leader sends no more.
///
/// It is `None` while a service's earlier grants have not been taken into account since this
/// instance became leader, and while a grant is in flight: a process that gets no CPU time may send
/// it late.
pub fn remaining_grant_time(context: &Context) -> Option<Duration> {
    let now = Instant::now();
    let state = context.leader_state.borrow();
    if state.has_grant_in_flight() {
        return None;
    }
    let is_current = state.epoch == context.election.borrow().epoch();
    let names = sharded_services(context).into_iter();
    let remaining =
        names.map(|name| Some(state.services.get(&name)?.manager.remaining_grant_time(now)));
    let longest = remaining
        .collect::<Option<Vec<Duration>>>()?
        .into_iter()
        .max();
    longest.filter(|_| is_current)
}

/// Runs the leader loop; does nothing while this instance does not lead.
pub async fn run(context: Rc<Context>) {
    let state = context.leader_state.clone();
    let mut last_heartbeat = Instant::now();
    let mut announced = AnnouncedVersions::default();
    loop {
        // Starts a round after the interval, or earlier on a notification.
        let _ = timeout(ROUND_INTERVAL, context.leader_work.notified()).await;
        let epoch = context.election.borrow().epoch();
        if state.borrow().epoch != epoch {
            let mut state = state.borrow_mut();
            state.services.clear();
            state.epoch = epoch;
        }
        if !context.is_leader() || context.leader_since.get().is_none() {
            // Without leadership only states of an old epoch are dropped, which is not urgent.
            let _ = timeout(4 * ROUND_INTERVAL, context.leader_work.notified()).await;
            continue;
        }
        for service in sharded_services(&context) {
            manage_service(&context, &state, &service);
        }
        // Commands that end during this pause are handled in the next round.
        let target_count = context.targets.borrow().all().count() as u32;
        sleep(PAUSE_PER_TARGET * target_count).await;
        // Changes are announced without waiting for the heartbeat interval.
        let versions = AnnouncedVersions::current(&context);
        if versions.owners != announced.owners {
            // New owners should have their grants before requests are routed to them.
            sleep(NEW_OWNERS_DELAY).await;
        }
        let member_count = context.membership.borrow().members().len() as u32;
        let is_change_due = versions != announced
            && last_heartbeat.elapsed() >= HEARTBEAT_GAP_PER_MEMBER * member_count;
        if is_change_due || last_heartbeat.elapsed() >= HEARTBEAT_INTERVAL {
            (last_heartbeat, announced) = (Instant::now(), versions);
            heartbeat_protocol::send_heartbeat(&context).await;
        }
    }
}

/// Versions of the data whose changes heartbeats announce.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnnouncedVersions {
    config: StoreVersion,
    targets: StoreVersion,
    owners: Vec<StoreVersion>,
    /// Revision of the requests that are blocked.
    blocks: u64,
}

impl AnnouncedVersions {
    fn current(context: &Context) -> Self {
        let all_recorded = context.recorded_assignments.borrow();
        Self {
            config: context.operator_version.get(),
            targets: context.targets.borrow().changed_version(),
            owners: all_recorded.values().map(|it| it.version).collect(),
            blocks: context.crashing_requests.borrow().revision(),
        }
    }
}

/// Returns the sharded services of the configuration.
fn sharded_services(context: &Context) -> Vec<Name> {
    let config = context.config.borrow();
    let services = config.iter().flat_map(|config| &config.services);
    let sharded = services.filter(|(_, service)| service.sharded);
    sharded.map(|(name, _)| name.clone()).collect()
}

/// Does one round of work for a service. A separate task records its assignments, so that renewals
/// do not wait for the store.
fn manage_service(context: &Rc<Context>, state: &Rc<RefCell<LeaderState>>, name: &Name) {
    ensure_service_state(context, state, name);
    let now = Instant::now();
    let statuses = target_statuses(context, name);
    let capacities = target_capacities(context, &statuses);
    {
        let mut state = state.borrow_mut();
        let Some(service) = state.services.get_mut(name) else {
            return;
        };
        if service.is_awaiting_targets(capacities.len(), now) {
            return;
        }
        let candidates = statuses.iter().map(|(id, it)| {
            let candidate = Candidate {
                incarnation: it.incarnation,
                can_own: it.can_own,
            };
            (id.clone(), candidate)
        });
        service.manager.review_owners(&candidates.collect(), now);
        start_transfers(context, service, name, &capacities);
    }
    assignment_recorder::start_recording(context, state, name, statuses, capacities);
    send_commands(context, state, name);
}

/// Creates the state of a service if there is none since this instance became leader.
fn ensure_service_state(context: &Context, state: &RefCell<LeaderState>, name: &Name) {
    let now = Instant::now();
    let mut state = state.borrow_mut();
    if state.services.contains_key(name) {
        return;
    }
    let era = context.era();
    let recorded = context.recorded_assignments.borrow().get(name).cloned();
    // Assignments of an earlier era may have changed before the store was restored.
    let recorded = recorded.filter(|it| it.version.era == era);
    let mut table = recorded
        .as_ref()
        .map_or_else(AssignmentTable::default, |it| (*it.table).clone());
    table.highest_fence = table.highest_fence.max(Fence::before_era(era));
    let ttl_limit = context.bounds.borrow().max_ttl;
    let timing = CommandTiming {
        ttl: GRANT_TTL.min(ttl_limit),
        long_ttl: ttl_limit,
        max_ttl: ttl_limit,
        renewal_interval: RENEWAL_INTERVAL,
        slow_renewal: SLOW_RENEWAL_INTERVAL,
        retry_delay: COMMAND_RETRY_DELAY,
        delivery_limit: command_sender::DELIVERY_LIMIT,
    };
    let service = ServiceState {
        manager: AssignmentManager::new(&table, timing, context.previous_leaders(), now),
        recorded_version: recorded.map_or(StoreVersion::NONE, |it| it.version),
        unconfirmed_write: None,
        is_recording: false,
        last_recording: None,
        started_at: now,
        last_rebalance: now,
        hot_keys: HotKeyPlacer::default(),
        stable_targets: (0, now),
    };
    state.services.insert(name.clone(), service);
}

/// Returns the capacities of the targets that may get keys; cold targets only if there is no other.
fn target_capacities(
    context: &Context,
    statuses: &BTreeMap<Name, TargetStatus>,
) -> TargetCapacities {
    let mut reports = context.peer_reports.borrow_mut();
    let targets = context.targets.borrow();
    reports
        .service_times
        .retain(|id, _| targets.get(id).is_some());
    let service_times: Vec<u32> = statuses
        .keys()
        .filter_map(|id| reports.service_times.get(id).copied())
        .collect();
    let mean = f64::from(service_times.iter().sum::<u32>()) / service_times.len().max(1) as f64;
    let notices = context.target_notices.borrow();
    // A target that takes few requests is like one with few slots.
    let max_slots = |id: &Name| {
        let view = targets.get(id)?;
        let limit = notices.rate_limit(&view.target_incarnation())?;
        (mean > 0.0).then(|| limit.usable_rate() * mean / 1000.0)
    };
    let speed = |id: &Name| match reports.service_times.get(id) {
        Some(time) => (mean / f64::from(*time).max(1.0)).clamp(MIN_SPEED, MAX_SPEED),
        None => 1.0,
    };
    let slots = |id: &Name| targets.get(id).map_or(1, |it| it.report.slots) as f64;
    let select = |cold: bool| {
        let chosen = statuses
            .iter()
            .filter(move |(_, it)| it.can_own && it.is_cold == cold);
        chosen
            .map(|(id, _)| {
                let capacity = slots(id) * speed(id);
                let limited = max_slots(id).map_or(capacity, |max| max.min(capacity));
                (id.clone(), limited)
            })
            .collect::<TargetCapacities>()
    };
    let warm = select(false);
    if warm.is_empty() { select(true) } else { warm }
}

/// Splits keys that never had an owner among the targets, and starts transfers that even out the
/// loads.
fn start_transfers(
    context: &Context,
    service: &mut ServiceState,
    name: &Name,
    capacities: &TargetCapacities,
) {
    let now = Instant::now();
    service.manager.split_evenly(capacities.len() as u32);
    if now - service.last_rebalance < REBALANCE_INTERVAL {
        return;
    }
    service.last_rebalance = now;
    // If the new owners could not be recorded, released keys would have no owner.
    let is_writable = context
        .election
        .borrow()
        .is_store_writable(clock::local_time());
    if !is_writable || service.unconfirmed_write.is_some() {
        return;
    }
    let mut reports = context.peer_reports.borrow_mut();
    let service_time = reports.mean_service_time(capacities);
    let key_loads = reports.key_loads(name);
    key_loads.decay(now);
    if let Some(service_time) = service_time {
        let transfers = service.hot_keys.choose_transfers(
            &service.manager.table(),
            key_loads,
            (capacities, service_time),
            |assignment| !service.manager.is_settled(assignment.first),
            now,
        );
        begin_transfers(&mut service.manager, &transfers, now);
    }
    let transfers = rebalance(
        &service.manager.table(),
        key_loads,
        capacities,
        max_transfers(capacities.len()),
        |assignment| !service.manager.is_settled(assignment.first),
    );
    begin_transfers(&mut service.manager, &transfers, now);
}

fn begin_transfers(manager: &mut AssignmentManager, transfers: &[Transfer], now: Instant) {
    for transfer in transfers {
        manager.start_transfer(transfer.first, transfer.last, &transfer.new_owner, now);
    }
}

/// Returns the most transfers to start in one rebalance.
fn max_transfers(target_count: usize) -> usize {
    let limit = (MAX_TARGET_CHECKS / target_count.max(1)).max(1);
    (BASE_TRANSFERS + target_count / TARGETS_PER_TRANSFER).min(limit)
}

/// Sends the commands that are due, each in a task of its own.
fn send_commands(context: &Rc<Context>, state: &Rc<RefCell<LeaderState>>, name: &Name) {
    // If the store may be unreachable, grants get the longest TTL.
    let is_renewal_overdue = context
        .election
        .borrow()
        .is_renewal_overdue(clock::local_time());
    let mut leader_state = state.borrow_mut();
    let Some(service) = leader_state.services.get_mut(name) else {
        return;
    };
    let started_at = service.started_at;
    for command in service
        .manager
        .next_commands(is_renewal_overdue, Instant::now())
    {
        let (context, state, name) = (context.clone(), state.clone(), name.clone());
        spawn_local(async move {
            let sent_at = Instant::now();
            let command_sender = state.borrow().command_sender.clone();
            let is_current = || {
                let services = &state.borrow().services;
                services
                    .get(&name)
                    .is_some_and(|it| it.started_at == started_at)
            };
            let outcome = command_sender.send(&context, &command, is_current).await;
            if matches!(outcome, CommandOutcome::Unsent | CommandOutcome::Unknown) {
                check_path(&context, &command);
            }
            let mut state = state.borrow_mut();
            // A state that was created after the command was sent must not get its outcome.
            if let Some(service) = state
                .services
                .get_mut(&name)
                .filter(|it| it.started_at == started_at)
            {
                service
                    .manager
                    .handle_outcome(&command, outcome, sent_at, Instant::now());
            }
            context.leader_work.notify_one();
        });
    }
}

/// Finds out, in a task of its own, whether only the path to the target of a command is at fault.
fn check_path(context: &Rc<Context>, command: &Command) {
    let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
    if let Some(owner) = assignment.owner.clone() {
        let context = context.clone();
        spawn_local(async move { target_path::check_path(&context, &owner).await });
    }
}
