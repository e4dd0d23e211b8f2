//! Announcements are repeated for some seconds only.

use {
    super::{LeavingTargets, REPEAT_TIME},
    cowslip_decide::owners::TargetIncarnation,
    std::time::Duration,
    tokio::time::Instant,
};

#[test]
fn announcements_are_repeated_until_they_are_old() {
    let start = Instant::now();
    let target = |id: &str| TargetIncarnation {
        id: id.into(),
        incarnation: 1,
    };
    let mut leaving = LeavingTargets::default();
    leaving.add(target("a"), start);
    let later = start + REPEAT_TIME - Duration::from_millis(1);
    leaving.add(target("b"), later);
    assert_eq!(leaving.recent(later), [target("a"), target("b")]);
    assert_eq!(leaving.recent(start + REPEAT_TIME), [target("b")]);
    leaving.add(target("c"), later + REPEAT_TIME);
    assert_eq!(leaving.0.len(), 1);
}
