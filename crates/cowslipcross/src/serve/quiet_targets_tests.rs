//! Quiet periods of targets, by incarnation.

use {
    super::QuietTargets,
    cowslip_decide::{names::Name, owners::TargetIncarnation},
    std::time::Duration,
    tokio::time::Instant,
};

fn target(incarnation: u64) -> TargetIncarnation {
    TargetIncarnation {
        id: "a".into(),
        incarnation,
    }
}

#[test]
fn a_quiet_period_ends_and_does_not_apply_to_the_next_incarnation() {
    let (service, start) = (Name::from("boards"), Instant::now());
    let seconds = Duration::from_secs;
    let mut quiet = QuietTargets::default();
    assert!(quiet.record(&service, &target(1), start + seconds(3), start));
    // An answer that was overtaken by the one before does not shorten the period.
    assert!(!quiet.record(&service, &target(1), start + seconds(2), start));
    assert_eq!(
        quiet.remaining("boards", &target(1), start),
        Some(seconds(3))
    );
    assert_eq!(quiet.remaining("boards", &target(2), start), None);
    assert_eq!(quiet.remaining("crews", &target(1), start), None);
    let quiet_ids = [Name::from("a")];
    assert_eq!(quiet.for_service("boards", start), quiet_ids);
    let end = start + seconds(3);
    assert_eq!(quiet.remaining("boards", &target(1), end), None);
    assert!(quiet.for_service("boards", end).is_empty());
    // The next incarnation's own period replaces that of the previous one.
    assert!(quiet.record(&service, &target(2), start + seconds(1), start));
    assert_eq!(
        quiet.remaining("boards", &target(2), start),
        Some(seconds(1))
    );
    quiet.record(&"crews".into(), &target(1), end + seconds(9), end);
    assert_eq!(quiet.0.len(), 1);
}
