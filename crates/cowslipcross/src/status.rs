//! Status of an instance for operators.

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

/// Status of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Whether it can serve requests.
    pub ready: bool,
    /// Whether it has received the stop signal.
    pub stopping: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Address of the leader's UDP socket.
    pub leader: Option<SocketAddr>,
    /// Number of instances as counted by the leader.
    pub instances: u32,
    /// Version of the configuration in force; 0 if there is none.
    pub config: u64,
    /// Versions of the recorded assignments by service.
    pub owners: BTreeMap<Name, u64>,
    /// Number of targets that report themselves.
    pub targets: usize,
    /// Withdrawn data centres.
    pub withdrawn: BTreeSet<Name>,
    /// Requests in progress.
    pub active: u32,
    /// Ages of its data.
    pub ages: ViewAges,
}

/// Milliseconds since data was last confirmed to be up to date; `None` if it never was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ViewAges {
    /// Configuration and withdrawals.
    pub config_ms: Option<u64>,
    /// Targets.
    pub targets_ms: Option<u64>,
    /// Assignments: confirmed by a heartbeat of the leader; 0 while the instance leads.
    pub owners_ms: Option<u64>,
}

impl From<&Context> for Status {
    fn from(context: &Context) -> Self {
        let config = context.config.borrow();
        let all_recorded = context.recorded_assignments.borrow();
        let versions = all_recorded
            .iter()
            .map(|(name, it)| (name.clone(), it.version.number));
        Self {
            name: context.settings.name.clone(),
            data_centre: context.settings.data_centre.clone(),
            ready: context.is_ready(),
            stopping: context.is_stopping(),
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
        let elapsed_ms = |confirmed: Option<Instant>| confirmed.map(|it| millis(now - it));
        let owners_age = match context.is_leader() {
            true => Some(0),
            false => elapsed_ms(context.last_heartbeat.get()),
        };
        Self {
            config_ms: elapsed_ms(context.config_confirmed.get()),
            targets_ms: context.targets.borrow().age(now).map(millis),
            owners_ms: owners_age,
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
