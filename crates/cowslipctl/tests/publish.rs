//! Operators who publish at the same time, with lost answers and a slow platform.

use {
    cowslip_settings::operator::Platform,
    cowslip_standins::platform::{Faults, Handle, serve},
    cowslipctl::{
        error::Error,
        store::{Current, Store},
    },
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    quickcheck::{Arbitrary, Gen},
    std::{
        future::ready,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinSet},
};

const DOCUMENT: &str = include_str!("../../../examples/ishikari.toml");
const ROUNDS: u64 = 6;

struct Bench {
    handle: Handle,
    platform: Platform,
}

impl Bench {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let handle = serve(listener).expect("the stand-in");
        let url = format!("http://{}", handle.address());
        let platform = Platform {
            table: url.as_str().into(),
            objects: url.as_str().into(),
            table_name: "t".into(),
            bucket: "b".into(),
        };
        Self { handle, platform }
    }

    fn store(&self, author: &str, limit: u64) -> Store {
        Store::new(&self.platform, author.into(), Duration::from_millis(limit))
    }

    fn faults(&self, lose_answers: bool, slow_ms: u64) {
        let faults = Faults {
            lose_answers,
            slow_ms,
            ..Faults::default()
        };
        self.handle.set_faults(faults);
    }
}

fn text(round: u64, author: &str) -> String {
    format!("# round {round} of {author}\n{DOCUMENT}")
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::open().await;
    let store = bench.store("ann", 2000);
    assert_eq!(store.current().await.expect("table"), None);
    bench.faults(true, 0);
    let first = store
        .publish(&text(1, "ann"), "f", 0)
        .await
        .expect("published");
    assert_eq!((first.version, first.author.as_str()), (1, "ann"));
    let second = store
        .publish(&text(2, "ann"), "f", 1)
        .await
        .expect("published");
    assert_eq!(store.current().await.expect("table"), Some(second.clone()));
    assert_eq!(
        store.document(&second.hash).await.expect("document"),
        text(2, "ann")
    );
    assert_eq!(bench.handle.counts().writes, 2);
}

#[tokio::test]
async fn who_saw_an_old_version_is_told_who_won() {
    let bench = Bench::open().await;
    let (ann, bob) = (bench.store("ann", 2000), bench.store("bob", 2000));
    ann.publish(&text(1, "ann"), "f", 0)
        .await
        .expect("published");
    for expected in [0, 2, 7] {
        match bob.publish(&text(1, "bob"), "f", expected).await {
            Err(Error::LostRace {
                expected: told,
                version: 1,
                author,
            }) => {
                assert_eq!((told, author.as_str()), (expected, "ann"));
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(matches!(
        bob.publish("x = 1", "f", 1).await,
        Err(Error::Invalid(_))
    ));
    assert_eq!(bench.handle.counts().writes, 1);
}

/// The same operator twice, with the same document: still only one of them wins.
#[tokio::test]
async fn two_writes_of_the_same_document_are_told_apart() {
    let bench = Bench::open().await;
    bench.faults(true, 20);
    let (left, right) = (bench.store("ann", 2000), bench.store("ann", 2000));
    let text = text(1, "ann");
    let (left, right) = tokio::join!(left.publish(&text, "f", 0), right.publish(&text, "f", 0));
    assert_eq!(
        [left.is_ok(), right.is_ok()]
            .iter()
            .filter(|it| **it)
            .count(),
        1
    );
}

/// One race: `expected` is the version that all of them saw.
async fn race(
    bench: &Bench,
    random: &mut Gen,
    round: u64,
    expected: u64,
) -> Vec<(String, Result<Current, Error>)> {
    let mut racers = JoinSet::new();
    for name in ["ann", "bob", "cho"] {
        let author = format!("{name}-{round}");
        let limit = *random.choose(&[2000, 2000, 40]).expect("one");
        let store = bench.store(&author, limit);
        let pause = Duration::from_millis(u64::arbitrary(random) % 4);
        racers.spawn(async move {
            tokio::time::sleep(pause).await;
            let end = store.publish(&text(round, &author), "f", expected).await;
            (author, end)
        });
    }
    racers.join_all().await
}

/// Switches faults on and off while operators race.
async fn flip(bench: &Bench, mut random: Gen) {
    loop {
        bench.handle.set_faults(Faults {
            down: u8::arbitrary(&mut random) % 8 == 0,
            lose_answers: bool::arbitrary(&mut random),
            slow_ms: *random.choose(&[0, 0, 1, 5, 30]).expect("one"),
            ..Faults::default()
        });
        let pause = Duration::from_millis(1 + u64::arbitrary(&mut random) % 12);
        tokio::time::sleep(pause).await;
    }
}

/// Of all operators at most one wins, the losers are told whom they lost to, and whoever read the
/// row never saw a version go back or change its document.
async fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(10, seed);
    let bench = Bench::open().await;
    let reader = bench.store("reader", 2000);
    let mut version = 0;
    // A write whose outcome its operator does not know may take effect in a later round.
    let mut pending = false;
    for round in 0..ROUNDS {
        let chaos = Gen::from_size_and_seed(10, seed * ROUNDS + round);
        let ends = tokio::select! {
            ends = race(&bench, &mut random, round, version) => ends,
            _ = flip(&bench, chaos) => unreachable!("it never ends"),
        };
        bench.faults(false, 0);
        let now = reader.current().await.expect("table");
        let place = format!("seed {seed} round {round}: {now:?} after version {version}, {ends:?}");
        let unknown = |end: &Result<_, Error>| matches!(end, Err(Error::Unknown { .. }));
        pending |= ends.iter().any(|(_, end)| unknown(end));
        let won = ends.iter().filter(|(_, end)| end.is_ok()).count();
        let reached = now.as_ref().map_or(0, |now| now.version);
        assert!(
            won <= 1 && (reached == version || reached == version + 1),
            "{place}"
        );
        assert!(won == 1 || reached == version || pending, "{place}");
        for (name, end) in &ends {
            check(name, end, now.as_ref(), &place);
        }
        if let Some(now) = now {
            let document = reader.document(&now.hash).await.expect("document");
            assert!(
                document.contains(&format!(" of {}\n", now.author)),
                "{place}"
            );
        }
        version = reached;
    }
}

fn check(name: &str, end: &Result<Current, Error>, now: Option<&Current>, place: &str) {
    match end {
        Ok(current) => assert_eq!(Some(current), now, "{place}"),
        Err(Error::LostRace {
            version, author, ..
        }) => {
            let now = now.expect("a winner");
            assert_eq!((*version, author), (now.version, &now.author), "{place}");
            assert_ne!(author, name, "{place}");
        }
        Err(Error::Unknown { .. } | Error::Unreachable(_)) => {}
        Err(other) => panic!("{place}: {other}"),
    }
}

/// A platform that takes one write, answers it never, and is gone from then on.
async fn dying_platform() -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let gone = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let gone = gone.clone();
            let answer = service_fn(move |request: Request<Incoming>| {
                let writes = request
                    .headers()
                    .get("x-amz-target")
                    .is_some_and(|it| it.as_bytes().ends_with(b"TransactWriteItems"));
                let dead = gone.fetch_or(writes, Ordering::Relaxed) || writes;
                let answer = Response::new("{}".to_owned());
                ready((!dead).then_some(answer).ok_or("gone"))
            });
            let stream = TokioIo::new(stream);
            tokio::spawn(http1::Builder::new().serve_connection(stream, answer));
        }
    });
    Platform {
        table: url.as_str().into(),
        objects: url.as_str().into(),
        table_name: "t".into(),
        bucket: "b".into(),
    }
}

#[tokio::test]
async fn an_outcome_that_cannot_be_read_back_is_said_to_be_unknown() {
    let platform = dying_platform().await;
    let store = Store::new(&platform, "ann".into(), Duration::from_secs(5));
    let end = store.publish(DOCUMENT, "f", 0).await;
    assert!(matches!(end, Err(Error::Unknown { version: 1 })), "{end:?}");
}

#[tokio::test]
async fn racing_operators_have_one_winner_and_no_version_reverts() {
    let seeds = std::env::var("COWSLIP_FUZZ_SEEDS")
        .ok()
        .and_then(|it| it.parse().ok());
    let mut runs = JoinSet::new();
    (0..seeds.unwrap_or(20)).for_each(|seed| {
        runs.spawn(run(seed));
    });
    runs.join_all().await;
}
