//! The state of an instance for operators.

use {
    crate::context::Context,
    cowslip_decide::names::Name,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::Instant,
};

/// What an instance knows and does.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Whether it can serve.
    pub ready: bool,
    /// Whether it has got the stop signal.
    pub stopping: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Address of the leader for datagrams.
    pub leader: Option<SocketAddr>,
    /// Instances that the leader hears of.
    pub instances: u32,
    /// Version of the configuration in force; 0 before the first.
    pub config: u64,
    /// Versions of the recorded owners by service.
    pub owners: BTreeMap<Name, u64>,
    /// Targets that report themselves.
    pub targets: usize,
    /// Withdrawn data centres.
    pub withdrawn: BTreeSet<Name>,
    /// Requests of callers in progress.
    pub active: u32,
    /// ViewAges of what it knows.
    pub ages: ViewAges,
}

/// Milliseconds since a view was confirmed last; `None` if it never was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ViewAges {
    /// Configuration and withdrawals.
    pub config_ms: Option<u64>,
    /// Targets.
    pub targets_ms: Option<u64>,
    /// Owners of keys: a heartbeat of the leader, or its own lease.
    pub owners_ms: Option<u64>,
}

impl From<&Context> for Status {
    fn from(context: &Context) -> Self {
        let config = context.config.borrow();
        let owners = context.owners.borrow();
        let versions = owners.iter().map(|(name, it)| (name.clone(), it.version));
        Self {
            name: context.settings.name.clone(),
            data_centre: context.settings.data_centre.clone(),
            ready: context.is_ready(),
            stopping: context.stopping_since.get().is_some(),
            leads: context.is_leader(),
            leader: context.leader_address.get(),
            instances: context.instance_count.get(),
            config: config.as_ref().map_or(0, |it| it.version),
            owners: versions.collect(),
            targets: context.targets.borrow().all().count(),
            withdrawn: context.withdrawn.borrow().keys().cloned().collect(),
            active: context.active_requests.get(),
            ages: ViewAges::from(context),
        }
    }
}

impl From<&Context> for ViewAges {
    fn from(context: &Context) -> Self {
        let now = Instant::now();
        let since = |at: Option<Instant>| at.map(|at| millis(now - at));
        let owners = match context.is_leader() {
            true => Some(0),
            false => since(context.last_heartbeat.get()),
        };
        Self {
            config_ms: since(context.config_confirmed.get()),
            targets_ms: context.targets.borrow().age(now).map(millis),
            owners_ms: owners,
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
