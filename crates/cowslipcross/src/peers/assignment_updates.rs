//! Recorded owners, as the leader tells them to the others.

use {
    crate::{
        context::{Context, RecordedAssignments},
        events,
        peers::{
            datagram,
            message::{AssignmentUpdate, Message},
        },
    },
    cowslip_decide::{
        names::{Fence, Name},
        owners::{Assignment, AssignmentTable},
    },
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time for which heartbeats tell what a record changed.
const FRESH: Duration = Duration::from_millis(700);
/// Time after which owners that were asked for and did not come are asked for again.
const AGAIN: Duration = Duration::from_millis(300);
/// Questions without an answer after which the store is read.
const MOST_ASKS: u32 = 3;
/// Most pieces of a change that heartbeats tell.
const MOST_TOLD: usize = 200;
/// Most pieces of a service that the leader sends to one that has missed a change.
const MOST_SENT: usize = 700;

/// Returns the owners at hand by service, with what a fresh record changed.
pub fn current_updates(context: &Context) -> BTreeMap<Name, AssignmentUpdate> {
    let owners = context.owners.borrow();
    let recorded = owners.iter().map(|(name, it)| {
        let fresh = it
            .last_change
            .as_ref()
            .filter(|change| change.recorded_at.elapsed() < FRESH);
        let told = fresh.filter(|change| change.assignments.len() <= MOST_TOLD);
        let recorded = AssignmentUpdate {
            version: it.version,
            base_version: told.map_or(0, |change| change.base_version),
            assignments: told.map_or_else(Vec::new, |it| {
                it.assignments.iter().map(Into::into).collect()
            }),
            too_large: it.table.assignments.len() > MOST_SENT,
        };
        (name.clone(), recorded)
    });
    recorded.collect()
}

/// Takes over newer owners from the change that came along; without it the leader is asked.
pub fn apply_update(
    context: &Context,
    service: &Name,
    update: &AssignmentUpdate,
    leader: SocketAddr,
) {
    let owners = context.owners.borrow();
    let known = owners.get(service);
    if known.is_some_and(|it| it.version >= update.version) {
        return;
    }
    let fits = known.filter(|it| it.version == update.base_version);
    let Some(known) = fits else {
        drop(owners);
        return request_assignments(context, service, (update.too_large, leader));
    };
    let mut table = (*known.table).clone();
    drop(owners);
    let pieces: Vec<Assignment> = update.assignments.iter().map(Assignment::from).collect();
    table.apply_changes(&pieces);
    set_assignments(context, service, update.version, table);
}

/// Asks the leader for all owners of a service, or the store if they are many, unless that was done
/// just now.
fn request_assignments(context: &Context, service: &Name, (large, leader): (bool, SocketAddr)) {
    let (asks, asked) = context.owner_requests.get();
    if asked.is_some_and(|at| at.elapsed() < AGAIN) {
        return;
    }
    context.owner_requests.set((asks + 1, Some(Instant::now())));
    match asks < MOST_ASKS && !large {
        true => datagram::try_send(
            context,
            &Message::AssignmentsRequest(service.clone()),
            leader,
        ),
        false => context.refresh_requested.notify_one(),
    }
}

/// Answers one that has missed changes, if this instance is the leader.
pub fn handle_request(context: &Context, service: &Name, from: SocketAddr) {
    let owners = context.owners.borrow();
    let Some(known) = owners.get(service).filter(|_| context.is_leader()) else {
        return;
    };
    let recorded = AssignmentUpdate {
        version: known.version,
        base_version: 0,
        too_large: false,
        assignments: known.table.assignments.iter().map(Into::into).collect(),
    };
    let message = Message::Assignments(service.clone(), recorded);
    datagram::try_send(context, &message, from);
}

/// Takes over all owners of a service, if they are newer.
pub fn handle_response(context: &Context, service: &Name, update: &AssignmentUpdate) {
    let owners = context.owners.borrow();
    let known = owners.get(service).map_or(0, |it| it.version);
    drop(owners);
    let pieces: Vec<Assignment> = update.assignments.iter().map(Assignment::from).collect();
    let fence = pieces.iter().map(|it| it.fence).max();
    let table = AssignmentTable {
        highest_fence: fence.unwrap_or(Fence(0)),
        assignments: pieces,
    };
    if update.version > known && table.is_complete() && !context.is_leader() {
        set_assignments(context, service, update.version, table);
    }
}

fn set_assignments(context: &Context, service: &Name, version: u64, table: AssignmentTable) {
    let detail = format!(
        "service {service}, version {version}, {} pieces, from the leader",
        table.assignments.len()
    );
    let owners = RecordedAssignments {
        version,
        table: Rc::new(table),
        last_change: None,
    };
    context.owners.borrow_mut().insert(service.clone(), owners);
    context.owner_requests.set((0, None));
    context.record_event(events::ASSIGNMENTS_UPDATED, detail);
    context.routing_changed.notify_waiters();
}
