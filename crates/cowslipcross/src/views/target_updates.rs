//! What the leader passes on of the targets, so that the others need not read them.
//!
//! Versions are the store's: a view that was read at a version, or that took a change up to it, has
//! everything that was there then.

use {
    crate::{context::Context, views::target_snapshot::TargetSnapshot},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::names::Name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Heartbeats that tell a change; one of them may be lost.
const TELLINGS: u32 = 2;
/// Most targets whose changes a heartbeat tells; of more the others read the store.
const MOST: usize = 120;

/// Targets that changed of late; a target that is gone has no report.
pub type TargetChanges = BTreeMap<Name, Option<TargetReport>>;

/// The last changes that this instance has read, the earliest first.
#[derive(Debug, Default)]
pub struct TargetUpdates(Vec<TargetUpdate>);

/// One change of the targets.
#[derive(Debug)]
struct TargetUpdate {
    /// Version of the change before it.
    base: u64,
    version: u64,
    targets: TargetChanges,
    /// Heartbeats that have told it.
    told: u32,
}

/// What a heartbeat tells of the targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetUpdateMessage {
    /// Version of the last change.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds since the leader's last read; `None` before the first.
    #[serde(rename = "a")]
    pub age: Option<u64>,
    /// Version from which the change leads to it.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub base: u64,
    /// The change, while it is fresh.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<(Name, Option<WireTarget>)>,
}

/// Service, address, data centre, slots, whether it leaves, cold milliseconds, time of its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireTarget(Name, SocketAddr, Name, u64, bool, u64, u64);

impl From<&TargetReport> for WireTarget {
    fn from(target: &TargetReport) -> Self {
        Self(
            target.service.clone(),
            target.address,
            target.data_centre.clone(),
            target.slots,
            target.draining,
            target.cold_remaining.as_millis() as u64,
            target.incarnation,
        )
    }
}

impl WireTarget {
    /// Returns the target with this id.
    fn target(self, id: Name) -> TargetReport {
        let Self(service, address, data_centre, slots, leaving, cold, born) = self;
        TargetReport {
            id,
            service,
            address,
            data_centre,
            slots,
            draining: leaving,
            cold_remaining: Duration::from_millis(cold),
            incarnation: born,
        }
    }
}

impl TargetUpdates {
    /// Takes a change that led from one version to another.
    pub fn add(&mut self, (base, version): (u64, u64), targets: TargetChanges) {
        self.keep_up_to(base);
        self.0.push(TargetUpdate {
            base,
            version,
            targets,
            told: 0,
        });
        // Nobody is told of more, and one that does not lead tells nobody.
        while self.0.iter().map(|it| it.targets.len()).sum::<usize>() > MOST {
            self.0.remove(0);
        }
    }

    /// Returns what a heartbeat tells of a view, and counts it as told.
    pub fn next_message(&mut self, targets: &TargetSnapshot, now: Instant) -> TargetUpdateMessage {
        self.keep_up_to(targets.changed_version());
        self.0.retain(|change| change.told < TELLINGS);
        let mut merged = TargetChanges::new();
        for change in &mut self.0 {
            change.told += 1;
            merged.extend(change.targets.clone());
        }
        let told = merged.len() <= MOST;
        let base = self.0.first().filter(|_| told).map_or(0, |it| it.base);
        let changes = merged.iter().filter(|_| told);
        TargetUpdateMessage {
            version: targets.changed_version(),
            age: targets.age(now).map(|age| age.as_millis() as u64),
            base,
            changes: changes
                .map(|(id, target)| (id.clone(), target.as_ref().map(Into::into)))
                .collect(),
        }
    }
}

impl TargetUpdates {
    /// Drops changes that do not lead to a version: others told of some in between.
    fn keep_up_to(&mut self, version: u64) {
        if self.0.last().is_some_and(|last| last.version != version) {
            self.0.clear();
        }
    }
}

impl TargetUpdateMessage {
    /// Returns the change.
    pub fn into_changes(self) -> TargetChanges {
        let changes = self.changes.into_iter();
        changes
            .map(|(id, wire)| (id.clone(), wire.map(|wire| wire.target(id))))
            .collect()
    }
}

/// Returns what a heartbeat tells of the targets.
pub fn next_message(context: &Context) -> TargetUpdateMessage {
    let targets = context.targets.borrow();
    context
        .target_updates
        .borrow_mut()
        .next_message(&targets, Instant::now())
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[cfg(test)]
#[path = "target_updates_tests.rs"]
mod tests;
