//! The leader's duty: it keeps every key with one target, and spreads keys by their load.

use {
    crate::{
        clock,
        context::Context,
        lead::{
            courier::{self, Courier},
            recorder,
            standing::{Standing, standings},
        },
        peers::{
            heartbeat_protocol::{self, MemberReport, MemberReports},
            membership::{Member, Membership},
            message::InstanceReport,
        },
    },
    cowslip_decide::{
        names::Name,
        owners::{
            AssignmentManager, AssignmentTable, Candidate, CommandTiming, KeyLoads,
            TargetCapacities, TargetIncarnation, rebalance,
        },
    },
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, timeout},
    },
};

/// Period in which the leader looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two such looks, for each target: a look takes the longer the more there are.
const GAP: Duration = Duration::from_micros(50);
/// Shortest time between two heartbeats, for each member.
const BEAT_GAP: Duration = Duration::from_micros(400);
/// Hold of a grant.
const HOLD: Duration = Duration::from_millis(2700);
/// Time after which a grant is renewed.
const RENEWAL: Duration = Duration::from_millis(650);
/// The same for a service with many pieces.
const SLOW_RENEWAL: Duration = Duration::from_millis(1100);
/// Time after which an order that failed is sent again.
const RETRY: Duration = Duration::from_millis(150);
/// Period of heartbeats.
const BEAT: Duration = Duration::from_millis(500);
/// Time by which heartbeats with new owners follow their grants.
const GRANTS_FIRST: Duration = Duration::from_millis(3);
/// Time without a new target after which keys that never had an owner are given out.
const GATHERED: Duration = Duration::from_millis(1000);
/// Longest wait for further targets before that.
const LONGEST_GATHER: Duration = Duration::from_millis(3500);
/// Period in which keys are spread anew.
const BALANCE: Duration = Duration::from_millis(500);
/// Most transfers that are begun at a time: this many, and one for each so many targets.
const TRANSFERS: usize = 6;
const TARGETS_EACH: usize = 8;
/// Most transfers for so many targets: choosing one takes a look at each of them.
const MOST_LOOKS: usize = 10_000;

/// Bounds of a target's speed in relation to the others.
const SLOWEST: f64 = 0.2;
const FASTEST: f64 = 2.0;

/// What a leader knows beyond the store; another instance's is empty.
#[derive(Default)]
pub struct LeaderState {
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Time as leader to which the services belong.
    reign: u64,
    courier: Rc<Courier>,
}

impl LeaderState {
    /// Returns whether a grant is under way.
    pub fn is_granting(&self) -> bool {
        self.services
            .values()
            .any(|it| it.keeper.has_grant_in_flight())
    }
}

/// One divided service as its leader keeps it.
pub struct Service {
    /// Ownership.
    pub keeper: AssignmentManager,
    /// Version of the recorded owners; 0 if there is no row.
    pub version: u64,
    /// Table whose record got no answer, and the version of the leader's row then.
    pub pending: Option<(AssignmentTable, u64)>,
    /// Whether a record or the look at one is under way.
    pub recording: bool,
    /// When the last record began.
    pub recorded: Option<Instant>,
    /// When it was taken over.
    pub begun: Instant,
    balanced: Instant,
    /// Number of targets while none has a key, and since when it is the same.
    gathered: (usize, Instant),
}

impl Service {
    /// Returns whether further targets are awaited before keys get their first owners.
    fn gathers(&mut self, targets: usize, now: Instant) -> bool {
        if self.version > 0 {
            return false;
        }
        if targets != self.gathered.0 {
            self.gathered = (targets, now);
        }
        let complete = targets > 0 && now - self.gathered.1 >= GATHERED;
        !complete && now - self.begun < LONGEST_GATHER
    }
}

/// What other instances report.
#[derive(Debug, Default)]
pub struct Reports {
    /// Load of keys by service.
    loads: BTreeMap<Name, KeyLoads>,
    /// Average time of targets' answers in milliseconds.
    paces: BTreeMap<Name, u32>,
    /// Instances that report it.
    pub members: MemberReports,
}

/// Returns the time after which no grant is in force if this leader sends no more.
///
/// That is `None` while it has not yet taken over what the one before it granted, and while grants
/// are under way: an instance that is short of processor time may send them late.
pub fn holds(context: &Context) -> Option<Duration> {
    let now = Instant::now();
    let state = context.leader_state.borrow();
    if state.is_granting() {
        return None;
    }
    let current = state.reign == context.election.borrow().epoch();
    let all = divided(context).into_iter();
    let holds = all.map(|name| Some(state.services.get(&name)?.keeper.remaining_grant_time(now)));
    let longest = holds.collect::<Option<Vec<Duration>>>()?.into_iter().max();
    longest.filter(|_| current)
}

impl Reports {
    /// Returns the load of a service's keys.
    pub fn loads(&mut self, service: &Name) -> &mut KeyLoads {
        self.loads.entry(service.clone()).or_default()
    }
}

/// Returns the strongest member but this instance that the store answers.
pub fn successor(context: &Context) -> Option<Member> {
    let own = context.settings.listen.heartbeats;
    let reports = context.peer_reports.borrow();
    let able = reports.members.iter();
    let able = able.filter(|(address, heard)| heard.store_reachable && **address != own);
    let members = able.map(|(address, heard)| Member {
        address: *address,
        weight: heard.weight,
    });
    Membership::new(members.collect()).strongest_except(own)
}

/// Counts the members that the former leader told, so that they hear of the new one at once.
pub fn take_members(context: &Context) {
    let mut reports = context.peer_reports.borrow_mut();
    let now = Instant::now();
    for member in context.membership.borrow().members() {
        let heard = MemberReport {
            weight: member.weight,
            store_reachable: false,
            received_at: now,
        };
        reports.members.entry(member.address).or_insert(heard);
    }
}

/// Takes the load of keys that another instance reports.
pub fn report(context: &Context, from: SocketAddr, report: InstanceReport) {
    let mut reports = context.peer_reports.borrow_mut();
    let heard = MemberReport {
        weight: report.weight,
        store_reachable: report.store_reachable,
        received_at: Instant::now(),
    };
    reports.members.insert(from, heard);
    reports.paces.extend(report.service_times);
    for (service, keys) in report.key_counts {
        let loads = reports.loads.entry(service).or_default();
        for (key, requests) in keys {
            loads.add_requests(key, f64::from(requests));
        }
    }
}

/// Acts as leader whenever this instance is.
pub async fn keep(context: Rc<Context>) {
    let state = context.leader_state.clone();
    let mut beaten = Instant::now();
    let mut told = Known::default();
    loop {
        // Either the tick is over or there is something to do.
        let _ = timeout(TICK, context.leader_work.notified()).await;
        let reign = context.election.borrow().epoch();
        if state.borrow().reign != reign {
            let mut state = state.borrow_mut();
            state.services.clear();
            state.reign = reign;
        }
        if !context.is_leader() || context.leader_since.get().is_none() {
            // Without duties there is nothing to look at so often.
            let _ = timeout(4 * TICK, context.leader_work.notified()).await;
            continue;
        }
        for service in divided(&context) {
            turn(&context, &state, &service);
        }
        // Orders that end in between wait for the next look.
        let targets = context.targets.borrow().all().count() as u32;
        sleep(GAP * targets).await;
        // What the others follow is told at once.
        let known = Known::of(&context);
        if known.owners != told.owners {
            // Grants go first, so that the new owners have their keys when requests come.
            sleep(GRANTS_FIRST).await;
        }
        let members = context.membership.borrow().members().len() as u32;
        let changed = known != told && beaten.elapsed() >= BEAT_GAP * members;
        if changed || beaten.elapsed() >= BEAT {
            (beaten, told) = (Instant::now(), known);
            heartbeat_protocol::send_heartbeat(&context).await;
        }
    }
}

/// Versions that heartbeats tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    config: u64,
    targets: u64,
    owners: Vec<u64>,
}

impl Known {
    fn of(context: &Context) -> Self {
        let owners = context.owners.borrow();
        Self {
            config: context.operator_version.get(),
            targets: context.targets.borrow().changed_version(),
            owners: owners.values().map(|it| it.version).collect(),
        }
    }
}

/// Returns the services whose keys have owners.
fn divided(context: &Context) -> Vec<Name> {
    let config = context.config.borrow();
    let services = config.iter().flat_map(|config| &config.services);
    let divided = services.filter(|(_, service)| service.sharded);
    divided.map(|(name, _)| name.clone()).collect()
}

/// Looks after one service. Records run beside it, so that renewals do not wait for the store.
fn turn(context: &Rc<Context>, state: &Rc<RefCell<LeaderState>>, name: &Name) {
    adopt(context, state, name);
    let now = Instant::now();
    let all = standings(context, name);
    let capacity = capacity(context, &all);
    {
        let mut state = state.borrow_mut();
        let Some(service) = state.services.get_mut(name) else {
            return;
        };
        if service.gathers(capacity.len(), now) {
            return;
        }
        let candidates = all.iter().map(|(id, it)| {
            let candidate = Candidate {
                incarnation: it.born,
                can_own: it.open,
            };
            (id.clone(), candidate)
        });
        service.keeper.review_owners(&candidates.collect(), now);
        for life in replaced(context, service) {
            service.keeper.mark_ended(&life, now);
        }
        spread(context, service, name, &capacity);
    }
    recorder::start(context, state, name, all, capacity);
    send(context, state, name);
}

/// Takes the service over, if that is not yet done since this instance became leader.
fn adopt(context: &Context, state: &RefCell<LeaderState>, name: &Name) {
    let now = Instant::now();
    let mut state = state.borrow_mut();
    if state.services.contains_key(name) {
        return;
    }
    let owners = context.owners.borrow().get(name).cloned();
    let table = owners
        .as_ref()
        .map_or_else(AssignmentTable::default, |it| (*it.table).clone());
    let max_hold = context.bounds.borrow().max_ttl;
    let timing = CommandTiming {
        ttl: HOLD.min(max_hold),
        long_ttl: max_hold,
        max_ttl: max_hold,
        renewal_interval: RENEWAL,
        slow_renewal: SLOW_RENEWAL,
        retry_delay: RETRY,
        delivery_limit: courier::FLIGHT,
    };
    let service = Service {
        keeper: AssignmentManager::new(&table, timing, context.previous_leaders(), now),
        version: owners.map_or(0, |it| it.version),
        pending: None,
        recording: false,
        recorded: None,
        begun: now,
        balanced: now,
        gathered: (0, now),
    };
    state.services.insert(name.clone(), service);
}

/// Returns what the targets that may get keys can do; cold ones only where there is no other.
fn capacity(context: &Context, all: &BTreeMap<Name, Standing>) -> TargetCapacities {
    let mut reports = context.peer_reports.borrow_mut();
    let targets = context.targets.borrow();
    reports.paces.retain(|id, _| targets.get(id).is_some());
    let paces: Vec<u32> = all
        .keys()
        .filter_map(|id| reports.paces.get(id).copied())
        .collect();
    let usual = f64::from(paces.iter().sum::<u32>()) / paces.len().max(1) as f64;
    let speed = |id: &Name| match reports.paces.get(id) {
        Some(pace) => (usual / f64::from(*pace).max(1.0)).clamp(SLOWEST, FASTEST),
        None => 1.0,
    };
    let slots = |id: &Name| targets.get(id).map_or(1, |it| it.report.slots) as f64;
    let open = |cold: bool| {
        let chosen = all.iter().filter(move |(_, it)| it.open && it.cold == cold);
        chosen
            .map(|(id, _)| (id.clone(), slots(id) * speed(id)))
            .collect::<TargetCapacities>()
    };
    let warm = open(false);
    if warm.is_empty() { open(true) } else { warm }
}

/// Returns the owners that are not listed and whose address belongs to a target that started later.
///
/// An address is given to another target only some time after the process that had it has ended.
fn replaced(context: &Context, service: &Service) -> Vec<TargetIncarnation> {
    let targets = context.targets.borrow();
    let owners = service.keeper.owners().into_iter();
    let unlisted: Vec<&TargetIncarnation> = owners
        .filter(|life| targets.get(&life.id).is_none())
        .filter(|life| !service.keeper.ended_incarnations().contains(life))
        .collect();
    if unlisted.is_empty() {
        return Vec::new();
    }
    let listed = targets
        .all()
        .map(|it| (it.report.address, it.report.incarnation));
    let listed: BTreeMap<SocketAddr, u64> = listed.collect();
    let unlisted = unlisted.into_iter().filter(|life| {
        let address = context.target_address(life);
        let next = address.and_then(|at| listed.get(&at));
        next.is_some_and(|born| *born > life.incarnation)
    });
    unlisted.cloned().collect()
}

/// Begins transfers that make the loads more even.
fn spread(context: &Context, service: &mut Service, name: &Name, capacity: &TargetCapacities) {
    let now = Instant::now();
    service.keeper.split_evenly(capacity.len() as u32);
    if now - service.balanced < BALANCE {
        return;
    }
    service.balanced = now;
    // Keys that were released and cannot be recorded would have no owner.
    let writes = context
        .election
        .borrow()
        .is_store_writable(clock::local_time());
    if !writes || service.pending.is_some() {
        return;
    }
    let mut reports = context.peer_reports.borrow_mut();
    let loads = reports.loads(name);
    loads.decay(now);
    let transfers = rebalance(
        &service.keeper.table(),
        loads,
        capacity,
        transfers(capacity.len()),
        |piece| !service.keeper.is_settled(piece.first),
    );
    for transfer in transfers {
        let (first, last) = (transfer.first, transfer.last);
        service
            .keeper
            .start_transfer(first, last, &transfer.new_owner, now);
    }
}

/// Returns how many transfers are begun at a time among so many targets.
fn transfers(targets: usize) -> usize {
    let most = (MOST_LOOKS / targets.max(1)).max(1);
    (TRANSFERS + targets / TARGETS_EACH).min(most)
}

/// Sends the orders that are due.
fn send(context: &Rc<Context>, state: &Rc<RefCell<LeaderState>>, name: &Name) {
    let strained = context
        .election
        .borrow()
        .is_renewal_overdue(clock::local_time());
    let mut own = state.borrow_mut();
    let Some(service) = own.services.get_mut(name) else {
        return;
    };
    let begun = service.begun;
    for order in service.keeper.next_commands(strained, Instant::now()) {
        let (context, state, name) = (context.clone(), state.clone(), name.clone());
        spawn_local(async move {
            let sent = Instant::now();
            let courier = state.borrow().courier.clone();
            let current = || {
                let services = &state.borrow().services;
                services.get(&name).is_some_and(|it| it.begun == begun)
            };
            let done = courier.carry(&context, &order, current).await;
            let mut state = state.borrow_mut();
            // The orders of an earlier time as leader are not this keeper's.
            if let Some(service) = state.services.get_mut(&name).filter(|it| it.begun == begun) {
                service
                    .keeper
                    .handle_outcome(&order, done, sent, Instant::now());
            }
            context.leader_work.notify_one();
        });
    }
}
