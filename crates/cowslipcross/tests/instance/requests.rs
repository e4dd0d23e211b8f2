//! Tests of callers' requests in normal operation and under failures.

use {
    crate::deployment::{
        Deployment, booking_request, lookup_request, removal_request, request, wait_until,
    },
    bytes::Bytes,
    cowslip_adapter_standins::{config::build_config, store, target},
    futures_util::future::join_all,
    http::{Request, StatusCode},
    http_body_util::Full,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_their_target_and_responses_come_back_unchanged() {
    let deployment = Deployment::start(2, 3, 2, PROCESSING_TIME).await;
    for instance in &deployment.instances {
        for key in [0, 21_845, 65_535] {
            let id = format!("{}-{key}", instance.callers.port());
            let response = instance
                .send(removal_request(&id, key))
                .await
                .expect("a response");
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(response.body, "strip it");
            assert_eq!(response.headers["x-request-id"], *id);
            assert_eq!(response.headers["x-response-signature"], "s");
            assert_eq!(deployment.count_executions(&id), 1);
        }
        let response = instance
            .send(booking_request("b"))
            .await
            .expect("a response");
        assert_eq!(
            (response.status, response.body.as_ref()),
            (StatusCode::OK, &b"book it"[..])
        );
    }
    let metrics = deployment.instances[0].metrics().await;
    assert!(metrics.contains("cowslipcross_answers_total"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_and_reach_no_target() {
    let deployment = Deployment::start(1, 2, 2, PROCESSING_TIME).await;
    let instance = &deployment.instances[0];
    let long = Bytes::from(vec![b'x'; 3000]);
    let bare = |path: &str| {
        let request = Request::builder().uri(path).header("host", "front.example");
        request.body(Full::default()).expect("a valid request")
    };
    // `/other/` has no route; the route of `/lost/` names a service that is not configured.
    let cases = [
        (request("GET", "/other/", "a", "1", Bytes::new()), 404),
        (request("GET", "/lost/x", "b", "1", Bytes::new()), 404),
        (request("GET", "/lookup/x", "c", "70000", Bytes::new()), 400),
        (request("GET", "/lookup/x", "d", "seven", Bytes::new()), 400),
        (request("POST", "/remove/x", "e", "1", long), 413),
        (bare("/lookup/x"), 400),
    ];
    for (request, status) in cases {
        let path = request.uri().to_string();
        let response = instance.send(request).await.expect("a response");
        assert_eq!(response.status, status, "{path}");
    }
    // Unreadable rows in the store must not affect the readable ones.
    deployment
        .store
        .put("servers", "forged", br#"{"Service":7}"#);
    deployment.store.put("servers", "garbage", b"\xff\xfe");
    deployment.store.put("op", "config", b"no configuration");
    // Long enough for the instance to read these rows.
    sleep(Duration::from_millis(1600)).await;
    let response = instance
        .send(lookup_request("f", 9))
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let targets = deployment.boards.iter().chain(&deployment.crews);
    assert_eq!(
        targets
            .map(target::FakeTarget::total_executions)
            .sum::<u32>(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_without_a_response_runs_once_and_is_not_reported_as_refused() {
    let deployment = Deployment::start(1, 2, 2, PROCESSING_TIME).await;
    let all = || deployment.boards.iter().chain(&deployment.crews);
    for mode in [
        target::TargetMode::CloseWithoutResponse,
        target::TargetMode::WrongRequestId,
    ] {
        all().for_each(|target| target.set_mode(mode));
        for (id, request) in [("o", removal_request("o", 5)), ("b", booking_request("b"))] {
            let before = deployment.count_executions(id);
            let response = deployment.instances[0]
                .send(request)
                .await
                .expect("a response");
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{id} {mode:?}");
            assert_eq!(deployment.count_executions(id) - before, 1, "{id} {mode:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_again_after_the_leader_is_killed() {
    let mut deployment = Deployment::start(3, 3, 2, PROCESSING_TIME).await;
    let leader = deployment.find_leader().await;
    drop(deployment.instances.remove(leader));
    // A target drains: only a new leader can assign its keys to others.
    let draining = deployment.boards.remove(0);
    draining.publish_report(&deployment.store, "draining");
    wait_until(|| async {
        let keys = (0..=65_535u64).step_by(499);
        let owned: Vec<usize> = keys.map(|key| deployment.owner_count(key)).collect();
        owned.iter().all(|owners| *owners == 1)
    })
    .await;
    for (index, instance) in deployment.instances.iter().enumerate() {
        let response = instance
            .send(lookup_request(&format!("l{index}"), 3))
            .await
            .expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_targets_and_withdrawn_data_centres_get_no_requests() {
    let deployment = Deployment::start(2, 3, 2, PROCESSING_TIME).await;
    deployment.crews[1].publish_report(&deployment.store, "draining");
    deployment.store.put("op", "evacuate/east", b"{}");
    // The first target of each service is in the east, so no target is left for bookings once the
    // instances have read these rows.
    sleep(Duration::from_millis(2000)).await;
    let before = deployment.crews[1].total_executions();
    let response = deployment.instances[0]
        .send(booking_request("late"))
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(
        (
            deployment.crews[1].total_executions(),
            deployment.crews[0].total_executions()
        ),
        (before, 0)
    );
    wait_until(|| async {
        (0..=65_535u64)
            .step_by(499)
            .all(|key| !deployment.boards[0].has_grant(key))
    })
    .await;
    let before = deployment.boards[0].total_executions();
    for key in (0..60_000).step_by(6000) {
        let response = deployment.instances[1]
            .send(lookup_request(&format!("k{key}"), key))
            .await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
    assert_eq!(deployment.boards[0].total_executions(), before);
    deployment.store.remove("op", "evacuate/east");
    wait_until(|| async {
        let response = deployment.instances[0].send(booking_request("back")).await;
        response.is_some_and(|it| it.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_without_a_report_is_asked_to_release_its_keys() {
    let deployment = Deployment::start(2, 3, 2, PROCESSING_TIME).await;
    deployment.boards[0].remove_report(&deployment.store);
    wait_until(|| async {
        let keys = (0..=65_535u64).step_by(499);
        keys.clone()
            .all(|key| deployment.owner_count(key) == 1 && !deployment.boards[0].has_grant(key))
    })
    .await;
    // Without the address from its last report the keys would become free only when the grant's TTL
    // has passed.
    assert!(deployment.boards[0].release_count() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_reaches_all_instances_and_an_older_one_is_ignored() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    deployment
        .store
        .put("op", "config", build_config("r12", "crews").as_bytes());
    for instance in &deployment.instances {
        wait_until(|| async {
            let before =
                deployment.crews[0].total_executions() + deployment.crews[1].total_executions();
            let response = instance
                .send(lookup_request("moved", 1))
                .await
                .expect("a response");
            assert_eq!(response.status, StatusCode::OK);
            deployment.crews[0].total_executions() + deployment.crews[1].total_executions() > before
        })
        .await;
    }
    deployment
        .store
        .put("op", "config", build_config("r6", "boards").as_bytes());
    // Long enough for the instances to read the older configuration.
    sleep(Duration::from_millis(1500)).await;
    let before = deployment.boards[0].total_executions() + deployment.boards[1].total_executions();
    for instance in &deployment.instances {
        instance
            .send(lookup_request("stays", 1))
            .await
            .expect("a response");
    }
    assert_eq!(
        deployment.boards[0].total_executions() + deployment.boards[1].total_executions(),
        before
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_unavailable() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    deployment.store.set_mode(store::StoreMode::Unavailable);
    for round in 0..50 {
        for (index, instance) in deployment.instances.iter().enumerate() {
            let id = format!("s{round}-{index}");
            let response = instance
                .send(removal_request(&id, round * 1300))
                .await
                .expect("a response");
            assert_eq!(response.status, StatusCode::OK, "round {round}");
        }
        sleep(Duration::from_millis(100)).await;
    }
    deployment.store.set_mode(store::StoreMode::DropResponses);
    sleep(Duration::from_millis(2500)).await;
    deployment.store.set_mode(store::StoreMode::Normal);
    deployment.wait_until_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_instances_do_not_exceed_the_slots_of_a_target() {
    // 16 concurrent requests to an owner with 2 slots.
    let deployment = Deployment::start(4, 1, 2, Duration::from_millis(60)).await;
    let sends = deployment
        .instances
        .iter()
        .enumerate()
        .flat_map(|(index, instance)| {
            (0..4).map(move |number| async move {
                let id = format!("f{index}-{number}");
                instance
                    .send(lookup_request(&id, 40))
                    .await
                    .expect("a response")
                    .status
            })
        });
    let responses = join_all(sends).await;
    assert!(
        responses.iter().all(|it| *it == StatusCode::OK),
        "{responses:?}"
    );
    let owner = &deployment.boards[0];
    assert_eq!(owner.shed_requests(), 0);
    // One permit above the slots is granted while requests are queued.
    assert!(
        owner.peak_concurrency() <= 3,
        "{} at once",
        owner.peak_concurrency()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_closed_caller_connection_cancels_only_idempotent_requests() {
    let processing_time = Duration::from_secs(1);
    let deployment = Deployment::start(1, 1, 2, processing_time).await;
    let (instance, target) = (&deployment.instances[0], &deployment.boards[0]);
    for (request, finished) in [(lookup_request("g", 7), 0), (removal_request("h", 7), 1)] {
        let result = timeout(Duration::from_millis(300), instance.send(request)).await;
        assert!(result.is_err(), "processing takes longer");
        wait_until(|| async { target.in_flight_requests() == 0 }).await;
        assert_eq!(target.completed_requests(), finished);
    }
    assert_eq!(
        (
            deployment.count_executions("g"),
            deployment.count_executions("h")
        ),
        (1, 1)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_requests_and_a_reload_keeps_the_process_running() {
    let mut deployment = Deployment::start(2, 2, 2, Duration::from_millis(400)).await;
    deployment.instances[0].signal("HUP");
    sleep(Duration::from_millis(100)).await;
    let mut stopped = deployment.instances.remove(0);
    let (response, ()) = tokio::join!(stopped.send(removal_request("t", 8)), async {
        sleep(Duration::from_millis(100)).await;
        stopped.signal("TERM");
    });
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
    assert!(!stopped.is_ready().await);
    let late = stopped
        .send(removal_request("u", 9))
        .await
        .expect("a response");
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(stopped.wait_for_exit().await, Some(0));
    assert_eq!(
        (
            deployment.count_executions("t"),
            deployment.count_executions("u")
        ),
        (1, 1)
    );
}
