//! One run: starts a deployment and callers, injects the faults of a seed and reports violations.

use {
    crate::{
        Result,
        callers::{self, InstanceAddresses},
        faults::{
            Deployment, Fault, draw_cut, draw_drill, draw_fault, draw_limit, inject_fault,
            publish_next_config,
        },
        guarantees,
        history::{History, HistoryData, Outcome},
        instance::Instance,
        links::InstanceLinks,
        organisations,
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

/// Services and their numbers of targets; the first service is sharded.
const SERVICES: [(&str, usize); 2] = [("boards", 5), ("crews", 3)];
/// Number of concurrent callers.
const CALLER_COUNT: u64 = 16;
/// Time after the start within which a deployment must serve all probed keys.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault within which all probed keys must be served.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Distance between probed keys; it gives 17 keys per instance.
const PROBE_KEY_STEP: usize = 4001;
/// Shortest and longest pause between two faults, in milliseconds.
const FAULT_PAUSE_RANGE_MS: (u64, u64) = (200, 1800);

/// Share of the faults that are drills, if they are played.
const DRILL_SHARE: f64 = 0.3;
/// Limits that targets name for each fault, if they do.
const LIMIT_SHARE: f64 = 0.3;
/// Cuts of links for each fault, if they are played.
const CUT_SHARE: f64 = 0.3;

/// Longest time for which the store has been up when a run begins: two years, in seconds.
const MAX_STORE_UPTIME_S: u64 = 2 * 365 * 24 * 3600;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Path of the `cowslipcross` program.
    pub program_path: PathBuf,
    /// Path of a former build: half of the instances start with it, and each restart of an instance
    /// changes between the two.
    pub former_path: Option<PathBuf>,
    /// Directory for settings and logs.
    pub work_directory: PathBuf,
    /// Seed of the random choices of callers and faults.
    pub seed: u64,
    /// Time in which faults are started.
    pub fault_time: Duration,
    /// Number of instances.
    pub instance_count: usize,
    /// Whether the store is also restored from backups, and targets announce their stop or ask for
    /// quiet.
    pub drills: bool,
    /// Whether targets also name limits.
    pub limits: bool,
    /// Whether instances are also cut off from all targets.
    pub cuts: bool,
    /// Whether callers belong to organisations, of which one has a limit.
    pub organisations: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Violations of guarantees, each with its evidence.
    pub violations: Vec<String>,
    /// Number of requests by status, `cut` (connection closed) or `silence` (timed out).
    pub outcomes: BTreeMap<String, usize>,
    /// Faults in the order of their start.
    pub faults: Vec<Fault>,
}

/// Runs a deployment under the faults of a seed and checks the guarantees.
///
/// # Errors
/// Fails if a process, port or file is not available, or the deployment does not serve in time.
pub async fn run_deployment(options: &RunOptions) -> Result<RunReport> {
    let observer = Arc::new(TargetObserver::default());
    let deployment = Arc::new(start_deployment(options, &observer).await?);
    let mut tasks = JoinSet::new();
    let addresses = list_instance_addresses(&deployment).await;
    for number in 0..CALLER_COUNT {
        let (addresses, history) = (addresses.clone(), deployment.history.clone());
        tasks.spawn(callers::run_caller(
            number,
            options.seed,
            addresses,
            history,
        ));
    }
    tasks.spawn(report_cold_targets(deployment.clone()));
    let faults = inject_faults(options, &deployment).await;
    let exited = find_exited_instances(&deployment).await;
    // The callers keep sending during this check.
    let unserved = check_recovery(&addresses).await;
    tasks.abort_all();
    let data = deployment.history.snapshot();
    // The observer has checked the grants (`OWNER`, `FENCE`).
    let mut violations = observer.violations();
    violations.extend(guarantees::find_violations(&data, &observer.arrivals()));
    if options.organisations {
        let arrivals = observer.arrivals();
        violations.extend(organisations::check_organisations(&data, &arrivals));
    }
    violations.extend(exited);
    violations.extend(unserved);
    Ok(RunReport {
        violations,
        outcomes: count_outcomes(&data),
        faults,
    })
}

/// Returns the programs that an instance runs in turn: every second one starts with the former build.
fn list_programs(options: &RunOptions, number: usize) -> Vec<PathBuf> {
    let latest = options.program_path.clone();
    match &options.former_path {
        None => vec![latest],
        Some(former) if number.is_multiple_of(2) => vec![former.clone(), latest],
        Some(former) => vec![latest, former.clone()],
    }
}

/// Returns the time for which the store has been up when the run begins. Former builds cannot read a clock
/// past one day.
fn store_uptime(options: &RunOptions) -> Duration {
    let mut random = StdRng::seed_from_u64(options.seed.rotate_left(48));
    match options.former_path {
        Some(_) => Duration::ZERO,
        None => Duration::from_secs(random.random_range(0..MAX_STORE_UPTIME_S)),
    }
}

async fn start_deployment(
    options: &RunOptions,
    observer: &Arc<TargetObserver>,
) -> Result<Deployment> {
    std::fs::create_dir_all(&options.work_directory)?;
    let store = FakeStore::start_with_clock(store_uptime(options)).await;
    let mut targets = Vec::new();
    for (service, count) in SERVICES {
        for number in 0..count {
            let target = ProxiedTarget::start(number, service, &store, observer).await?;
            targets.push(Mutex::new(target));
        }
    }
    let (mut instances, mut links) = (Vec::new(), Vec::new());
    for number in 0..options.instance_count {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        if options.cuts {
            links.push(InstanceLinks::open(&store, &targets).await);
        }
        let view = links.last().map(InstanceLinks::store_address);
        let (name, store_address) = (format!("i{number}"), view.unwrap_or(store.address()));
        let directory = options.work_directory.as_path();
        let programs = list_programs(options, number);
        let instance =
            Instance::start(programs, directory, &name, data_centre, store_address).await?;
        instances.push(Mutex::new(instance));
    }
    let deployment = Deployment {
        store,
        targets,
        instances,
        links,
        organisations: options.organisations,
        history: History::default(),
        withdrawal_locks: Default::default(),
        config_state: Mutex::default(),
    };
    // The first configuration.
    publish_next_config(&deployment).await;
    let addresses = list_instance_addresses(&deployment).await;
    if let Some(unserved) = wait_until_served(&addresses, START_TIMEOUT, "start").await {
        bail!("the deployment does not serve within {START_TIMEOUT:?}: {unserved}");
    }
    Ok(deployment)
}

async fn list_instance_addresses(deployment: &Deployment) -> InstanceAddresses {
    let mut addresses = Vec::new();
    for instance in &deployment.instances {
        let instance = instance.lock().await;
        addresses.push((instance.name.clone(), instance.caller_address));
    }
    addresses
}

/// Publishes the reports of cold targets until aborted. An active fault of a target holds its lock,
/// and the target is skipped.
async fn report_cold_targets(deployment: Arc<Deployment>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        for target in &deployment.targets {
            if let Ok(target) = target.try_lock() {
                target.report_if_cold(&deployment.store);
            }
        }
    }
}

/// Injects faults for `fault_time`, and waits until the last one is undone.
async fn inject_faults(options: &RunOptions, deployment: &Arc<Deployment>) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(options.seed);
    // Drills do not change the other faults of a seed.
    let mut drill_random = StdRng::seed_from_u64(!options.seed);
    let mut limit_random = StdRng::seed_from_u64(options.seed.rotate_left(32));
    let mut cut_random = StdRng::seed_from_u64(options.seed.rotate_left(16));
    let end = Instant::now() + options.fault_time;
    let (mut active, mut faults) = (JoinSet::new(), Vec::new());
    while Instant::now() < end {
        let pause = random.random_range(FAULT_PAUSE_RANGE_MS.0..FAULT_PAUSE_RANGE_MS.1);
        sleep(Duration::from_millis(pause)).await;
        let target_count = deployment.targets.len();
        let (fault, duration) = match options.drills && drill_random.random_bool(DRILL_SHARE) {
            true => draw_drill(&mut drill_random, target_count),
            false => draw_fault(&mut random, options.instance_count, target_count),
        };
        faults.push(fault);
        active.spawn(inject_fault(deployment.clone(), fault, duration));
        if options.limits && limit_random.random_bool(LIMIT_SHARE) {
            let (limit, duration) = draw_limit(&mut limit_random, target_count);
            faults.push(limit);
            active.spawn(inject_fault(deployment.clone(), limit, duration));
        }
        if options.cuts && cut_random.random_bool(CUT_SHARE) {
            let (cut, duration) = draw_cut(&mut cut_random, options.instance_count);
            faults.push(cut);
            active.spawn(inject_fault(deployment.clone(), cut, duration));
        }
    }
    while let Some(result) = active.join_next().await {
        if let Err(error) = result {
            eprintln!("the task of a fault failed: {error}");
        }
    }
    faults
}

/// Returns a violation for each instance that has exited without a signal from a fault.
async fn find_exited_instances(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for instance in &deployment.instances {
        let mut instance = instance.lock().await;
        if !instance.is_running() {
            let code = instance.wait();
            violations.push(format!(
                "ENDED: {} exited with code {code:?}",
                instance.name
            ));
        }
    }
    violations
}

/// Returns a violation if probed keys are not served in time after the faults.
async fn check_recovery(addresses: &InstanceAddresses) -> Option<String> {
    let unserved = wait_until_served(addresses, RECOVERY_TIMEOUT, "end").await;
    unserved.map(|it| format!("RECOVER: {it}"))
}

/// Waits until every instance serves all probed keys; after `limit`, describes the probes that
/// still fail. `id_prefix` makes the request IDs unique in a run.
async fn wait_until_served(
    addresses: &InstanceAddresses,
    limit: Duration,
    id_prefix: &str,
) -> Option<String> {
    let deadline = Instant::now() + limit;
    let mut pending: Vec<(usize, u64)> = (0..addresses.len())
        .flat_map(|index| {
            (0..65_536u64)
                .step_by(PROBE_KEY_STEP)
                .map(move |key| (index, key))
        })
        .collect();
    for round in 0.. {
        let mut probes = JoinSet::new();
        for (index, key) in pending.drain(..) {
            let address = addresses[index].1;
            let id = format!("{id_prefix}-{round}-{index}-{key}");
            probes.spawn(async move {
                let outcome = callers::send_probe(address, &id, key).await;
                ((index, key), outcome == Some(Outcome::Response(200, true)))
            });
        }
        let results = probes.join_all().await;
        pending.extend(
            results
                .iter()
                .filter(|(_, ok)| !ok)
                .map(|(probe, _)| *probe),
        );
        if pending.is_empty() {
            return None;
        }
        if Instant::now() >= deadline {
            break;
        }
        sleep(PROBE_INTERVAL).await;
    }
    let (index, key) = pending[0];
    let name = &addresses[index].0;
    Some(format!(
        "{} probes fail, the first for key {key} at {name}",
        pending.len()
    ))
}

fn count_outcomes(data: &HistoryData) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in &data.requests {
        let label = match request.outcome {
            Outcome::Response(status, _) => status.to_string(),
            Outcome::ConnectionClosed => "cut".to_owned(),
            Outcome::TimedOut => "silence".to_owned(),
        };
        *counts.entry(label).or_default() += 1;
    }
    counts
}

/// Returns the path of the `cowslipcross` program in this program's directory or its parent.
///
/// # Errors
/// Fails if there is none.
pub fn find_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let directories = own.ancestors().skip(1).take(2).map(Path::to_path_buf);
    let found = directories
        .map(|it| it.join("cowslipcross"))
        .find(|it| it.is_file());
    match found {
        Some(program) => Ok(program),
        None => bail!("no program `cowslipcross` beside this one: build it first"),
    }
}

/// Returns the path of the directory for the settings and logs of a run; it need not exist.
pub fn work_directory_path(seed: u64) -> PathBuf {
    let name = format!("cowslip-soak-{}-{seed}", std::process::id());
    std::env::temp_dir().join(name)
}
