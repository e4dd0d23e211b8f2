//! What a target may still have been granted.

use {
    super::Grants,
    crate::hold::control::Told,
    cowslip_decide::{duty::Granted, member::Timing, names::Fence},
    std::time::Duration,
    tokio::time::Instant,
};

/// 400 ms and 5%.
const GRANT_WITH_DRIFT: Duration = Duration::from_millis(420);

fn range() -> Granted {
    Granted {
        service: "s".into(),
        start: 0,
        end: 9,
        fence: Fence(1),
    }
}

/// Posts `ranges` and takes the target's answer to them.
fn exchange(grants: &mut Grants, ranges: &[Granted], now: Instant) {
    let grant = grants.next("i", 1, ranges, now).expect("a grant is due");
    grants.told(
        grant,
        &Told::Granted {
            start: "a".into(),
            stamp: 1,
        },
        now,
    );
}

#[test]
fn a_target_that_seems_restarted_keeps_its_grant_until_it_has_run_out() {
    let now = Instant::now();
    let mut grants = Grants::new(Timing::default(), now);
    exchange(&mut grants, &[range()], now);
    exchange(&mut grants, &[range()], now);
    assert!(grants.covers(&[range()], now));
    grants.restart();
    assert!(!grants.covers(&[range()], now));
    assert!(!grants.is_within(&[], now + GRANT_WITH_DRIFT - Duration::from_millis(1)));
    assert!(grants.is_within(&[], now + GRANT_WITH_DRIFT));
}
