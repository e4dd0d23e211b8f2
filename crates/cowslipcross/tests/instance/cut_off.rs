//! Tests of instances that are cut off from all targets while callers, the store and other instances
//! reach them.

use {
    crate::deployment::{Deployment, booking_request, lookup_request, removal_request, wait_until},
    cowslip_adapter_standins::link::LinkState,
    futures_util::future::join_all,
    http::StatusCode,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

const INSTANCES: usize = 4;
const SLOTS: u32 = 8;
const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Processing time with which a cut begins while a request is in progress.
const LONG_TIME: Duration = Duration::from_millis(400);
/// Time from the begin or the end of a cut until callers have to be served as usual.
const CONTACT: Duration = Duration::from_secs(3);
const PRESS_TIME: Duration = Duration::from_secs(4);
/// Time between two requests to an instance.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests that may fail at an instance: this many, and one more of every [`REQUESTS_PER_FAILURE`].
const MAX_FAILURES: usize = 10;
const REQUESTS_PER_FAILURE: usize = 50;

async fn start() -> Deployment {
    Deployment::start_with_links(INSTANCES, 4, SLOTS, PROCESSING_TIME).await
}

/// Requests that an instance was sent.
struct Sent {
    total: usize,
    failed: usize,
}

/// Sends requests of all kinds to an instance.
async fn press(deployment: &Deployment, index: usize, when: &str) -> Sent {
    let instance = &deployment.instances[index];
    let count = PRESS_TIME.as_millis() / PAUSE.as_millis();
    let sent = (0..count as u32).map(|number| async move {
        sleep(PAUSE * number).await;
        let id = format!("{when}-{index}-{number}");
        let key = u64::from(number) * 997 % 65_536;
        let request = match number % 3 {
            0 => lookup_request(&id, key),
            1 => removal_request(&id, key),
            _ => booking_request(&id),
        };
        let response = instance.send(request).await;
        let status = response.map(|it| it.status);
        check_executions(deployment, &id, number % 3 == 0, status);
        status == Some(StatusCode::OK)
    });
    let served = join_all(sent).await;
    Sent {
        total: served.len(),
        failed: served.iter().filter(|it| !**it).count(),
    }
}

/// Checks that a request that must not run twice did not, and that one that was refused did not run.
fn check_executions(
    deployment: &Deployment,
    id: &str,
    is_idempotent: bool,
    status: Option<StatusCode>,
) {
    let count = deployment.count_executions(id);
    let limit = match status {
        _ if is_idempotent => u32::MAX,
        Some(StatusCode::SERVICE_UNAVAILABLE) => 0,
        _ => 1,
    };
    assert!(count <= limit, "{id} ran {count} times, {status:?}");
}

/// Presses all instances at once and checks that few requests fail at each of them.
async fn check_service(deployment: &Deployment, when: &str) {
    let all = (0..INSTANCES).map(|index| press(deployment, index, when));
    let all = join_all(all).await;
    let is_served = |it: &Sent| it.failed <= MAX_FAILURES + it.total / REQUESTS_PER_FAILURE;
    let failed: Vec<String> = all
        .iter()
        .map(|it| format!("{} of {}", it.failed, it.total))
        .collect();
    assert!(
        all.iter().all(is_served),
        "{when} the cut failed at i0, i1 ...: {failed:?}"
    );
}

fn set_links(deployment: &Deployment, instances: &[usize], state: LinkState) {
    for index in instances {
        deployment.set_links(*index, state);
    }
}

/// Cuts instances off from all targets and checks the service during the cut and after it.
async fn check_cut(deployment: &Deployment, cut_off: &[usize], state: LinkState) {
    set_links(deployment, cut_off, state);
    let pressed = (0..INSTANCES).map(|index| press(deployment, index, "begin"));
    join_all(pressed).await;
    check_service(deployment, "during").await;
    set_links(deployment, cut_off, LinkState::Up);
    sleep(CONTACT).await;
    check_service(deployment, "after").await;
}

/// Returns the instances that do not lead, all but the last of them.
async fn most_followers(deployment: &Deployment) -> Vec<usize> {
    let leader = deployment.find_leader().await;
    let mut followers: Vec<usize> = (0..INSTANCES).filter(|it| *it != leader).collect();
    followers.pop();
    followers
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_links_to_all_targets_hang_serve_their_callers() {
    let deployment = start().await;
    let cut_off = most_followers(&deployment).await;
    // Connections are open when the cut begins.
    check_service(&deployment, "before").await;
    check_cut(&deployment, &cut_off, LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_links_to_all_targets_are_reset_serve_their_callers() {
    let deployment = start().await;
    let cut_off = most_followers(&deployment).await;
    check_service(&deployment, "before").await;
    check_cut(&deployment, &cut_off, LinkState::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_that_open_no_new_connections_to_targets_serve_their_callers() {
    let deployment = start().await;
    let cut_off = most_followers(&deployment).await;
    check_cut(&deployment, &cut_off, LinkState::RefusesNew).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_keep_owners_while_the_leader_is_cut_off_from_all_targets() {
    let deployment = start().await;
    let leader = deployment.find_leader().await;
    check_cut(&deployment, &[leader], LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_of_links_is_not_taken_for_targets_that_end() {
    let deployment = Deployment::start_with_links(INSTANCES, 4, SLOTS, LONG_TIME).await;
    let cut_off = most_followers(&deployment).await;
    for round in 0..3 {
        let requests = cut_off.iter().map(|index| {
            let instance = &deployment.instances[*index];
            instance.send(booking_request(&format!("{index}-{round}")))
        });
        let cut = async {
            sleep(LONG_TIME / 2).await;
            set_links(&deployment, &cut_off, LinkState::Reset);
        };
        let _ = tokio::join!(join_all(requests), cut);
        set_links(&deployment, &cut_off, LinkState::Up);
        sleep(CONTACT).await;
    }
    for instance in &deployment.instances {
        let log = instance.log();
        let is_wrong = |line: &&str| line.contains("CC0511") || line.contains("CC0512");
        assert_eq!(log.lines().find(is_wrong), None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_stops_finishes_the_requests_that_it_passes_on() {
    let mut deployment = Deployment::start_with_links(INSTANCES, 4, SLOTS, LONG_TIME).await;
    let leader = deployment.find_leader().await;
    let (cut_off, stopping) = ((leader + 1) % INSTANCES, (leader + 2) % INSTANCES);
    deployment.set_links(cut_off, LinkState::Silent);
    press(&deployment, cut_off, "begin").await;
    deployment.instances[stopping].signal("TERM");
    let Sent { total, failed } = press(&deployment, cut_off, "during").await;
    assert_eq!(failed, 0, "of {total}");
    let exit_code = deployment.instances[stopping].wait_for_exit().await;
    assert_eq!(exit_code, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_request_at_the_target_of_another_instance() {
    let deployment = Deployment::start_with_links(2, 4, SLOTS, 10 * LONG_TIME).await;
    let leader = deployment.find_leader().await;
    let cut_off = 1 - leader;
    deployment.set_links(cut_off, LinkState::RefusesNew);
    let instance = &deployment.instances[cut_off];
    // Dropping the future closes the connection.
    let left = timeout(LONG_TIME, instance.send(lookup_request("left", 7))).await;
    assert!(left.is_err());
    let in_flight = || deployment.boards.iter().map(|it| it.in_flight_requests());
    sleep(LONG_TIME).await;
    assert_eq!(in_flight().sum::<u32>(), 0);
    assert_eq!(deployment.count_executions("left"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_false_end_that_others_confirm_is_withdrawn_after_the_cut() {
    let deployment = Deployment::start_with_links(INSTANCES, 4, SLOTS, LONG_TIME).await;
    let all: Vec<usize> = (0..INSTANCES).collect();
    // More than one target has slots for, so that both of the service run some when the cut begins.
    let requests = (0..SLOTS + 4).map(|number| {
        let request = booking_request(&format!("first-{number}"));
        deployment.instances[0].send(request)
    });
    let cut = async {
        sleep(LONG_TIME / 2).await;
        set_links(&deployment, &all, LinkState::Down);
    };
    let _ = tokio::join!(join_all(requests), cut);
    set_links(&deployment, &all, LinkState::Up);
    let log = deployment.instances[0].log();
    assert!(log.contains("CC0512"), "no block to be withdrawn");
    let serves = || async {
        let response = deployment.instances[0].send(booking_request("later")).await;
        response.is_some_and(|it| it.status == StatusCode::OK)
    };
    wait_until(serves).await;
}
