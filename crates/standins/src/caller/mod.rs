//! Callers: an open-loop load over several entry instances.

mod balance;
mod history;
mod kinds;
mod send;
mod tally;

pub use {
    history::{Fault, Sent},
    kinds::{Kind, kinds},
    tally::{Report, Tally},
};

use {
    balance::Balance,
    eyre::Result,
    rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, rngs::SmallRng},
    rand_distr::{Distribution, Zipf},
    send::{Call, Worker},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        time::{Instant, sleep, sleep_until},
    },
};

/// Period of the checks whether an entry instance accepts connections.
const PROBE: Duration = Duration::from_millis(200);
/// Pause between arrivals that are handled together.
const TICK: Duration = Duration::from_millis(1);
/// Longest delay of a repeat of an order.
const REPEAT_MS: u64 = 100;

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the entry instances.
    pub entries: Vec<SocketAddr>,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Requests a second over all threads.
    pub rate: f64,
    /// Time for which requests arrive.
    pub time: Duration,
    /// Threads.
    pub threads: usize,
    /// Keys of each divided service.
    pub keys: u64,
    /// Exponent of the distribution of keys.
    pub skew: f64,
    /// Share of the orders with an idempotency key.
    pub keyed: f64,
    /// Share of the orders with a key that are sent again through another instance.
    pub repeats: f64,
    /// Bytes of a request's body at least.
    pub body: usize,
    /// Whether the history is kept.
    pub history: bool,
    /// Whether the entries are targets, called without a router.
    pub direct: bool,
    /// Seed of all that is random.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            kinds: Vec::new(),
            rate: 100.0,
            time: Duration::from_secs(10),
            threads: 1,
            keys: 10_000,
            skew: 1.0,
            keyed: 1.0,
            repeats: 0.05,
            body: 0,
            history: true,
            direct: false,
            seed: 1,
        }
    }
}

/// A load that runs in threads of its own.
pub struct Load {
    stop: Arc<AtomicBool>,
    workers: Vec<thread::JoinHandle<Result<Tally>>>,
}

/// Starts a load.
pub fn start(plan: &Plan) -> Load {
    let stop = Arc::new(AtomicBool::new(false));
    let balance = Arc::new(Balance::new(&plan.entries));
    let workers = (0..plan.threads)
        .map(|number| {
            let (plan, stop, balance) = (plan.clone(), stop.clone(), balance.clone());
            thread::spawn(move || {
                let runtime = Builder::new_current_thread().enable_all().build()?;
                runtime.block_on(drive(&plan, number, balance, &stop))
            })
        })
        .collect();
    Load { stop, workers }
}

impl Load {
    /// Ends the arrivals early.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Waits for the last answers.
    ///
    /// # Errors
    ///
    /// Fails if a thread could not start its runtime.
    pub fn join(self) -> Result<Tally> {
        let mut whole = Tally::default();
        for worker in self.workers {
            whole.merge(worker.join().expect("worker does not panic")?);
        }
        whole.history.sort_by_key(|sent| sent.sent);
        Ok(whole)
    }
}

async fn drive(
    plan: &Plan,
    number: usize,
    balance: Arc<Balance>,
    stop: &AtomicBool,
) -> Result<Tally> {
    let mut rng = SmallRng::seed_from_u64(plan.seed + number as u64);
    let weights = WeightedIndex::new(plan.kinds.iter().map(|kind| kind.weight))?;
    let keys = Zipf::new(plan.keys as f64, plan.skew)?;
    let worker = Arc::new(Worker::new(plan, balance.clone()));
    if number == 0 {
        tokio::spawn(async move {
            loop {
                balance.probe().await;
                sleep(PROBE).await;
            }
        });
    }
    let start = Instant::now();
    let gap = Duration::from_secs_f64(plan.threads as f64 / plan.rate);
    let mut due = start + gap.mul_f64(number as f64 / plan.threads as f64);
    let mut count = 0_u64;
    while due < start + plan.time && !stop.load(Ordering::Relaxed) {
        if due > Instant::now() {
            sleep_until(due.max(Instant::now() + TICK)).await;
        }
        while due <= Instant::now() {
            let id = format!("{}-{number}-{count}", plan.seed);
            let kind = weights.sample(&mut rng);
            let key = match plan.kinds[kind].divided {
                true => format!("k{}", keys.sample(&mut rng) as u64),
                false => String::new(),
            };
            let keyed = !plan.kinds[kind].repeatable && rng.random_bool(plan.keyed);
            let again = keyed && rng.random_bool(plan.repeats);
            let call = Call {
                id,
                kind,
                key,
                keyed,
                due,
            };
            if again {
                let delay = Duration::from_millis(rng.random_range(0..REPEAT_MS));
                worker.clone().spawn(call.clone(), delay);
            }
            worker.clone().spawn(call, Duration::ZERO);
            count += 1;
            due += gap;
        }
    }
    Ok(worker.finish().await)
}
