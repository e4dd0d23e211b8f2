//! Records of owners, beside the orders to targets: these must not wait for the store.

use {
    crate::{
        context::Context,
        events,
        lead::{
            keep::{LeaderState, Service},
            seat::{self, Recorded},
            standing::Standing,
        },
    },
    cowslip_decide::{
        names::Name,
        owners::{AssignmentTable, KeyLoads, TargetCapacities, TargetIncarnation, TargetsByLoad},
    },
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::Instant},
};

/// Shortest time between two records: what comes meanwhile goes into one write.
const SPACING: Duration = Duration::from_millis(90);

/// One service of the state, as it was taken over at a moment.
struct Task {
    context: Rc<Context>,
    state: Rc<RefCell<LeaderState>>,
    name: Name,
    begun: Instant,
}

/// Records new owners and fences where keys wait for them, unless that is under way.
pub fn start(
    context: &Rc<Context>,
    state: &Rc<RefCell<LeaderState>>,
    name: &Name,
    all: BTreeMap<Name, Standing>,
    capacity: TargetCapacities,
) {
    let mut open = state.borrow_mut();
    let Some(service) = open.services.get_mut(name) else {
        return;
    };
    let wanted = service.pending.is_some() || service.keeper.needs_recording(Instant::now());
    let spaced = service.recorded.is_none_or(|at| at.elapsed() >= SPACING);
    if service.recording || !wanted || !spaced {
        return;
    }
    service.recording = true;
    service.recorded = Some(Instant::now());
    let task = Task {
        context: context.clone(),
        state: state.clone(),
        name: name.clone(),
        begun: service.begun,
    };
    spawn_local(async move {
        if task.settled().await && task.record(&all, &capacity).await {
            task.context.leader_work.notify_one();
        }
        task.with(|service| service.recording = false);
    });
}

impl Task {
    /// Does something with the service, unless it was given up or taken over anew meanwhile.
    fn with<T>(&self, work: impl FnOnce(&mut Service) -> T) -> Option<T> {
        let mut state = self.state.borrow_mut();
        let service = state.services.get_mut(&self.name);
        service.filter(|it| it.begun == self.begun).map(work)
    }

    /// Finds out whether a record without an answer is in the store; returns whether that is known.
    ///
    /// A renewal of the leader's row comes first: after it the lost write cannot be carried out.
    async fn settled(&self) -> bool {
        let Some(pending) = self.with(|service| service.pending.clone()) else {
            return false;
        };
        let Some((table, lost)) = pending else {
            return true;
        };
        let renewed =
            self.context.election.borrow().row_version() > lost && self.context.is_leader();
        renewed && seat::refresh(&self.context).await && self.settle(&table)
    }

    /// Compares the record without an answer with what the store has.
    fn settle(&self, pending: &AssignmentTable) -> bool {
        let owners = self.context.owners.borrow().get(&self.name).cloned();
        let version = owners.as_ref().map_or(0, |it| it.version);
        let written = owners.is_some_and(|it| *it.table == *pending);
        let known = self.with(|service| {
            if version > service.version && !written {
                return false;
            }
            if version > service.version {
                service.keeper.apply_recorded(pending, Instant::now());
                service.version = version;
            }
            service.pending = None;
            true
        });
        if known == Some(false) {
            // This leader's own grants may be in force for owners that the found table lacks.
            self.context.grants_expire.set(None);
            self.state.borrow_mut().services.remove(&self.name);
        }
        known.unwrap_or(false)
    }

    /// Records what waits for it; returns whether something was recorded.
    async fn record(&self, all: &BTreeMap<Name, Standing>, capacity: &TargetCapacities) -> bool {
        let proposal =
            self.with(|service| proposal(&self.context, service, &self.name, all, capacity));
        let Some((version, table)) = proposal.flatten() else {
            return false;
        };
        match seat::record(&self.context, &self.name, version, &table).await {
            Recorded::Done => self.recorded(&table),
            Recorded::Refused => false,
            Recorded::Unknown => {
                let lost = self.context.election.borrow().row_version();
                self.with(|service| service.pending = Some((table, lost)));
                false
            }
        }
    }

    fn recorded(&self, table: &AssignmentTable) -> bool {
        let owners = self.context.owners.borrow();
        let version = owners.get(&self.name).map_or(0, |it| it.version);
        drop(owners);
        let known = self.with(|service| {
            service.keeper.apply_recorded(table, Instant::now());
            service.version = version;
        });
        let detail = format!("service {}, version {version}", self.name);
        self.context
            .record_event(events::ASSIGNMENTS_RECORDED, detail);
        self.context.routing_changed.notify_waiters();
        known.is_some()
    }
}

/// Returns the owners to record next, with the version that they replace.
fn proposal(
    context: &Context,
    service: &Service,
    name: &Name,
    all: &BTreeMap<Name, Standing>,
    capacity: &TargetCapacities,
) -> Option<(u64, AssignmentTable)> {
    let (ended, silent) = (
        service.keeper.ended_incarnations(),
        service.keeper.unanswered_owners(),
    );
    let lives = all.iter().map(|(id, standing)| TargetIncarnation {
        id: id.clone(),
        incarnation: standing.born,
    });
    let lives = lives.filter(|life| !ended.contains(life) && !silent.contains(&life.id));
    let lives: BTreeMap<Name, TargetIncarnation> =
        lives.map(|life| (life.id.clone(), life)).collect();
    let mut reports = context.peer_reports.borrow_mut();
    let loads = reports.loads(name);
    let sums = sums(&service.keeper.table(), loads);
    let open = capacity.iter().filter(|(id, _)| lives.contains_key(*id));
    let mut least = TargetsByLoad::new(open, &sums);
    let table = service
        .keeper
        .propose_table(context.store_time_bound(), |piece, wish| {
            let wish = wish.filter(|wish| capacity.contains_key(*wish));
            let chosen = match wish.and_then(|wish| lives.get(wish)) {
                Some(life) => life,
                None => lives.get(least.least_loaded()?)?,
            };
            least.add_load(&chosen.id, loads.range_load(piece.first, piece.last));
            Some(chosen.clone())
        });
    table.map(|table| (service.version, table))
}

/// Returns the load of each target by the keys that it owns.
fn sums(table: &AssignmentTable, loads: &KeyLoads) -> BTreeMap<Name, f64> {
    let mut sums = BTreeMap::new();
    for piece in &table.assignments {
        if let Some(owner) = &piece.owner {
            let load = loads.range_load(piece.first, piece.last);
            *sums.entry(owner.id.clone()).or_default() += load;
        }
    }
    sums
}
