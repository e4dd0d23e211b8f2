//! Tests of a store whose clock shows a large value.

use {
    crate::deployment::{Deployment, Instance, removal_request},
    cowslip_adapter_standins::store::FakeStore,
    http::StatusCode,
    std::time::Duration,
    tokio::time::sleep,
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
const DAY: Duration = Duration::from_secs(24 * 3600);
/// Time before the end of the first day at which the store's clock starts: enough for a leader to be there.
const BEFORE_DAY: Duration = Duration::from_secs(6);
/// Time after the end of the first day within which a leader that can't renew its lease loses it, and all
/// keys lose their owners: a lease TTL of 2.5 s and the longest grant TTL of 10 s.
const LONGEST_GRANT: Duration = Duration::from_millis(12_500);
/// Time within which keys have to be served after a loss of all instances, `Recovery` of the platform.
const RECOVERY: Duration = Duration::from_secs(15);

async fn assert_served(deployment: &Deployment, id: &str) {
    for (index, instance) in deployment.instances.iter().enumerate() {
        let request = removal_request(&format!("{id}-{index}"), 7919 * index as u64);
        let response = instance.send(request).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "{id}");
    }
}

/// Guards against a bound on the store's clock: past one day no instance could lead any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_stays_and_is_replaced_after_the_store_has_run_for_a_day() {
    let store = FakeStore::start_with_clock(DAY - BEFORE_DAY).await;
    let mut deployment = Deployment::start_on(store, 2, (3, 2, PROCESSING_TIME)).await;
    sleep((DAY + LONGEST_GRANT).saturating_sub(deployment.store.clock())).await;
    assert_served(&deployment, "past-a-day").await;
    deployment.instances.clear();
    for name in ["late0", "late1"] {
        let instance = Instance::start(name, deployment.store.address());
        deployment.instances.push(instance);
    }
    sleep(RECOVERY).await;
    assert_served(&deployment, "restarted").await;
}

/// Guards against a bound on the store's clock at any later time.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_is_elected_on_a_store_that_has_run_for_years() {
    let store = FakeStore::start_with_clock(5000 * DAY).await;
    let deployment = Deployment::start_on(store, 1, (3, 2, PROCESSING_TIME)).await;
    assert_served(&deployment, "years").await;
}
