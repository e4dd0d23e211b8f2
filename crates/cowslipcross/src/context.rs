//! What the tasks of an instance share.

use {
    crate::{
        clock,
        events::{About, Code, Events, Origin, logger},
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
pub const TERM: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which the leader counts as unheard.
pub const SILENCE: Duration = Duration::from_millis(1100);
/// Instances that are assumed until the leader tells their number; a high one makes shares small.
const UNKNOWN_INSTANCES: u32 = 100;
/// Events that are kept for operators.
const EVENTS: usize = 512;

/// Owners of a service's keys as they were recorded.
#[derive(Clone, Debug)]
pub struct Owners {
    /// Version of the row.
    pub version: u64,
    /// Owners.
    pub table: Rc<AssignmentTable>,
    /// What the leader changed last, if this instance is the leader.
    pub change: Option<Change>,
}

/// Difference between two versions of the recorded owners.
#[derive(Clone, Debug)]
pub struct Change {
    /// Version before it.
    pub base: u64,
    /// Pieces that are new.
    pub pieces: Vec<Assignment>,
    /// Time of the record.
    pub at: Instant,
}

/// Where the latest known run of a target was last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Start of the run.
    pub born: u64,
    /// Its address.
    pub at: SocketAddr,
}

/// Keys of requests since the last report, by service.
pub type Sample = BTreeMap<Name, BTreeMap<u16, u32>>;

/// What the tasks of an instance share.
pub struct Context {
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Bounds, which a reload replaces.
    pub bounds: RefCell<Bounds>,
    /// Run of this instance; rows that it wrote bear it.
    pub run: String,
    /// Events.
    pub events: Events,
    /// Metrics.
    pub metrics: Metrics,
    /// Store for reads that wait for changes.
    pub feed: Store,
    /// Store for reads of targets.
    pub lists: Store,
    /// Store for reads and writes of the project's own rows.
    pub rows: Store,
    /// Whether the store answered last.
    pub able: Cell<bool>,
    /// Told when the store answers again.
    pub store_back: Notify,
    /// Lets one write of the project's own rows after another.
    pub writing: Mutex<()>,
    /// Last time the store told whether the configuration has changed.
    pub config_read: Cell<Option<Instant>>,
    /// Version of the operators' last change that this instance knows.
    pub config_change: Cell<u64>,
    /// Version of the operators' last change that others told.
    config_told: Cell<u64>,
    /// Told when others know a change of the operators' that this instance does not.
    pub behind: Notify,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Routes in force.
    pub routes: RefCell<Rc<Routes>>,
    /// Targets as this instance sees them.
    pub targets: RefCell<Rc<Targets>>,
    /// Where targets were last: one whose report has lapsed may still hold keys.
    pub addresses: RefCell<BTreeMap<Name, Place>>,
    /// The last change of the targets that this instance has read.
    pub news: RefCell<News>,
    /// Told when changes of the targets were missed.
    pub missed: Notify,
    /// Withdrawn data centres and since when this instance knows it.
    pub withdrawn: RefCell<BTreeMap<Name, Instant>>,
    /// Owners of keys by service.
    pub owners: RefCell<BTreeMap<Name, Owners>>,
    /// How often owners that were missed were asked for in vain, and when last.
    pub asked: Cell<(u32, Option<Instant>)>,
    /// Keys whose owner refused a request of late.
    pub blocks: RefCell<Blocks>,
    /// Connections and load by target.
    pub lines: RefCell<BTreeMap<Name, Rc<Line>>>,
    /// Retries by service.
    pub shares: RefCell<BTreeMap<Name, RetryWindow>>,
    /// Distribution of each route's requests by weight.
    pub dealers: RefCell<BTreeMap<Name, TrafficSplitter>>,
    /// Leadership.
    pub lead: RefCell<LeaderElection>,
    /// What this instance knows as leader.
    pub leader_state: Rc<RefCell<LeaderState>>,
    /// Version of the leader's row as it was read last, and the time of the store's clock after
    /// which none of its holder's grants is in force, if it tells.
    pub former: Cell<Option<(u64, Option<Duration>)>>,
    /// The same time, if this instance took the row over from that version.
    pub granted: Cell<Option<Duration>>,
    /// Port for datagrams of other instances.
    pub port: Port,
    /// Address of the leader.
    pub leader: Cell<Option<SocketAddr>>,
    /// Time of the leader's last heartbeat.
    pub heard: Cell<Option<Instant>>,
    /// Instances that the leader hears of.
    pub instances: Cell<u32>,
    /// Instances that the leader hears of, with their addresses.
    pub membership: RefCell<Membership>,
    /// Permits that this instance gives and asks for.
    pub permits: Permits,
    /// Since when this instance is the leader.
    pub leading: Cell<Option<Instant>>,
    /// Keys of requests since the last report.
    pub sample: RefCell<Sample>,
    /// What other instances report; of use to the leader.
    pub reports: RefCell<Reports>,
    /// Told when targets, owners or withdrawals change.
    pub changed: Notify,
    /// Told when the recorded owners have to be read.
    pub refresh: Notify,
    /// Told when the leader has something to do.
    pub work: Notify,
    /// Time of the stop signal.
    pub stopping: Cell<Option<Instant>>,
    /// Requests in progress.
    pub active: Cell<u32>,
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
            run: format!("{}-{:x}", settings.name, rand::random::<u64>()),
            events: Events::new(origin, EVENTS, Some(logger)),
            metrics: Metrics::default(),
            feed: Store::new(settings.store),
            lists: Store::new(settings.store),
            rows: Store::new(settings.store),
            able: Cell::new(false),
            store_back: Notify::new(),
            writing: Mutex::new(()),
            config_read: Cell::new(None),
            config_change: Cell::new(0),
            config_told: Cell::new(0),
            behind: Notify::new(),
            config: RefCell::default(),
            routes: RefCell::default(),
            targets: RefCell::new(Rc::new(Targets::empty())),
            addresses: RefCell::default(),
            news: RefCell::default(),
            missed: Notify::new(),
            withdrawn: RefCell::default(),
            owners: RefCell::default(),
            asked: Cell::new((0, None)),
            blocks: RefCell::default(),
            lines: RefCell::default(),
            shares: RefCell::default(),
            dealers: RefCell::default(),
            lead: RefCell::new(LeaderElection::new(TERM)),
            leader_state: Rc::default(),
            former: Cell::new(None),
            granted: Cell::new(None),
            port: Port::new(socket),
            leader: Cell::new(None),
            heard: Cell::new(None),
            instances: Cell::new(UNKNOWN_INSTANCES),
            membership: RefCell::default(),
            permits: Permits::default(),
            leading: Cell::new(None),
            sample: RefCell::default(),
            reports: RefCell::default(),
            changed: Notify::new(),
            refresh: Notify::new(),
            work: Notify::new(),
            stopping: Cell::new(None),
            active: Cell::new(0),
            settings,
        })
    }

    /// Records an event that is about nothing in particular.
    pub fn note(&self, code: Code, detail: String) {
        let about = About {
            detail: Some(detail),
            ..About::default()
        };
        self.events.note(code, about);
    }

    /// Returns the versions and ages of what a decision about a service rested on, for the log.
    pub fn basis(&self, service: &str) -> String {
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
    pub fn store_answered(&self, answered: bool) {
        if answered && !self.able.replace(answered) {
            self.store_back.notify_waiters();
        }
        self.able.set(answered);
    }

    /// Returns whether this instance may act as leader now.
    pub fn leads(&self) -> bool {
        self.lead.borrow().is_leader(clock::moment())
    }

    /// Returns what is known of the leaders before this instance.
    pub fn former(&self) -> PreviousLeaders {
        PreviousLeaders {
            grants_expire: self.granted.get(),
            earliest_now: self.lead.borrow().store_timestamp().map(|it| it.store_time),
        }
    }

    /// Returns the present moment with the time that the store's clock shows at the latest, if the
    /// store ever told one.
    pub fn present(&self) -> Option<StoreTimeBound> {
        let mark = self.lead.borrow().store_timestamp()?;
        let now = clock::moment();
        Some(StoreTimeBound {
            local: now.monotonic,
            latest: mark.store_time + now.since_boot.saturating_sub(mark.sent_at.since_boot),
        })
    }

    /// Remembers where runs of targets were last, unless a later run is known.
    pub fn remember(&self, runs: impl Iterator<Item = (TargetIncarnation, SocketAddr)>) {
        let mut addresses = self.addresses.borrow_mut();
        for (life, at) in runs {
            let place = Place {
                born: life.incarnation,
                at,
            };
            let known = addresses.entry(life.id).or_insert(place);
            if known.born <= place.born {
                *known = place;
            }
        }
    }

    /// Returns the last known address of a run of a target.
    pub fn address(&self, life: &TargetIncarnation) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        let place = addresses.get(&life.id);
        place
            .filter(|it| it.born == life.incarnation)
            .map(|it| it.at)
    }

    /// Returns whether this instance hears another one that is the leader.
    pub fn is_led(&self) -> bool {
        let heard = self.heard.get();
        !self.leads() && heard.is_some_and(|heard| heard.elapsed() <= SILENCE)
    }

    /// Takes the version of the operators' last change that another instance knows.
    pub fn tell_change(&self, version: u64) {
        self.config_told.set(version.max(self.config_told.get()));
        if self.is_behind() {
            self.behind.notify_one();
        }
    }

    /// Returns whether others know a change of the operators' that this instance does not.
    pub fn is_behind(&self) -> bool {
        self.config_change.get() < self.config_told.get()
    }

    /// Counts a request of a caller for the share of retries.
    pub fn count_request(&self, service: &Name) {
        let now = Instant::now();
        let bound = self.retry_bound();
        let mut shares = self.shares.borrow_mut();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        share.add_request(&bound, now);
    }

    /// Takes one repeated send to a service out of this instance's share.
    pub fn may_repeat(&self, service: &Name) -> bool {
        let now = Instant::now();
        let bound = self.retry_bound();
        let instances = self.instances.get();
        let mut shares = self.shares.borrow_mut();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(now));
        let allowed = share.try_add_retry(&bound, instances, now);
        self.metrics.repeat(service, allowed);
        allowed
    }

    /// Returns whether the instance can serve: it knows the configuration, the targets and, where
    /// keys have owners, these.
    pub fn ready(&self) -> bool {
        let Some(config) = self.config.borrow().clone() else {
            return false;
        };
        let owners = self.owners.borrow();
        let mut divided = config.services.iter().filter(|(_, it)| it.sharded);
        let owned = divided.all(|(name, _)| owners.contains_key(name));
        owned && self.targets.borrow().known() && self.stopping.get().is_none()
    }

    fn retry_bound(&self) -> RetryBudget {
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
