//! State shared by the tasks of an instance.

use {
    crate::{
        clock,
        events::{EventCode, EventFields, EventLog, Origin, logger},
        lead::{leader_loop::LeaderState, peer_reports::PeerReports},
        metrics::Metrics,
        peers::{datagram::PeerSocket, formats::PeerFormats, membership::Membership},
        serve::{
            blocked_keys::BlockedKeys, coordinator::Coordinator,
            crashing_requests::CrashingRequests, organisations::Organisations, permits::Permits,
            quiet_targets::QuietTargets, routes::Routes, target_connections::TargetConnections,
        },
        views::{
            recorded_assignments::RecordedAssignments, target_addresses::TargetAddresses,
            target_notices::TargetNotices, target_snapshot::TargetSnapshot,
            target_updates::TargetUpdates,
        },
    },
    cowslip_adapter::{config::Config, store::Store},
    cowslip_decide::{
        call_timeout::CallTimeout,
        election::LeaderElection,
        limits::{RetryBudget, RetryWindow},
        memory_budget::MemoryBudget,
        names::{Incarnation, Name, StoreVersion},
        owners::{PreviousLeaders, StoreTimeBound},
        reach::Reach,
        relays::Relays,
        restarts::Restarts,
        shutdown::Shutdown,
        traffic_split::TrafficSplitter,
    },
    cowslip_settings::process::{ProcessSettings, bounds::Bounds},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        sync::{Mutex, Notify, watch},
        time::Instant,
    },
};

/// Time for which the leader's lease lasts after a write of its row.
pub const LEASE_TTL: Duration = Duration::from_millis(2500);
/// Time since the last heartbeat after which an instance considers the leader lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1100);
/// Number of instances assumed before the first heartbeat; high, so that this instance's share of
/// the limits that are divided among all starts small.
const ASSUMED_INSTANCES: u32 = 100;
/// Bytes that messages may hold for each MiB of the instance's memory: three quarters of it.
const MESSAGE_BYTES_PER_MIB: f64 = 0.75 * 1024.0 * 1024.0;
/// Events kept for operators.
const EVENT_CAPACITY: usize = 512;

/// Number of requests by service and key since the last report to the leader.
pub type KeyCounts = BTreeMap<Name, BTreeMap<u16, u32>>;

/// State shared by the tasks of an instance.
pub struct Context {
    /// Settings of the process as read at start.
    pub settings: ProcessSettings,
    /// Section `bounds` of the settings, replaced on a reload.
    pub bounds: RefCell<Bounds>,
    /// Identifies this run of the instance as the writer of the leader's row.
    pub run_id: String,
    /// Events for operators and the log.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Store client for reads of the operators' table (configuration and withdrawals). These wait
    /// for changes, so they have a connection of their own.
    pub watch_store: Store,
    /// Store client for reads of the table of targets.
    pub target_store: Store,
    /// Store client for the router's own table (leader's row and assignments).
    pub router_store: Store,
    /// Era of the store; `None` before its first response.
    pub store_era: Cell<Option<u64>>,
    /// When this instance learned that the store was restored from a backup.
    pub restored_at: Cell<Option<Instant>>,
    /// Time on the store's clock until which grants may be in force of which nothing is recorded
    /// since the store was restored; `None` if there are none or the row was not read.
    pub unknown_until: Cell<Option<Duration>>,
    /// Whether the store answered this instance's last call.
    pub store_reachable: Cell<bool>,
    /// Timeout of calls to the store.
    pub store_timeout: Cell<CallTimeout>,
    /// Notified when the store answers again.
    pub store_recovered: Notify,
    /// Serialises calls to the router's own table: writes, and reads that must not overlap them.
    pub write_lock: Mutex<()>,
    /// When the store last confirmed that this instance has the latest operators' table.
    pub config_confirmed: Cell<Option<Instant>>,
    /// Highest version of a row of the operators' table that this instance has applied.
    pub operator_version: Cell<StoreVersion>,
    /// Highest version of a row of the operators' table that another instance has reported.
    reported_version: Cell<StoreVersion>,
    /// Notified when another instance has applied a change of the operators' table that this one
    /// has not read.
    pub config_stale: Notify,
    /// Configuration in force; `None` before the first one was read.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Routes of the configuration in force.
    pub routes: RefCell<Rc<Routes>>,
    /// Organisations of the configuration in force, and what is let in of their requests.
    pub organisations: Organisations,
    /// Targets as last read from the store or received from the leader.
    pub targets: RefCell<Rc<TargetSnapshot>>,
    /// Last known addresses of targets.
    pub target_addresses: RefCell<TargetAddresses>,
    /// Latest changes of targets, sent to the other instances while this one leads.
    pub target_updates: RefCell<TargetUpdates>,
    /// Notified when the leader's updates of targets cannot be applied and the store must be read.
    pub updates_missed: Notify,
    /// Withdrawn data centres, with the time at which this instance learned of it.
    pub withdrawn: RefCell<BTreeMap<Name, Instant>>,
    /// Assignments by service, as recorded in the store.
    pub recorded_assignments: RefCell<BTreeMap<Name, RecordedAssignments>>,
    /// Number of requests to the leader for assignments since its last reply, and when the last one
    /// was sent.
    pub assignment_requests: Cell<(u32, Option<Instant>)>,
    /// Keys whose owner refused a request a moment ago.
    pub blocked_keys: RefCell<BlockedKeys>,
    /// What targets say of themselves in their responses.
    pub target_notices: RefCell<TargetNotices>,
    /// Targets that want no requests from this instance for some time.
    pub quiet_targets: RefCell<QuietTargets>,
    /// Requests that crash the targets that run them.
    pub crashing_requests: RefCell<CrashingRequests>,
    /// Memory for bodies, connections and requests in progress.
    pub memory_budget: Arc<MemoryBudget>,
    /// Targets that may have restarted since their last report.
    pub restarts: RefCell<Restarts>,
    /// Whether this instance reaches targets on its own path.
    pub reach: RefCell<Reach>,
    /// Which instances reach targets that this one does not.
    pub relays: RefCell<Relays<SocketAddr>>,
    /// Connections to instances that pass requests on.
    pub relay_connections: RefCell<BTreeMap<SocketAddr, Rc<TargetConnections>>>,
    /// Connections to targets, with their load.
    pub connections: RefCell<BTreeMap<Name, Rc<TargetConnections>>>,
    /// Requests and retries by service within the retry window.
    pub retry_windows: RefCell<BTreeMap<Name, RetryWindow>>,
    /// Weighted distribution of each route's requests over services.
    pub splitters: RefCell<BTreeMap<Name, TrafficSplitter>>,
    /// State machine of the leader election.
    pub election: RefCell<LeaderElection>,
    /// State of the assignments while this instance leads.
    pub leader_state: Rc<RefCell<LeaderState>>,
    /// Version of the leader's row as last read, and the time on the store's clock after which no
    /// grant of its writer is in force. The time is `None` if the row does not tell it; all is
    /// `None` before the first read.
    pub observed_row: Cell<Option<(StoreVersion, Option<Duration>)>>,
    /// Time on the store's clock after which no grant of the previous leader is in force, taken from
    /// [`Self::observed_row`] when this instance replaced that row to become leader. `None` if it is
    /// unknown, or if grants of this instance itself may last longer.
    pub grants_expire: Cell<Option<Duration>>,
    /// UDP socket for messages between instances.
    pub peer_socket: PeerSocket,
    /// Formats of messages that the instances read.
    pub formats: PeerFormats,
    /// Address of the leader's UDP socket.
    pub leader_address: Cell<Option<SocketAddr>>,
    /// When the leader's last heartbeat arrived.
    pub last_heartbeat: Cell<Option<Instant>>,
    /// Number of instances as counted by the leader.
    pub instance_count: Cell<u32>,
    /// Instances known to the leader, with addresses and weights.
    pub membership: RefCell<Membership>,
    /// Permits requested from the coordinators of pools.
    pub permits: Permits,
    /// Pools that this instance coordinates.
    pub coordinator: Coordinator,
    /// When a leader that has released its row asked this instance to claim it.
    pub offered_at: Cell<Option<Instant>>,
    /// When this instance began to act as leader; `None` if it does not.
    pub leader_since: Cell<Option<Instant>>,
    /// Requests by service and key since the last report to the leader.
    pub key_counts: RefCell<KeyCounts>,
    /// Load reports of all instances; used by the leader.
    pub peer_reports: RefCell<PeerReports>,
    /// Notified when targets, assignments, configuration or withdrawals change; requests without a
    /// target wait for it.
    pub routing_changed: Notify,
    /// Notified when the router's own table has to be read at once by the task that keeps the
    /// leader's row.
    pub refresh_requested: Notify,
    /// Notified when the leader loop has something to do before its next interval.
    pub leader_work: Notify,
    /// Course of the shutdown; `None` before the stop signal.
    pub shutdown: watch::Sender<Option<Shutdown>>,
    /// Requests in progress.
    pub active_requests: Cell<u32>,
}

impl Context {
    /// Creates the context of an instance that has read nothing from the store yet.
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
        let memory_budget = MemoryBudget::new((settings.memory * MESSAGE_BYTES_PER_MIB) as usize);
        Ok(Self {
            bounds: RefCell::new(settings.bounds.clone()),
            run_id: format!("{}-{:x}", settings.name, rand::random::<u64>()),
            events: EventLog::new(origin, EVENT_CAPACITY, Some(logger)),
            metrics: Metrics::default(),
            watch_store: Store::new(settings.store, memory_budget.clone()),
            target_store: Store::new(settings.store, memory_budget.clone()),
            router_store: Store::new(settings.store, memory_budget.clone()),
            memory_budget,
            store_era: Cell::new(None),
            restored_at: Cell::new(None),
            unknown_until: Cell::new(None),
            store_reachable: Cell::new(false),
            store_timeout: Cell::default(),
            store_recovered: Notify::new(),
            write_lock: Mutex::new(()),
            config_confirmed: Cell::new(None),
            operator_version: Cell::default(),
            reported_version: Cell::default(),
            config_stale: Notify::new(),
            config: RefCell::default(),
            routes: RefCell::default(),
            organisations: Organisations::default(),
            targets: RefCell::new(Rc::new(TargetSnapshot::empty())),
            target_addresses: RefCell::default(),
            target_updates: RefCell::default(),
            updates_missed: Notify::new(),
            withdrawn: RefCell::default(),
            recorded_assignments: RefCell::default(),
            assignment_requests: Cell::new((0, None)),
            blocked_keys: RefCell::default(),
            target_notices: RefCell::default(),
            quiet_targets: RefCell::default(),
            crashing_requests: RefCell::default(),
            restarts: RefCell::default(),
            reach: RefCell::default(),
            relays: RefCell::default(),
            relay_connections: RefCell::default(),
            connections: RefCell::default(),
            retry_windows: RefCell::default(),
            splitters: RefCell::default(),
            election: RefCell::new(LeaderElection::new(LEASE_TTL)),
            leader_state: Rc::default(),
            observed_row: Cell::new(None),
            grants_expire: Cell::new(None),
            peer_socket: PeerSocket::new(socket),
            formats: PeerFormats::default(),
            leader_address: Cell::new(None),
            last_heartbeat: Cell::new(None),
            instance_count: Cell::new(ASSUMED_INSTANCES),
            membership: RefCell::default(),
            permits: Permits::default(),
            coordinator: Coordinator::default(),
            offered_at: Cell::new(None),
            leader_since: Cell::new(None),
            key_counts: RefCell::default(),
            peer_reports: RefCell::default(),
            routing_changed: Notify::new(),
            refresh_requested: Notify::new(),
            leader_work: Notify::new(),
            shutdown: watch::Sender::new(None),
            active_requests: Cell::new(0),
            settings,
        })
    }

    /// Records an event that has no field but its detail.
    pub fn record_event(&self, code: EventCode, detail: String) {
        let fields = EventFields {
            detail: Some(detail),
            ..EventFields::default()
        };
        self.events.record(code, fields);
    }

    /// Describes the versions and ages of the data used to route to a service, for the log.
    pub fn describe_views(&self, service: &str) -> String {
        let config = self.config.borrow().as_ref().map_or(0, |it| it.version);
        let owners = self
            .recorded_assignments
            .borrow()
            .get(service)
            .map_or(StoreVersion::NONE, |it| it.version);
        let age = self.targets.borrow().age(Instant::now());
        let age = age.map_or_else(
            || "never".into(),
            |age| format!("{} ms ago", age.as_millis()),
        );
        format!("config {config}, owners {owners}, targets read {age}")
    }

    /// Records whether the store answered a call, and notifies waiters once it is reachable again.
    pub fn set_store_reachable(&self, reachable: bool) {
        if reachable && !self.store_reachable.replace(reachable) {
            self.store_recovered.notify_waiters();
        }
        self.store_reachable.set(reachable);
    }

    /// Returns the era of the store, 0 before its first response.
    pub fn era(&self) -> u64 {
        self.store_era.get().unwrap_or(0)
    }

    /// Returns whether this instance's lease as leader is valid now.
    pub fn is_leader(&self) -> bool {
        self.election.borrow().is_leader(clock::local_time())
    }

    /// Returns when the grants of previous leaders have expired, and the earliest time that the
    /// store's clock can show now.
    pub fn previous_leaders(&self) -> PreviousLeaders {
        PreviousLeaders {
            grants_expire: self.grants_expire.get(),
            earliest_now: self
                .election
                .borrow()
                .store_timestamp()
                .map(|it| it.store_time),
            unknown_until: self.unknown_until.get(),
        }
    }

    /// Returns the local time with the latest time that the store's clock can show now; `None`
    /// until the store has reported its clock.
    pub fn store_time_bound(&self) -> Option<StoreTimeBound> {
        let timestamp = self.election.borrow().store_timestamp()?;
        let now = clock::local_time();
        Some(StoreTimeBound {
            local: now.monotonic,
            latest: timestamp.store_time
                + now.since_boot.saturating_sub(timestamp.sent_at.since_boot),
        })
    }

    /// Returns whether another instance leads and its heartbeats arrive.
    pub fn is_follower(&self) -> bool {
        let last = self.last_heartbeat.get();
        !self.is_leader() && last.is_some_and(|last| last.elapsed() <= HEARTBEAT_TIMEOUT)
    }

    /// Records the version of the operators' table that another instance has applied.
    pub fn update_reported_version(&self, version: StoreVersion) {
        self.reported_version
            .set(version.max(self.reported_version.get()));
        if self.is_config_stale() {
            self.config_stale.notify_one();
        }
    }

    /// Returns whether another instance has applied a change of the operators' table that this one
    /// has not read.
    pub fn is_config_stale(&self) -> bool {
        self.operator_version.get() < self.reported_version.get()
    }

    /// Counts a caller's request, which raises the number of retries allowed.
    pub fn count_request(&self, service: &Name) {
        let now = Instant::now();
        let budget = self.retry_budget();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        window.add_request(&budget, now);
    }

    /// Counts a retry to a service and returns `true`, or returns `false` if this instance's share
    /// of the retry budget is used up.
    pub fn reserve_retry(&self, service: &Name) -> bool {
        let now = Instant::now();
        let budget = self.retry_budget();
        let instances = self.instance_count.get();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        let allowed = window.try_add_retry(&budget, instances, now);
        self.metrics.count_retry(service, allowed);
        allowed
    }

    /// Returns whether the instance can serve: it is not stopping and has the configuration, the
    /// targets and the assignments of every sharded service.
    pub fn is_ready(&self) -> bool {
        let Some(config) = self.config.borrow().clone() else {
            return false;
        };
        let all_recorded = self.recorded_assignments.borrow();
        let mut sharded = config.services.iter().filter(|(_, it)| it.sharded);
        let has_owners = sharded.all(|(name, _)| all_recorded.contains_key(name));
        has_owners && self.targets.borrow().is_known() && !self.is_stopping()
    }

    /// Returns the course of the shutdown; `None` before the stop signal.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Returns whether the stop signal has arrived.
    pub fn is_stopping(&self) -> bool {
        self.shutdown().is_some()
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

/// Returns the time since the Unix epoch.
fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
