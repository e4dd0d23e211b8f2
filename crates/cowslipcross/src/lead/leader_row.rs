//! The leader's row in the store: reads, claims, renews and releases it.

use {
    crate::{
        clock,
        context::{AssignmentChange, Context, HEARTBEAT_TIMEOUT, LEASE_TTL, RecordedAssignments},
        events,
        lead::{
            assignment_rows::{self, AssignmentRowValue, OWNERS_PREFIX},
            command_sender, leader_loop, restoration,
        },
        peers::{datagram, membership, message::Message},
        views::store_era,
    },
    cowslip_adapter::{
        Error,
        store::{CommitOutcome, Row, RowSet, RowWrite, VersionCheck},
    },
    cowslip_decide::{
        election::{ClaimDelay, ElectionAction, LeaderRow, LocalTime, StoreTimestamp},
        names::{Name, StoreVersion},
        owners::{AssignmentTable, TargetIncarnation, max_grant_lifetime},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Key of the leader's row.
pub const ROW_KEY: &str = "leader";
/// Timeout of a call to the store.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(450);
/// Longest time between two steps of the election.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reads in search of a leader, while no heartbeats arrive; a member adds the delay
/// of its position, as the first ones are the likeliest to find the row free.
const SEARCH_INTERVAL: Duration = Duration::from_millis(600);
/// Shortest time between two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two reads after failed ones.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(2400);
/// Delay of a member's search for a leader and of its claim to a free row, per position in the
/// membership, and its limit. Usually the first member claims the row, and the others learn of it
/// from its heartbeats.
const DELAY_PER_POSITION: Duration = Duration::from_millis(150);
const MAX_POSITION_DELAY: Duration = Duration::from_millis(1800);
/// Additional delay of an instance below [`STRONG_WEIGHT`] without a position, so that stronger
/// ones claim the row first.
const WEAK_DELAY: Duration = Duration::from_millis(150);
/// Longest random delay of an instance without a position.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(300);
/// Weight, in hundredths of a core, from which an instance can lead a large deployment.
const STRONG_WEIGHT: u8 = 30;
/// Time as leader after which an instance resigns if another member's weight is at least
/// [`STRONGER_FACTOR`] times its own.
const MIN_LEADERSHIP_TIME: Duration = Duration::from_secs(3);
const STRONGER_FACTOR: u8 = 2;
/// Shortest time between two such resignations.
const RESIGN_INTERVAL: Duration = Duration::from_secs(20);
/// Time after such a resignation in which the instance does not claim the row; long enough for the
/// successor to read the free row and claim it.
const CLAIM_PAUSE: Duration = Duration::from_millis(2500);

/// Value of the leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderRowValue {
    /// Name of the leader.
    name: Name,
    /// Run id of the leader; empty after it released the row.
    run: String,
    /// Address of the leader's UDP socket.
    heartbeats: SocketAddr,
    /// Milliseconds of the store's clock, read before the write, from which the lease counts.
    #[serde(default)]
    #[serde(rename = "told")]
    lease_start: Option<u64>,
    /// Milliseconds of the store's clock after which no grant is in force; only in a released row.
    #[serde(rename = "granted")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    grants_expire: Option<u64>,
    /// Milliseconds of the store's clock until which grants of an earlier era of the store may be in
    /// force; absent if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unknown_until: Option<u64>,
}

/// Longest wait for grants in flight before the row is released, and its polling interval.
const GRANTS_TIMEOUT: Duration = Duration::from_millis(300);
const GRANTS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Outcome of a write of assignments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingOutcome {
    /// The assignments are in the store.
    Recorded,
    /// The assignments are not in the store and will not be.
    NotRecorded,
    /// The assignments may be in the store, or may get there until the leader's row changes.
    Unknown,
}

/// Schedule of the reads of the router's own table; the interval grows while they fail.
struct ReadSchedule {
    last_read: Instant,
    interval: Duration,
}

impl ReadSchedule {
    /// Returns whether a read is due; while the store answers, the shortest interval applies.
    fn is_due(&self, context: &Context) -> bool {
        let interval = if context.store_reachable.get() {
            MIN_READ_INTERVAL
        } else {
            self.interval
        };
        self.last_read.elapsed() >= interval
    }

    async fn read(&mut self, context: &Context) {
        self.last_read = Instant::now();
        let answered = refresh_router_table(context).await;
        self.interval = match answered {
            true => MIN_READ_INTERVAL,
            false => (2 * self.interval).min(MAX_READ_INTERVAL),
        };
    }
}

/// Runs this instance's part in the election: claims, renews and releases the leader's row.
pub async fn run_election(context: Rc<Context>) {
    let started_at = Instant::now();
    let mut reads = ReadSchedule {
        last_read: started_at,
        interval: MIN_READ_INTERVAL,
    };
    let (mut paused_until, mut last_resignation) = (started_at, None);
    let random_delay = MAX_RANDOM_DELAY.mul_f64(rand::random());
    reads.read(&context).await;
    loop {
        let was_leader = context.is_leader();
        let claim_delay = claim_delay(&context, random_delay);
        let action = context
            .election
            .borrow_mut()
            .next_action(clock::local_time(), claim_delay);
        let is_search_due =
            !was_leader && reads.is_due(&context) && is_search_due(&context, &reads);
        let can_claim = paused_until <= Instant::now() && context.stopping_since.get().is_none();
        match action {
            ElectionAction::Write { version } if can_claim => write_row(&context, version).await,
            ElectionAction::Read if reads.is_due(&context) => {
                reads.read(&context).await;
                continue;
            }
            _ if is_search_due => reads.read(&context).await,
            _ => {}
        }
        if context.is_leader() && context.leader_since.get().is_none() {
            start_leading(&context).await;
        }
        let is_continuing = context.election.borrow().is_continuing();
        if context.leader_since.get().is_some() && !context.is_leader() && !is_continuing {
            context.leader_since.set(None);
            context.record_event(events::LEADERSHIP_LOST, "lease not renewed".into());
        }
        let may_resign = last_resignation.is_none_or(|at: Instant| at.elapsed() > RESIGN_INTERVAL);
        if may_resign && resign_to_stronger(&context).await {
            paused_until = Instant::now() + CLAIM_PAUSE;
            last_resignation = Some(Instant::now());
        }
        // Continues after the interval, or at once if a read is requested.
        let is_requested = timeout(STEP_INTERVAL, context.refresh_requested.notified())
            .await
            .is_ok();
        if is_requested && !context.is_leader() && reads.is_due(&context) {
            reads.read(&context).await;
        }
    }
}

/// Claims or renews the row; a leader that continues after a restoration of the store also records
/// its assignments again.
async fn write_row(context: &Context, version: StoreVersion) {
    if !context.election.borrow().is_continuing() {
        return claim_row(context, version).await;
    }
    match version.is_none() {
        true => restoration::record_again(context).await,
        // That write got no response, but has created the row.
        false => claim_row(context, version).await,
    }
    if context.is_leader() {
        restoration::resume(context);
    }
}

/// Returns whether to read the row in search of a leader: heartbeats are missing, and the lease of
/// the last known leader is over.
fn is_search_due(context: &Context, reads: &ReadSchedule) -> bool {
    let interval = SEARCH_INTERVAL + position_delay(context, Duration::ZERO);
    let is_row_free = context.election.borrow().is_row_free(clock::local_time());
    is_row_free && is_leader_missing(context) && reads.last_read.elapsed() >= interval
}

/// Returns whether heartbeats are missing for longer than preceding members need to claim the row.
fn is_leader_missing(context: &Context) -> bool {
    let timeout = HEARTBEAT_TIMEOUT + position_delay(context, Duration::ZERO);
    let last = context.last_heartbeat.get();
    last.is_none_or(|last| last.elapsed() > timeout)
}

/// Returns the delay of this instance's claim to a free row; without a position, `random_delay` is
/// part of it. The delay also applies to a row that this instance wrote if a much stronger member
/// is known, so that the stronger one can claim it.
fn claim_delay(context: &Context, random_delay: Duration) -> ClaimDelay {
    let own = context.settings.listen.heartbeats;
    let weight = membership::cpu_weight(context.settings.cpu);
    let other = context.membership.borrow().strongest_except(own);
    ClaimDelay {
        duration: position_delay(context, random_delay),
        includes_own: other.is_some_and(|it| it.weight >= weight.saturating_mul(STRONGER_FACTOR)),
    }
}

/// Returns the time for which this instance waits for the members before it.
fn position_delay(context: &Context, random_delay: Duration) -> Duration {
    let own = context.settings.listen.heartbeats;
    let is_weak = membership::cpu_weight(context.settings.cpu) < STRONG_WEIGHT;
    match context.membership.borrow().position(own) {
        Some(position) => (DELAY_PER_POSITION * position as u32).min(MAX_POSITION_DELAY),
        None if is_weak => WEAK_DELAY + random_delay,
        None => random_delay,
    }
}

/// Releases the leader's row if a much stronger member could lead; returns whether it did.
async fn resign_to_stronger(context: &Context) -> bool {
    let led_since = context.leader_since.get();
    if !context.is_leader() || led_since.is_none_or(|since| since.elapsed() < MIN_LEADERSHIP_TIME) {
        return false;
    }
    let own = membership::cpu_weight(context.settings.cpu);
    let successor = leader_loop::find_successor(context);
    let is_stronger = successor.is_some_and(|it| it.weight >= own.saturating_mul(STRONGER_FACTOR));
    if is_stronger {
        release_row(context, "resigned for a stronger instance").await;
    }
    is_stronger
}

/// Reads the router's own table and applies its rows; returns whether the store answered.
pub async fn refresh_router_table(context: &Context) -> bool {
    let _guard = context.write_lock.lock().await;
    let sent_at = clock::local_time();
    let result = context
        .router_store
        .read_router_table(context.era(), STORE_TIMEOUT)
        .await;
    context.metrics.count_store_call("owners", result.is_ok());
    context.set_store_reachable(result.is_ok());
    let rows = match result {
        Ok(rows) => rows,
        Err(error) => {
            observe_restoration(context, &error);
            return false;
        }
    };
    store_era::observe(context, rows.store_version.era);
    apply_leader_row(context, &rows, sent_at);
    for row in &rows.rows {
        if let Some(service) = row.key.strip_prefix(OWNERS_PREFIX) {
            apply_assignments(context, service, row, &rows.rows);
        }
    }
    true
}

/// Follows the era that an error tells, if the store has been restored.
fn observe_restoration(context: &Context, error: &Error) {
    if let Error::Restored { era } = error {
        store_era::observe(context, *era);
    }
}

/// Returns the time of the store's clock until which grants may be in force of which nothing is
/// recorded, as the leader's row does not exist: leaders of an earlier era may have sent them until
/// their leases ended. `None` when the system starts for the first time.
fn unknown_grants_end(context: &Context, store_time: Duration) -> Option<Duration> {
    if context.settings.bootstrap && context.restored_at.get().is_none() {
        return None;
    }
    // The first time in this era: grants of earlier eras can only have been sent before.
    let end = context.unknown_until.get().unwrap_or_else(|| {
        let max_ttl = context.bounds.borrow().max_ttl;
        let max_lifetime = max_grant_lifetime(max_ttl, command_sender::DELIVERY_LIMIT);
        store_time + LEASE_TTL + max_lifetime
    });
    Some(end)
}

/// Applies the leader's row from a response of the store to a call that started at `sent_at`.
fn apply_leader_row(context: &Context, rows: &RowSet, sent_at: LocalTime) {
    let row = rows.rows.iter().find(|row| row.key == ROW_KEY);
    let timestamp = rows.store_time.map(|time| StoreTimestamp {
        store_time: time,
        sent_at,
    });
    let value = row.and_then(|row| row.value.as_deref());
    let decoded: Option<LeaderRowValue> = value.and_then(|json| serde_json::from_slice(json).ok());
    let is_own_row = decoded.as_ref().is_some_and(|it| it.run == context.run_id);
    let stored = LeaderRow {
        version: row.map_or(StoreVersion::NONE, |row| row.version),
        is_own: is_own_row,
        released: decoded.as_ref().is_none_or(|it| it.run.is_empty()),
        lease_start: decoded
            .as_ref()
            .and_then(|it| it.lease_start)
            .map(Duration::from_millis),
    };
    let expiry = decoded.as_ref().and_then(|it| grants_end(context, it));
    let unknown_until = match (&decoded, rows.store_time) {
        (Some(row), _) => row.unknown_until.map(Duration::from_millis),
        (None, Some(store_time)) => unknown_grants_end(context, store_time),
        (None, None) => context.unknown_until.get(),
    };
    context.unknown_until.set(unknown_until);
    context.observed_row.set(Some((stored.version, expiry)));
    context
        .election
        .borrow_mut()
        .apply_row(stored, clock::local_time(), timestamp);
    if let Some(leader) = decoded.filter(|_| !is_own_row) {
        context.leader_address.set(Some(leader.heartbeats));
    }
}

/// Returns the time of the store's clock after which none of a leader's grants is in force: as
/// stated in a released row, or else the latest expiry of a grant sent at the end of the lease.
fn grants_end(context: &Context, row: &LeaderRowValue) -> Option<Duration> {
    let recorded = row.grants_expire.map(Duration::from_millis);
    let max_lifetime = max_grant_lifetime(
        context.bounds.borrow().max_ttl,
        command_sender::DELIVERY_LIMIT,
    );
    recorded.or_else(|| Some(Duration::from_millis(row.lease_start?) + LEASE_TTL + max_lifetime))
}

/// Applies a service's assignments from the store unless a later version is known. The same version
/// is replaced, too, as a row contains more than heartbeats do.
fn apply_assignments(context: &Context, service: &str, row: &Row, all_rows: &[Row]) {
    let mut all_recorded = context.recorded_assignments.borrow_mut();
    let known = all_recorded.get_mut(service);
    if known.as_ref().is_some_and(|it| it.version > row.version) {
        return;
    }
    let (table, addresses) = match decode_table(service, row, all_rows) {
        Ok(decoded) => decoded,
        Err(cause) => {
            let detail = format!("assignments of {service}, version {}: {cause}", row.version);
            return context.record_event(events::ROW_INVALID, detail);
        }
    };
    context.record_addresses(addresses.into_iter());
    if let Some(same) = known.filter(|it| it.version == row.version) {
        same.table = Rc::new(table);
        return;
    }
    let detail = format!(
        "service {service}, version {}, {} assignments",
        row.version,
        table.assignments.len()
    );
    all_recorded.insert(
        service.into(),
        RecordedAssignments {
            version: row.version,
            table: Rc::new(table),
            last_change: None,
        },
    );
    drop(all_recorded);
    context.record_event(events::ASSIGNMENTS_UPDATED, detail);
    context.routing_changed.notify_waiters();
}

/// Decodes a service's assignments and the last known addresses of their owners.
fn decode_table(
    service: &str,
    row: &Row,
    all_rows: &[Row],
) -> Result<(AssignmentTable, Vec<(TargetIncarnation, SocketAddr)>), String> {
    let value = assignment_rows::decode(service, row, all_rows)?;
    let addresses = value.addresses();
    let table = AssignmentTable::try_from(value).map_err(str::to_owned)?;
    Ok((table, addresses))
}

/// Claims or renews the leader's row on the condition that it has this version.
async fn claim_row(context: &Context, version: StoreVersion) {
    let guard = context.write_lock.lock().await;
    let is_continuing = context.election.borrow().is_continuing();
    let was_leader = context.is_leader() || is_continuing;
    let sent_at = clock::local_time();
    let timestamp = timestamp_to_write(context, sent_at);
    let checks = [check(ROW_KEY, version)];
    let writes = [new_row(context, timestamp, None)];
    let result = context
        .router_store
        .commit(context.era(), &checks, &writes, STORE_TIMEOUT)
        .await;
    drop(guard);
    context.metrics.count_store_call("lease", result.is_ok());
    apply_write_result(context, (timestamp, sent_at), &result);
    if !was_leader && context.is_leader() {
        context.leader_since.set(None);
        // The expiry of the previous leader's grants is known only if its row was the one replaced.
        let previous = context.observed_row.get().filter(|it| it.0 == version);
        context.grants_expire.set(previous.and_then(|(_, end)| end));
    }
}

/// Starts to act as leader once the assignments that the previous leader recorded last are read.
async fn start_leading(context: &Context) {
    if !refresh_router_table(context).await || !context.is_leader() {
        return;
    }
    context
        .leader_address
        .set(Some(context.settings.listen.heartbeats));
    context.leader_since.set(Some(Instant::now()));
    leader_loop::add_known_members(context);
    let version = context.election.borrow().row_version();
    context.record_event(events::LEADERSHIP_GAINED, format!("version {version}"));
    context.leader_work.notify_one();
}

/// Returns the store timestamp for the leader's row. If none is known, it is zero: a lease from
/// there has expired already, and the response brings a timestamp for the next write.
pub fn timestamp_to_write(context: &Context, now: LocalTime) -> StoreTimestamp {
    let timestamp = context.election.borrow().store_timestamp();
    timestamp.unwrap_or(StoreTimestamp {
        store_time: Duration::ZERO,
        sent_at: LocalTime {
            monotonic: now.monotonic,
            since_boot: Duration::ZERO,
        },
    })
}

/// Applies the result of a write that was sent at `sent_at` with `written` in the leader's row.
pub fn apply_write_result(
    context: &Context,
    (written, sent_at): (StoreTimestamp, LocalTime),
    result: &cowslip_adapter::Result<CommitOutcome>,
) {
    match result {
        Ok(CommitOutcome::Committed {
            version,
            store_time: now,
        }) => {
            let response_timestamp = now.map_or(written, |time| StoreTimestamp {
                store_time: time,
                sent_at,
            });
            context
                .election
                .borrow_mut()
                .confirm_write(written, *version, response_timestamp);
        }
        Ok(CommitOutcome::Conflict(rows)) => match rows.rows.iter().any(|it| it.key == ROW_KEY) {
            true => apply_leader_row(context, rows, sent_at),
            // The response lacks the leader's row, so it has to be read.
            false => context.election.borrow_mut().mark_write_unanswered(),
        },
        Err(error) if error.is_outcome_unknown() => {
            context.record_event(events::WRITE_UNANSWERED, error.to_string());
            context.election.borrow_mut().mark_write_unanswered();
        }
        Err(error @ Error::Restored { .. }) => observe_restoration(context, error),
        // Nothing was written; the election tries again.
        Err(error) => context.record_event(events::WRITE_REFUSED, error.to_string()),
    }
}

/// Records a service's assignments on the condition that this instance still leads and the recorded
/// version is `previous_version`.
pub async fn record_assignments(
    context: &Context,
    service: &Name,
    previous_version: StoreVersion,
    table: &AssignmentTable,
) -> RecordingOutcome {
    let guard = context.write_lock.lock().await;
    if !context.is_leader() {
        return RecordingOutcome::NotRecorded;
    }
    let key = format!("{OWNERS_PREFIX}{service}");
    let own_version = context.election.borrow().row_version();
    let value = AssignmentRowValue::new(table, |owner| context.target_address(owner));
    let Ok(mut writes) = assignment_rows::encode(service, &value) else {
        return RecordingOutcome::NotRecorded;
    };
    let sent_at = clock::local_time();
    let timestamp = timestamp_to_write(context, sent_at);
    let checks = [check(ROW_KEY, own_version), check(&key, previous_version)];
    writes.push(new_row(context, timestamp, None));
    let result = context
        .router_store
        .commit(context.era(), &checks, &writes, STORE_TIMEOUT)
        .await;
    drop(guard);
    context.metrics.count_store_call("record", result.is_ok());
    apply_write_result(context, (timestamp, sent_at), &result);
    match result {
        Ok(CommitOutcome::Committed { version, .. }) => {
            apply_recorded(context, service, (previous_version, version), table);
            RecordingOutcome::Recorded
        }
        // The store may have assignments that are not known here; the recorder reads them next.
        Ok(CommitOutcome::Conflict(_)) => RecordingOutcome::Unknown,
        Err(error) if error.is_outcome_unknown() => RecordingOutcome::Unknown,
        Err(_) => RecordingOutcome::NotRecorded,
    }
}

/// Applies recorded assignments on this instance and keeps the change for the other instances.
fn apply_recorded(
    context: &Context,
    service: &Name,
    (previous_version, version): (StoreVersion, StoreVersion),
    table: &AssignmentTable,
) {
    let mut all_recorded = context.recorded_assignments.borrow_mut();
    let previous = all_recorded
        .get(service)
        .filter(|it| it.version == previous_version);
    let change = previous.map(|previous| AssignmentChange {
        base_version: previous_version,
        assignments: table.changes_since(&previous.table),
        recorded_at: Instant::now(),
    });
    let recorded = RecordedAssignments {
        version,
        table: Rc::new(table.clone()),
        last_change: change,
    };
    all_recorded.insert(service.clone(), recorded);
}

/// Releases the leader's row before a shutdown, if this instance leads.
pub async fn resign(context: &Context) {
    if context.is_leader() {
        release_row(context, "instance stops").await;
    }
}

/// Releases the leader's row and notifies the strongest member that it can claim it.
async fn release_row(context: &Context, reason: &str) {
    let guard = context.write_lock.lock().await;
    let version = context.election.borrow().row_version();
    // No grant starts from here on. Those in flight end first, as the row states when all expire.
    context.election.borrow_mut().step_down();
    context.leader_since.set(None);
    let deadline = Instant::now() + GRANTS_TIMEOUT;
    while context.leader_state.borrow().has_grant_in_flight() && Instant::now() < deadline {
        sleep(GRANTS_POLL_INTERVAL).await;
    }
    let checks = [check(ROW_KEY, version)];
    let timestamp = timestamp_to_write(context, clock::local_time());
    let writes = [new_row(context, timestamp, Some(own_grants_end(context)))];
    let result = context
        .router_store
        .commit(context.era(), &checks, &writes, STORE_TIMEOUT)
        .await;
    drop(guard);
    let detail = match result {
        Ok(_) => reason.to_owned(),
        Err(error) => format!("{reason}, row not released: {error}"),
    };
    context.record_event(events::LEADERSHIP_LOST, detail);
    if let Some(successor) = leader_loop::find_successor(context) {
        datagram::try_send(context, &Message::LeadershipOffer, successor.address);
    }
}

pub fn check(key: &str, version: StoreVersion) -> VersionCheck {
    VersionCheck {
        key: key.into(),
        version,
    }
}

/// Returns the time of the store's clock after which none of this leader's grants is in force.
fn own_grants_end(context: &Context) -> Option<Duration> {
    Some(context.store_time_bound()?.latest + leader_loop::remaining_grant_time(context)?)
}

/// Returns the leader's row to write. `release` is `Some` to release the row, with the time after
/// which no grant of this leader is in force, if that is known.
pub fn new_row(
    context: &Context,
    time: StoreTimestamp,
    release: Option<Option<Duration>>,
) -> RowWrite {
    let unknown_until = context.unknown_until.get();
    let row = LeaderRowValue {
        name: context.settings.name.clone(),
        run: match release {
            None => context.run_id.clone(),
            Some(_) => String::new(),
        },
        // Rounded up to whole milliseconds.
        grants_expire: release.flatten().map(|until| until.as_millis() as u64 + 1),
        heartbeats: context.settings.listen.heartbeats,
        lease_start: Some(time.store_time.as_millis() as u64),
        unknown_until: unknown_until
            .filter(|end| *end > time.store_time)
            .map(|end| end.as_millis() as u64 + 1),
    };
    RowWrite {
        key: ROW_KEY.into(),
        // Serialising strings and numbers does not fail.
        value: serde_json::to_vec(&row).unwrap_or_default(),
    }
}
