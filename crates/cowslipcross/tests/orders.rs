//! The journal of orders: at most one run an id, over instances, repeats, losses and faults.

use {
    cowslip_decide::{
        names::Incarnation,
        order::{OrderEnd, OrderRow},
        verdict::Verdict,
    },
    cowslip_settings::{overrides::Overrides, process},
    cowslip_standins::platform::{Faults, Handle, serve},
    cowslipcross::{
        context::Context,
        events::Events,
        ring::{Offer, Ring, ring},
        store::{
            self,
            ask::{Ask, Begun, Order},
        },
    },
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::{net::TcpListener, sync::oneshot, task::JoinSet},
};

/// Fixed seeds; `COWSLIP_FUZZ_SEEDS=n` runs n random ones instead.
const SEEDS: u64 = 6;
const INSTANCES: usize = 3;
const IDS: u64 = 5;
const ROUNDS: usize = 14;
const ARRIVALS: usize = 12;

fn seeds() -> Vec<u64> {
    match std::env::var("COWSLIP_FUZZ_SEEDS") {
        Ok(count) => {
            let count: u64 = count.parse().expect("COWSLIP_FUZZ_SEEDS is a number");
            (0..count)
                .map(|_| u64::arbitrary(&mut Gen::new(64)))
                .collect()
        }
        Err(_) => (0..SEEDS).collect(),
    }
}

/// Starts the platform duty of an instance.
fn instance(platform: &Handle) -> Ring<Ask> {
    let address = platform.address();
    let text = format!(
        "name = \"e\"\ndata_centre = \"d\"\ndeployment = \"d\"\ntoken = \"a-long-token\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"http://{address}\"\nobjects = \"http://{address}\"\n\
         instances = \"http://{address}\"\n"
    );
    let settings = process::parse(&text, "test", &Overrides::default()).expect("settings");
    let context = Context::new(settings, Incarnation(1), Events::default());
    let (asks, taken) = ring(1024);
    tokio::spawn(store::serve(Arc::new(context), taken));
    asks
}

/// What the targets and the callers know of one id.
#[derive(Clone, Debug, Default)]
struct Truth {
    runs: u32,
    /// Answer of the run.
    answer: Option<Vec<u8>>,
    /// Recorded answers that repeats got.
    repeated: Vec<Vec<u8>>,
}

type Truths = Arc<Mutex<BTreeMap<u64, Truth>>>;

/// How the target takes an order that is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Runs,
    Refuses,
    /// It runs and its answer is lost.
    Breaks,
    /// The instance is lost right after the order was sent.
    Dies,
}

struct Arrival {
    id: u64,
    run: String,
    fate: Fate,
}

async fn arrive(asks: Ring<Ask>, arrival: Arrival, truths: Truths) {
    let Arrival { id, run, fate } = arrival;
    let row = OrderRow {
        run: run.as_str().into(),
        instance: "e".into(),
        digest: id,
        end: None,
    };
    let order = Order {
        id: format!("s/{id}").into(),
        row,
        expires: 0,
    };
    let (reply, begun) = oneshot::channel();
    let ask = Ask::Begin {
        order: order.clone(),
        reply,
    };
    assert!(matches!(asks.offer(ask), Offer::Taken));
    let version = match begun.await.expect("an end") {
        Begun::Send(version) => version,
        Begun::Answer(end) => {
            let body = end.body.expect("a recorded answer");
            truths
                .lock()
                .unwrap()
                .entry(id)
                .or_default()
                .repeated
                .push(body);
            return;
        }
        Begun::Duplicate | Begun::Refused => return,
        Begun::Mismatch => panic!("id {id} has one digest only"),
    };
    let mut verdict = Verdict::NotRun;
    if fate != Fate::Refuses {
        let mut truths = truths.lock().unwrap();
        let truth = truths.entry(id).or_default();
        truth.runs += 1;
        truth.answer = Some(run.clone().into_bytes());
        verdict = if fate == Fate::Runs {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        };
    }
    if fate == Fate::Dies {
        return;
    }
    let body = Some(run.into_bytes());
    let end = OrderEnd {
        verdict,
        reason: None,
        status: 200,
        media: None,
        body,
    };
    assert!(matches!(
        asks.offer(Ask::End {
            order,
            version,
            end
        }),
        Offer::Taken
    ));
}

async fn fuzz(seed: u64) -> BTreeMap<u64, Truth> {
    let mut random = Gen::from_size_and_seed(64, seed);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let platform = serve(listener).expect("stand-in");
    let instances: Vec<_> = (0..INSTANCES).map(|_| instance(&platform)).collect();
    let truths = Truths::default();
    for round in 0..ROUNDS {
        let faults = match u8::arbitrary(&mut random) % 5 {
            0 => Faults {
                down: true,
                ..Faults::default()
            },
            1 | 2 => Faults {
                lose_answers: true,
                ..Faults::default()
            },
            3 => Faults {
                slow_ms: 20,
                ..Faults::default()
            },
            _ => Faults::default(),
        };
        platform.set_faults(faults);
        let mut arrivals = JoinSet::new();
        for number in 0..ARRIVALS {
            let fates = [
                Fate::Runs,
                Fate::Runs,
                Fate::Refuses,
                Fate::Breaks,
                Fate::Dies,
            ];
            let arrival = Arrival {
                id: u64::arbitrary(&mut random) % IDS + IDS * (round as u64 / 5),
                run: format!("{round}-{number}"),
                fate: *random.choose(&fates).expect("a fate"),
            };
            let asks = random.choose(&instances).expect("an instance").clone();
            arrivals.spawn(arrive(asks, arrival, truths.clone()));
        }
        while let Some(ended) = arrivals.join_next().await {
            ended.expect("an arrival does not panic");
        }
    }
    let truths = truths.lock().unwrap();
    truths.clone()
}

#[tokio::test]
async fn an_order_runs_at_most_once_and_a_repeat_gets_its_answer() {
    let (mut runs, mut repeats) = (0, 0);
    for seed in seeds() {
        for (id, truth) in fuzz(seed).await {
            assert!(
                truth.runs <= 1,
                "seed {seed}: order {id} ran {} times",
                truth.runs
            );
            for answer in &truth.repeated {
                assert_eq!(
                    Some(answer),
                    truth.answer.as_ref(),
                    "seed {seed}: order {id}"
                );
            }
            runs += truth.runs;
            repeats += truth.repeated.len();
        }
    }
    // The run shows something only if orders ran and repeats were answered.
    assert!(
        runs > 0 && repeats > 0,
        "{runs} runs, {repeats} repeats answered"
    );
}
