//! An instance of the first start is turned away by the store until a drill restores it.

use {
    cowslip_adapter_standins::{
        config::build_config,
        store::{FakeStore, StoreMode},
        target::{FakeTarget, TargetOptions},
    },
    cowslip_review_3::{proxy::StorePath, *},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Instances that the store serves from the start; one more is turned away.
const SERVED: usize = 3;
/// Time for which callers send before the drill.
const TRAFFIC_TIME: Duration = Duration::from_millis(3500);
/// Age of the copy from which the store comes back.
const BACKUP_AGE: Duration = Duration::from_millis(1500);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(3000);
/// Time after which operators and targets write again what the copy lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(900);
/// Time for which the owners are watched after that.
const WATCH_TIME: Duration = Duration::from_secs(14);
/// Longest time for which two targets may hold one key (rule OWNER).
const MAX_OVERLAP: Duration = Duration::from_millis(500);
/// Distance of the watched keys, and the pause between two looks.
const KEY_STEP: u64 = 256;
const LOOK_PAUSE: Duration = Duration::from_millis(20);

fn main() {
    let code = match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Overlap of the holds of a key.
#[derive(Default)]
struct Overlap {
    since: Option<Instant>,
    longest: Duration,
    holders: Vec<String>,
}

fn run() -> std::io::Result<i32> {
    let trouble = has_trouble();
    let record = Record::create()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let directory = work_directory()?;
    let (store, targets) = runtime.block_on(async {
        let store = FakeStore::start().await;
        let mut targets = Vec::new();
        for (service, count) in [("boards", 4), ("crews", 2)] {
            for number in 0..count {
                let options = TargetOptions {
                    id: format!("{service}-{number}"),
                    service: service.into(),
                    sharded: service == "boards",
                    ..TargetOptions::default()
                };
                let name = options.id.clone();
                let target = FakeTarget::start(options).await;
                target.publish_report(&store, "ready");
                targets.push((name, target));
            }
        }
        store.put("op", "config", build_config("r1", "crews").as_bytes());
        (store, targets)
    });
    let start = Instant::now();
    let mut instances = Vec::new();
    for number in 0..SERVED {
        let name = format!("i{number}");
        instances.push(Instance::start(&directory, &name, "west", store.address(), true, Output::ToFile)?);
    }
    let path = StorePath::start(store.address(), !trouble)?;
    instances.push(Instance::start(&directory, "late", "west", path.address, true, Output::ToFile)?);
    record.say(match trouble {
        true => "first start of the whole system; the store turns the instance `late` away",
        false => "first start of the whole system",
    });
    let serves = |instance: &Instance| {
        let mut call = Call::get("/remove/x", &format!("start-{}", instance.name));
        (call.method, call.key) = ("POST", Some(7));
        instance.is_ready() && matches!(call.send(instance.callers, Duration::from_secs(2)), Outcome::Answer { status: 200, .. })
    };
    if !wait_until(Duration::from_secs(15), || instances[..SERVED].iter().all(&serves)) {
        record.say("the instances do not serve");
        return Ok(NOT_RUN);
    }
    record.say(format!("{SERVED} instances serve {} ms after the start", start.elapsed().as_millis()));
    // Callers ask for keys that are close together, so that keys are moved to even out the load.
    let stopped = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for number in 0..12u64 {
        let (at, stopped, record) = (instances[number as usize % SERVED].callers, stopped.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let mut counts: BTreeMap<String, u64> = BTreeMap::new();
            let mut sent = 0u64;
            while !stopped.load(Ordering::Relaxed) {
                let mut call = Call::get("/remove/x", &format!("caller-{number}-{sent}"));
                (call.method, call.key) = ("POST", Some((number * 1300 + sent % 13 * 100) as u16));
                let outcome = call.send(at, Duration::from_secs(2)).label();
                record.line(format!("{} for key {}: {outcome}", call.id, call.key.unwrap_or_default()));
                *counts.entry(outcome).or_default() += 1;
                sent += 1;
                thread::sleep(Duration::from_millis(40));
            }
            counts
        }));
    }
    // Watches who holds the keys.
    let boards: Vec<&(String, FakeTarget)> = targets.iter().filter(|(name, _)| name.starts_with("boards")).collect();
    let watched = thread::scope(|scope| {
        let watch = scope.spawn(|| {
            let mut overlaps: BTreeMap<u64, Overlap> = BTreeMap::new();
            while !stopped.load(Ordering::Relaxed) {
                for key in (0..65_536).step_by(KEY_STEP as usize) {
                    let holders: Vec<&str> =
                        boards.iter().filter(|it| it.1.has_grant(key)).map(|it| it.0.as_str()).collect();
                    let overlap = overlaps.entry(key).or_default();
                    if holders.len() < 2 {
                        overlap.since = None;
                        continue;
                    }
                    let since = *overlap.since.get_or_insert_with(|| {
                        record.line(format!("key {key} is held by {}", holders.join(" and ")));
                        Instant::now()
                    });
                    if since.elapsed() > overlap.longest {
                        overlap.longest = since.elapsed();
                        overlap.holders = holders.iter().map(|it| (*it).to_owned()).collect();
                    }
                }
                thread::sleep(LOOK_PAUSE);
            }
            overlaps
        });
        thread::sleep(TRAFFIC_TIME - BACKUP_AGE);
        let backup = store.back_up();
        thread::sleep(BACKUP_AGE);
        if trouble {
            record.say(format!("{} ms after the start the store is away", start.elapsed().as_millis()));
            store.set_mode(StoreMode::Unavailable);
            path.set_open(true);
            thread::sleep(AWAY_TIME);
            let lost = store.back_up();
            store.restore(&backup);
            store.set_mode(StoreMode::Normal);
            record.say("the store is back from a copy, and serves all instances");
            thread::sleep(REWRITE_DELAY);
            store.write_again(&lost, &backup);
            record.say("operators and targets have written again what the copy lacked");
        } else {
            thread::sleep(AWAY_TIME + REWRITE_DELAY);
        }
        thread::sleep(WATCH_TIME);
        stopped.store(true, Ordering::Relaxed);
        watch.join().expect("the watch ends")
    });
    for counts in callers.into_iter().filter_map(|it| it.join().ok()) {
        record.line(format!("answers to a caller: {counts:?}"));
    }
    let broken: Vec<(&u64, &Overlap)> = watched.iter().filter(|(_, it)| it.longest > MAX_OVERLAP).collect();
    if let Some((key, worst)) = watched.iter().max_by_key(|(_, it)| it.longest) {
        record.say(format!(
            "{} of {} watched keys had two holders at a time for over half a second; the longest time is {} ms, \
             for key {key} at {}",
            broken.len(),
            watched.len(),
            worst.longest.as_millis(),
            worst.holders.join(" and ")
        ));
    }
    for instance in &instances {
        let log = std::fs::read_to_string(directory.join(format!("{}.log", instance.name))).unwrap_or_default();
        for line in log.lines().filter(|it| it.contains("CC0608") || it.contains("CC0609") || it.contains("CC0617")) {
            record.line(format!("log of {}: {line}", instance.name));
        }
    }
    let code = if broken.is_empty() { HELD } else { BROKEN };
    drop(instances);
    let _ = std::fs::remove_dir_all(&directory);
    Ok(code)
}
