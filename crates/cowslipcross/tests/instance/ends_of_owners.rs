//! Tests of what does not prove that the owner of keys has ended: its keys must not get another owner while it
//! may hold them.

use {
    crate::deployment::{Deployment, wait_until},
    cowslip_adapter_standins::target::FakeTarget,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Start of a process that is later than that of any target of a deployment.
const LATER_START: u64 = 1_900_000_000_000;
/// Time in which the leader reads the targets several times, and longer than a grant lasts.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

fn sampled_keys() -> impl Iterator<Item = u64> {
    (0..=65_535u64).step_by(251)
}

/// Writes a complete report that no target has written.
fn publish_foreign_report(
    deployment: &Deployment,
    (key, service): (&str, &str),
    address: SocketAddr,
) {
    let report = json!({
        "Service": service, "Address": address.to_string(), "Zone": "west", "Version": "v1",
        "Slots": 1, "State": "ready", "ColdRemaining": "0ms", "Sequence": 1, "born": LATER_START,
    });
    let report = report.to_string();
    deployment.store.put("servers", key, report.as_bytes());
}

/// Checks that no key has two owners, until the keys of `former` have another one.
async fn check_owners(deployment: &Deployment, former: &FakeTarget) {
    let start = Instant::now();
    while start.elapsed() < OBSERVATION_TIME {
        let shared = sampled_keys().filter(|key| deployment.owner_count(*key) > 1);
        let shared: Vec<u64> = shared.collect();
        assert!(shared.is_empty(), "keys with two owners: {shared:?}");
        sleep(Duration::from_millis(2)).await;
    }
    wait_until(|| async {
        sampled_keys().all(|key| deployment.owner_count(key) == 1 && !former.has_grant(key))
    })
    .await;
}

/// Guards against keys with two owners: an entry of another writer names the address of an owner whose own
/// report has expired, while the owner runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_of_no_service_does_not_end_the_owner_at_its_address() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    let owner = &deployment.boards[0];
    publish_foreign_report(&deployment, ("agent-0", "agent"), owner.address());
    // The instances know the entry before the report of the owner is gone.
    sleep(Duration::from_secs(2)).await;
    owner.remove_report(&deployment.store);
    check_owners(&deployment, owner).await;
}

/// Guards against keys with two owners: an entry of another writer replaces the report of an owner and names
/// another process, which answers that it is not the owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_at_another_address_does_not_tell_that_an_owner_has_ended() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    let (owner, other) = (&deployment.boards[0], &deployment.crews[0]);
    publish_foreign_report(&deployment, ("b0", "agent"), other.address());
    check_owners(&deployment, owner).await;
}

/// Guards against keys with two owners: the same with a report for the service of the owner. The process at its address
/// tells nothing of an earlier one under the id of the owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_at_the_address_of_a_later_start_does_not_tell_that_an_owner_has_ended() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    let (owner, other) = (&deployment.boards[0], &deployment.crews[0]);
    publish_foreign_report(&deployment, ("b0", "boards"), other.address());
    check_owners(&deployment, owner).await;
}
