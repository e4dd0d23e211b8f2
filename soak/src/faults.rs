//! Faults: drawn from a seed, one after the other, also while others last.

use {
    crate::{
        fleet::{DATA_CENTRES, Place},
        history::{History, What},
        instance::Instance,
        proxy::Way,
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
pub struct World {
    /// The store.
    pub store: FakeStore,
    /// Targets.
    pub places: Vec<Mutex<Place>>,
    /// Instances.
    pub instances: Vec<Mutex<Instance>>,
    /// What happened.
    pub history: History,
    /// Lets one withdrawal of a data centre after another.
    pub withdrawing: [Mutex<()>; DATA_CENTRES.len()],
    /// Version of the configuration, and the place in the history of what it says.
    pub config: Mutex<(u32, Option<usize>)>,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store treats all calls like this.
    Store(store::StoreMode),
    /// One instance's way to the store, or that of all.
    StoreWay(Option<usize>, Way),
    /// The way to a target.
    TargetWay(usize, Way),
    /// A target answers like this.
    Target(usize, target::TargetMode),
    /// A target ends and starts again.
    Crash(usize),
    /// A target leaves, and another run of it comes.
    Leave(usize),
    /// An instance is paused.
    Pause(usize),
    /// An instance is killed and starts again.
    Kill(usize),
    /// All instances are killed at once and start again.
    KillAll,
    /// An instance is stopped in order and starts again.
    Stop(usize),
    /// An instance reads its settings again.
    Reload(usize),
    /// Lookups go to the other service.
    Config,
    /// A data centre is withdrawn and restored.
    Withdraw(usize),
}

/// Draws a fault and the time that it lasts.
pub fn draw(random: &mut StdRng, instances: usize, targets: usize) -> (Fault, Duration) {
    let time = Duration::from_millis(random.random_range(300..4000));
    let short = Duration::from_millis(random.random_range(200..2500));
    let (instance, target) = (
        random.random_range(0..instances),
        random.random_range(0..targets),
    );
    let way = [
        Way::Delayed(Duration::from_millis(random.random_range(20..400))),
        Way::Reset,
        Way::Deaf,
        Way::Mute,
        Way::Silent,
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
        target::TargetMode::DelayGrants(short),
        target::TargetMode::Slowdown(10),
    ][random.random_range(0..3)];
    let fault = match random.random_range(0..14) {
        0 => Fault::Store(mood),
        1 | 2 => Fault::StoreWay(whose, way),
        3 | 4 => Fault::TargetWay(target, way),
        5 => Fault::Target(target, manner),
        6 => Fault::Crash(target),
        7 => Fault::Leave(target),
        8 => Fault::Pause(instance),
        9 => Fault::Kill(instance),
        10 => Fault::Stop(instance),
        11 if random.random_bool(0.3) => Fault::KillAll,
        11 => Fault::Reload(instance),
        12 => Fault::Config,
        _ => Fault::Withdraw(random.random_range(0..DATA_CENTRES.len())),
    };
    (fault, time)
}

/// Does a fault for a time, then undoes it.
pub async fn strike(world: Arc<World>, fault: Fault, time: Duration) {
    match fault {
        Fault::Store(mood) => {
            let place = world.history.begin(What::Store);
            world.store.set_mode(mood);
            sleep(time).await;
            world.store.set_mode(store::StoreMode::Normal);
            world.history.end(place);
        }
        Fault::StoreWay(whose, way) => store_way(&world, whose, way, time).await,
        Fault::TargetWay(at, way) => {
            let place = world.places[at].lock().await;
            let noted = world.history.begin(What::Target(place.id.clone()));
            place.proxy.set(way);
            sleep(time).await;
            place.proxy.set(Way::Open);
            world.history.end(noted);
        }
        Fault::Target(at, mood) => {
            let place = world.places[at].lock().await;
            let noted = world.history.begin(What::Target(place.id.clone()));
            place.set_mood(mood);
            sleep(time).await;
            place.set_mood(target::TargetMode::Normal);
            world.history.end(noted);
        }
        Fault::Crash(at) => crash(&world, at, time).await,
        Fault::Leave(at) => leave(&world, at, time).await,
        Fault::Pause(at) => {
            let mut instance = world.instances[at].lock().await;
            let noted = world.history.begin(What::Pause(instance.name.clone()));
            instance.signal(Signal::SIGSTOP);
            sleep(time).await;
            instance.signal(Signal::SIGCONT);
            world.history.end(noted);
        }
        Fault::Kill(at) => kill(&world, at, time).await,
        Fault::KillAll => {
            let kills = (0..world.instances.len()).map(|at| {
                let world = world.clone();
                tokio::spawn(async move { kill(&world, at, time / 4).await })
            });
            for kill in kills.collect::<Vec<_>>() {
                // A fault that panicked has said why.
                let _ = kill.await;
            }
        }
        Fault::Stop(at) => stop(&world, at).await,
        Fault::Reload(at) => {
            let mut instance = world.instances[at].lock().await;
            instance.awaits_signals().await;
            instance.signal(Signal::SIGHUP);
        }
        Fault::Config => configure(&world).await,
        Fault::Withdraw(at) => {
            let _one = world.withdrawing[at].lock().await;
            let noted = world
                .history
                .begin(What::Withdrawn(DATA_CENTRES[at].into()));
            let key = format!("evacuate/{}", DATA_CENTRES[at]);
            world.store.put("op", &key, b"{}");
            sleep(2 * time + Duration::from_secs(4)).await;
            world.history.end(noted);
            world.store.remove("op", &key);
        }
    }
}

async fn store_way(world: &World, whose: Option<usize>, way: Way, time: Duration) {
    let noted = world.history.begin(What::Store);
    let all = 0..world.instances.len();
    let chosen = all.filter(|at| whose.is_none_or(|one| one == *at));
    let chosen: Vec<usize> = chosen.collect();
    for at in &chosen {
        world.instances[*at].lock().await.store.set(way);
    }
    sleep(time).await;
    for at in &chosen {
        world.instances[*at].lock().await.store.set(Way::Open);
    }
    world.history.end(noted);
}

async fn crash(world: &World, at: usize, time: Duration) {
    let mut place = world.places[at].lock().await;
    let noted = world.history.begin(What::Target(place.id.clone()));
    place.crash();
    if time > LAPSE {
        sleep(LAPSE).await;
        place.lapse(&world.store);
    }
    sleep(time).await;
    come_back(world, &mut place).await;
    world.history.end(noted);
}

async fn leave(world: &World, at: usize, time: Duration) {
    let mut place = world.places[at].lock().await;
    let noted = world.history.begin(What::Leave(place.id.clone()));
    place.leave(&world.store);
    sleep(DRAIN).await;
    world.history.end(noted);
    let gone = world.history.begin(What::Target(place.id.clone()));
    place.crash();
    place.lapse(&world.store);
    sleep(time).await;
    come_back(world, &mut place).await;
    world.history.end(gone);
}

/// Starts a target anew, which is cold then.
async fn come_back(world: &World, place: &mut Place) {
    let noted = world.history.begin(What::Cold(place.id.clone()));
    place.come_back(&world.store).await;
    world.history.end(noted);
}

async fn kill(world: &World, at: usize, time: Duration) {
    let mut instance = world.instances[at].lock().await;
    let noted = world.history.begin(What::Kill(instance.name.clone()));
    instance.signal(Signal::SIGKILL);
    instance.wait();
    sleep(time).await;
    start(&mut instance);
    world.history.end(noted);
}

async fn stop(world: &World, at: usize) {
    let mut instance = world.instances[at].lock().await;
    instance.awaits_signals().await;
    let noted = world.history.begin(What::Stop(instance.name.clone()));
    instance.signal(Signal::SIGTERM);
    let gone = async {
        while instance.runs() {
            sleep(LOOK).await;
        }
    };
    if timeout(STOPPED, gone).await.is_err() {
        let late = world.history.begin(What::Kill(instance.name.clone()));
        eprintln!("{} did not end in time", instance.name);
        instance.signal(Signal::SIGKILL);
        world.history.end(late);
    }
    instance.wait();
    start(&mut instance);
    world.history.end(noted);
}

fn start(instance: &mut Instance) {
    if let Err(error) = instance.spawn() {
        eprintln!("{} does not start: {error:#}", instance.name);
    }
}

/// Sends lookups to the other service.
pub async fn configure(world: &World) {
    let mut state = world.config.lock().await;
    let (version, former) = *state;
    let service = if version % 2 == 0 { "boards" } else { "crews" };
    if let Some(former) = former {
        world.history.end(former);
    }
    let text = build_config(&format!("r{}", 7 * version + 1), service);
    world.store.put("op", "config", text.as_bytes());
    let noted = world.history.begin(What::Lookups(service.into()));
    *state = (version + 1, Some(noted));
}
