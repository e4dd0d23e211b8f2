//! Tests of a store that is slow, but answers.

use {
    crate::deployment::{Deployment, removal_request},
    cowslip_adapter_standins::store::{FakeStore, StoreMode},
    http::StatusCode,
    std::time::Duration,
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Starts instances on a store whose calls take this long; all keys get owners, and requests are served.
async fn assert_serves(latency: Duration) {
    let store = FakeStore::start().await;
    store.set_mode(StoreMode::DelayCalls(latency));
    let deployment = Deployment::start_on(store, 2, (2, 2, PROCESSING_TIME)).await;
    for instance in &deployment.instances {
        let response = instance.send(removal_request("r", 8)).await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
}

/// Guards against a leader's row that is never claimed, as each timestamp is too old when it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn keys_get_owners_while_calls_of_the_store_take_a_quarter_of_a_second() {
    assert_serves(Duration::from_millis(240)).await;
}

/// Guards against a slow store that is taken for one that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn keys_get_owners_while_calls_of_the_store_take_longer_than_the_usual_timeout() {
    assert_serves(Duration::from_millis(600)).await;
}
