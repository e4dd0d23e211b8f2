//! This instance's part in the election: when to read, claim and release the leader's row.

use {
    crate::{
        clock,
        context::{Context, HEARTBEAT_TIMEOUT},
        events,
        lead::{
            peer_reports, restoration,
            row_reader::refresh_router_table,
            row_writer::{claim_row, release_row},
        },
        peers::membership,
    },
    cowslip_decide::{
        election::{ClaimDelay, ClaimObstacle, ElectionAction},
        names::StoreVersion,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout},
};

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
/// Additional delay of an instance that is cut off from targets, so that others claim the row first.
const CUT_OFF_DELAY: Duration = Duration::from_secs(2);
/// Time for which an instance that was asked to claim the row does not wait for the members before it.
const OFFER_TIME: Duration = Duration::from_secs(1);
/// Time after such a resignation in which the instance does not claim the row; long enough for the
/// successor to read the free row and claim it.
const CLAIM_PAUSE: Duration = Duration::from_millis(2500);

/// Time for which a claim is deferred until that is told.
const DEFERRAL_REPORT_TIME: Duration = Duration::from_secs(1);

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
    let mut deferred_since = None;
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
        let can_claim = paused_until <= Instant::now() && !context.is_stopping();
        if can_claim {
            report_deferral(&context, claim_delay, &mut deferred_since);
        }
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
        if resign_if_cut_off(&context).await {
            paused_until = Instant::now() + CLAIM_PAUSE;
        }
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

/// Records why this instance does not claim the free row, if that has lasted for a while.
fn report_deferral(
    context: &Context,
    claim_delay: ClaimDelay,
    deferred_since: &mut Option<Instant>,
) {
    let election = context.election.borrow();
    let Some(obstacle) = election.deferral(clock::local_time(), claim_delay) else {
        *deferred_since = None;
        return;
    };
    let since = *deferred_since.get_or_insert_with(Instant::now);
    if since.elapsed() < DEFERRAL_REPORT_TIME {
        return;
    }
    let cause = match obstacle {
        ClaimObstacle::NoTimestamp => "no time of the store known".to_owned(),
        ClaimObstacle::OldTimestamp(age) => {
            format!("the store's time was asked for {} ms ago", age.as_millis())
        }
    };
    let deferred = since.elapsed().as_millis();
    let timeout = context.store_timeout.get().get().as_millis();
    let detail = format!("{cause}; for {deferred} ms; timeout of calls {timeout} ms");
    context.record_event(events::CLAIM_DEFERRED, detail);
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
    let is_weaker = other.is_some_and(|it| it.weight >= weight.saturating_mul(STRONGER_FACTOR));
    let is_cut_off = context.reach.borrow().is_lost();
    let cut_off_delay = match is_cut_off {
        true => CUT_OFF_DELAY,
        false => Duration::ZERO,
    };
    ClaimDelay {
        duration: position_delay(context, random_delay) + cut_off_delay,
        includes_own: is_weaker || is_cut_off,
    }
}

/// Returns the time for which this instance waits for the members before it; none if the last leader has
/// asked it to claim the row.
fn position_delay(context: &Context, random_delay: Duration) -> Duration {
    let offered_at = context.offered_at.get();
    if offered_at.is_some_and(|at| at.elapsed() < OFFER_TIME) {
        return Duration::ZERO;
    }
    let own = context.settings.listen.heartbeats;
    let is_weak = membership::cpu_weight(context.settings.cpu) < STRONG_WEIGHT;
    match context.membership.borrow().position(own) {
        Some(position) => (DELAY_PER_POSITION * position as u32).min(MAX_POSITION_DELAY),
        None if is_weak => WEAK_DELAY + random_delay,
        None => random_delay,
    }
}

/// Releases the leader's row if this instance is cut off from targets, to which it can send no commands, and
/// another member could lead; returns whether it did.
async fn resign_if_cut_off(context: &Context) -> bool {
    let is_cut_off = context.reach.borrow().is_lost();
    if !is_cut_off || !context.is_leader() || peer_reports::find_successor(context).is_none() {
        return false;
    }
    release_row(context, "resigned as it reaches no targets").await;
    true
}

/// Releases the leader's row if a much stronger member could lead; returns whether it did.
async fn resign_to_stronger(context: &Context) -> bool {
    let led_since = context.leader_since.get();
    if !context.is_leader() || led_since.is_none_or(|since| since.elapsed() < MIN_LEADERSHIP_TIME) {
        return false;
    }
    let own = membership::cpu_weight(context.settings.cpu);
    let successor = peer_reports::find_successor(context);
    let is_stronger = successor.is_some_and(|it| it.weight >= own.saturating_mul(STRONGER_FACTOR));
    if is_stronger {
        release_row(context, "resigned for a stronger instance").await;
    }
    is_stronger
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
    peer_reports::add_known_members(context);
    let version = context.election.borrow().row_version();
    context.record_event(events::LEADERSHIP_GAINED, format!("version {version}"));
    context.leader_work.notify_one();
}
