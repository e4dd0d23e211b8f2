//! Requests that must not be sent again on a connection on which they were answered.

use {
    cowslip_decide::unsettled::{ConnectionFate, RequestIdHash, UnsettledRequests},
    std::time::Duration,
    tokio::time::Instant,
};

const TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn a_request_is_not_sent_again_on_the_connection_on_which_it_was_refused() {
    let now = Instant::now();
    let mut unsettled = UnsettledRequests::default();
    let fate = unsettled.record_response(Some(RequestIdHash(1)), now + TIMEOUT, now);
    assert_eq!(fate, ConnectionFate::Keep);
    assert!(!unsettled.admits(RequestIdHash(1)));
    assert!(unsettled.admits(RequestIdHash(2)));
}

/// Guards against a copy without an id, which might be the answer to any request.
#[test]
fn a_connection_is_closed_after_a_response_without_an_id() {
    let now = Instant::now();
    let mut unsettled = UnsettledRequests::default();
    let fate = unsettled.record_response(None, now + TIMEOUT, now);
    assert_eq!(fate, ConnectionFate::Close);
}

/// Guards against memory that grows with each refusal, and against a request that is forgotten too early.
#[test]
fn a_connection_with_too_many_requests_is_closed_unless_their_deadlines_have_passed() {
    let start = Instant::now();
    let mut unsettled = UnsettledRequests::default();
    let mut record =
        |id, now: Instant| unsettled.record_response(Some(RequestIdHash(id)), now + TIMEOUT, now);
    let is_full = |fate: &ConnectionFate| *fate == ConnectionFate::Close;
    let full_at = (0..1000).find(|id| is_full(&record(*id, start)));
    assert_eq!(full_at, Some(64));
    assert_eq!(record(2000, start + TIMEOUT), ConnectionFate::Keep);
    assert!((0..64).all(|id| unsettled.admits(RequestIdHash(id))));
    assert!(!unsettled.admits(RequestIdHash(2000)));
}
