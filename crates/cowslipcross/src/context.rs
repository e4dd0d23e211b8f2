//! What the tasks of an instance share.

use {
    crate::{
        clock,
        events::{EventCode, EventFields, EventLog, Origin, logger},
        lead::keep::{LeaderState, Reports},
        metrics::Metrics,
        peers::{datagram::Port, membership::Membership},
        serve::{block::Blocks, line::Line, permit::Permits, route::Routes},
        views::{news::News, seen::Targets},
    },
    cowslip_adapter::{config::Config, store::Store},
    cowslip_decide::{
        election::LeaderElection,
        limits::{RetryBudget, RetryWindow},
        names::{Incarnation, Name},
        owners::{Assignment, AssignmentTable, PreviousLeaders, StoreTimeBound, TargetIncarnation},
        traffic_split::TrafficSplitter,
    },
    cowslip_settings::process::{ProcessSettings, bounds::Bounds},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        sync::{Mutex, Notify},
        time::Instant,
    },
};

/// Lease of the leader.
pub const LEASE_TTL: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which the leader counts as unheard.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1100);
/// Instances that are assumed until the leader tells their number; a high one makes shares small.
const ASSUMED_INSTANCES: u32 = 100;
/// EventLog that are kept for operators.
const EVENT_CAPACITY: usize = 512;

/// Owners of a service's keys as they were recorded.
#[derive(Clone, Debug)]
pub struct RecordedAssignments {
    /// Version of the row.
    pub version: u64,
    /// Owners.
    pub table: Rc<AssignmentTable>,
    /// What the leader changed last, if this instance is the leader.
    pub last_change: Option<AssignmentChange>,
}

/// Difference between two versions of the recorded owners.
#[derive(Clone, Debug)]
pub struct AssignmentChange {
    /// Version before it.
    pub base_version: u64,
    /// Pieces that are new.
    pub assignments: Vec<Assignment>,
    /// Time of the record.
    pub recorded_at: Instant,
}

/// Where the latest known run of a target was last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetAddress {
    /// Start of the run.
    pub incarnation: u64,
    /// Its address.
    pub socket_address: SocketAddr,
}

/// Keys of requests since the last report, by service.
pub type KeyCounts = BTreeMap<Name, BTreeMap<u16, u32>>;

/// What the tasks of an instance share.
pub struct Context {
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Bounds, which a reload replaces.
    pub bounds: RefCell<Bounds>,
    /// Run of this instance; rows that it wrote bear it.
    pub run_id: String,
    /// Events.
    pub events: EventLog,
    /// Metrics.
    pub metrics: Metrics,
    /// Store for reads that wait for changes.
    pub watch_store: Store,
    /// Store for reads of targets.
    pub target_store: Store,
    /// Store for reads and writes of the project's own rows.
    pub router_store: Store,
    /// Whether the store answered last.
    pub store_reachable: Cell<bool>,
    /// Told when the store answers again.
    pub store_recovered: Notify,
    /// Lets one write of the project's own rows after another.
    pub write_lock: Mutex<()>,
    /// Last time the store told whether the configuration has changed.
    pub config_confirmed: Cell<Option<Instant>>,
    /// Version of the operators' last change that this instance knows.
    pub operator_version: Cell<u64>,
    /// Version of the operators' last change that others told.
    reported_version: Cell<u64>,
    /// Told when others know a change of the operators' that this instance does not.
    pub config_stale: Notify,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Routes in force.
    pub routes: RefCell<Rc<Routes>>,
    /// Targets as this instance sees them.
    pub targets: RefCell<Rc<Targets>>,
    /// Where targets were last: one whose report has lapsed may still hold keys.
    pub target_addresses: RefCell<BTreeMap<Name, TargetAddress>>,
    /// The last change of the targets that this instance has read.
    pub target_updates: RefCell<News>,
    /// Told when changes of the targets were missed.
    pub updates_missed: Notify,
    /// Withdrawn data centres and since when this instance knows it.
    pub withdrawn: RefCell<BTreeMap<Name, Instant>>,
    /// Owners of keys by service.
    pub owners: RefCell<BTreeMap<Name, RecordedAssignments>>,
    /// How often owners that were missed were asked for in vain, and when last.
    pub owner_requests: Cell<(u32, Option<Instant>)>,
    /// Keys whose owner refused a request of late.
    pub blocked_keys: RefCell<Blocks>,
    /// Connections and load by target.
    pub connections: RefCell<BTreeMap<Name, Rc<Line>>>,
    /// Retries by service.
    pub retry_windows: RefCell<BTreeMap<Name, RetryWindow>>,
    /// Distribution of each route's requests by weight.
    pub splitters: RefCell<BTreeMap<Name, TrafficSplitter>>,
    /// Leadership.
    pub election: RefCell<LeaderElection>,
    /// What this instance knows as leader.
    pub leader_state: Rc<RefCell<LeaderState>>,
    /// Version of the leader's row as it was read last, and the time of the store's clock after
    /// which none of its holder's grants is in force, if it tells.
    pub observed_row: Cell<Option<(u64, Option<Duration>)>>,
    /// The same time, if this instance took the row over from that version.
    pub grants_expire: Cell<Option<Duration>>,
    /// Port for datagrams of other instances.
    pub peer_socket: Port,
    /// Address of the leader.
    pub leader_address: Cell<Option<SocketAddr>>,
    /// Time of the leader's last heartbeat.
    pub last_heartbeat: Cell<Option<Instant>>,
    /// Instances that the leader hears of.
    pub instance_count: Cell<u32>,
    /// Instances that the leader hears of, with their addresses.
    pub membership: RefCell<Membership>,
    /// Permits that this instance gives and asks for.
    pub permits: Permits,
    /// Since when this instance is the leader.
    pub leader_since: Cell<Option<Instant>>,
    /// Keys of requests since the last report.
    pub key_counts: RefCell<KeyCounts>,
    /// What other instances report; of use to the leader.
    pub peer_reports: RefCell<Reports>,
    /// Told when targets, owners or withdrawals change.
    pub routing_changed: Notify,
    /// Told when the recorded owners have to be read.
    pub refresh_requested: Notify,
    /// Told when the leader has something to do.
    pub leader_work: Notify,
    /// Time of the stop signal.
    pub stopping_since: Cell<Option<Instant>>,
    /// Requests in progress.
    pub active_requests: Cell<u32>,
}

impl Context {
    /// Creates the context of an instance that knows nothing yet.
    ///
    /// # Errors
    /// Fails if the log cannot be opened.
    pub fn new(settings: ProcessSettings, socket: UdpSocket) -> eyre::Result<Self> {
        let incarnation = Incarnation(since_epoch().as_micros() as u64);
        let origin = Origin {
            process: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
        };
        let logger = logger::stdout(spdlog::Level::Debug)?;
        Ok(Self {
            bounds: RefCell::new(settings.bounds.clone()),
            run_id: format!("{}-{:x}", settings.name, rand::random::<u64>()),
            events: EventLog::new(origin, EVENT_CAPACITY, Some(logger)),
            metrics: Metrics::default(),
            watch_store: Store::new(settings.store),
            target_store: Store::new(settings.store),
            router_store: Store::new(settings.store),
            store_reachable: Cell::new(false),
            store_recovered: Notify::new(),
            write_lock: Mutex::new(()),
            config_confirmed: Cell::new(None),
            operator_version: Cell::new(0),
            reported_version: Cell::new(0),
            config_stale: Notify::new(),
            config: RefCell::default(),
            routes: RefCell::default(),
            targets: RefCell::new(Rc::new(Targets::empty())),
            target_addresses: RefCell::default(),
            target_updates: RefCell::default(),
            updates_missed: Notify::new(),
            withdrawn: RefCell::default(),
            owners: RefCell::default(),
            owner_requests: Cell::new((0, None)),
            blocked_keys: RefCell::default(),
            connections: RefCell::default(),
            retry_windows: RefCell::default(),
            splitters: RefCell::default(),
            election: RefCell::new(LeaderElection::new(LEASE_TTL)),
            leader_state: Rc::default(),
            observed_row: Cell::new(None),
            grants_expire: Cell::new(None),
            peer_socket: Port::new(socket),
            leader_address: Cell::new(None),
            last_heartbeat: Cell::new(None),
            instance_count: Cell::new(ASSUMED_INSTANCES),
            membership: RefCell::default(),
            permits: Permits::default(),
            leader_since: Cell::new(None),
            key_counts: RefCell::default(),
            peer_reports: RefCell::default(),
            routing_changed: Notify::new(),
            refresh_requested: Notify::new(),
            leader_work: Notify::new(),
            stopping_since: Cell::new(None),
            active_requests: Cell::new(0),
            settings,
        })
    }

    /// Records an event that is about nothing in particular.
    pub fn record_event(&self, code: EventCode, detail: String) {
        let about = EventFields {
            detail: Some(detail),
            ..EventFields::default()
        };
        self.events.record(code, about);
    }

    /// Returns the versions and ages of what a decision about a service rested on, for the log.
    pub fn describe_views(&self, service: &str) -> String {
        let config = self.config.borrow().as_ref().map_or(0, |it| it.version);
        let owners = self.owners.borrow().get(service).map_or(0, |it| it.version);
        let age = self.targets.borrow().age(Instant::now());
        let age = age.map_or_else(
            || "never".into(),
            |age| format!("{} ms ago", age.as_millis()),
        );
        format!("config {config}, owners {owners}, targets read {age}")
    }

    /// Takes whether the store answered a call.
    pub fn set_store_reachable(&self, answered: bool) {
        if answered && !self.store_reachable.replace(answered) {
            self.store_recovered.notify_waiters();
        }
        self.store_reachable.set(answered);
    }

    /// Returns whether this instance may act as leader now.
    pub fn is_leader(&self) -> bool {
        self.election.borrow().is_leader(clock::local_time())
    }

    /// Returns what is known of the leaders before this instance.
    pub fn previous_leaders(&self) -> PreviousLeaders {
        PreviousLeaders {
            grants_expire: self.grants_expire.get(),
            earliest_now: self
                .election
                .borrow()
                .store_timestamp()
                .map(|it| it.store_time),
        }
    }

    /// Returns the present moment with the time that the store's clock shows at the latest, if the
    /// store ever told one.
    pub fn store_time_bound(&self) -> Option<StoreTimeBound> {
        let mark = self.election.borrow().store_timestamp()?;
        let now = clock::local_time();
        Some(StoreTimeBound {
            local: now.monotonic,
            latest: mark.store_time + now.since_boot.saturating_sub(mark.sent_at.since_boot),
        })
    }

    /// Remembers where runs of targets were last, unless a later run is known.
    pub fn record_addresses(&self, targets: impl Iterator<Item = (TargetIncarnation, SocketAddr)>) {
        let mut addresses = self.target_addresses.borrow_mut();
        for (target, socket_address) in targets {
            let latest = TargetAddress {
                incarnation: target.incarnation,
                socket_address,
            };
            let known = addresses.entry(target.id).or_insert(latest);
            if known.incarnation <= latest.incarnation {
                *known = latest;
            }
        }
    }

    /// Returns the last known address of a run of a target.
    pub fn target_address(&self, target: &TargetIncarnation) -> Option<SocketAddr> {
        let addresses = self.target_addresses.borrow();
        let known = addresses.get(&target.id);
        known
            .filter(|it| it.incarnation == target.incarnation)
            .map(|it| it.socket_address)
    }

    /// Returns whether this instance hears another one that is the leader.
    pub fn is_follower(&self) -> bool {
        let heard = self.last_heartbeat.get();
        !self.is_leader() && heard.is_some_and(|heard| heard.elapsed() <= HEARTBEAT_TIMEOUT)
    }

    /// Takes the version of the operators' last change that another instance knows.
    pub fn update_reported_version(&self, version: u64) {
        self.reported_version
            .set(version.max(self.reported_version.get()));
        if self.is_config_stale() {
            self.config_stale.notify_one();
        }
    }

    /// Returns whether others know a change of the operators' that this instance does not.
    pub fn is_config_stale(&self) -> bool {
        self.operator_version.get() < self.reported_version.get()
    }

    /// Counts a request of a caller for the share of retries.
    pub fn count_request(&self, service: &Name) {
        let now = Instant::now();
        let bound = self.retry_budget();
        let mut shares = self.retry_windows.borrow_mut();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        share.add_request(&bound, now);
    }

    /// Takes one repeated send to a service out of this instance's share.
    pub fn reserve_retry(&self, service: &Name) -> bool {
        let now = Instant::now();
        let bound = self.retry_budget();
        let instances = self.instance_count.get();
        let mut shares = self.retry_windows.borrow_mut();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        let allowed = share.try_add_retry(&bound, instances, now);
        self.metrics.count_retry(service, allowed);
        allowed
    }

    /// Returns whether the instance can serve: it knows the configuration, the targets and, where
    /// keys have owners, these.
    pub fn is_ready(&self) -> bool {
        let Some(config) = self.config.borrow().clone() else {
            return false;
        };
        let owners = self.owners.borrow();
        let mut divided = config.services.iter().filter(|(_, it)| it.sharded);
        let owned = divided.all(|(name, _)| owners.contains_key(name));
        owned && self.targets.borrow().known() && self.stopping_since.get().is_none()
    }

    fn retry_budget(&self) -> RetryBudget {
        let bounds = self.bounds.borrow();
        RetryBudget {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }
}

/// Returns the time since 1970.
fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
