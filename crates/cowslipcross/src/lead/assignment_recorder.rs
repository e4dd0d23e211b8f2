//! Records assignments in the store, concurrently with the commands to targets, which must not wait
//! for the store.

use {
    crate::{
        context::Context,
        events,
        lead::{
            leader_loop::{LeaderState, ServiceState},
            row_reader,
            row_writer::{self, RecordingOutcome},
            target_status::TargetStatus,
        },
    },
    cowslip_decide::{
        names::{Name, StoreVersion},
        owners::{AssignmentTable, KeyLoads, TargetCapacities, TargetIncarnation, TargetsByLoad},
    },
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::Instant},
};

/// Shortest time between two writes; changes that come up meanwhile share the next one.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(90);

/// Recording of one service's assignments.
struct RecordingTask {
    context: Rc<Context>,
    state: Rc<RefCell<LeaderState>>,
    name: Name,
    /// Identifies the [`ServiceState`] for which the task was started.
    started_at: Instant,
}

/// Starts to record new owners, fences and expiries if there are any and no recording is running.
pub fn start_recording(
    context: &Rc<Context>,
    state: &Rc<RefCell<LeaderState>>,
    name: &Name,
    statuses: BTreeMap<Name, TargetStatus>,
    capacities: TargetCapacities,
) {
    let mut leader_state = state.borrow_mut();
    let Some(service) = leader_state.services.get_mut(name) else {
        return;
    };
    let is_needed =
        service.unconfirmed_write.is_some() || service.manager.needs_recording(Instant::now());
    let is_due = service
        .last_recording
        .is_none_or(|at| at.elapsed() >= MIN_WRITE_INTERVAL);
    if service.is_recording || !is_needed || !is_due {
        return;
    }
    service.is_recording = true;
    service.last_recording = Some(Instant::now());
    let task = RecordingTask {
        context: context.clone(),
        state: state.clone(),
        name: name.clone(),
        started_at: service.started_at,
    };
    spawn_local(async move {
        if task.resolve_unconfirmed_write().await && task.record(&statuses, &capacities).await {
            task.context.leader_work.notify_one();
        }
        task.with_service(|service| service.is_recording = false);
    });
}

impl RecordingTask {
    /// Runs `work` on the service's state; returns `None` if that state no longer exists.
    fn with_service<T>(&self, work: impl FnOnce(&mut ServiceState) -> T) -> Option<T> {
        let mut state = self.state.borrow_mut();
        let service = state.services.get_mut(&self.name);
        service
            .filter(|it| it.started_at == self.started_at)
            .map(work)
    }

    /// Checks whether an unconfirmed write is in the store; returns whether a new one may follow.
    ///
    /// It first waits for a renewal of the leader's row: the unconfirmed write is conditional on
    /// the row's version, so that it fails afterwards.
    async fn resolve_unconfirmed_write(&self) -> bool {
        let Some(unconfirmed) = self.with_service(|service| service.unconfirmed_write.clone())
        else {
            return false;
        };
        let Some((table, version_at_write)) = unconfirmed else {
            return true;
        };
        let renewed = self.context.election.borrow().row_version() > version_at_write
            && self.context.is_leader();
        renewed
            && row_reader::refresh_router_table(&self.context).await
            && self.compare_with_store(&table)
    }

    /// Compares the unconfirmed table with the store's; returns whether the store has either this
    /// table or the last confirmed one. Any other comes from another leader; then the service's
    /// state is dropped.
    fn compare_with_store(&self, unconfirmed: &AssignmentTable) -> bool {
        let stored = self
            .context
            .recorded_assignments
            .borrow()
            .get(&self.name)
            .cloned();
        let version = stored.as_ref().map_or(StoreVersion::NONE, |it| it.version);
        let is_written = stored.is_some_and(|it| *it.table == *unconfirmed);
        let resolved = self.with_service(|service| {
            if version > service.recorded_version && !is_written {
                return false;
            }
            if version > service.recorded_version {
                service.manager.apply_recorded(unconfirmed, Instant::now());
                service.recorded_version = version;
            }
            service.unconfirmed_write = None;
            true
        });
        if resolved == Some(false) {
            // This leader's own grants may be in force for owners that the stored table lacks.
            self.context.grants_expire.set(None);
            self.state.borrow_mut().services.remove(&self.name);
        }
        resolved.unwrap_or(false)
    }

    /// Records pending changes; returns whether the manager has applied the recorded table.
    async fn record(
        &self,
        statuses: &BTreeMap<Name, TargetStatus>,
        capacities: &TargetCapacities,
    ) -> bool {
        let proposal = self.with_service(|service| {
            build_proposal(&self.context, service, &self.name, statuses, capacities)
        });
        let Some((version, table)) = proposal.flatten() else {
            return false;
        };
        match row_writer::record_assignments(&self.context, &self.name, version, &table).await {
            RecordingOutcome::Recorded => self.finish_recording(&table),
            RecordingOutcome::NotRecorded => false,
            RecordingOutcome::Unknown => {
                let version_at_write = self.context.election.borrow().row_version();
                self.with_service(|service| {
                    service.unconfirmed_write = Some((table, version_at_write))
                });
                false
            }
        }
    }

    fn finish_recording(&self, table: &AssignmentTable) -> bool {
        let all_recorded = self.context.recorded_assignments.borrow();
        let version = all_recorded
            .get(&self.name)
            .map_or(StoreVersion::NONE, |it| it.version);
        drop(all_recorded);
        let applied = self.with_service(|service| {
            service.manager.apply_recorded(table, Instant::now());
            service.recorded_version = version;
        });
        let detail = format!("service {}, version {version}", self.name);
        self.context
            .record_event(events::ASSIGNMENTS_RECORDED, detail);
        self.context.routing_changed.notify_waiters();
        applied.is_some()
    }
}

/// Returns the table to record next, with the recorded version that it replaces; `None` if nothing
/// has to be recorded.
fn build_proposal(
    context: &Context,
    service: &ServiceState,
    name: &Name,
    statuses: &BTreeMap<Name, TargetStatus>,
    capacities: &TargetCapacities,
) -> Option<(StoreVersion, AssignmentTable)> {
    let (ended, unanswered) = (
        service.manager.ended_incarnations(),
        service.manager.unanswered_owners(),
    );
    let incarnations = statuses.iter().map(|(id, status)| TargetIncarnation {
        id: id.clone(),
        incarnation: status.incarnation,
    });
    let incarnations =
        incarnations.filter(|it| !ended.contains(it) && !unanswered.contains(&it.id));
    let incarnations: BTreeMap<Name, TargetIncarnation> =
        incarnations.map(|it| (it.id.clone(), it)).collect();
    let mut reports = context.peer_reports.borrow_mut();
    let key_loads = reports.key_loads(name);
    let target_loads = target_loads(&service.manager.table(), key_loads);
    let candidates = capacities
        .iter()
        .filter(|(id, _)| incarnations.contains_key(*id));
    let mut by_load = TargetsByLoad::new(candidates, &target_loads);
    let table =
        service
            .manager
            .propose_table(context.store_time_bound(), |assignment, preferred| {
                // The target of the transfer that freed the keys, if there was one.
                let preferred = preferred.filter(|preferred| capacities.contains_key(*preferred));
                let chosen = match preferred.and_then(|preferred| incarnations.get(preferred)) {
                    Some(target) => target,
                    None => incarnations.get(by_load.least_loaded()?)?,
                };
                by_load.add_load(
                    &chosen.id,
                    key_loads.range_load(assignment.first, assignment.last),
                );
                Some(chosen.clone())
            });
    table.map(|table| (service.recorded_version, table))
}

/// Returns the load of each target as the sum over the keys that it owns.
fn target_loads(table: &AssignmentTable, key_loads: &KeyLoads) -> BTreeMap<Name, f64> {
    let mut loads = BTreeMap::new();
    for assignment in &table.assignments {
        if let Some(owner) = &assignment.owner {
            let load = key_loads.range_load(assignment.first, assignment.last);
            *loads.entry(owner.id.clone()).or_default() += load;
        }
    }
    loads
}
