//! The leader's row in the store: read, taken, renewed and given up.

use {
    crate::{
        clock,
        context::{AssignmentChange, Context, HEARTBEAT_TIMEOUT, LEASE_TTL, RecordedAssignments},
        events,
        lead::{
            courier, keep,
            record::{self, OWNERS_PREFIX, WireTable},
        },
        peers::{datagram, membership, message::Message},
    },
    cowslip_adapter::store::{CommitOutcome, ROUTER_TABLE, Row, RowSet, RowWrite, VersionCheck},
    cowslip_decide::{
        election::{ClaimDelay, ElectionAction, LeaderRow, LocalTime, StoreTimestamp},
        names::Name,
        owners::{AssignmentTable, TargetIncarnation, max_grant_lifetime},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Key of the leader's row.
const SEAT_KEY: &str = "leader";
/// Longest time for an answer of the store.
const LIMIT: Duration = Duration::from_millis(450);
/// Period in which the row is looked after.
const TICK: Duration = Duration::from_millis(100);
/// Period of the reads while no leader is heard.
const SEARCH: Duration = Duration::from_millis(600);
/// Pause between two reads of one that has to know the row at once.
const URGENT: Duration = Duration::from_millis(150);
/// Longest pause after reads that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// Time by which each member searches, and takes a free row, later than the one before it, and the
/// longest such time: mostly the first one takes the row, and the others hear of it.
const STAGGER: Duration = Duration::from_millis(150);
const LONGEST_STAGGER: Duration = Duration::from_millis(1800);
/// Time that one with less than [`STRONG`] leaves to others when no member is known.
const FIRST: Duration = Duration::from_millis(150);
/// Longest time that any instance leaves to others then; each draws its own.
const UNKNOWN_RANK: Duration = Duration::from_millis(300);
/// Weight of an instance that may lead a large deployment.
const STRONG: u8 = 30;
/// Time as leader after which one hands over to a member that is stronger by [`STRONGER`].
const SETTLED: Duration = Duration::from_secs(3);
const STRONGER: u8 = 2;
/// Time after which it may do so again.
const HAND_OVER: Duration = Duration::from_secs(20);
/// Time that it then leaves to that member.
const YIELD: Duration = Duration::from_millis(2500);

/// The leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireSeat {
    /// Name of the leader.
    name: Name,
    /// Run of the leader; empty after it gave the row up.
    run: String,
    /// Address for datagrams.
    heartbeats: SocketAddr,
    /// Milliseconds of the store's clock that the leader was told before it wrote.
    #[serde(default)]
    told: Option<u64>,
    /// Milliseconds of the store's clock after which none of its grants is in force; said by one
    /// that gives the row up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    granted: Option<u64>,
}

/// Longest wait for the ends of grants that are under way when the row is given up, and the period
/// in which these are looked at.
const GRANTS_END: Duration = Duration::from_millis(300);
const GRANTS_LOOK: Duration = Duration::from_millis(10);

/// How a record of owners ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is in the store.
    Done,
    /// It is not, and will not be.
    Refused,
    /// It may be there, or come there as long as the leader's row keeps its version.
    Unknown,
}

/// When the project's own rows were read, and how that went.
struct Reads {
    at: Instant,
    pause: Duration,
}

impl Reads {
    /// Returns whether the pause after the last one is over; an answer to any call cuts it short.
    fn are_due(&self, context: &Context) -> bool {
        let pause = if context.store_reachable.get() {
            URGENT
        } else {
            self.pause
        };
        self.at.elapsed() >= pause
    }

    async fn read(&mut self, context: &Context) {
        self.at = Instant::now();
        let answered = refresh(context).await;
        self.pause = match answered {
            true => URGENT,
            false => (2 * self.pause).min(LONGEST_PAUSE),
        };
    }
}

/// Looks after the leader's row for ever.
pub async fn hold(context: Rc<Context>) {
    let begun = Instant::now();
    let mut reads = Reads {
        at: begun,
        pause: URGENT,
    };
    let (mut yields, mut handed) = (begun, None);
    let delay = UNKNOWN_RANK.mul_f64(rand::random());
    reads.read(&context).await;
    loop {
        let led = context.is_leader();
        let turn = turn(&context, delay);
        let step = context
            .election
            .borrow_mut()
            .next_action(clock::local_time(), turn);
        let searches =
            !led && searches(&context) && reads.at.elapsed() >= SEARCH && reads.are_due(&context);
        let free = yields <= Instant::now() && context.stopping_since.get().is_none();
        match step {
            ElectionAction::Write { version } if free => claim(&context, version).await,
            ElectionAction::Read if reads.are_due(&context) => {
                reads.read(&context).await;
                continue;
            }
            _ if searches => reads.read(&context).await,
            _ => {}
        }
        if context.is_leader() && context.leader_since.get().is_none() {
            begin(&context).await;
        }
        if context.leader_since.get().is_some() && !context.is_leader() {
            context.leader_since.set(None);
            context.record_event(events::LEADERSHIP_LOST, "lease not renewed".into());
        }
        let again = handed.is_none_or(|at: Instant| at.elapsed() > HAND_OVER);
        if again && hand_over(&context).await {
            yields = Instant::now() + YIELD;
            handed = Some(Instant::now());
        }
        // Either the tick is over or the owners have to be read at once.
        let told = timeout(TICK, context.refresh_requested.notified())
            .await
            .is_ok();
        if told && !context.is_leader() && reads.are_due(&context) {
            reads.read(&context).await;
        }
    }
}

/// Returns whether this instance looks for a leader: none was heard of late, and those before it
/// have had their time to take the row.
fn searches(context: &Context) -> bool {
    let wait = HEARTBEAT_TIMEOUT + stagger(context, Duration::ZERO);
    let heard = context.last_heartbeat.get();
    heard.is_none_or(|heard| heard.elapsed() > wait)
}

/// Returns when this instance takes a row that is free; `delay` is its own time to leave to others
/// while it knows no members.
fn turn(context: &Context, delay: Duration) -> ClaimDelay {
    let own = context.settings.listen.heartbeats;
    let weight = membership::cpu_weight(context.settings.cpu);
    let strongest = context.membership.borrow().strongest_except(own);
    ClaimDelay {
        duration: stagger(context, delay),
        includes_own: strongest.is_some_and(|it| it.weight >= weight.saturating_mul(STRONGER)),
    }
}

/// Returns the time that this instance leaves to those before it.
fn stagger(context: &Context, delay: Duration) -> Duration {
    let own = context.settings.listen.heartbeats;
    let weak = membership::cpu_weight(context.settings.cpu) < STRONG;
    match context.membership.borrow().position(own) {
        Some(rank) => (STAGGER * rank as u32).min(LONGEST_STAGGER),
        None if weak => FIRST + delay,
        None => delay,
    }
}

/// Hands over to a much stronger member, if there is one; returns whether it did.
async fn hand_over(context: &Context) -> bool {
    let settled = context.leader_since.get();
    if !context.is_leader() || settled.is_none_or(|since| since.elapsed() < SETTLED) {
        return false;
    }
    let own = membership::cpu_weight(context.settings.cpu);
    let successor = keep::successor(context);
    let stronger = successor.is_some_and(|it| it.weight >= own.saturating_mul(STRONGER));
    if stronger {
        give_up(context, "handed over to a stronger one").await;
    }
    stronger
}

/// Reads the project's own rows; returns whether the store answered.
pub async fn refresh(context: &Context) -> bool {
    let _one = context.write_lock.lock().await;
    let sent = clock::local_time();
    let read = context.router_store.read_table(ROUTER_TABLE, LIMIT).await;
    context.metrics.count_store_call("owners", read.is_ok());
    context.set_store_reachable(read.is_ok());
    let Ok(rows) = read else {
        return false;
    };
    see(context, &rows, sent);
    for row in &rows.rows {
        if let Some(service) = row.key.strip_prefix(OWNERS_PREFIX) {
            adopt(context, service, row, &rows.rows);
        }
    }
    true
}

/// Takes the leader's row as the store has it.
fn see(context: &Context, rows: &RowSet, sent: LocalTime) {
    let row = rows.rows.iter().find(|row| row.key == SEAT_KEY);
    let mark = rows.store_time.map(|store| StoreTimestamp {
        store_time: store,
        sent_at: sent,
    });
    let value = row.and_then(|row| row.value.as_deref());
    let wire: Option<WireSeat> = value.and_then(|value| serde_json::from_slice(value).ok());
    let own = wire.as_ref().is_some_and(|it| it.run == context.run_id);
    let seat = LeaderRow {
        version: row.map_or(0, |row| row.version),
        is_own: own,
        released: wire.as_ref().is_none_or(|it| it.run.is_empty()),
        lease_start: wire
            .as_ref()
            .and_then(|it| it.told)
            .map(Duration::from_millis),
    };
    let granted = wire.as_ref().and_then(|it| grants_end(context, it));
    context.observed_row.set(Some((seat.version, granted)));
    context
        .election
        .borrow_mut()
        .apply_row(seat, clock::local_time(), mark);
    if let Some(wire) = wire.filter(|_| !own) {
        context.leader_address.set(Some(wire.heartbeats));
    }
}

/// Returns the time of the store's clock after which none of a leader's grants is in force: as it
/// said when it gave its row up, or else that of a grant sent at the end of its lease.
fn grants_end(context: &Context, row: &WireSeat) -> Option<Duration> {
    let said = row.granted.map(Duration::from_millis);
    let longest = max_grant_lifetime(context.bounds.borrow().max_ttl, courier::FLIGHT);
    said.or_else(|| Some(Duration::from_millis(row.told?) + LEASE_TTL + longest))
}

/// Takes over owners that are not older than those at hand: a row tells more than heartbeats.
fn adopt(context: &Context, service: &str, row: &Row, all: &[Row]) {
    let mut owners = context.owners.borrow_mut();
    let known = owners.get_mut(service);
    if known.as_ref().is_some_and(|it| it.version > row.version) {
        return;
    }
    let (table, addresses) = match read(service, row, all) {
        Ok(read) => read,
        Err(cause) => {
            let detail = format!("owners of {service}, version {}: {cause}", row.version);
            return context.record_event(events::ROW_INVALID, detail);
        }
    };
    context.record_addresses(addresses.into_iter());
    if let Some(same) = known.filter(|it| it.version == row.version) {
        same.table = Rc::new(table);
        return;
    }
    let detail = format!(
        "service {service}, version {}, {} pieces",
        row.version,
        table.assignments.len()
    );
    owners.insert(
        service.into(),
        RecordedAssignments {
            version: row.version,
            table: Rc::new(table),
            last_change: None,
        },
    );
    drop(owners);
    context.record_event(events::ASSIGNMENTS_UPDATED, detail);
    context.routing_changed.notify_waiters();
}

/// Reads owners and their last known addresses.
fn read(
    service: &str,
    row: &Row,
    all: &[Row],
) -> Result<(AssignmentTable, Vec<(TargetIncarnation, SocketAddr)>), String> {
    let wire = record::read(service, row, all)?;
    let addresses = wire.addresses();
    let table = AssignmentTable::try_from(wire).map_err(str::to_owned)?;
    Ok((table, addresses))
}

/// Takes or renews the leader's row.
async fn claim(context: &Context, version: u64) {
    let one = context.write_lock.lock().await;
    let (led, sent) = (context.is_leader(), clock::local_time());
    let said = said(context, sent);
    let checks = [check(SEAT_KEY, version)];
    let puts = [seat(context, said, None)];
    let end = context.router_store.commit(&checks, &puts, LIMIT).await;
    drop(one);
    context.metrics.count_store_call("lease", end.is_ok());
    settle(context, (said, sent), &end);
    if !led && context.is_leader() {
        context.leader_since.set(None);
        let former = context.observed_row.get().filter(|it| it.0 == version);
        context
            .grants_expire
            .set(former.and_then(|(_, until)| until));
    }
}

/// Begins to act as leader once the owners are known that the former leader recorded last.
async fn begin(context: &Context) {
    if !refresh(context).await || !context.is_leader() {
        return;
    }
    context
        .leader_address
        .set(Some(context.settings.listen.heartbeats));
    context.leader_since.set(Some(Instant::now()));
    keep::take_members(context);
    let version = context.election.borrow().row_version();
    context.record_event(events::LEADERSHIP_GAINED, format!("version {version}"));
    context.leader_work.notify_one();
}

/// Returns the time of the store's clock that a write says. Without one it says the beginning of
/// the clock, so that its lease has run out and the next write says what this one's answer told.
fn said(context: &Context, now: LocalTime) -> StoreTimestamp {
    let mark = context.election.borrow().store_timestamp();
    mark.unwrap_or(StoreTimestamp {
        store_time: Duration::ZERO,
        sent_at: LocalTime {
            monotonic: now.monotonic,
            since_boot: Duration::ZERO,
        },
    })
}

/// Takes the end of a write of the leader's row.
fn settle(
    context: &Context,
    (said, sent): (StoreTimestamp, LocalTime),
    end: &cowslip_adapter::Result<CommitOutcome>,
) {
    match end {
        Ok(CommitOutcome::Committed {
            version,
            store_time: now,
        }) => {
            let told = now.map_or(said, |store| StoreTimestamp {
                store_time: store,
                sent_at: sent,
            });
            context
                .election
                .borrow_mut()
                .confirm_write(said, *version, told);
        }
        Ok(CommitOutcome::Conflict(rows)) => match rows.rows.iter().any(|it| it.key == SEAT_KEY) {
            true => see(context, rows, sent),
            false => context.election.borrow_mut().mark_write_unanswered(),
        },
        Err(error) if error.is_outcome_unknown() => {
            context.record_event(events::WRITE_UNANSWERED, error.to_string());
            context.election.borrow_mut().mark_write_unanswered();
        }
        // Nothing was written: the next step tries again.
        Err(error) => context.record_event(events::WRITE_REFUSED, error.to_string()),
    }
}

/// Records owners under the condition that this instance still is the leader.
pub async fn record(
    context: &Context,
    service: &Name,
    before: u64,
    table: &AssignmentTable,
) -> Recorded {
    let one = context.write_lock.lock().await;
    if !context.is_leader() {
        return Recorded::Refused;
    }
    let key = format!("{OWNERS_PREFIX}{service}");
    let held = context.election.borrow().row_version();
    let wire = WireTable::new(table, |life| context.target_address(life));
    let Ok(mut puts) = record::rows(service, &wire) else {
        return Recorded::Refused;
    };
    let sent = clock::local_time();
    let said = said(context, sent);
    let checks = [check(SEAT_KEY, held), check(&key, before)];
    puts.push(seat(context, said, None));
    let end = context.router_store.commit(&checks, &puts, LIMIT).await;
    drop(one);
    context.metrics.count_store_call("record", end.is_ok());
    settle(context, (said, sent), &end);
    match end {
        Ok(CommitOutcome::Committed { version, .. }) => {
            took_effect(context, service, (before, version), table);
            Recorded::Done
        }
        Ok(CommitOutcome::Conflict(_)) => Recorded::Unknown,
        Err(error) if error.is_outcome_unknown() => Recorded::Unknown,
        Err(_) => Recorded::Refused,
    }
}

/// Puts recorded owners in force on this instance, and keeps the difference for the others.
fn took_effect(
    context: &Context,
    service: &Name,
    (before, version): (u64, u64),
    table: &AssignmentTable,
) {
    let mut owners = context.owners.borrow_mut();
    let former = owners.get(service).filter(|it| it.version == before);
    let change = former.map(|former| AssignmentChange {
        base_version: before,
        assignments: table.changes_since(&former.table),
        recorded_at: Instant::now(),
    });
    let next = RecordedAssignments {
        version,
        table: Rc::new(table.clone()),
        last_change: change,
    };
    owners.insert(service.clone(), next);
}

/// Gives the leader's row up for a stop, if this instance has it.
pub async fn resign(context: &Context) {
    if context.is_leader() {
        give_up(context, "given up for a stop").await;
    }
}

/// Gives the leader's row up, and asks the strongest member to take it.
async fn give_up(context: &Context, why: &str) {
    let one = context.write_lock.lock().await;
    let version = context.election.borrow().row_version();
    // From here on no grant begins; those under way end before the row says when they have run out.
    context.election.borrow_mut().step_down();
    context.leader_since.set(None);
    let ends = Instant::now() + GRANTS_END;
    while context.leader_state.borrow().is_granting() && Instant::now() < ends {
        sleep(GRANTS_LOOK).await;
    }
    let checks = [check(SEAT_KEY, version)];
    let said = said(context, clock::local_time());
    let puts = [seat(context, said, Some(granted(context)))];
    let end = context.router_store.commit(&checks, &puts, LIMIT).await;
    drop(one);
    let detail = match end {
        Ok(_) => why.to_owned(),
        Err(error) => format!("{why}, row not written: {error}"),
    };
    context.record_event(events::LEADERSHIP_LOST, detail);
    if let Some(successor) = keep::successor(context) {
        datagram::try_send(context, &Message::LeadershipOffer, successor.address);
    }
}

fn check(key: &str, version: u64) -> VersionCheck {
    VersionCheck {
        key: key.into(),
        version,
    }
}

/// Returns the time of the store's clock after which none of this leader's grants is in force, if
/// that is known.
fn granted(context: &Context) -> Option<Duration> {
    Some(context.store_time_bound()?.latest + keep::holds(context)?)
}

/// Returns the leader's row as this instance writes it. One that gives it up says when none of its
/// grants is in force any more, if it knows.
fn seat(context: &Context, said: StoreTimestamp, given_up: Option<Option<Duration>>) -> RowWrite {
    let wire = WireSeat {
        name: context.settings.name.clone(),
        run: match given_up {
            None => context.run_id.clone(),
            Some(_) => String::new(),
        },
        granted: given_up.flatten().map(|until| until.as_millis() as u64 + 1),
        heartbeats: context.settings.listen.heartbeats,
        told: Some(said.store_time.as_millis() as u64),
    };
    RowWrite {
        key: SEAT_KEY.into(),
        // A struct of texts always has a JSON form.
        value: serde_json::to_vec(&wire).unwrap_or_default(),
    }
}
