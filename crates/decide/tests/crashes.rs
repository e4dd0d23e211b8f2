//! Requests under which targets end: blocked after two, unless such requests are served.

use {
    cowslip_decide::{
        crashes::{BlockChange, CrashLog, Fingerprint},
        owners::TargetIncarnation,
    },
    std::time::Duration,
    tokio::time::Instant,
};

const REQUEST: Fingerprint = Fingerprint(7);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn target(id: &str, incarnation: u64) -> TargetIncarnation {
    TargetIncarnation {
        id: id.into(),
        incarnation,
    }
}

#[test]
fn a_request_is_blocked_once_two_targets_have_ended_under_it() {
    let now = Instant::now();
    let mut log = CrashLog::default();
    assert_eq!(
        log.record_crash(REQUEST, target("a", 1), now),
        BlockChange::None
    );
    // The same end, as another instance reports it.
    assert_eq!(
        log.record_crash(REQUEST, target("a", 1), now),
        BlockChange::None
    );
    assert_eq!(log.remaining_block(REQUEST, now), None);
    let later = now + seconds(60);
    assert_eq!(
        log.record_crash(REQUEST, target("a", 2), later),
        BlockChange::Blocked
    );
    assert!(log.remaining_block(REQUEST, later).is_some());
    assert_eq!(log.remaining_block(Fingerprint(8), later), None);
    assert_eq!(log.blocked(later).count(), 1);
    assert_eq!(log.remaining_block(REQUEST, later + seconds(601)), None);
}

#[test]
fn a_request_that_is_served_elsewhere_is_not_blocked() {
    let now = Instant::now();
    let mut log = CrashLog::default();
    log.record_crash(REQUEST, target("a", 1), now);
    assert!(log.record_served(REQUEST, now));
    // The first end counts no more.
    assert_eq!(
        log.record_crash(REQUEST, target("b", 1), now),
        BlockChange::None
    );
    log.record_served(REQUEST, now);
    // Another instance has counted two.
    assert_eq!(
        log.block(REQUEST, seconds(600), now + seconds(1)),
        BlockChange::Refuted
    );
    assert_eq!(log.remaining_block(REQUEST, now + seconds(1)), None);
    // Long ago, such a request was served, but it may do harm now.
    assert_eq!(
        log.block(REQUEST, seconds(600), now + seconds(20)),
        BlockChange::Blocked
    );
    // Blocks end when one is served after all.
    assert!(log.record_served(REQUEST, now + seconds(21)));
    assert_eq!(log.remaining_block(REQUEST, now + seconds(21)), None);
}

#[test]
fn a_block_that_is_told_again_is_no_news_and_does_not_end_sooner() {
    let now = Instant::now();
    let mut log = CrashLog::default();
    assert_eq!(log.block(REQUEST, seconds(100), now), BlockChange::Blocked);
    assert_eq!(log.block(REQUEST, seconds(50), now), BlockChange::None);
    assert_eq!(log.remaining_block(REQUEST, now), Some(seconds(100)));
}

#[test]
fn what_is_remembered_is_bounded_and_blocks_go_last() {
    let now = Instant::now();
    let mut log = CrashLog::default();
    log.block(REQUEST, seconds(600), now);
    for number in 100..20_000 {
        let later = now + Duration::from_millis(number);
        log.record_crash(Fingerprint(number), target("a", number), later);
        log.record_served(Fingerprint(30_000 + number), later);
    }
    let later = now + seconds(21);
    assert!(log.remaining_block(REQUEST, later).is_some());
    // Of two targets, the first was long forgotten.
    let second = log.record_crash(Fingerprint(100), target("b", 1), later);
    assert_eq!(second, BlockChange::None);
    let known = log.record_crash(Fingerprint(19_999), target("b", 1), later);
    assert_eq!(known, BlockChange::Blocked);
}

#[test]
fn a_request_that_turns_harmful_is_blocked_within_the_time_that_callers_allow() {
    let start = Instant::now();
    let mut log = CrashLog::default();
    log.record_served(REQUEST, start);
    // It ends a target each 100 ms from now on.
    let blocked_at = (1..100).find(|number| {
        let now = start + Duration::from_millis(100 * number);
        log.record_crash(REQUEST, target("a", *number), now) == BlockChange::Blocked
    });
    // From the third crash, 3 s are allowed.
    assert!(
        blocked_at.is_some_and(|number| number <= 3 + 30),
        "{blocked_at:?}"
    );
}

#[test]
fn an_end_that_proves_false_counts_no_more() {
    let start = Instant::now();
    let mut log = CrashLog::default();
    let (first, second) = (target("a", 1), target("b", 1));
    log.record_crash(REQUEST, first.clone(), start);
    let later = start + seconds(1);
    assert_eq!(
        log.record_crash(REQUEST, second, later),
        BlockChange::Blocked
    );
    assert_eq!(log.ends_before(later), [first.clone()].into());
    assert_eq!(log.refute(&first, later), [REQUEST]);
    log.unblock(REQUEST);
    assert_eq!(log.remaining_block(REQUEST, later), None);
    // An instance that has not heard of it reports it again.
    assert_eq!(log.record_crash(REQUEST, first, later), BlockChange::None);
    // The other end still counts.
    assert_eq!(
        log.record_crash(REQUEST, target("c", 1), later),
        BlockChange::Blocked
    );
}

#[test]
fn a_block_stays_while_enough_targets_have_ended() {
    let start = Instant::now();
    let mut log = CrashLog::default();
    for id in ["a", "b", "c"] {
        log.record_crash(REQUEST, target(id, 1), start);
    }
    assert!(log.refute(&target("a", 1), start).is_empty());
    assert!(log.remaining_block(REQUEST, start).is_some());
    // No end is known for a block that another instance has announced.
    log.block(Fingerprint(8), seconds(100), start);
    assert!(log.refute(&target("z", 1), start).is_empty());
    assert!(log.remaining_block(Fingerprint(8), start).is_some());
}
