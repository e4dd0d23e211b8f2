//! What a target stand-in does, by its interface.

use {
    cowslip_standins::{
        client::{get, post, request, send},
        clock::micros,
        target::{
            Target,
            grants::{Grants, Post, Range},
            options::{Faults, Options},
            record::Record,
            serve,
        },
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{net::TcpListener, time::sleep},
};

async fn target(change: impl FnOnce(&mut Options)) -> Target {
    let mut options = Options {
        cold: false,
        checks_fence: false,
        spread: 0.0,
        opening: Duration::ZERO,
        ..Options::default()
    };
    change(&mut options);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, options).await.unwrap()
}

async fn order(target: &Target, id: &str, fence: &str) -> (u16, Option<String>, String) {
    let headers = [
        ("cowslip-request", id),
        ("cowslip-fence", fence),
        ("cowslip-hash", "7"),
        ("cowslip-deadline-ms", "5000"),
    ];
    let call = request("POST", "/removal/k7", &headers, format!("body {id}"));
    match send(&target.address.to_string(), call).await {
        Ok(answer) => {
            let verdict = answer.headers().get("target-verdict");
            let verdict = verdict.map(|v| v.to_str().unwrap().to_owned());
            let body = String::from_utf8(answer.body().to_vec()).unwrap();
            (answer.status().as_u16(), verdict, body)
        }
        Err(_) => (0, None, String::new()),
    }
}

async fn grant(target: &Target, stamp: u64, fence: u64) -> (u16, Value) {
    let body = json!({"holder": "i1", "version": 1, "stamp": stamp, "ttl_ms": 400,
        "ranges": [{"service": "board-registry", "start": "0", "end": "9", "fence": fence}]});
    let answer = post(&target.address.to_string(), "/-/grants", &body)
        .await
        .unwrap();
    let status = answer.status().as_u16();
    (status, serde_json::from_slice(answer.body()).unwrap())
}

async fn start(target: &Target) -> Value {
    let health: Value = get(&target.address.to_string(), "/-/health").await.unwrap();
    health["start"].clone()
}

const NOT_RUN: Option<&str> = Some("not-run");

#[tokio::test]
async fn runs_only_under_a_grant_that_lasts_and_the_newest_fence() {
    let target = target(|o| o.checks_fence = true).await;
    assert_eq!(order(&target, "a", "3").await.0, 409);
    let (_, answer) = grant(&target, 0, 3).await;
    assert_eq!(order(&target, "b", "3").await.1.as_deref(), NOT_RUN);
    let stamp = answer["stamp"].as_u64().unwrap();
    assert_eq!(grant(&target, stamp, 3).await.0, 200);
    assert!(target.record().held[0].until <= micros());
    let (status, _, body) = order(&target, "c", "3").await;
    assert_eq!((status, body.as_str()), (200, "t1 k7\nbody c"));
    assert_eq!(order(&target, "d", "2").await.1.as_deref(), NOT_RUN);
    assert_eq!(grant(&target, stamp, 2).await.0, 409);
    sleep(Duration::from_millis(450)).await;
    assert_eq!(order(&target, "e", "3").await.1.as_deref(), NOT_RUN);
    let record: Record = get(&target.address.to_string(), "/-/record").await.unwrap();
    let ran: Vec<_> = record.runs.iter().map(|run| run.request.as_str()).collect();
    assert_eq!((ran, record.runs[0].owner), (vec!["c"], true));
    assert!(record.held.iter().all(|held| held.fence == 3));
}

#[tokio::test]
async fn grant_that_waited_through_a_freeze_has_run_out() {
    let target = target(|o| o.checks_fence = true).await;
    let stamp = grant(&target, 0, 1).await.1["stamp"].as_u64().unwrap();
    target.switch(&Faults {
        freeze: Some(true),
        ..Faults::default()
    });
    let (_, (status, verdict, _)) = tokio::join!(
        async {
            sleep(Duration::from_millis(500)).await;
            target.switch(&Faults {
                freeze: Some(false),
                ..Faults::default()
            });
        },
        async { tokio::join!(grant(&target, stamp, 1), order(&target, "a", "1")).1 }
    );
    assert_eq!((status, verdict.as_deref()), (409, NOT_RUN));
}

#[tokio::test]
async fn sheds_beyond_its_queue_and_cancels_what_waits() {
    let target = target(|o| {
        (o.slots, o.queue) = (1, 1);
        o.service_time = Duration::from_millis(300);
    })
    .await;
    let address = target.address.to_string();
    let cancel = async {
        sleep(Duration::from_millis(150)).await;
        let mut ran = Vec::new();
        for id in ["a", "b", "d"] {
            let call = request("DELETE", &format!("/-/requests/{id}"), &[], "");
            let body = send(&address, call).await.unwrap().into_body();
            ran.push(serde_json::from_slice::<Value>(&body).unwrap()["ran"] == true);
        }
        ran
    };
    let later = |id, ms| {
        let target = &target;
        async move {
            sleep(Duration::from_millis(ms)).await;
            order(target, id, "0").await
        }
    };
    let (a, b, c, ran) = tokio::join!(later("a", 0), later("b", 40), later("c", 80), cancel);
    assert_eq!((a.0, b.0, c.0), (200, 503, 503));
    assert_eq!((b.1.as_deref(), c.1.as_deref()), (NOT_RUN, NOT_RUN));
    assert_eq!(ran, [true, false, false]);
    assert_eq!(order(&target, "d", "0").await.1.as_deref(), NOT_RUN);
    assert_eq!(target.record().runs.len(), 1);
}

#[tokio::test]
async fn cold_target_falls_over_above_its_limit_and_grows_by_success() {
    let target = target(|o| {
        (o.cold, o.warmup) = (true, 3);
        o.health_lag = Duration::ZERO;
    })
    .await;
    for id in ["a", "b", "c"] {
        order(&target, id, "0").await;
    }
    let pair = || async { tokio::join!(order(&target, "d", "0"), order(&target, "e", "0")) };
    pair().await;
    assert_eq!(target.record().breaches.len(), 0);
    let before = start(&target).await;
    // Slow enough that the two surely are there at the same time, also on a busy machine.
    target.switch(&Faults {
        restart: true,
        slow: Some(20.0),
        ..Faults::default()
    });
    assert_ne!(start(&target).await, before);
    pair().await;
    assert_eq!(target.record().breaches.len(), 1);
}

#[tokio::test]
async fn silent_connection_hangs_while_new_ones_work() {
    let target = target(|_| {}).await;
    // The order takes 1 s, so that it is surely there when its connection goes silent.
    let hung = tokio::time::timeout(Duration::from_secs(3), async {
        tokio::join!(order(&target, "a", "0"), async {
            sleep(Duration::from_millis(300)).await;
            target.switch(&Faults {
                silence: true,
                ..Faults::default()
            });
        })
    });
    let slow = Faults {
        slow: Some(500.0),
        ..Faults::default()
    };
    target.switch(&slow);
    assert!(hung.await.is_err());
    target.switch(&Faults {
        slow: Some(1.0),
        ..Faults::default()
    });
    assert_eq!(order(&target, "b", "0").await.0, 200);
}

#[tokio::test]
async fn cut_answer_is_an_error_and_the_run_is_on_record() {
    let target = target(|_| {}).await;
    let faults = json!({"cut": 1.0, "leave": true});
    post(&target.control.to_string(), "/-/faults", &faults)
        .await
        .unwrap();
    assert_eq!(order(&target, "a", "0").await.0, 0);
    let record = target.record();
    assert!(record.runs.len() == 1 && record.leaving.is_some());
}

#[test]
fn fences_agree_with_an_oracle() {
    use quickcheck::{Arbitrary, Gen};
    let seeds: u64 = std::env::var("COWSLIP_FUZZ_SEEDS").map_or(30, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut random = Gen::from_size_and_seed(100, seed);
        let (mut grants, mut log) = (Grants::default(), Vec::new());
        let (mut seen, mut now) = ([0_u64; 16], [None; 16]);
        for step in 0..200 {
            let (a, b) = (
                u8::arbitrary(&mut random) % 16,
                u8::arbitrary(&mut random) % 16,
            );
            let (start, end) = (a.min(b) as usize, a.max(b) as usize);
            let fence = u64::arbitrary(&mut random) % 50;
            let post = Post {
                holder: "i1".to_owned(),
                version: 1,
                stamp: 1,
                ttl_ms: 400,
                ranges: vec![Range {
                    service: "s".to_owned(),
                    start: start.to_string(),
                    end: end.to_string(),
                    fence,
                }],
            };
            let accepted = grants.replace(&post, step, step + 1, &mut log).is_ok();
            assert_eq!(
                accepted,
                seen[start..=end].iter().all(|f| *f <= fence),
                "seed {seed}"
            );
            if accepted {
                seen[start..=end].fill(fence);
                now = [None; 16];
                now[start..=end].fill(Some(fence));
            }
            for hash in 0..16 {
                let ok = grants.check("s", hash as u64, fence, step).is_ok();
                let granted = now[hash] == Some(fence) && fence >= seen[hash];
                assert_eq!(
                    ok,
                    granted && accepted,
                    "seed {seed} step {step} hash {hash}"
                );
            }
        }
    }
}
