//! Targets that drain, and reports that are missing or contradict earlier ones.

use {
    super::{TargetSnapshot, UpdateResult},
    crate::views::target_updates::TargetUpdateMessage,
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::names::StoreVersion,
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

fn report(incarnation: u64, draining: bool) -> TargetReport {
    TargetReport {
        id: "a".into(),
        service: "boards".into(),
        address: SocketAddr::from(([10, 1, 0, 1], 8500)),
        data_centre: "west".into(),
        slots: 2,
        draining,
        cold_remaining: Duration::ZERO,
        incarnation,
        sequence: 1,
    }
}

fn read(
    snapshot: &TargetSnapshot,
    reports: Vec<TargetReport>,
    version: (u64, u64),
    now: Instant,
) -> TargetSnapshot {
    let (era, number) = version;
    let version = StoreVersion { era, number };
    snapshot.with_reports(reports, version, (now, now)).0
}

fn is_draining(snapshot: &TargetSnapshot) -> bool {
    snapshot
        .get("a")
        .is_some_and(|it| it.draining_since.is_some())
}

#[test]
fn a_target_that_announced_its_stop_drains_whatever_its_report_says() {
    let start = Instant::now();
    let snapshot = read(
        &TargetSnapshot::empty(),
        vec![report(1, false)],
        (0, 5),
        start,
    );
    let target = snapshot.get("a").expect("a target").target_incarnation();
    let marked = snapshot
        .with_draining(&target, start)
        .expect("news to the snapshot");
    assert!(is_draining(&marked));
    assert!(marked.with_draining(&target, start).is_none());
    let later = start + Duration::from_millis(600);
    let same = read(&marked, vec![report(1, false)], (0, 6), later);
    assert!(is_draining(&same));
    // The report is missing for a while and comes back.
    let missing = read(&same, vec![], (0, 7), later + Duration::from_millis(600));
    assert!(missing.get("a").is_none());
    let back = read(
        &missing,
        vec![report(1, false)],
        (0, 8),
        later + Duration::from_millis(1200),
    );
    assert!(is_draining(&back));
    // The next process under the same id is not concerned.
    let next = read(
        &back,
        vec![report(2, false)],
        (0, 9),
        later + Duration::from_millis(1800),
    );
    assert!(!is_draining(&next));
}

#[test]
fn a_target_that_reported_that_it_drains_does_not_take_new_work_again() {
    let start = Instant::now();
    let draining = read(
        &TargetSnapshot::empty(),
        vec![report(1, true)],
        (0, 5),
        start,
    );
    assert!(is_draining(&draining));
    // An older copy of the report is read, as after the restoration of a backup of the store.
    let later = start + Duration::from_millis(600);
    assert!(is_draining(&read(
        &draining,
        vec![report(1, false)],
        (0, 6),
        later
    )));
}

#[test]
fn targets_that_a_restored_store_lacks_are_kept_until_they_report_again() {
    let start = Instant::now();
    let snapshot = read(
        &TargetSnapshot::empty(),
        vec![report(1, false)],
        (1, 90),
        start,
    );
    // The backup is older than the target, and its versions are lower.
    let at = |millis| start + Duration::from_millis(millis);
    let restored = read(&snapshot, vec![], (2, 40), at(600));
    assert!(restored.get("a").is_some());
    let same_era = read(&restored, vec![], (2, 41), at(1200));
    assert!(same_era.get("a").is_some());
    let gone = read(&same_era, vec![], (2, 42), at(3000));
    assert!(gone.get("a").is_none());
}

#[test]
fn a_report_that_is_not_written_again_makes_its_target_cold_only_once() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let cold = |sequence| TargetReport {
        cold_remaining: Duration::from_secs(2),
        sequence,
        ..report(1, false)
    };
    let is_cold =
        |snapshot: &TargetSnapshot, now| snapshot.get("a").is_some_and(|it| it.is_cold(now));
    let first = read(&TargetSnapshot::empty(), vec![cold(1)], (0, 5), start);
    assert!(is_cold(&first, at(1900)));
    let same = read(&first, vec![cold(1)], (0, 6), at(1900));
    assert!(!is_cold(&same, at(2100)));
    // The target has become cold again.
    let again = read(&same, vec![cold(2)], (0, 7), at(2500));
    assert!(is_cold(&again, at(4400)));
}

/// Guards against keys without an owner: the leader, which keeps the target, tells of no change when its
/// report is back, so that an instance that has dropped it would never learn of it.
#[test]
fn targets_that_a_restored_store_lacks_are_kept_if_the_leader_tells_of_it_first() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let snapshot = read(
        &TargetSnapshot::empty(),
        vec![report(1, false)],
        (1, 90),
        start,
    );
    let other = TargetReport {
        id: "b".into(),
        ..report(1, false)
    };
    let told = TargetUpdateMessage {
        version: StoreVersion { era: 2, number: 40 },
        age_ms: Some(10),
        base_version: StoreVersion { era: 1, number: 80 },
        changes: vec![("b".into(), Some((&other).into()))],
    };
    let UpdateResult::Changed(restored) = snapshot.apply_message(told, at(600)) else {
        panic!("the changes apply");
    };
    let backup = read(&restored, vec![other.clone()], (2, 41), at(610));
    assert!(backup.get("a").is_some());
    let same = read(&backup, vec![other.clone()], (2, 42), at(1800));
    let gone = read(&same, vec![other], (2, 43), at(3000));
    assert!(same.get("a").is_some() && gone.get("a").is_none());
}

/// Guards against targets that are used after they have left: the copy from which a store is restored still has their
/// reports.
#[test]
fn a_report_that_comes_back_with_a_restored_store_is_not_used_until_it_is_written_again() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let known = read(
        &TargetSnapshot::empty(),
        vec![report(2, false)],
        (0, 5),
        start,
    );
    let gone = read(&known, vec![], (0, 6), at(600));
    let restored = read(&gone, vec![report(2, false)], (1, 5), at(1200));
    let same = read(&restored, vec![report(2, false)], (1, 6), at(1800));
    assert!(restored.get("a").is_none() && same.get("a").is_none());
    // A target that runs writes its report again.
    let written = TargetReport {
        sequence: 2,
        ..report(2, false)
    };
    let used = read(&same, vec![written], (1, 7), at(2400));
    assert!(used.get("a").is_some());
    // One that has left has its report removed again.
    let removed = read(&same, vec![], (1, 7), at(2400));
    assert!(removed.get("a").is_none());
}

/// Guards against keys that are refused: the copy names an earlier start of a target than the one that owns them.
#[test]
fn a_restored_store_does_not_replace_the_report_of_a_later_start() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let known = read(
        &TargetSnapshot::empty(),
        vec![report(3, false)],
        (0, 5),
        start,
    );
    let restored = read(&known, vec![report(2, false)], (1, 5), at(600));
    let incarnation = restored.get("a").map(|it| it.report.incarnation);
    assert_eq!(incarnation, Some(3));
    // Somebody who has not seen the later start believes the report once targets have written again.
    let due = restored.read_due(Duration::from_secs(60));
    assert_eq!(due, Some(at(600 + 2300)));
    let same = read(&restored, vec![report(2, false)], (1, 8), at(1800));
    let later = read(&same, vec![report(2, false)], (1, 9), at(2900));
    let incarnation = later.get("a").map(|it| it.report.incarnation);
    assert_eq!(incarnation, Some(2));
}

#[test]
fn reports_that_come_back_with_a_restored_store_are_told_from_those_that_were_there() {
    let start = Instant::now();
    let known = read(
        &TargetSnapshot::empty(),
        vec![report(2, false)],
        (0, 5),
        start,
    );
    assert!(known.returned_since(&TargetSnapshot::empty()).is_empty());
    let gone = read(&known, vec![], (0, 6), start);
    let written = read(&gone, vec![report(3, false)], (0, 7), start);
    assert!(written.returned_since(&gone).is_empty());
    let same = read(&known, vec![report(2, false)], (1, 5), start);
    assert!(same.returned_since(&known).is_empty());
    for earlier in [&gone, &written] {
        // It is used only once the time is over in which targets write their reports again.
        let restored = read(earlier, vec![report(2, false)], (1, 5), start);
        assert!(restored.returned_since(earlier).is_empty());
        let at = |millis| start + Duration::from_millis(millis);
        let same = read(&restored, vec![report(2, false)], (1, 6), at(1200));
        let used = read(&same, vec![report(2, false)], (1, 7), at(2300));
        let returned = used.returned_since(&same);
        assert_eq!(returned.len(), 1);
        assert_eq!(returned[0].incarnation, 2);
    }
}
