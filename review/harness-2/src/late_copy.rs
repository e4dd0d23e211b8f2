//! OWNER: a backend that has just restarted at its address answers 421 to a grant for its former life, and sends that
//! answer once more, late, where the answer to its own first grant is expected.

use {
    crate::{
        Verdict,
        backend::{Backend, KEYS, Options},
        deployment::{self, Instance},
        record::Record,
        store::Store,
    },
    std::{
        fs,
        path::Path,
        sync::{Arc, Mutex, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "huvo11a";
const ZONES: [&str; 3] = ["sapporo", "otaru", "ebetsu"];
const BACKENDS: usize = 5;
/// Interval at which a backend writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time after a backend's last report at which its entry is removed: three intervals.
const EXPIRY: Duration = Duration::from_millis(2610);
/// Time for which a crashed backend is down.
const DOWN: Duration = Duration::from_millis(300);
/// Time for which a backend that has started is cold.
const COLD: Duration = Duration::from_secs(3);
/// Time for which two backends may hold the same keys.
const LIMIT: Duration = Duration::from_millis(500);
/// Crashes, one after the other, and the time between them.
const CRASHES: usize = 4;
const PAUSE: Duration = Duration::from_secs(12);

type Backends = Arc<Mutex<Vec<Arc<Backend>>>>;

pub fn run((repository, folder): (&Path, &Path), has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        return Verdict::NotRun("record.txt cannot be written".into());
    };
    let record = Arc::new(record);
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&directory) {
        return Verdict::NotRun(error.to_string());
    }
    let verdict = play(repository, &directory, &record, has_trouble);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&directory);
    }
    verdict
}

fn play(repository: &Path, directory: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let backends: Backends = Arc::default();
    for number in 0..BACKENDS {
        let options = Options {
            id: format!("i-{number}a"),
            address: "127.0.0.1:0".parse().expect("an address"),
            zone: ZONES[number % ZONES.len()].into(),
            cold: Duration::ZERO,
            copies_421: false,
        };
        let backend = Backend::start(options, record.clone());
        backends.lock().unwrap().push(backend);
    }
    report(&store, &backends);
    deployment::write_config(&store, record);
    let mut instances = Vec::new();
    for number in 0..3 {
        match Instance::start(repository, directory, number, ZONES[number], store.address) {
            Ok(instance) => instances.push(instance),
            Err(error) => return Verdict::NotRun(format!("an instance: {error}")),
        }
    }
    if !instances
        .iter()
        .all(|it| it.wait_until_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("the instances are not ready within 20 s".into());
    }
    record.line("all instances are ready");
    let overlap: Arc<Mutex<Option<String>>> = Arc::default();
    watch(&backends, &overlap, record);
    let addresses: Vec<_> = instances.iter().map(|it| it.callers).collect();
    deployment::start_callers(&addresses, record);
    thread::sleep(Duration::from_secs(6));
    for number in 0..CRASHES {
        let ended = backends.lock().unwrap()[number].clone();
        ended.crash();
        thread::sleep(DOWN);
        // A new lifetime, with a new id, at the same address.
        let options = Options {
            id: format!("i-{number}b"),
            address: ended.address,
            zone: ended.zone.clone(),
            cold: COLD,
            copies_421: has_trouble,
        };
        backends
            .lock()
            .unwrap()
            .push(Backend::start(options, record.clone()));
        let end = Instant::now() + PAUSE;
        while Instant::now() < end {
            if let Some(text) = overlap.lock().unwrap().as_ref() {
                record.line(&format!("BROKEN, OWNER: {text}"));
                report_answers(&backends, record);
                return Verdict::Broken;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    report_answers(&backends, record);
    record.line("held");
    Verdict::Held
}

/// Lets the backends write their entries, and removes those of backends that have ended.
fn report(store: &Store, backends: &Backends) {
    let (store, backends) = (store.clone(), backends.clone());
    let mut last = std::collections::BTreeMap::new();
    let mut round = move || {
        for backend in backends.lock().unwrap().iter() {
            let is_up = backend.is_up.load(Ordering::SeqCst);
            let at = last.get(&backend.id).copied();
            let elapsed = at.map(|at: Instant| at.elapsed());
            if is_up && elapsed.is_none_or(|it| it >= HEARTBEAT) {
                store.put("servers", &backend.id, Some(&backend.entry(SERVICE)));
                last.insert(backend.id.clone(), Instant::now());
            } else if !is_up && elapsed.is_some_and(|it| it >= EXPIRY) {
                store.put("servers", &backend.id, None);
                last.remove(&backend.id);
            }
        }
    };
    round();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(10));
            round();
        }
    });
}

/// Looks for keys that two backends that are up hold for longer than [`LIMIT`].
fn watch(backends: &Backends, overlap: &Arc<Mutex<Option<String>>>, record: &Arc<Record>) {
    let (backends, overlap, record) = (backends.clone(), overlap.clone(), record.clone());
    let mut since: Vec<Option<Instant>> = vec![None; KEYS];
    let mut is_told = false;
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(20));
            let all: Vec<Arc<Backend>> = backends.lock().unwrap().clone();
            let mut counts = vec![0u8; KEYS];
            all.iter().for_each(|it| it.count_held(&mut counts));
            let now = Instant::now();
            for key in 0..KEYS {
                since[key] = (counts[key] > 1).then(|| since[key].unwrap_or(now));
            }
            let held_twice = since.iter().flatten().count();
            if held_twice > 0 && !is_told {
                is_told = true;
                record.line(&format!("{held_twice} keys are held by two backends"));
            }
            let found = since
                .iter()
                .position(|it| it.is_some_and(|it| now - it > LIMIT));
            if let Some(key) = found {
                let holders = all.iter().filter_map(|it| Some((&it.id, it.fence(key)?)));
                let holders: Vec<String> = holders
                    .map(|(id, fence)| format!("{id} (fence {fence})"))
                    .collect();
                let text = format!(
                    "key {key} has been held for over {} ms by {}; keys held twice: {held_twice}",
                    LIMIT.as_millis(),
                    holders.join(" and ")
                );
                overlap.lock().unwrap().get_or_insert(text);
            }
        }
    });
}

/// Records how many answers there were, and how many of them were sent a second time.
fn report_answers(backends: &Backends, record: &Record) {
    let all = backends.lock().unwrap();
    let answers: u32 = all.iter().map(|it| it.answers.load(Ordering::SeqCst)).sum();
    let copies: u32 = all.iter().map(|it| it.copies.load(Ordering::SeqCst)).sum();
    record.line(&format!(
        "{answers} answers of backends, {copies} of them sent a second time"
    ));
}
