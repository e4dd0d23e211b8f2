//! Faults: drawn at random from a seed, injected for a time and undone; they may overlap.

use {
    crate::{
        history::{EventKind, History},
        instance::Instance,
        links::InstanceLinks,
        organisations,
        proxy::ProxyMode,
        targets::{DATA_CENTRES, ProxiedTarget},
    },
    cowslip_adapter_standins::{
        config::build_config,
        link::LinkState,
        store::{self, FakeStore},
        target,
    },
    nix::sys::signal::Signal,
    rand::{Rng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::Mutex,
        time::{sleep, timeout},
    },
};

/// Time within which a process exits after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_millis(6500);
/// Interval at which a stopping process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a crash at which the report of the target is removed, as if it had expired.
const REPORT_EXPIRY: Duration = Duration::from_millis(1500);
/// Time for which a draining target keeps serving.
const DRAIN_TIME: Duration = Duration::from_millis(3500);

/// Time for which the store is away before it comes back from a backup.
const RESTORATION_TIME: Duration = Duration::from_millis(400);
/// Time after which operators and targets write again what a restored store lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(900);
/// Time for which a target asks for quiet with each refusal.
const QUIET_PERIOD: Duration = Duration::from_millis(2500);

/// A deployment under test.
#[derive(Debug)]
pub struct Deployment {
    /// The store, which all instances use.
    pub store: FakeStore,
    /// Targets; a fault of a target holds its lock.
    pub targets: Vec<Mutex<ProxiedTarget>>,
    /// Instances; a fault of an instance's process holds its lock.
    pub instances: Vec<Mutex<Instance>>,
    /// Links of each instance to the targets; empty if none are cut.
    pub links: Vec<InstanceLinks>,
    /// Whether callers belong to organisations.
    pub organisations: bool,
    /// History of the run.
    pub history: History,
    /// One lock a data centre: its withdrawals run one after another, as the end of one would
    /// restore the data centre during the next.
    pub withdrawal_locks: [Mutex<()>; DATA_CENTRES.len()],
    /// Number of the next configuration, and the index of the current configuration's event in the
    /// history.
    pub config_state: Mutex<(u32, Option<usize>)>,
}

/// A fault; targets, instances and data centres are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store handles all calls in this mode.
    Store(store::StoreMode),
    /// The proxy between the store and one instance (`None`: all instances) is in this mode.
    StoreProxy(Option<usize>, ProxyMode),
    /// The proxy in front of a target is in this mode.
    TargetProxy(usize, ProxyMode),
    /// A target handles requests and commands in this mode.
    Target(usize, target::TargetMode),
    /// A target crashes and restarts.
    CrashTarget(usize),
    /// A target drains, stops and restarts.
    DrainTarget(usize),
    /// An instance is paused by SIGSTOP.
    PauseInstance(usize),
    /// An instance is killed and restarts.
    KillInstance(usize),
    /// All instances are killed at once and restart.
    KillAllInstances,
    /// An instance is shut down by SIGTERM and restarts.
    StopInstance(usize),
    /// An instance reloads its settings on SIGHUP.
    ReloadSettings(usize),
    /// A new configuration sends lookups to the other service.
    SwitchConfig,
    /// A data centre is withdrawn and restored.
    WithdrawDataCentre(usize),
    /// The store is restored from a backup.
    RestoreStore,
    /// A target announces in its responses that it is about to stop, stops and restarts.
    AnnounceStop(usize),
    /// A target refuses requests and asks for quiet.
    AskForQuiet(usize),
    /// This number of instances, from the first one of these on, are cut off from all targets.
    CutLinks(usize, usize, LinkState),
    /// A target names a limit of so many requests a second.
    NameLimit(usize, u32),
}

/// Draws a fault of those that are played only in drills, and its duration.
pub fn draw_drill(random: &mut StdRng, target_count: usize) -> (Fault, Duration) {
    let duration = Duration::from_millis(random.random_range(300..4000));
    let target = random.random_range(0..target_count);
    let fault = match random.random_range(0..4) {
        0 | 1 => Fault::RestoreStore,
        2 => Fault::AnnounceStop(target),
        _ => Fault::AskForQuiet(target),
    };
    (fault, duration)
}

/// Draws a limit that a target names, and for how long.
pub fn draw_limit(random: &mut StdRng, target_count: usize) -> (Fault, Duration) {
    let target = random.random_range(0..target_count);
    let rate = random.random_range(1..=5);
    let duration = Duration::from_millis(random.random_range(5000..12_000));
    (Fault::NameLimit(target, rate), duration)
}

/// Draws a cut of the links of some instances, but not all of them, to all targets, and its duration.
pub fn draw_cut(random: &mut StdRng, instance_count: usize) -> (Fault, Duration) {
    let state = [
        LinkState::Silent,
        LinkState::Reset,
        LinkState::RefusesNew,
        LinkState::Down,
    ];
    let fault = Fault::CutLinks(
        random.random_range(0..instance_count),
        random.random_range(1..instance_count.max(2)),
        state[random.random_range(0..4)],
    );
    let duration = Duration::from_millis(random.random_range(1000..8000));
    (fault, duration)
}

/// Draws a fault and its duration.
pub fn draw_fault(
    random: &mut StdRng,
    instance_count: usize,
    target_count: usize,
) -> (Fault, Duration) {
    let duration = Duration::from_millis(random.random_range(300..4000));
    let delay = Duration::from_millis(random.random_range(200..2500));
    let (instance, target) = (
        random.random_range(0..instance_count),
        random.random_range(0..target_count),
    );
    let proxy_mode = [
        ProxyMode::Delay(Duration::from_millis(random.random_range(20..400))),
        ProxyMode::Reset,
        ProxyMode::DropFromClient,
        ProxyMode::DropToClient,
        ProxyMode::Blackhole,
    ][random.random_range(0..5)];
    let only = random.random_bool(0.6).then_some(instance);
    let store_mode = [
        store::StoreMode::Unavailable,
        store::StoreMode::DropResponses,
        store::StoreMode::DelayWrites(delay),
        store::StoreMode::DelayCalls(delay / 5),
        store::StoreMode::CompactedFeed,
    ][random.random_range(0..5)];
    let target_mode = [
        target::TargetMode::CloseWithoutResponse,
        target::TargetMode::DelayGrants(delay),
        target::TargetMode::Slowdown(10),
    ][random.random_range(0..3)];
    let fault = match random.random_range(0..14) {
        0 => Fault::Store(store_mode),
        1 | 2 => Fault::StoreProxy(only, proxy_mode),
        3 | 4 => Fault::TargetProxy(target, proxy_mode),
        5 => Fault::Target(target, target_mode),
        6 => Fault::CrashTarget(target),
        7 => Fault::DrainTarget(target),
        8 => Fault::PauseInstance(instance),
        9 => Fault::KillInstance(instance),
        10 => Fault::StopInstance(instance),
        11 if random.random_bool(0.3) => Fault::KillAllInstances,
        11 => Fault::ReloadSettings(instance),
        12 => Fault::SwitchConfig,
        _ => Fault::WithdrawDataCentre(random.random_range(0..DATA_CENTRES.len())),
    };
    (fault, duration)
}

/// Injects a fault and undoes it; faults that end by themselves ignore `duration`.
pub async fn inject_fault(deployment: Arc<Deployment>, fault: Fault, duration: Duration) {
    match fault {
        Fault::Store(store_mode) => {
            let store_event = deployment.history.begin_event(EventKind::StoreFault);
            deployment.store.set_mode(store_mode);
            sleep(duration).await;
            deployment.store.set_mode(store::StoreMode::Normal);
            deployment.history.end_event(store_event);
        }
        Fault::StoreProxy(only, mode) => set_store_proxy(&deployment, only, mode, duration).await,
        Fault::TargetProxy(index, mode) => {
            let proxied = deployment.targets[index].lock().await;
            let event = deployment
                .history
                .begin_event(EventKind::TargetFault(proxied.id.clone()));
            proxied.proxy.change_mode(mode);
            sleep(duration).await;
            proxied.proxy.change_mode(ProxyMode::Forward);
            deployment.history.end_event(event);
        }
        Fault::Target(index, target_mode) => {
            let proxied = deployment.targets[index].lock().await;
            let event = deployment
                .history
                .begin_event(EventKind::TargetFault(proxied.id.clone()));
            proxied.set_mode(target_mode);
            sleep(duration).await;
            proxied.set_mode(target::TargetMode::Normal);
            deployment.history.end_event(event);
        }
        Fault::RestoreStore => restore_store(&deployment, duration).await,
        Fault::AnnounceStop(index) => {
            let mut proxied = deployment.targets[index].lock().await;
            proxied.set_mode(target::TargetMode::Leaving);
            sleep(DRAIN_TIME).await;
            stop_and_restart(&deployment, &mut proxied, duration).await;
        }
        Fault::AskForQuiet(index) => {
            let proxied = deployment.targets[index].lock().await;
            proxied.set_mode(target::TargetMode::AskForQuiet(QUIET_PERIOD));
            sleep(duration).await;
            proxied.set_mode(target::TargetMode::Normal);
        }
        Fault::NameLimit(index, rate) => {
            let proxied = deployment.targets[index].lock().await;
            proxied.set_mode(target::TargetMode::NameLimit(rate));
            sleep(duration).await;
            proxied.set_mode(target::TargetMode::Normal);
        }
        Fault::CutLinks(first, count, state) => {
            let links = deployment.links.iter().cycle().skip(first).take(count);
            links.clone().for_each(|it| it.set_state(state));
            sleep(duration).await;
            links.for_each(|it| it.set_state(LinkState::Up));
        }
        Fault::CrashTarget(index) => crash_target(&deployment, index, duration).await,
        Fault::DrainTarget(index) => drain_target(&deployment, index, duration).await,
        Fault::PauseInstance(index) => {
            let mut instance = deployment.instances[index].lock().await;
            let event = deployment
                .history
                .begin_event(EventKind::InstancePause(instance.name.clone()));
            instance.signal(Signal::SIGSTOP);
            sleep(duration).await;
            instance.signal(Signal::SIGCONT);
            deployment.history.end_event(event);
        }
        Fault::KillInstance(index) => kill_instance(&deployment, index, duration).await,
        Fault::KillAllInstances => {
            let kills = (0..deployment.instances.len()).map(|index| {
                let deployment = deployment.clone();
                tokio::spawn(async move { kill_instance(&deployment, index, duration / 4).await })
            });
            for kill in kills.collect::<Vec<_>>() {
                // A panic of the task has already been printed.
                let _ = kill.await;
            }
        }
        Fault::StopInstance(index) => stop_instance(&deployment, index).await,
        Fault::ReloadSettings(index) => {
            let mut instance = deployment.instances[index].lock().await;
            instance.wait_for_signal_handlers().await;
            instance.signal(Signal::SIGHUP);
        }
        Fault::SwitchConfig => publish_next_config(&deployment).await,
        Fault::WithdrawDataCentre(index) => {
            let _guard = deployment.withdrawal_locks[index].lock().await;
            let event = deployment
                .history
                .begin_event(EventKind::Withdrawal(DATA_CENTRES[index].into()));
            let key = format!("evacuate/{}", DATA_CENTRES[index]);
            deployment.store.put("op", &key, b"{}");
            sleep(2 * duration + Duration::from_secs(4)).await;
            // Ended first, as requests after the restoration are allowed.
            deployment.history.end_event(event);
            deployment.store.remove("op", &key);
        }
    }
}

async fn set_store_proxy(
    deployment: &Deployment,
    only: Option<usize>,
    mode: ProxyMode,
    duration: Duration,
) {
    let event = deployment.history.begin_event(EventKind::StoreFault);
    let all = 0..deployment.instances.len();
    let indices = all.filter(|index| only.is_none_or(|it| it == *index));
    let indices: Vec<usize> = indices.collect();
    for index in &indices {
        deployment.instances[*index]
            .lock()
            .await
            .store_proxy
            .change_mode(mode);
    }
    sleep(duration).await;
    for index in &indices {
        deployment.instances[*index]
            .lock()
            .await
            .store_proxy
            .change_mode(ProxyMode::Forward);
    }
    deployment.history.end_event(event);
}

async fn crash_target(deployment: &Deployment, index: usize, duration: Duration) {
    let mut proxied = deployment.targets[index].lock().await;
    let event = deployment
        .history
        .begin_event(EventKind::TargetFault(proxied.id.clone()));
    proxied.crash();
    if duration > REPORT_EXPIRY {
        sleep(REPORT_EXPIRY).await;
        proxied.remove_report(&deployment.store);
    }
    sleep(duration).await;
    restart_target(deployment, &mut proxied).await;
    deployment.history.end_event(event);
}

async fn drain_target(deployment: &Deployment, index: usize, duration: Duration) {
    let mut proxied = deployment.targets[index].lock().await;
    let event = deployment
        .history
        .begin_event(EventKind::TargetDrain(proxied.id.clone()));
    proxied.report_draining(&deployment.store);
    sleep(DRAIN_TIME).await;
    deployment.history.end_event(event);
    stop_and_restart(deployment, &mut proxied, duration).await;
}

async fn stop_and_restart(
    deployment: &Deployment,
    proxied: &mut ProxiedTarget,
    duration: Duration,
) {
    let event = deployment
        .history
        .begin_event(EventKind::TargetFault(proxied.id.clone()));
    proxied.crash();
    proxied.remove_report(&deployment.store);
    sleep(duration).await;
    restart_target(deployment, proxied).await;
    deployment.history.end_event(event);
}

/// Loses the writes of `age`, after an outage. Operators and targets write theirs again.
async fn restore_store(deployment: &Deployment, age: Duration) {
    let backup = deployment.store.back_up();
    sleep(age).await;
    let event = deployment.history.begin_event(EventKind::StoreFault);
    deployment.store.set_mode(store::StoreMode::Unavailable);
    sleep(RESTORATION_TIME).await;
    let lost = deployment.store.back_up();
    deployment.store.restore(&backup);
    deployment.store.set_mode(store::StoreMode::Normal);
    sleep(REWRITE_DELAY).await;
    deployment.store.write_again(&lost, &backup);
    deployment.history.end_event(event);
}

/// Restarts a target and records its cold start.
async fn restart_target(deployment: &Deployment, proxied: &mut ProxiedTarget) {
    let event = deployment
        .history
        .begin_event(EventKind::ColdStart(proxied.id.clone()));
    proxied.restore(&deployment.store).await;
    deployment.history.end_event(event);
}

async fn kill_instance(deployment: &Deployment, index: usize, duration: Duration) {
    let mut instance = deployment.instances[index].lock().await;
    let event = deployment
        .history
        .begin_event(EventKind::InstanceKill(instance.name.clone()));
    instance.signal(Signal::SIGKILL);
    instance.wait();
    sleep(duration).await;
    start_instance(&mut instance);
    deployment.history.end_event(event);
}

async fn stop_instance(deployment: &Deployment, index: usize) {
    let mut instance = deployment.instances[index].lock().await;
    instance.wait_for_signal_handlers().await;
    let event = deployment
        .history
        .begin_event(EventKind::InstanceStop(instance.name.clone()));
    instance.signal(Signal::SIGTERM);
    let exited = async {
        while instance.is_running() {
            sleep(EXIT_POLL_INTERVAL).await;
        }
    };
    if timeout(STOP_TIMEOUT, exited).await.is_err() {
        let kill_event = deployment
            .history
            .begin_event(EventKind::InstanceKill(instance.name.clone()));
        eprintln!(
            "{} did not exit within {STOP_TIMEOUT:?} after SIGTERM",
            instance.name
        );
        instance.signal(Signal::SIGKILL);
        deployment.history.end_event(kill_event);
    }
    instance.wait();
    start_instance(&mut instance);
    deployment.history.end_event(event);
}

fn start_instance(instance: &mut Instance) {
    if let Err(error) = instance.spawn() {
        eprintln!("{}: cannot start the process: {error:#}", instance.name);
    }
}

/// Publishes the next configuration, which sends lookups to `boards` and `crews` in turn.
pub async fn publish_next_config(deployment: &Deployment) {
    let mut current = deployment.config_state.lock().await;
    let (version, previous_event) = *current;
    let service = if version % 2 == 0 { "boards" } else { "crews" };
    if let Some(previous) = previous_event {
        deployment.history.end_event(previous);
    }
    let mut text = build_config(&format!("r{}", 7 * version + 1), service);
    if deployment.organisations {
        text = organisations::add_organisations(&text);
    }
    deployment.store.put("op", "config", text.as_bytes());
    let event = deployment
        .history
        .begin_event(EventKind::LookupService(service.into()));
    *current = (version + 1, Some(event));
}
