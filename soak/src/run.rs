//! One run: a deployment, callers, faults from a seed, and what it comes to.

use {
    crate::{
        Result,
        callers::{self, InstanceAddresses},
        faults::{Deployment, Fault, draw_fault, inject_fault, switch_lookup_service},
        guarantees,
        history::{History, HistoryData, RequestOutcome},
        instance::Instance,
        targets::{DATA_CENTRES, ProxiedTarget, REPORT_INTERVAL},
    },
    cowslip_adapter_standins::{observer::TargetObserver, store::FakeStore},
    eyre::bail,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Targets of the divided service, and of the other one.
const TARGETS: [(&str, usize); 2] = [("boards", 5), ("crews", 3)];
/// Callers.
const CALLERS: u64 = 16;
/// Time within which a deployment serves from its start.
const READY: Duration = Duration::from_secs(20);
/// Time within which every key is served after all faults are over.
const RECOVERY: Duration = Duration::from_secs(15);
/// Period in which that is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Distance between the keys that are looked at.
const STRIDE: usize = 4001;
/// Bounds of the time between two faults, in milliseconds.
const BETWEEN: (u64, u64) = (200, 1800);

/// What a run is like.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Program of an instance.
    pub program_path: PathBuf,
    /// Directory for settings and logs.
    pub work_directory: PathBuf,
    /// Seed of callers and faults.
    pub seed: u64,
    /// Time for which faults come.
    pub fault_time: Duration,
    /// Number of instances.
    pub instance_count: usize,
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Promises that were broken, each with what shows it.
    pub violations: Vec<String>,
    /// Number of requests by what callers got.
    pub outcomes: BTreeMap<String, usize>,
    /// Faults in their order.
    pub faults: Vec<Fault>,
}

/// Runs a deployment under the faults of a seed.
///
/// # Errors
/// Fails if processes, ports or files cannot be had, or the deployment does not begin to serve.
pub async fn run_deployment(options: &RunOptions) -> Result<RunReport> {
    let watch = Arc::new(TargetObserver::default());
    let world = Arc::new(begin(options, &watch).await?);
    let mut calls = JoinSet::new();
    let doors = doors(&world).await;
    for number in 0..CALLERS {
        let (doors, history) = (doors.clone(), world.history.clone());
        calls.spawn(callers::run_caller(number, options.seed, doors, history));
    }
    calls.spawn(refresh(world.clone()));
    let faults = harm(options, &world).await;
    let ended = ended(&world).await;
    let unserved = recover(&doors).await;
    calls.abort_all();
    let record = world.history.snapshot();
    let mut broken = watch.violations();
    broken.extend(guarantees::find_violations(&record, &watch.arrivals()));
    broken.extend(ended);
    broken.extend(unserved);
    Ok(RunReport {
        violations: broken,
        outcomes: ends(&record),
        faults,
    })
}

async fn begin(options: &RunOptions, watch: &Arc<TargetObserver>) -> Result<Deployment> {
    std::fs::create_dir_all(&options.work_directory)?;
    let store = FakeStore::start().await;
    let mut places = Vec::new();
    for (service, count) in TARGETS {
        for number in 0..count {
            let place = ProxiedTarget::start(number, service, &store, watch).await?;
            places.push(Mutex::new(place));
        }
    }
    let mut instances = Vec::new();
    for number in 0..options.instance_count {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let (name, to) = (format!("i{number}"), store.address());
        let files = (
            options.program_path.as_path(),
            options.work_directory.as_path(),
        );
        let instance = Instance::start(files.0, files.1, &name, data_centre, to).await?;
        instances.push(Mutex::new(instance));
    }
    let world = Deployment {
        store,
        targets: places,
        instances,
        history: History::default(),
        withdrawal_locks: Default::default(),
        config: Mutex::default(),
    };
    switch_lookup_service(&world).await;
    let doors = doors(&world).await;
    if let Some(unserved) = served(&doors, READY, "start").await {
        bail!("the deployment does not begin to serve: {unserved}");
    }
    Ok(world)
}

async fn doors(world: &Deployment) -> InstanceAddresses {
    let mut doors = Vec::new();
    for instance in &world.instances {
        let instance = instance.lock().await;
        doors.push((instance.name.clone(), instance.caller_address));
    }
    doors
}

/// Lets cold targets report for ever; one that a fault is being done to reports nothing.
async fn refresh(world: Arc<Deployment>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        for place in &world.targets {
            if let Ok(place) = place.try_lock() {
                place.report_if_cold(&world.store);
            }
        }
    }
}

/// Does faults for a time, and waits until the last one is undone.
async fn harm(options: &RunOptions, world: &Arc<Deployment>) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + options.fault_time;
    let (mut strikes, mut done) = (JoinSet::new(), Vec::new());
    while Instant::now() < end {
        let pause = random.random_range(BETWEEN.0..BETWEEN.1);
        sleep(Duration::from_millis(pause)).await;
        let (fault, time) = draw_fault(&mut random, options.instance_count, world.targets.len());
        done.push(fault);
        strikes.spawn(inject_fault(world.clone(), fault, time));
    }
    while let Some(end) = strikes.join_next().await {
        if let Err(error) = end {
            eprintln!("a fault failed: {error}");
        }
    }
    done
}

/// Returns the instances that have ended by themselves.
async fn ended(world: &Deployment) -> Vec<String> {
    let mut ended = Vec::new();
    for instance in &world.instances {
        let mut instance = instance.lock().await;
        if !instance.is_running() {
            let code = instance.wait();
            ended.push(format!("ENDED: {} with {code:?}", instance.name));
        }
    }
    ended
}

/// Returns the promise that was broken if keys are not served in time after the faults.
async fn recover(doors: &InstanceAddresses) -> Option<String> {
    let unserved = served(doors, RECOVERY, "end").await;
    unserved.map(|what| format!("RECOVER: {what}"))
}

/// Waits until every instance serves keys all over; returns what is not served in time.
async fn served(doors: &InstanceAddresses, limit: Duration, when: &str) -> Option<String> {
    let end = Instant::now() + limit;
    let mut waiting: Vec<(usize, u64)> = (0..doors.len())
        .flat_map(|door| (0..65_536u64).step_by(STRIDE).map(move |key| (door, key)))
        .collect();
    for round in 0.. {
        let mut probes = JoinSet::new();
        for (door, key) in waiting.drain(..) {
            let address = doors[door].1;
            let id = format!("{when}-{round}-{door}-{key}");
            probes.spawn(async move {
                let end = callers::send_probe(address, &id, key).await;
                (
                    (door, key),
                    end == Some(RequestOutcome::Response(200, true)),
                )
            });
        }
        let ends = probes.join_all().await;
        waiting.extend(ends.iter().filter(|(_, ok)| !ok).map(|(probe, _)| *probe));
        if waiting.is_empty() {
            return None;
        }
        if Instant::now() >= end {
            break;
        }
        sleep(LOOK).await;
    }
    let (door, key) = waiting[0];
    let name = &doors[door].0;
    Some(format!("{} keys, {key} at {name} first", waiting.len()))
}

fn ends(record: &HistoryData) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for sent in &record.requests {
        let word = match sent.outcome {
            RequestOutcome::Response(status, _) => status.to_string(),
            RequestOutcome::ConnectionClosed => "cut".to_owned(),
            RequestOutcome::TimedOut => "silence".to_owned(),
        };
        *ends.entry(word).or_default() += 1;
    }
    ends
}

/// Returns the program of an instance that was built beside this one.
///
/// # Errors
/// Fails if it is not there.
pub fn find_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let places = own.ancestors().skip(1).take(2).map(Path::to_path_buf);
    let found = places
        .map(|it| it.join("cowslipcross"))
        .find(|it| it.is_file());
    match found {
        Some(program) => Ok(program),
        None => bail!("cowslipcross is not built"),
    }
}

/// Returns the directory of a run's files.
pub fn work_directory(seed: u64) -> PathBuf {
    let name = format!("cowslip-soak-{}-{seed}", std::process::id());
    std::env::temp_dir().join(name)
}
