//! Requests of callers, and what becomes of them under failures.

use {
    crate::world::{World, booking, lookup, order, request, until},
    bytes::Bytes,
    cowslip_adapter_standins::{config::build_config, store, target},
    futures_util::future::join_all,
    http::{Request, StatusCode},
    http_body_util::Full,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

const WORK: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_their_target_and_answers_come_back_unchanged() {
    let world = World::start(2, 3, 2, WORK).await;
    for instance in &world.instances {
        for key in [0, 21_845, 65_535] {
            let id = format!("{}-{key}", instance.callers.port());
            let answer = instance.send(order(&id, key)).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body, "strip it");
            assert_eq!(answer.headers["x-request-id"], *id);
            assert_eq!(answer.headers["x-response-signature"], "s");
            assert_eq!(world.runs(&id), 1);
        }
        let answer = instance.send(booking("b")).await.expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_ref()),
            (StatusCode::OK, &b"book it"[..])
        );
    }
    let metrics = world.instances[0].metrics().await;
    assert!(metrics.contains("cowslipcross_answers_total"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_not_valid_is_refused_and_reaches_no_target() {
    let world = World::start(1, 2, 2, WORK).await;
    let instance = &world.instances[0];
    let long = Bytes::from(vec![b'x'; 3000]);
    let bare = |path: &str| {
        let request = Request::builder().uri(path).header("host", "front.example");
        request.body(Full::default()).expect("a valid request")
    };
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
        let answer = instance.send(request).await.expect("an answer");
        assert_eq!(answer.status, status, "{path}");
    }
    // Rows of other writers cost nothing but themselves.
    world.store.put("servers", "forged", br#"{"Service":7}"#);
    world.store.put("servers", "garbage", b"\xff\xfe");
    world.store.put("op", "config", b"no configuration");
    sleep(Duration::from_millis(1600)).await;
    let answer = instance.send(lookup("f", 9)).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let targets = world.boards.iter().chain(&world.crews);
    assert_eq!(
        targets
            .map(target::FakeTarget::total_executions)
            .sum::<u32>(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_an_answer_runs_once_and_is_not_called_refused() {
    let world = World::start(1, 2, 2, WORK).await;
    let all = || world.boards.iter().chain(&world.crews);
    for mood in [
        target::TargetMode::CloseWithoutResponse,
        target::TargetMode::WrongRequestId,
    ] {
        all().for_each(|target| target.set_mode(mood));
        for (id, request) in [("o", order("o", 5)), ("b", booking("b"))] {
            let before = world.runs(id);
            let answer = world.instances[0].send(request).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{id} {mood:?}");
            assert_eq!(world.runs(id) - before, 1, "{id} {mood:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_again_after_the_leader_is_killed() {
    let mut world = World::start(3, 3, 2, WORK).await;
    let mut led = None;
    for (at, instance) in world.instances.iter().enumerate() {
        if instance
            .metrics()
            .await
            .contains("\ncowslipcross_leads 1\n")
        {
            led = Some(at);
        }
    }
    drop(world.instances.remove(led.expect("one instance leads")));
    // A target leaves: only a new leader can give its keys to others.
    let gone = world.boards.remove(0);
    gone.publish_report(&world.store, "draining");
    until(|| async {
        let keys = (0..=65_535u64).step_by(499);
        let owned: Vec<usize> = keys.map(|key| world.owners(key)).collect();
        owned.iter().all(|owners| *owners == 1)
    })
    .await;
    for (at, instance) in world.instances.iter().enumerate() {
        let answer = instance
            .send(lookup(&format!("l{at}"), 3))
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_targets_and_withdrawn_data_centres_get_nothing_more() {
    let world = World::start(2, 3, 2, WORK).await;
    world.crews[1].publish_report(&world.store, "draining");
    world.store.put("op", "evacuate/east", b"{}");
    // The first target of each service is in the east; nothing is left for bookings.
    sleep(Duration::from_millis(2000)).await;
    let before = world.crews[1].total_executions();
    let answer = world.instances[0]
        .send(booking("late"))
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(
        (
            world.crews[1].total_executions(),
            world.crews[0].total_executions()
        ),
        (before, 0)
    );
    until(|| async {
        (0..=65_535u64)
            .step_by(499)
            .all(|key| !world.boards[0].has_grant(key))
    })
    .await;
    let before = world.boards[0].total_executions();
    for key in (0..60_000).step_by(6000) {
        let answer = world.instances[1]
            .send(lookup(&format!("k{key}"), key))
            .await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(world.boards[0].total_executions(), before);
    world.store.remove("op", "evacuate/east");
    until(|| async {
        let answer = world.instances[0].send(booking("back")).await;
        answer.is_some_and(|it| it.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_whose_report_lapsed_is_asked_to_release_its_keys() {
    let world = World::start(2, 3, 2, WORK).await;
    world.boards[0].remove_report(&world.store);
    until(|| async {
        let keys = (0..=65_535u64).step_by(499);
        keys.clone()
            .all(|key| world.owners(key) == 1 && !world.boards[0].has_grant(key))
    })
    .await;
    // Without the address of its last report only its hold would have run out.
    assert!(world.boards[0].release_count() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_and_never_goes_back() {
    let world = World::start(2, 2, 2, WORK).await;
    world
        .store
        .put("op", "config", build_config("r12", "crews").as_bytes());
    for instance in &world.instances {
        until(|| async {
            let before = world.crews[0].total_executions() + world.crews[1].total_executions();
            let answer = instance.send(lookup("moved", 1)).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
            world.crews[0].total_executions() + world.crews[1].total_executions() > before
        })
        .await;
    }
    world
        .store
        .put("op", "config", build_config("r6", "boards").as_bytes());
    sleep(Duration::from_millis(1500)).await;
    let before = world.boards[0].total_executions() + world.boards[1].total_executions();
    for instance in &world.instances {
        instance.send(lookup("stays", 1)).await.expect("an answer");
    }
    assert_eq!(
        world.boards[0].total_executions() + world.boards[1].total_executions(),
        before
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_away() {
    let world = World::start(2, 2, 2, WORK).await;
    world.store.set_mode(store::StoreMode::Unavailable);
    for round in 0..50 {
        for (at, instance) in world.instances.iter().enumerate() {
            let id = format!("s{round}-{at}");
            let answer = instance
                .send(order(&id, round * 1300))
                .await
                .expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "round {round}");
        }
        sleep(Duration::from_millis(100)).await;
    }
    world.store.set_mode(store::StoreMode::DropResponses);
    sleep(Duration::from_millis(2500)).await;
    world.store.set_mode(store::StoreMode::Normal);
    world.settle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_instances_do_not_overfill_a_target() {
    // Eight times as many requests at once as the owner has slots.
    let world = World::start(4, 1, 2, Duration::from_millis(60)).await;
    let sends = world
        .instances
        .iter()
        .enumerate()
        .flat_map(|(at, instance)| {
            (0..4).map(move |number| async move {
                let id = format!("f{at}-{number}");
                instance
                    .send(lookup(&id, 40))
                    .await
                    .expect("an answer")
                    .status
            })
        });
    let answers = join_all(sends).await;
    assert!(
        answers.iter().all(|it| *it == StatusCode::OK),
        "{answers:?}"
    );
    let owner = &world.boards[0];
    assert_eq!(owner.shed_requests(), 0);
    assert!(
        owner.peak_concurrency() <= 3,
        "{} at once",
        owner.peak_concurrency()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_leaves_unless_it_may_not_be_repeated() {
    let work = Duration::from_secs(1);
    let world = World::start(1, 1, 2, work).await;
    let (instance, target) = (&world.instances[0], &world.boards[0]);
    for (request, finished) in [(lookup("g", 7), 0), (order("h", 7), 1)] {
        let left = timeout(Duration::from_millis(300), instance.send(request)).await;
        assert!(left.is_err(), "the work takes longer");
        until(|| async { target.in_flight_requests() == 0 }).await;
        assert_eq!(target.completed_requests(), finished);
    }
    assert_eq!((world.runs("g"), world.runs("h")), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_nothing_and_a_reload_goes_on() {
    let mut world = World::start(2, 2, 2, Duration::from_millis(400)).await;
    world.instances[0].signal("HUP");
    sleep(Duration::from_millis(100)).await;
    let mut stopped = world.instances.remove(0);
    let (answer, ()) = tokio::join!(stopped.send(order("t", 8)), async {
        sleep(Duration::from_millis(100)).await;
        stopped.signal("TERM");
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
    assert!(!stopped.is_ready().await);
    let late = stopped.send(order("u", 9)).await.expect("an answer");
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(stopped.ended().await, Some(0));
    assert_eq!((world.runs("t"), world.runs("u")), (1, 1));
}
