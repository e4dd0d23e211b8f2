//! Delays between retries of calls to the store.

use {super::retry_delay, std::time::Duration};

#[test]
fn an_instance_is_up_to_date_soon_after_the_store_answers_it_again() {
    // The time in which an instance may lag behind, less that of a call.
    let limit = Duration::from_millis(3000 - 500);
    for failures in 0..100 {
        assert!(
            retry_delay(failures, false) <= limit,
            "after {failures} failures"
        );
    }
    assert!(retry_delay(0, false) < retry_delay(3, false));
}

#[test]
fn an_instance_that_hears_of_a_newer_configuration_has_read_it_well_before_the_limit() {
    let limit = Duration::from_millis(3000);
    // The call that was sent right before the store could be reached again, the heartbeat that tells
    // of the configuration, and the call that reads it.
    let others = Duration::from_millis(500 + 600 + 500);
    for failures in 0..100 {
        let lag = others + retry_delay(failures, true);
        assert!(
            lag < limit.mul_f64(0.8),
            "{lag:?} after {failures} failures"
        );
    }
}
