//! Tests of a store that is restored from a backup some seconds old.

use {
    crate::deployment::{Deployment, lookup_request, removal_request, wait_until},
    cowslip_adapter_standins::store::StoreMode,
    http::StatusCode,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Time after which all grants of a leader that is lost together with the store's last writes have
/// expired: a lease TTL of 2.5 s, the longest grant TTL of 10 s on a slow clock, and its delivery.
const UNKNOWN_GRANTS_TIME: Duration = Duration::from_millis(13_600);
/// Tolerance for the time at which the instances learn of the restoration.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(800);
/// Time for the election and the first grants after that.
const TAKEOVER_TIME: Duration = Duration::from_secs(5);

/// Time that a move of keys takes.
const MOVE_TIME: Duration = Duration::from_millis(300);

fn sampled_keys() -> impl Iterator<Item = u64> {
    (0..=65_535u64).step_by(997)
}

/// Takes the store away for a moment, restores it from the state that `change` has left, and has the
/// targets write their reports again. Returns when the store was available again.
async fn lose_last_writes(deployment: &Deployment, change: impl Future<Output = ()>) -> Instant {
    let backup = deployment.store.back_up();
    change.await;
    deployment.store.set_mode(StoreMode::Unavailable);
    sleep(Duration::from_millis(400)).await;
    deployment.store.restore(&backup);
    deployment.store.set_mode(StoreMode::Normal);
    let restored_at = Instant::now();
    sleep(Duration::from_millis(500)).await;
    let targets = deployment.boards[1..].iter().chain(&deployment.crews);
    targets.for_each(|target| target.publish_report(&deployment.store, "ready"));
    deployment.boards[0].publish_report(&deployment.store, "draining");
    restored_at
}

/// Lets a target drain and waits until its keys belong to others.
async fn drain_first_target(deployment: &Deployment) {
    deployment.boards[0].publish_report(&deployment.store, "draining");
    wait_until(|| async {
        sampled_keys().all(|key| !deployment.boards[0].has_grant(key))
            && sampled_keys().all(|key| deployment.owner_count(key) == 1)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_while_the_leader_continues_after_a_restoration() {
    let deployment = Deployment::start(3, 3, 2, PROCESSING_TIME).await;
    let restoration = lose_last_writes(&deployment, drain_first_target(&deployment));
    let requests = async {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < Duration::from_secs(6) {
            for key in sampled_keys() {
                assert!(deployment.owner_count(key) <= 1, "key {key}");
            }
            let instance = &deployment.instances[number % 3];
            let key = (number as u64 * 7919) % 65_536;
            let request = |attempt| lookup_request(&format!("r{number}-{attempt}"), key);
            let first = instance.send(request(1)).await.expect("a response");
            // Keys that just move between targets may be refused once, as at any time.
            if first.status == StatusCode::SERVICE_UNAVAILABLE {
                sleep(MOVE_TIME).await;
                let second = instance.send(request(2)).await.expect("a response");
                assert_eq!(second.status, StatusCode::OK, "after {:?}", start.elapsed());
            } else {
                assert_eq!(first.status, StatusCode::OK, "after {:?}", start.elapsed());
            }
            number += 1;
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::join!(restoration, requests);
    // The drained target stays without keys although the backup says that it is ready.
    assert!(sampled_keys().all(|key| !deployment.boards[0].has_grant(key)));
    // The new era has a leader that can still move keys.
    deployment.boards[1].publish_report(&deployment.store, "draining");
    wait_until(|| async { sampled_keys().all(|key| deployment.boards[2].has_grant(key)) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_get_new_owners_only_after_unknown_grants_if_the_leader_is_lost_as_well() {
    let mut deployment = Deployment::start(3, 3, 2, PROCESSING_TIME).await;
    let leader = deployment.find_leader().await;
    let restored_at = lose_last_writes(&deployment, async {
        drain_first_target(&deployment).await;
        deployment.instances[leader].signal("KILL");
    })
    .await;
    deployment.instances.remove(leader);
    wait_until(|| async { sampled_keys().all(|key| deployment.owner_count(key) == 0) }).await;
    let deadline = restored_at + UNKNOWN_GRANTS_TIME + TAKEOVER_TIME;
    let mut all_owned = false;
    while !all_owned && Instant::now() < deadline {
        let owners: Vec<usize> = sampled_keys()
            .map(|key| deployment.owner_count(key))
            .collect();
        assert!(owners.iter().all(|count| *count <= 1), "{owners:?}");
        all_owned = owners.iter().all(|count| *count == 1);
        sleep(Duration::from_millis(10)).await;
    }
    assert!(all_owned, "keys without an owner");
    // The new leader cannot know that the last grants were short.
    let waited = restored_at.elapsed();
    assert!(waited > UNKNOWN_GRANTS_TIME - CLOCK_TOLERANCE, "{waited:?}");
    for instance in &deployment.instances {
        let response = instance.send(removal_request("after", 3)).await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_that_the_backup_lacks_stays_in_force_until_it_is_written_again() {
    let deployment = Deployment::start(2, 3, 2, PROCESSING_TIME).await;
    // Target 0 of each service is in that data centre.
    let withdraw = || deployment.store.put("op", "evacuate/east", b"{}");
    let restoration = lose_last_writes(&deployment, async {
        withdraw();
        wait_until(|| async { sampled_keys().all(|key| !deployment.boards[0].has_grant(key)) })
            .await;
    });
    restoration.await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        assert!(sampled_keys().all(|key| !deployment.boards[0].has_grant(key)));
        sleep(Duration::from_millis(20)).await;
        if start.elapsed() > Duration::from_secs(1) {
            withdraw();
        }
    }
    // The withdrawal ends with its row, as usual.
    deployment.boards[0].publish_report(&deployment.store, "ready");
    deployment.store.remove("op", "evacuate/east");
    let status = deployment.instances[0].get_page("/status", Some(crate::deployment::TOKEN));
    assert_eq!(status.await.status, StatusCode::OK);
}
