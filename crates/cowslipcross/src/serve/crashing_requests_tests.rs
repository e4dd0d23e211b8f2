//! Which blocks heartbeats announce.

use {
    super::{BlockState, CHANGE_REPEAT_TIME, Crash, CrashingRequests, REPEATED_BLOCKS},
    crate::{peers::message::WireBlock, serve::fingerprints::Fingerprints},
    cowslip_decide::{crashes::Fingerprint, owners::TargetIncarnation},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

const BLOCK_TIME: Duration = Duration::from_secs(100);

fn blocked_requests(count: u64, now: Instant) -> CrashingRequests {
    let mut known = CrashingRequests::default();
    for number in 0..count {
        let request = Fingerprint(number);
        known.log.block(request, BLOCK_TIME, now);
        known.add_change(request, BlockState::Blocked, now);
    }
    known
}

fn announced(known: &mut CrashingRequests, now: Instant) -> BTreeSet<Fingerprint> {
    let (blocks, _) = known.for_heartbeat(now);
    let requests = blocks
        .into_iter()
        .map(|it: WireBlock| <(Fingerprint, Duration)>::from(it).0);
    requests.collect()
}

#[test]
fn heartbeats_announce_new_blocks_at_once_and_older_ones_in_turn() {
    let start = Instant::now();
    let count = 2 * REPEATED_BLOCKS as u64 + 3;
    let mut known = blocked_requests(count, start);
    assert_eq!(announced(&mut known, start).len(), count as usize);
    let later = start + CHANGE_REPEAT_TIME;
    let mut repeated = BTreeSet::new();
    for _ in 0..3 {
        let requests = announced(&mut known, later);
        assert_eq!(requests.len(), REPEATED_BLOCKS);
        repeated.extend(requests);
    }
    assert_eq!(repeated.len(), count as usize);
    assert!(announced(&mut known, start + BLOCK_TIME).is_empty());
}

#[test]
fn a_lifted_block_is_announced_for_some_time_in_place_of_the_block() {
    let now = Instant::now();
    let mut known = blocked_requests(2, now);
    let lifted = Fingerprint(0);
    assert!(known.log.lift(lifted));
    known.add_change(lifted, BlockState::Lifted, now);
    assert_eq!(known.for_report(now).1, [lifted]);
    let (blocks, changes) = known.for_heartbeat(now);
    assert_eq!((blocks.len(), changes), (1, vec![lifted]));
    assert!(known.for_heartbeat(now + CHANGE_REPEAT_TIME).1.is_empty());
}

#[test]
fn ends_of_targets_under_a_request_that_was_served_are_no_longer_reported() {
    let now = Instant::now();
    let mut known = CrashingRequests::default();
    let request = Fingerprints {
        content: Fingerprint(1),
        caller: Fingerprint(2),
    };
    let target = TargetIncarnation {
        id: "a".into(),
        incarnation: 1,
    };
    known.log.record_crash(request.caller, target.clone(), now);
    known.own_crashes.push((Crash { request, target }, now));
    assert_eq!(known.for_report(now).0.len(), 1);
    assert!(known.record_served(request.caller, now));
    assert!(known.for_report(now).0.is_empty());
}
