//! Changes of targets that the leader sends with its heartbeats, so that followers need not read
//! them from the store.
//!
//! Versions are those of the store: a snapshot that was read at a version, or to which the changes
//! up to it were applied, has all reports of that version.

use {
    crate::{context::Context, views::target_snapshot::TargetSnapshot},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::names::{Name, StoreVersion},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Number of heartbeats that include a change, as one of them may be lost.
const MAX_CHANGE_SENDS: u32 = 2;
/// Changes of more targets are included in one heartbeat only: a follower that misses it reads them
/// from the store.
const LARGE_CHANGE: usize = 120;
/// Maximum number of changed targets in a heartbeat, which they extend by some 50 bytes each;
/// followers read more from the store.
const MAX_CHANGED_TARGETS: usize = 700;

/// Changed targets by id, with their new report; `None` for a removed target.
pub type TargetChanges = BTreeMap<Name, Option<TargetReport>>;

/// Latest differences between two reads of the store by this instance, the earliest first; each
/// applies to the version of the one before it.
#[derive(Debug, Default)]
pub struct TargetUpdates(Vec<TargetUpdate>);

/// Changes from one version of the targets to another.
#[derive(Debug)]
struct TargetUpdate {
    /// Version to which the changes apply.
    base_version: StoreVersion,
    /// Version after the changes.
    version: StoreVersion,
    targets: TargetChanges,
    /// Number of heartbeats that have included the changes.
    send_count: u32,
}

/// Part of a heartbeat about targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetUpdateMessage {
    /// Version of the leader's last change.
    pub version: StoreVersion,
    /// Milliseconds since the leader's last read; `None` before the first.
    pub age_ms: Option<u64>,
    /// Version to which the changes apply. If there is none, the changes are the leader's whole table, from its
    /// first read on.
    pub base_version: StoreVersion,
    /// Recent changes; empty if there are none or more than a heartbeat can have.
    pub changes: Vec<(Name, Option<WireTarget>)>,
}

/// Service, address, data centre, slots, whether it drains, milliseconds for which it stays cold,
/// incarnation, number of the report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireTarget(Name, SocketAddr, Name, u64, bool, u64, u64, u64);

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
            target.sequence,
        )
    }
}

impl WireTarget {
    /// Returns the report of the target with this id.
    fn into_report(self, id: Name) -> TargetReport {
        let Self(service, address, data_centre, slots, draining, cold_ms, incarnation, sequence) =
            self;
        TargetReport {
            id,
            service,
            address,
            data_centre,
            slots,
            draining,
            cold_remaining: Duration::from_millis(cold_ms),
            incarnation,
            sequence,
        }
    }
}

impl TargetUpdates {
    /// Appends the changes that led from one version to another.
    pub fn add_update(
        &mut self,
        (base_version, version): (StoreVersion, StoreVersion),
        targets: TargetChanges,
    ) {
        self.clear_unless_latest(base_version);
        self.0.push(TargetUpdate {
            base_version,
            version,
            targets,
            send_count: 0,
        });
        // A heartbeat includes no more, and without this an instance that is not the leader would
        // collect updates without end.
        while self.0.iter().map(|it| it.targets.len()).sum::<usize>() > MAX_CHANGED_TARGETS {
            self.0.remove(0);
        }
    }

    /// Returns the next heartbeat's part about a snapshot and counts the updates in it as sent.
    pub fn next_message(&mut self, snapshot: &TargetSnapshot, now: Instant) -> TargetUpdateMessage {
        self.clear_unless_latest(snapshot.changed_version());
        // An update applies only to the version of the one before it, so that no gap may arise.
        let is_sent = |update: &TargetUpdate| update.send_count >= max_sends(update);
        if let Some(last_sent) = self.0.iter().rposition(is_sent) {
            self.0.drain(..=last_sent);
        }
        let mut merged = TargetChanges::new();
        for update in &mut self.0 {
            update.send_count += 1;
            merged.extend(update.targets.clone());
        }
        let fits = merged.len() <= MAX_CHANGED_TARGETS;
        let base_version = self
            .0
            .first()
            .filter(|_| fits)
            .map_or(StoreVersion::NONE, |it| it.base_version);
        let changes = merged.iter().filter(|_| fits);
        TargetUpdateMessage {
            version: snapshot.changed_version(),
            age_ms: snapshot.age(now).map(|age| age.as_millis() as u64),
            base_version,
            changes: changes
                .map(|(id, target)| (id.clone(), target.as_ref().map(Into::into)))
                .collect(),
        }
    }
}

fn max_sends(update: &TargetUpdate) -> u32 {
    match update.targets.len() > LARGE_CHANGE {
        true => 1,
        false => MAX_CHANGE_SENDS,
    }
}

impl TargetUpdates {
    /// Drops all updates unless the last one led to `version`: changes in between came from another
    /// leader.
    fn clear_unless_latest(&mut self, version: StoreVersion) {
        if self.0.last().is_some_and(|last| last.version != version) {
            self.0.clear();
        }
    }
}

impl TargetUpdateMessage {
    /// Returns the changes by target.
    pub fn into_changes(self) -> TargetChanges {
        let changes = self.changes.into_iter();
        changes
            .map(|(id, wire)| (id.clone(), wire.map(|wire| wire.into_report(id))))
            .collect()
    }
}

/// Returns the next heartbeat's part about the targets.
pub fn next_message(context: &Context) -> TargetUpdateMessage {
    let snapshot = context.targets.borrow();
    context
        .target_updates
        .borrow_mut()
        .next_message(&snapshot, Instant::now())
}

#[cfg(test)]
#[path = "target_updates_tests.rs"]
mod tests;
