//! Targets that end and start anew, cold, while their new report has not been read.

mod pool_fixtures;

use {
    cowslip_decide::{
        names::Name,
        owners::TargetIncarnation,
        permits::{PermitOutcome, Pool, PoolTarget},
        restarts::Restarts,
    },
    pool_fixtures::{is_granted, millis, permit_request, pool_targets, report},
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Requests per second that a cold target takes, and what the users allow in any one second.
const COLD_RATE: f64 = 3.0;
const MAX_COLD_REQUESTS: usize = 9;
/// Time for which a warm target works on a request.
const WORK_MS: u64 = 40;

fn target() -> TargetIncarnation {
    TargetIncarnation {
        id: "a".into(),
        incarnation: 7,
    }
}

fn reported_targets(restarts: &Restarts) -> BTreeMap<Name, PoolTarget> {
    let cold = restarts.may_be_cold(&target()).then_some(COLD_RATE);
    pool_targets(&[("a", cold)])
}

/// Presses the pool of one target with a request every 10 ms for 4 s, of which the reports are read every
/// 600 ms except from `away.0` to `away.1` ms. The target closes its connections at 1,000 ms and, if it
/// `ends`, refuses new ones for 300 ms and answers within a millisecond from then on; its new report is
/// not written in this time. Returns the times of requests that ran, in ms.
fn play(ends: bool, away: (u64, u64)) -> Vec<u64> {
    const BREAK_MS: u64 = 1000;
    const RESTART_MS: u64 = 1300;
    let start = Instant::now();
    let (mut pool, mut restarts): (Pool<u8>, Restarts) = Default::default();
    let mut running: Vec<(u64, (u8, u64))> = Vec::new();
    let mut ran = Vec::new();
    let is_down = |ms| ends && (BREAK_MS..RESTART_MS).contains(&ms);
    for ms in (0..4000).step_by(10) {
        let now = start + millis(ms);
        if ms % 600 == 0 && !(away.0..away.1).contains(&ms) {
            restarts.record_read(now);
        }
        let mut ended = Vec::new();
        if ms == BREAK_MS {
            let broken = if ends { running.len() } else { 1 };
            let broken = running.drain(..broken);
            ended.extend(broken.map(|(_, id)| (id, PermitOutcome::ConnectionClosed)));
        }
        running.retain(|(end, id)| {
            let is_over = *end <= ms;
            if is_over {
                ended.push((*id, PermitOutcome::Served));
            }
            !is_over
        });
        pool.update_targets(&reported_targets(&restarts), now);
        let mut replies = pool.process_queue(now);
        let id = (0, ms);
        replies.push((
            id,
            pool.request_permit(id, permit_request(1, now, 200, 300), now),
        ));
        for (id, _) in replies.iter().filter(|(_, reply)| is_granted(reply)) {
            let work = if ends && ms >= RESTART_MS { 0 } else { WORK_MS };
            match is_down(ms) {
                true => ended.push((*id, PermitOutcome::ConnectionRefused)),
                false => {
                    ran.push(ms);
                    running.push((ms + work, *id));
                }
            }
        }
        for (id, outcome) in ended {
            let returned = pool.finish_request(&id, report(outcome), now);
            let returned = returned.expect("a permit");
            if returned.shows_break(outcome) {
                restarts.record_doubt(&target(), now);
            } else if outcome.is_response() {
                restarts.record_response(&target(), returned.granted_at, now);
            }
        }
    }
    ran
}

fn most_in_a_second(times: &[u64], span: std::ops::Range<u64>) -> usize {
    let times: Vec<u64> = times
        .iter()
        .copied()
        .filter(|it| span.contains(it))
        .collect();
    let count = |from: &u64| {
        times
            .iter()
            .filter(|it| (*from..from + 1000).contains(it))
            .count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Without the record of breaks, the target gets some 100 requests a second as soon as it listens.
#[test]
fn a_target_that_restarted_gets_its_cold_rate_before_its_new_report_is_read() {
    for away in [(0, 0), (1000, 3000), (900, 4000)] {
        let most = most_in_a_second(&play(true, away), 1300..3300);
        assert!(
            (1..=MAX_COLD_REQUESTS).contains(&most),
            "{most} in a second, store away {away:?}"
        );
    }
}

#[test]
fn a_target_that_only_closed_a_connection_gets_its_usual_rate_at_once() {
    let ran = play(false, (0, 0));
    let before = ran.iter().filter(|it| (500..900).contains(*it)).count();
    let after = ran.iter().filter(|it| (1100..1500).contains(*it)).count();
    assert!(10 * after >= 9 * before, "{after} after {before}");
}

#[test]
fn a_break_is_forgotten_after_reads_without_a_gap() {
    let start = Instant::now();
    let mut restarts = Restarts::default();
    restarts.record_read(start);
    restarts.record_doubt(&target(), start + millis(100));
    for ms in [600, 1200, 1800, 2300] {
        restarts.record_read(start + millis(ms));
        assert!(restarts.may_be_cold(&target()), "at {ms} ms");
    }
    restarts.record_read(start + millis(2400));
    assert!(!restarts.may_be_cold(&target()));
}

#[test]
fn reads_before_the_store_was_away_prove_nothing() {
    let start = Instant::now();
    let mut restarts = Restarts::default();
    restarts.record_read(start);
    restarts.record_doubt(&target(), start + millis(100));
    restarts.record_read(start + millis(600));
    // The target could not write its new report before 3,000 ms.
    for ms in [3000, 3600, 4200, 4800] {
        restarts.record_read(start + millis(ms));
        assert!(restarts.may_be_cold(&target()), "at {ms} ms");
    }
    restarts.record_read(start + millis(5400));
    assert!(!restarts.may_be_cold(&target()));
}

#[test]
fn only_a_response_to_a_request_of_before_the_break_proves_that_the_target_ran_through() {
    let start = Instant::now();
    let mut restarts = Restarts::default();
    restarts.record_doubt(&target(), start + millis(100));
    restarts.record_response(&target(), start + millis(150), start + millis(250));
    assert!(restarts.may_be_cold(&target()), "it was sent later");
    restarts.record_response(&target(), start + millis(50), start + millis(105));
    assert!(restarts.may_be_cold(&target()), "it may have come before");
    restarts.record_response(&target(), start + millis(50), start + millis(150));
    assert!(!restarts.may_be_cold(&target()));
}
