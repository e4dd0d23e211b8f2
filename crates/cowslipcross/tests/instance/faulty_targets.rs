//! Tests of targets that announce their stop, ask for quiet or do not answer in the protocol.

use {
    crate::deployment::{Deployment, booking_request, lookup_request, removal_request, wait_until},
    cowslip_adapter_standins::{
        config::build_config,
        endless::{EndlessPart, EndlessServer},
        target::TargetMode,
    },
    futures_util::future::join_all,
    http::StatusCode,
    serde_json::json,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Timeout of the routes in the sample configuration.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time beyond a route's timeout within which the final answer has to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Longest time that a caller with this much time left is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(890);
/// Time for sending a request, which a time to return may be short by.
const SENDING_TIME: Duration = Duration::from_millis(100);
/// Memory of the smallest instances, in MiB.
const SMALL_MEMORY_MIB: u32 = 120;
/// Time for which targets send bytes without end.
const ENDLESS_TIME: Duration = Duration::from_secs(8);
/// Memory of the smallest instances, in bytes.
const INSTANCE_MEMORY_BYTES: u64 = 160 << 20;

/// Replaces the targets of the unsharded service by one that sends bytes without end.
async fn start_with_endless_target(part: EndlessPart, slots: u32) -> (Deployment, EndlessServer) {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    let server = EndlessServer::start(part).await;
    for target in &deployment.crews {
        target.remove_report(&deployment.store);
    }
    publish_endless(&deployment, &server, "crews", slots);
    // Long enough for the instance to read these rows.
    sleep(Duration::from_millis(1000)).await;
    (deployment, server)
}

/// Writes the report of a target of a service that sends bytes without end.
fn publish_endless(deployment: &Deployment, server: &EndlessServer, service: &str, slots: u32) {
    let report = json!({
        "Service": service, "Address": server.address.to_string(), "Zone": "west",
        "Version": "v1", "Slots": slots, "State": "ready", "ColdRemaining": "0ms",
        "Sequence": 1, "born": 1,
    });
    let key = format!("endless-{service}");
    let report = report.to_string();
    deployment.store.put("servers", &key, report.as_bytes());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_end_is_given_up_in_time_and_its_connection_closed() {
    let cases = [
        (EndlessPart::Noise, StatusCode::BAD_GATEWAY),
        (EndlessPart::Header, StatusCode::BAD_GATEWAY),
        (EndlessPart::Headers, StatusCode::BAD_GATEWAY),
        (EndlessPart::InterimResponses, StatusCode::BAD_GATEWAY),
        (EndlessPart::ChunkedBody, StatusCode::BAD_GATEWAY),
        (EndlessPart::TinyChunks, StatusCode::GATEWAY_TIMEOUT),
        (EndlessPart::UnframedBody, StatusCode::BAD_GATEWAY),
        (EndlessPart::RefusalBody, StatusCode::SERVICE_UNAVAILABLE),
        (EndlessPart::Trailing, StatusCode::OK),
    ];
    let checks = cases.map(|(part, status)| async move {
        let (deployment, server) = start_with_endless_target(part, 2).await;
        let start = Instant::now();
        let response = deployment.instances[0]
            .send(booking_request("endless"))
            .await;
        let response = response.expect("a response");
        assert_eq!(response.status, status, "{part:?}");
        assert!(start.elapsed() < ROUTE_TIMEOUT + ANSWER_GRACE, "{part:?}");
        wait_until(|| async { server.open_connections() == 0 }).await;
    });
    join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_responses_without_end_do_not_exhaust_the_memory() {
    let (deployment, server) = start_with_endless_target(EndlessPart::ChunkedBody, 100).await;
    let instance = &deployment.instances[0];
    let sends = (0..100).map(|number| instance.send(booking_request(&format!("e{number}"))));
    for response in join_all(sends).await {
        let status = response.expect("a response").status;
        assert!(!status.is_success(), "{status}");
    }
    wait_until(|| async { server.open_connections() == 0 }).await;
    let peak = instance.peak_memory();
    assert!(peak < INSTANCE_MEMORY_BYTES, "{peak} bytes");
    // The other targets are not concerned.
    let response = instance.send(lookup_request("after", 7)).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
}

/// Guards against an instance that keeps what is no answer, in a head or a body, until it runs out of memory, and with
/// it the requests of others: one target sends such bytes to requests, another one to commands.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_do_not_exhaust_the_memory_in_any_part_of_an_answer() {
    let checks = EndlessPart::ALL.map(|part| async move {
        let deployment = Deployment::start_with_memory(SMALL_MEMORY_MIB, PROCESSING_TIME).await;
        let (crew, board) = tokio::join!(EndlessServer::start(part), EndlessServer::start(part));
        deployment.crews[0].remove_report(&deployment.store);
        publish_endless(&deployment, &crew, "crews", 100);
        publish_endless(&deployment, &board, "boards", 2);
        deployment.boards[0].publish_report(&deployment.store, "draining");
        sleep(Duration::from_millis(1000)).await;
        let instance = &deployment.instances[0];
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < ENDLESS_TIME {
            let ids = number..number + 40;
            number = ids.end;
            let sends = ids.map(|id| instance.send(booking_request(&format!("e{id}"))));
            for response in join_all(sends).await {
                assert!(response.is_some(), "{part:?}: a request without an answer");
            }
        }
        let peak = instance.peak_memory();
        let limit = u64::from(SMALL_MEMORY_MIB) << 20;
        assert!(peak < limit, "{part:?}: {peak} bytes");
        assert!(
            board.connection_count() > 0,
            "{part:?}: no command was sent"
        );
        // The instance is the same process as before, and serves others.
        deployment.store.remove("servers", "endless-crews");
        wait_until(|| async {
            let response = instance.send(booking_request("after")).await;
            response.is_some_and(|it| it.status == StatusCode::OK)
        })
        .await;
    });
    join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_announces_its_stop_in_a_response_gets_no_further_requests() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    let (board, crew) = (&deployment.boards[0], &deployment.crews[1]);
    board.set_mode(TargetMode::Leaving);
    crew.set_mode(TargetMode::Leaving);
    // Its first response is passed on; the report in the store goes on saying that it is ready.
    let keys = || (0..60_000u64).step_by(3000);
    for key in keys() {
        let request = lookup_request(&format!("first{key}"), key);
        let response = deployment.instances[0].send(request).await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
        let booked = deployment.instances[0]
            .send(booking_request(&format!("first{key}")))
            .await;
        assert_eq!(booked.expect("a response").status, StatusCode::OK);
    }
    assert!(board.total_executions() > 0 && crew.total_executions() > 0);
    // The leader assigns the keys to the other target, and the other instance knows, too.
    wait_until(|| async { keys().all(|key| !board.has_grant(key)) }).await;
    sleep(Duration::from_millis(1000)).await;
    let before = (board.total_executions(), crew.total_executions());
    for (index, instance) in deployment.instances.iter().enumerate() {
        for key in keys() {
            let id = format!("later{index}-{key}");
            let response = instance.send(removal_request(&id, key)).await;
            assert_eq!(response.expect("a response").status, StatusCode::OK);
            let booked = instance.send(booking_request(&id)).await;
            assert_eq!(booked.expect("a response").status, StatusCode::OK);
        }
    }
    assert_eq!((board.total_executions(), crew.total_executions()), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_asks_for_quiet_gets_nothing_until_the_time_is_over() {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    deployment
        .store
        .put("op", "config", build_config("r7", "crews").as_bytes());
    let (instance, board) = (&deployment.instances[0], &deployment.boards[0]);
    let (quiet, other) = (&deployment.crews[1], &deployment.crews[0]);
    // The retry budget grows with the requests.
    for number in 0..12 {
        let booked = instance.send(booking_request(&format!("a{number}"))).await;
        assert_eq!(booked.expect("a response").status, StatusCode::OK);
    }
    let period = Duration::from_secs(4);
    for target in [board, quiet] {
        target.set_mode(TargetMode::AskForQuiet(period));
    }
    let start = Instant::now();
    let mut refused = 0;
    while start.elapsed() < period - Duration::from_millis(500) {
        let id = start.elapsed().as_micros();
        let booked = instance.send(booking_request(&format!("b{id}"))).await;
        assert_eq!(booked.expect("a response").status, StatusCode::OK);
        // No other target owns the key, so the caller is told when to come back.
        let removed = instance.send(removal_request(&format!("r{id}"), 7)).await;
        let removed = removed.expect("a response");
        assert_eq!(removed.status, StatusCode::SERVICE_UNAVAILABLE);
        let told = removed.headers["retry-after"].to_str().expect("text");
        let told = Duration::from_secs_f64(told.parse().expect("seconds"));
        // The first request may have met the refusal itself.
        if refused > 0 {
            let rest = period.saturating_sub(start.elapsed() + SENDING_TIME);
            assert!(told >= rest.min(MAX_RETRY_AFTER), "{told:?} of {rest:?}");
        }
        refused += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(refused > 20, "{refused} requests");
    // At most one more before the first refusal arrived.
    assert!(quiet.shed_requests() <= 2, "{}", quiet.shed_requests());
    assert!(board.shed_requests() <= 2, "{}", board.shed_requests());
    // Once the only targets left want quiet, callers are refused at once.
    other.set_mode(TargetMode::AskForQuiet(period));
    let first = instance.send(booking_request("first")).await;
    assert_eq!(
        first.expect("a response").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let before = (quiet.shed_requests(), other.shed_requests());
    let asked_at = Instant::now();
    let second = instance.send(booking_request("second")).await;
    assert_eq!(
        second.expect("a response").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert!(asked_at.elapsed() < Duration::from_millis(300));
    assert_eq!((quiet.shed_requests(), other.shed_requests()), before);
    for target in [board, quiet, other] {
        target.set_mode(TargetMode::Normal);
    }
    wait_until(|| async {
        let id = format!("n{}", start.elapsed().as_micros());
        let removed = instance.send(removal_request(&id, 7)).await;
        removed.is_some_and(|it| it.status == StatusCode::OK)
    })
    .await;
    assert!(start.elapsed() >= period);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_of_another_request_is_not_taken_for_an_answer() {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    deployment.boards[0].set_mode(TargetMode::RefuseOtherRequest);
    let response = deployment.instances[0].send(removal_request("x", 7)).await;
    // The request ran, so that the answer must not say that it has not.
    assert_eq!(
        response.expect("a response").status,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(deployment.count_executions("x"), 1);
}
