//! Faults: drawn from a seed, one after the other, also while others last.

use {
    crate::{
        history::{EventKind, History},
        instance::Instance,
        proxy::ProxyMode,
        targets::{DATA_CENTRES, ProxiedTarget},
    },
    cowslip_adapter_standins::{
        config::build_config,
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

/// Longest time in which a process that is stopped in order ends.
const STOPPED: Duration = Duration::from_millis(6500);
/// Period in which the end of a process is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// Time after which the report of a target that crashed lapses.
const LAPSE: Duration = Duration::from_millis(1500);
/// Time for which a leaving target serves.
const DRAIN: Duration = Duration::from_millis(3500);

/// A deployment that faults are done to.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: FakeStore,
    /// Targets.
    pub targets: Vec<Mutex<ProxiedTarget>>,
    /// Instances.
    pub instances: Vec<Mutex<Instance>>,
    /// What happened.
    pub history: History,
    /// Lets one withdrawal of a data centre after another.
    pub withdrawal_locks: [Mutex<()>; DATA_CENTRES.len()],
    /// Version of the configuration, and the place in the history of what it says.
    pub config: Mutex<(u32, Option<usize>)>,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store treats all calls like this.
    StoreMode(store::StoreMode),
    /// One instance's way to the store, or that of all.
    StoreLink(Option<usize>, ProxyMode),
    /// The way to a target.
    TargetLink(usize, ProxyMode),
    /// A target answers like this.
    TargetMode(usize, target::TargetMode),
    /// A target ends and starts again.
    CrashTarget(usize),
    /// A target leaves, and another run of it comes.
    DrainTarget(usize),
    /// An instance is paused.
    PauseInstance(usize),
    /// An instance is killed and starts again.
    KillInstance(usize),
    /// All instances are killed at once and start again.
    KillAllInstances,
    /// An instance is stopped in order and starts again.
    StopInstance(usize),
    /// An instance reads its settings again.
    ReloadSettings(usize),
    /// Lookups go to the other service.
    SwitchConfig,
    /// A data centre is withdrawn and restored.
    WithdrawDataCentre(usize),
}

/// Draws a fault and the time that it lasts.
pub fn draw_fault(random: &mut StdRng, instances: usize, targets: usize) -> (Fault, Duration) {
    let time = Duration::from_millis(random.random_range(300..4000));
    let short = Duration::from_millis(random.random_range(200..2500));
    let (instance, target) = (
        random.random_range(0..instances),
        random.random_range(0..targets),
    );
    let way = [
        ProxyMode::Delay(Duration::from_millis(random.random_range(20..400))),
        ProxyMode::Reset,
        ProxyMode::DropFromClient,
        ProxyMode::DropToClient,
        ProxyMode::Blackhole,
    ][random.random_range(0..5)];
    let whose = random.random_bool(0.6).then_some(instance);
    let mood = [
        store::StoreMode::Unavailable,
        store::StoreMode::DropResponses,
        store::StoreMode::DelayWrites(short),
        store::StoreMode::DelayCalls(short / 5),
        store::StoreMode::CompactedFeed,
    ][random.random_range(0..5)];
    let manner = [
        target::TargetMode::CloseWithoutResponse,
        target::TargetMode::DelayCommands(short),
        target::TargetMode::Slowdown(10),
    ][random.random_range(0..3)];
    let fault = match random.random_range(0..14) {
        0 => Fault::StoreMode(mood),
        1 | 2 => Fault::StoreLink(whose, way),
        3 | 4 => Fault::TargetLink(target, way),
        5 => Fault::TargetMode(target, manner),
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
    (fault, time)
}

/// Does a fault for a time, then undoes it.
pub async fn inject_fault(world: Arc<Deployment>, fault: Fault, time: Duration) {
    match fault {
        Fault::StoreMode(mood) => {
            let place = world.history.begin_event(EventKind::StoreFault);
            world.store.set_mode(mood);
            sleep(time).await;
            world.store.set_mode(store::StoreMode::Normal);
            world.history.end_event(place);
        }
        Fault::StoreLink(whose, way) => store_way(&world, whose, way, time).await,
        Fault::TargetLink(at, way) => {
            let place = world.targets[at].lock().await;
            let noted = world
                .history
                .begin_event(EventKind::TargetFault(place.id.clone()));
            place.proxy.set_mode(way);
            sleep(time).await;
            place.proxy.set_mode(ProxyMode::Forward);
            world.history.end_event(noted);
        }
        Fault::TargetMode(at, mood) => {
            let place = world.targets[at].lock().await;
            let noted = world
                .history
                .begin_event(EventKind::TargetFault(place.id.clone()));
            place.set_mode(mood);
            sleep(time).await;
            place.set_mode(target::TargetMode::Normal);
            world.history.end_event(noted);
        }
        Fault::CrashTarget(at) => crash(&world, at, time).await,
        Fault::DrainTarget(at) => leave(&world, at, time).await,
        Fault::PauseInstance(at) => {
            let mut instance = world.instances[at].lock().await;
            let noted = world
                .history
                .begin_event(EventKind::InstancePause(instance.name.clone()));
            instance.signal(Signal::SIGSTOP);
            sleep(time).await;
            instance.signal(Signal::SIGCONT);
            world.history.end_event(noted);
        }
        Fault::KillInstance(at) => kill(&world, at, time).await,
        Fault::KillAllInstances => {
            let kills = (0..world.instances.len()).map(|at| {
                let world = world.clone();
                tokio::spawn(async move { kill(&world, at, time / 4).await })
            });
            for kill in kills.collect::<Vec<_>>() {
                // A fault that panicked has said why.
                let _ = kill.await;
            }
        }
        Fault::StopInstance(at) => stop(&world, at).await,
        Fault::ReloadSettings(at) => {
            let mut instance = world.instances[at].lock().await;
            instance.wait_for_signal_handlers().await;
            instance.signal(Signal::SIGHUP);
        }
        Fault::SwitchConfig => switch_lookup_service(&world).await,
        Fault::WithdrawDataCentre(at) => {
            let _one = world.withdrawal_locks[at].lock().await;
            let noted = world
                .history
                .begin_event(EventKind::Withdrawal(DATA_CENTRES[at].into()));
            let key = format!("evacuate/{}", DATA_CENTRES[at]);
            world.store.put("op", &key, b"{}");
            sleep(2 * time + Duration::from_secs(4)).await;
            world.history.end_event(noted);
            world.store.remove("op", &key);
        }
    }
}

async fn store_way(world: &Deployment, whose: Option<usize>, way: ProxyMode, time: Duration) {
    let noted = world.history.begin_event(EventKind::StoreFault);
    let all = 0..world.instances.len();
    let chosen = all.filter(|at| whose.is_none_or(|one| one == *at));
    let chosen: Vec<usize> = chosen.collect();
    for at in &chosen {
        world.instances[*at].lock().await.store_proxy.set_mode(way);
    }
    sleep(time).await;
    for at in &chosen {
        world.instances[*at]
            .lock()
            .await
            .store_proxy
            .set_mode(ProxyMode::Forward);
    }
    world.history.end_event(noted);
}

async fn crash(world: &Deployment, at: usize, time: Duration) {
    let mut place = world.targets[at].lock().await;
    let noted = world
        .history
        .begin_event(EventKind::TargetFault(place.id.clone()));
    place.crash();
    if time > LAPSE {
        sleep(LAPSE).await;
        place.remove_report(&world.store);
    }
    sleep(time).await;
    come_back(world, &mut place).await;
    world.history.end_event(noted);
}

async fn leave(world: &Deployment, at: usize, time: Duration) {
    let mut place = world.targets[at].lock().await;
    let noted = world
        .history
        .begin_event(EventKind::TargetDrain(place.id.clone()));
    place.report_draining(&world.store);
    sleep(DRAIN).await;
    world.history.end_event(noted);
    let gone = world
        .history
        .begin_event(EventKind::TargetFault(place.id.clone()));
    place.crash();
    place.remove_report(&world.store);
    sleep(time).await;
    come_back(world, &mut place).await;
    world.history.end_event(gone);
}

/// Starts a target anew, which is cold then.
async fn come_back(world: &Deployment, place: &mut ProxiedTarget) {
    let noted = world
        .history
        .begin_event(EventKind::ColdStart(place.id.clone()));
    place.restore(&world.store).await;
    world.history.end_event(noted);
}

async fn kill(world: &Deployment, at: usize, time: Duration) {
    let mut instance = world.instances[at].lock().await;
    let noted = world
        .history
        .begin_event(EventKind::InstanceKill(instance.name.clone()));
    instance.signal(Signal::SIGKILL);
    instance.wait();
    sleep(time).await;
    start(&mut instance);
    world.history.end_event(noted);
}

async fn stop(world: &Deployment, at: usize) {
    let mut instance = world.instances[at].lock().await;
    instance.wait_for_signal_handlers().await;
    let noted = world
        .history
        .begin_event(EventKind::InstanceStop(instance.name.clone()));
    instance.signal(Signal::SIGTERM);
    let gone = async {
        while instance.is_running() {
            sleep(LOOK).await;
        }
    };
    if timeout(STOPPED, gone).await.is_err() {
        let late = world
            .history
            .begin_event(EventKind::InstanceKill(instance.name.clone()));
        eprintln!("{} did not end in time", instance.name);
        instance.signal(Signal::SIGKILL);
        world.history.end_event(late);
    }
    instance.wait();
    start(&mut instance);
    world.history.end_event(noted);
}

fn start(instance: &mut Instance) {
    if let Err(error) = instance.spawn() {
        eprintln!("{} does not start: {error:#}", instance.name);
    }
}

/// Sends lookups to the other service.
pub async fn switch_lookup_service(world: &Deployment) {
    let mut state = world.config.lock().await;
    let (version, former) = *state;
    let service = if version % 2 == 0 { "boards" } else { "crews" };
    if let Some(former) = former {
        world.history.end_event(former);
    }
    let text = build_config(&format!("r{}", 7 * version + 1), service);
    world.store.put("op", "config", text.as_bytes());
    let noted = world
        .history
        .begin_event(EventKind::LookupService(service.into()));
    *state = (version + 1, Some(noted));
}
