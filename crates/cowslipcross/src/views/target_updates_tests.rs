//! Updates of targets in heartbeats: snapshots of followers stay complete, and missed updates are
//! noticed.

use {
    super::{LARGE_CHANGE, MAX_CHANGED_TARGETS, TargetUpdateMessage, TargetUpdates},
    crate::views::target_snapshot::{TargetSnapshot, UpdateResult},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::names::StoreVersion,
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

fn at(number: u64) -> StoreVersion {
    StoreVersion { era: 0, number }
}

/// Returns a version of the store after its first restoration.
fn restored_at(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn target(id: &str, draining: bool, cold_ms: u64) -> TargetReport {
    TargetReport {
        id: id.into(),
        service: "boards".into(),
        address: SocketAddr::from(([10, 1, 0, 1], 8500)),
        data_centre: "west".into(),
        slots: 2,
        draining,
        cold_remaining: millis(cold_ms),
        incarnation: 1,
        // Reports with another cold time are later ones.
        sequence: cold_ms,
    }
}

/// A leader's snapshot and the updates that it sends.
struct Leader {
    snapshot: TargetSnapshot,
    updates: TargetUpdates,
}

impl Leader {
    fn new() -> Self {
        Self {
            snapshot: TargetSnapshot::empty(),
            updates: TargetUpdates::default(),
        }
    }

    fn read(&mut self, reports: &[TargetReport], version: u64, now: Instant) {
        self.read_version(reports, at(version), now);
    }

    fn read_version(&mut self, reports: &[TargetReport], version: StoreVersion, now: Instant) {
        let before = self.snapshot.changed_version();
        let (next, changes) = self
            .snapshot
            .with_reports(reports.to_vec(), version, (now, now));
        if !changes.is_empty() {
            self.updates
                .add_update((before, next.changed_version()), changes);
        }
        self.snapshot = next;
    }

    /// Returns the next heartbeat's part about targets, encoded and decoded.
    fn send_message(&mut self, now: Instant) -> TargetUpdateMessage {
        let bytes = postcard::to_stdvec(&self.updates.next_message(&self.snapshot, now));
        postcard::from_bytes(&bytes.expect("bytes")).expect("an update message")
    }
}

fn read(reports: &[TargetReport], version: u64, now: Instant) -> TargetSnapshot {
    let (snapshot, _) =
        TargetSnapshot::empty().with_reports(reports.to_vec(), at(version), (now, now));
    snapshot
}

#[test]
fn a_heartbeat_without_changes_confirms_a_snapshot() {
    let start = Instant::now();
    let all = [target("a", false, 0), target("b", false, 0)];
    // The follower has read a later version of the store than the leader, with the same reports.
    let (mut leader, follower) = (Leader::new(), read(&all, 10, start));
    leader.read(&all, 9, start);
    let later = start + millis(1500);
    leader.read(&all, 30, later);
    let UpdateResult::Confirmed(snapshot) = follower.apply_message(
        leader.send_message(later + millis(200)),
        later + millis(200),
    ) else {
        panic!("nothing has changed");
    };
    assert_eq!(snapshot.confirmed_at(), Some(later));
    assert_eq!(snapshot.all().count(), 2);
}

#[test]
fn changes_are_applied_without_a_read_of_the_store() {
    let start = Instant::now();
    let mut leader = Leader::new();
    leader.read(&[target("a", false, 0), target("b", false, 0)], 9, start);
    // The follower has read a later version of the store than the leader, with the same reports.
    let follower = read(&[target("a", false, 0), target("b", false, 0)], 12, start);
    let later = start + millis(900);
    leader.read(&[target("b", true, 0), target("c", false, 3000)], 40, later);
    let now = later + millis(20);
    let UpdateResult::Changed(snapshot) = follower.apply_message(leader.send_message(now), now)
    else {
        panic!("a was removed, b drains, c is new");
    };
    assert!(snapshot.get("a").is_none());
    assert!(
        snapshot
            .get("b")
            .is_some_and(|it| it.draining_since.is_some())
    );
    assert!(
        snapshot
            .get("c")
            .is_some_and(|it| it.is_cold(now + millis(2900)))
    );
    assert_eq!(snapshot.changed_version(), at(40));
    // A heartbeat includes both changes until each one was sent often enough.
    leader.read(&[target("b", true, 0)], 44, later + millis(300));
    let now = later + millis(310);
    let UpdateResult::Changed(first) = follower.apply_message(leader.send_message(now), now) else {
        panic!("both changes are included");
    };
    let UpdateResult::Changed(second) = snapshot.apply_message(leader.send_message(now), now)
    else {
        panic!("the second change is new to the first one's snapshot");
    };
    for snapshot in [first, second] {
        let ids: Vec<_> = snapshot.all().map(|it| it.report.id.to_string()).collect();
        assert_eq!(ids, ["b"]);
    }
}

#[test]
fn a_missed_change_requires_a_read_of_the_store() {
    let start = Instant::now();
    let mut leader = Leader::new();
    leader.read(&[target("a", false, 0)], 9, start);
    // The follower has read a later version of the store than the leader, with the same reports.
    let follower = read(&[target("a", false, 0)], 12, start);
    leader.read(&[], 40, start + millis(900));
    let later = start + millis(2500);
    // Both heartbeats that include the change are lost.
    for _ in 0..2 {
        assert_eq!(leader.send_message(later).changes.len(), 1);
    }
    assert!(matches!(
        follower.apply_message(leader.send_message(later), later),
        UpdateResult::Missed
    ));
    leader.read(&[target("d", false, 0)], 50, later);
    assert!(matches!(
        follower.apply_message(leader.send_message(later), later),
        UpdateResult::Missed
    ));
    assert!(matches!(
        TargetSnapshot::empty().apply_message(leader.send_message(later), later),
        UpdateResult::Missed
    ));
}

#[test]
fn a_change_from_another_leader_drops_earlier_updates() {
    let start = Instant::now();
    let (a, b, c) = (
        target("a", false, 0),
        target("b", false, 0),
        target("c", false, 0),
    );
    let mut leader = Leader::new();
    leader.read(std::slice::from_ref(&a), 9, start);
    let follower = read(std::slice::from_ref(&a), 12, start);
    leader.read(&[a.clone(), b.clone()], 20, start);
    // The previous leader sends the change that added c, before this instance leads.
    let mut previous = Leader::new();
    previous.snapshot = leader.snapshot.clone();
    previous.read(&[a.clone(), b.clone(), c.clone()], 30, start);
    let UpdateResult::Changed(snapshot) = leader
        .snapshot
        .apply_message(previous.send_message(start), start)
    else {
        panic!("c is new");
    };
    leader.snapshot = snapshot;
    assert!(leader.send_message(start).changes.is_empty());
    leader.read(&[a, b.clone(), c], 40, start);
    leader.read(&[b], 50, start);
    let message = leader.send_message(start);
    assert!(message.base_version >= at(30), "{message:?}");
    assert!(matches!(
        follower.apply_message(message, start),
        UpdateResult::Missed
    ));
}

/// Lets a leader and a follower know one target, and the leader read `count` others instead; returns
/// the leader, the follower and the time after that.
fn change_many(count: usize) -> (Leader, TargetSnapshot, Instant) {
    let start = Instant::now();
    let mut leader = Leader::new();
    leader.read(&[target("a", false, 0)], 9, start);
    let follower = read(&[target("a", false, 0)], 9, start);
    let many: Vec<TargetReport> = (0..count)
        .map(|it| target(&format!("t{it}"), false, 0))
        .collect();
    leader.read(&many, 40, start + millis(600));
    (leader, follower, start + millis(610))
}

#[test]
fn a_change_of_too_many_targets_requires_a_read_of_the_store() {
    let (mut leader, follower, now) = change_many(MAX_CHANGED_TARGETS);
    assert!(leader.send_message(now).changes.is_empty());
    assert!(matches!(
        follower.apply_message(leader.send_message(now), now),
        UpdateResult::Missed
    ));
}

#[test]
fn a_change_of_many_targets_is_sent_once() {
    let (mut leader, follower, now) = change_many(LARGE_CHANGE);
    let UpdateResult::Changed(next) = follower.apply_message(leader.send_message(now), now) else {
        panic!("the change applies to the follower's version");
    };
    assert_eq!(next.all().count(), LARGE_CHANGE);
    let second = leader.send_message(now);
    assert!(second.changes.is_empty());
    // A follower that has missed it reads the store; one that has it needs nothing.
    assert!(matches!(
        follower.apply_message(second.clone(), now),
        UpdateResult::Missed
    ));
    assert!(matches!(
        next.apply_message(second, now),
        UpdateResult::Confirmed(_)
    ));
}

#[test]
fn a_target_that_is_cold_again_has_changed_and_one_that_warms_up_has_not() {
    let start = Instant::now();
    let snapshot = read(&[target("a", false, 3000)], 9, start);
    let now = start + millis(1000);
    let (_, changes) = snapshot.with_reports(vec![target("a", false, 2000)], at(10), (now, now));
    assert!(changes.is_empty());
    let (warm, _) = snapshot.with_reports(vec![target("a", false, 0)], at(11), (now, now));
    let cold_again = TargetReport {
        sequence: 9000,
        ..target("a", false, 3000)
    };
    let (_, changes) = warm.with_reports(vec![cold_again], at(12), (now, now));
    assert!(changes.contains_key("a"));
}

#[test]
fn targets_are_kept_for_a_while_after_the_store_was_unavailable() {
    let start = Instant::now();
    let snapshot = read(&[target("a", false, 0)], 9, start);
    let recovered_at = start + millis(5000);
    let (snapshot, changes) =
        snapshot.with_reports(Vec::new(), at(10), (recovered_at, recovered_at));
    assert!(changes.is_empty() && snapshot.get("a").is_some());
    let later = recovered_at + millis(1500);
    let (snapshot, _) = snapshot.with_reports(Vec::new(), at(11), (later, later));
    assert!(snapshot.get("a").is_some());
    let expired = recovered_at + millis(2400);
    let (snapshot, changes) = snapshot.with_reports(Vec::new(), at(12), (expired, expired));
    assert!(snapshot.get("a").is_none() && changes.contains_key("a"));
}

/// Guards against targets that are used after they have left: a leader that has just started tells its whole
/// table, which is no change of the table of an instance that could not read the store meanwhile.
#[test]
fn the_table_of_a_leader_that_has_just_started_replaces_that_of_a_follower() {
    let start = Instant::now();
    let follower = read(&[target("a", false, 0), target("b", false, 0)], 9, start);
    let mut leader = Leader::new();
    let now = start + millis(1200);
    leader.read(&[target("b", false, 0), target("c", false, 0)], 12, now);
    let UpdateResult::Changed(next) = follower.apply_message(leader.send_message(now), now) else {
        panic!("the table is another one");
    };
    let ids: Vec<_> = next.all().map(|it| it.report.id.to_string()).collect();
    assert_eq!(ids, ["b", "c"]);
}

/// Guards against targets that are used after they have left: a follower that keeps one for a while, as it could
/// not read the store, must not go on with it because nothing changes at the leader.
#[test]
fn targets_that_were_kept_for_a_while_are_read_again_whatever_the_leader_confirms() {
    let start = Instant::now();
    let all = [target("a", false, 0), target("b", false, 0)];
    let mut leader = Leader::new();
    leader.read(&all, 9, start);
    let follower = read(&all, 9, start);
    leader.read(&all[1..], 20, start + millis(600));
    // The follower was cut off from the leader, too, and reads the store once it is back.
    let back = start + millis(4000);
    let (kept, _) = follower.with_reports(all[1..].to_vec(), at(30), (back, back));
    assert!(kept.get("a").is_some());
    let later = back + millis(2000);
    leader.read(&all[1..], 40, later);
    let UpdateResult::Confirmed(confirmed) = kept.apply_message(leader.send_message(later), later)
    else {
        panic!("the follower has read later than the leader's last change");
    };
    let due = confirmed.read_due(millis(1500)).expect("a table is known");
    assert!(due <= back + millis(2300), "{:?}", due - back);
    let (next, _) = confirmed.with_reports(all[1..].to_vec(), at(50), (due, due));
    assert!(next.get("a").is_none());
    // From then on heartbeats suffice.
    assert_eq!(next.read_due(millis(1500)), Some(due + millis(1500)));
}

/// Lets a leader and a follower know that `a` has left, and the follower then read a copy of the store in which it
/// has not; returns the leader, the follower and the time after that.
fn restore_with_a() -> (Leader, TargetSnapshot, Instant) {
    let start = Instant::now();
    let all = [target("a", false, 0), target("b", false, 0)];
    let mut leader = Leader::new();
    leader.read(&all, 9, start);
    leader.read(&all[1..], 20, start + millis(600));
    // The heartbeats with these changes are over.
    (0..2).for_each(|_| drop(leader.send_message(start + millis(600))));
    let follower = read(&all[1..], 21, start + millis(610));
    let now = start + millis(1200);
    let (follower, _) = follower.with_reports(all.to_vec(), restored_at(12), (now, now));
    (leader, follower, now)
}

/// Guards against targets that are used after they have left: the leader, which has not read the copy of the store
/// with their reports, sees no change.
#[test]
fn a_table_of_a_restored_store_is_not_confirmed_by_reads_before_and_after_it() {
    let (mut leader, follower, now) = restore_with_a();
    let confirmed_at = follower.confirmed_at();
    let later = now + millis(300);
    let before = follower.apply_message(leader.send_message(later), later);
    assert!(matches!(before, UpdateResult::Unrelated), "{before:?}");
    leader.read_version(&[target("b", false, 0)], restored_at(14), later);
    let after = follower.apply_message(leader.send_message(later), later);
    assert!(matches!(after, UpdateResult::Missed), "{after:?}");
    assert_eq!(follower.confirmed_at(), confirmed_at);
    // A follower that has read the copy after the leader knows as much.
    let (current, _) =
        follower.with_reports(vec![target("b", false, 0)], restored_at(15), (later, later));
    let current = current.apply_message(leader.send_message(later), later);
    assert!(matches!(current, UpdateResult::Confirmed(_)), "{current:?}");
}

/// Guards against tables that mix the reports of a copy of the store with later changes.
#[test]
fn changes_since_before_a_restoration_do_not_apply_to_the_table_of_the_restored_store() {
    let (mut leader, follower, now) = restore_with_a();
    leader.read_version(&[target("b", true, 0)], restored_at(14), now);
    let message = leader.send_message(now);
    assert_eq!(message.changes.len(), 1);
    let result = follower.apply_message(message, now);
    assert!(matches!(result, UpdateResult::Missed), "{result:?}");
}

/// Guards against targets that an instance lacks for good: it starts while live targets have not reported again after
/// an outage of the store, and the leader, which keeps them, sees no change when they do.
#[test]
fn a_table_that_was_read_right_after_a_start_is_read_once_more() {
    let start = Instant::now();
    let all = [target("a", false, 0), target("b", false, 0)];
    let mut leader = Leader::new();
    leader.read(&all, 9, start);
    let back = start + millis(5000);
    leader.read(&all[1..], 20, back);
    let started = read(&all[1..], 21, back);
    let later = back + millis(1800);
    leader.read(&all, 40, later);
    let UpdateResult::Confirmed(confirmed) =
        started.apply_message(leader.send_message(later), later)
    else {
        panic!("nothing has changed at the leader");
    };
    let due = confirmed.read_due(millis(1500)).expect("a table is known");
    assert!(due <= back + millis(2300), "{:?}", due - back);
    let (next, _) = confirmed.with_reports(all.to_vec(), at(50), (due, due));
    assert!(next.get("a").is_some());
    assert_eq!(next.read_due(millis(1500)), Some(due + millis(1500)));
}

/// Guards against keys that are refused for good: the leader, which knows a later start of their owner than the copy of
/// a restored store, tells of that store before the follower has read it.
#[test]
fn a_restored_store_is_checked_also_if_the_leader_tells_of_it_first() {
    let start = Instant::now();
    let restarted = TargetReport {
        incarnation: 2,
        ..target("a", false, 0)
    };
    let known = [restarted.clone(), target("b", false, 0)];
    let mut leader = Leader::new();
    leader.read(&known, 9, start);
    let follower = read(&known, 10, start);
    // The heartbeats with the first table are over.
    (0..2).for_each(|_| drop(leader.send_message(start)));
    let now = start + millis(600);
    let copy = [target("a", false, 0), target("b", true, 0)];
    leader.read_version(&copy, restored_at(5), now);
    let UpdateResult::Changed(told) = follower.apply_message(leader.send_message(now), now) else {
        panic!("b drains");
    };
    let (after, _) = told.with_reports(copy.to_vec(), restored_at(6), (now, now));
    let incarnation = |snapshot: &TargetSnapshot| snapshot.get("a").map(|it| it.report.incarnation);
    assert_eq!(
        (incarnation(&told), incarnation(&after)),
        (Some(2), Some(2))
    );
    // Whatever else the copy has wrong is found out once targets have written their reports again.
    assert_eq!(after.read_due(millis(60_000)), Some(now + millis(2300)));
}
