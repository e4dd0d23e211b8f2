//! Requests that an instance takes and sends while it shuts down.

use {
    cowslip_decide::shutdown::Shutdown, quickcheck::quickcheck, std::time::Duration,
    tokio::time::Instant,
};

const GRACE: Duration = Duration::from_secs(6);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn connections_are_accepted_while_the_platform_may_route_callers_here() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(now, GRACE);
    assert!(shutdown.accept_until() > now + Duration::from_secs(2));
    assert!(shutdown.takes(now + 2 * GRACE, now + Duration::from_secs(2)));
}

#[test]
fn a_late_request_is_taken_only_if_its_deadline_lies_before_the_exit() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(now, GRACE);
    let late = now + Duration::from_secs(4);
    assert!(shutdown.takes(late + millis(1000), late));
    assert!(!shutdown.takes(late + millis(3000), late));
}

#[test]
fn a_request_is_not_sent_if_the_exit_comes_before_the_expected_answer() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(now, GRACE);
    let until = shutdown.send_until(now + 2 * GRACE, millis(600));
    assert_eq!(until + millis(600), shutdown.exit_at());
    let short = now + Duration::from_secs(3);
    assert_eq!(shutdown.send_until(short, millis(600)), short);
}

#[test]
fn a_grace_period_that_is_too_short_ends_at_once() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(now, millis(100));
    assert_eq!((shutdown.accept_until(), shutdown.exit_at()), (now, now));
    assert!(!shutdown.takes(now + GRACE, now));
}

quickcheck! {
    /// The process exits before it is killed, and whatever becomes complete after connections are accepted is
    /// either refused or has a deadline before the exit.
    fn no_late_request_outlives_the_process(grace_ms: u16, late_ms: u16, timeout_ms: u16) -> bool {
        let now = Instant::now();
        let grace = millis(grace_ms.into());
        let shutdown = Shutdown::begin(now, grace);
        let arrival = shutdown.accept_until() + millis(late_ms.into());
        let deadline = arrival + millis(timeout_ms.into());
        let is_taken = shutdown.takes(deadline, arrival);
        shutdown.exit_at() <= now + grace
            && (!is_taken || deadline < shutdown.exit_at())
            && is_taken == (shutdown.refuse_at(deadline) == deadline)
            && shutdown.send_until(deadline, millis(600)) <= deadline.max(shutdown.exit_at())
    }
}
