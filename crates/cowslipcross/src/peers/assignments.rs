//! Recorded assignments: updates that the leader sends, and requests for updates that were missed.

use {
    crate::{
        context::Context,
        events,
        peers::{
            datagram,
            message::{AssignmentUpdate, Message},
        },
        views::recorded_assignments::RecordedAssignments,
    },
    cowslip_decide::{
        names::{Fence, Name, StoreVersion},
        owners::{Assignment, AssignmentTable},
    },
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time for which heartbeats include a change after it was recorded.
const CHANGE_MAX_AGE: Duration = Duration::from_millis(700);
/// Time after which assignments are requested again if there was no reply.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Unanswered requests in a row, for any services, after which the store is read instead.
const MAX_REQUESTS: u32 = 3;
/// A larger change is left out of heartbeats.
const MAX_CHANGED_ASSIGNMENTS: usize = 200;
/// A service with more assignments than this is read from the store rather than requested.
const MAX_SENT_ASSIGNMENTS: usize = 700;

/// Returns the versions of recorded assignments by service, with recent changes, for a heartbeat.
pub fn current_updates(context: &Context) -> BTreeMap<Name, AssignmentUpdate> {
    let all_recorded = context.recorded_assignments.borrow();
    let updates = all_recorded.iter().map(|(name, it)| {
        let recent = it
            .last_change
            .as_ref()
            .filter(|change| change.recorded_at.elapsed() < CHANGE_MAX_AGE);
        let included = recent.filter(|change| change.assignments.len() <= MAX_CHANGED_ASSIGNMENTS);
        let update = AssignmentUpdate {
            version: it.version,
            base_version: included.map_or(StoreVersion::NONE, |change| change.base_version),
            assignments: included.map_or_else(Vec::new, |it| {
                it.assignments.iter().map(Into::into).collect()
            }),
            large_table: it.table.assignments.len() > MAX_SENT_ASSIGNMENTS,
        };
        (name.clone(), update)
    });
    updates.collect()
}

/// Applies the change of a newer update, or requests all assignments if it has none that applies to
/// the version known here.
pub fn apply_update(
    context: &Context,
    service: &Name,
    update: &AssignmentUpdate,
    leader: SocketAddr,
) {
    let all_recorded = context.recorded_assignments.borrow();
    let known = all_recorded.get(service);
    if known.is_some_and(|it| it.version >= update.version) {
        return;
    }
    let matching = known.filter(|it| it.version == update.base_version);
    let Some(known) = matching else {
        drop(all_recorded);
        return request_assignments(context, service, (update.large_table, leader));
    };
    let mut table = (*known.table).clone();
    drop(all_recorded);
    let assignments: Vec<Assignment> = update.assignments.iter().map(Assignment::from).collect();
    table.apply_changes(&assignments);
    set_assignments(context, service, update.version, table);
}

/// Requests all assignments of a service from the leader, unless that was done within
/// [`REQUEST_INTERVAL`]; has them read from the store if they are too many or no reply came.
fn request_assignments(
    context: &Context,
    service: &Name,
    (large_table, leader): (bool, SocketAddr),
) {
    let (requests, last_request) = context.assignment_requests.get();
    if last_request.is_some_and(|at| at.elapsed() < REQUEST_INTERVAL) {
        return;
    }
    context
        .assignment_requests
        .set((requests + 1, Some(Instant::now())));
    match requests < MAX_REQUESTS && !large_table {
        true => datagram::try_send(
            context,
            &Message::AssignmentsRequest(service.clone()),
            leader,
        ),
        false => context.refresh_requested.notify_one(),
    }
}

/// Sends all assignments of a service if this instance is the leader.
pub fn handle_request(context: &Context, service: &Name, from: SocketAddr) {
    let all_recorded = context.recorded_assignments.borrow();
    let Some(known) = all_recorded.get(service).filter(|_| context.is_leader()) else {
        return;
    };
    let update = AssignmentUpdate {
        version: known.version,
        base_version: StoreVersion::NONE,
        large_table: false,
        assignments: known.table.assignments.iter().map(Into::into).collect(),
    };
    let message = Message::Assignments(service.clone(), update);
    datagram::try_send(context, &message, from);
}

/// Applies all assignments of a service if they are newer and complete.
pub fn handle_response(context: &Context, service: &Name, update: &AssignmentUpdate) {
    let all_recorded = context.recorded_assignments.borrow();
    let known = all_recorded
        .get(service)
        .map_or(StoreVersion::NONE, |it| it.version);
    drop(all_recorded);
    let assignments: Vec<Assignment> = update.assignments.iter().map(Assignment::from).collect();
    let highest = assignments.iter().map(|it| it.fence).max();
    let table = AssignmentTable {
        highest_fence: highest.unwrap_or(Fence(0)),
        assignments,
    };
    if update.version > known && table.is_complete() && !context.is_leader() {
        set_assignments(context, service, update.version, table);
    }
}

fn set_assignments(
    context: &Context,
    service: &Name,
    version: StoreVersion,
    table: AssignmentTable,
) {
    let detail = format!(
        "service {service}, version {version}, {} assignments, from the leader",
        table.assignments.len()
    );
    let recorded = RecordedAssignments {
        version,
        table: Rc::new(table),
        last_change: None,
    };
    context
        .recorded_assignments
        .borrow_mut()
        .insert(service.clone(), recorded);
    context.assignment_requests.set((0, None));
    context.record_event(events::ASSIGNMENTS_UPDATED, detail);
    context.routing_changed.notify_waiters();
}
