//! Delays between retries of calls to the store.

use {super::retry_delay, std::time::Duration};

#[test]
fn an_instance_is_up_to_date_soon_after_the_store_answers_it_again() {
    // The time in which an instance may lag behind, less that of a call.
    let limit = Duration::from_millis(3000 - 500);
    for failures in 0..100 {
        assert!(retry_delay(failures) <= limit, "after {failures} failures");
    }
    assert!(retry_delay(0) < retry_delay(3));
}
