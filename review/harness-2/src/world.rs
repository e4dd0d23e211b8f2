//! What the cases have in common: backends that report themselves, and the check of the rule on sole ownership.

use {
    crate::{
        Verdict,
        backend::{Backend, KEYS, Options},
        deployment::{self, Instance},
        record::Record,
        store::{Entrance, Store},
    },
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Service that is divided by key.
pub const SERVICE: &str = "huvo11a";
/// Services that are not.
pub const OTHER_SERVICES: [&str; 3] = ["wuno96b", "dele69a", "xano55c"];
pub const ZONES: [&str; 3] = ["sapporo", "otaru", "ebetsu"];
const BACKENDS: usize = 5;
/// Most instances.
const INSTANCES: usize = 4;
/// Interval at which a backend writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time after a backend's last report at which its entry is removed: three intervals.
const EXPIRY: Duration = Duration::from_millis(2610);
/// Time for which two backends may hold the same keys.
const LIMIT: Duration = Duration::from_millis(500);

pub type Backends = Arc<Mutex<Vec<Arc<Backend>>>>;

/// A store, backends, and the check of what they hold.
pub struct World {
    pub repository: PathBuf,
    /// For settings and logs.
    pub directory: PathBuf,
    pub record: Arc<Record>,
    pub store: Store,
    pub backends: Backends,
    /// Where each instance reaches the store.
    pub entrances: Vec<Entrance>,
    overlap: Arc<Mutex<Option<String>>>,
}

/// Plays a case in a world of its own.
pub fn play(
    (repository, folder): (&Path, &Path),
    case: impl FnOnce(&World) -> Result<bool, String>,
) -> Verdict {
    let world = match World::start(repository, folder) {
        Ok(world) => world,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let held = case(&world);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&world.directory);
    }
    world.report_answers();
    match held {
        Ok(true) => {
            world.record.line("held");
            Verdict::Held
        }
        Ok(false) => Verdict::Broken,
        Err(cause) => Verdict::NotRun(cause),
    }
}

impl World {
    fn start(repository: &Path, folder: &Path) -> std::io::Result<Self> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let store = Store::start();
        let world = Self {
            repository: repository.into(),
            directory,
            record: record.clone(),
            store: store.clone(),
            backends: Arc::default(),
            entrances: (0..INSTANCES).map(|_| store.open()).collect(),
            overlap: Arc::default(),
        };
        for number in 0..BACKENDS {
            world.add_backend(Options {
                id: format!("i-{number}a"),
                service: SERVICE.into(),
                is_sharded: true,
                address: deployment::free_address(),
                zone: ZONES[number % ZONES.len()].into(),
                cold: Duration::ZERO,
                copies_421: false,
            });
        }
        report(&world.store, &world.backends);
        watch(&world.backends, &world.overlap, &record);
        deployment::write_config(&world.store, &record);
        Ok(world)
    }

    pub fn add_backend(&self, options: Options) -> Arc<Backend> {
        let backend = Backend::start(options, self.record.clone());
        self.backends.lock().unwrap().push(backend.clone());
        backend
    }

    /// Returns the number of the instance that last wrote to the store under a condition.
    pub fn leader(&self) -> usize {
        let wrote_at = |number: &usize| *self.entrances[*number].wrote_at.lock().unwrap();
        (0..self.entrances.len()).max_by_key(wrote_at).unwrap_or(0)
    }

    pub fn backend(&self, index: usize) -> Arc<Backend> {
        self.backends.lock().unwrap()[index].clone()
    }

    /// Starts instances with so much of a core, and callers, and waits until all instances are ready.
    pub fn start_instances(
        &self,
        count: usize,
        cpu: &str,
        callers: usize,
    ) -> Result<Vec<Instance>, String> {
        let mut instances = Vec::new();
        for number in 0..count {
            instances.push(self.start_instance(number, cpu)?);
        }
        self.await_ready(&instances)?;
        let addresses: Vec<_> = instances.iter().map(|it| it.callers).collect();
        deployment::start_callers(&addresses, callers, &self.record);
        Ok(instances)
    }

    fn start_instance(&self, number: usize, cpu: &str) -> Result<Instance, String> {
        let zone = ZONES[number % ZONES.len()];
        Instance::start(
            &self.repository,
            &self.directory,
            number,
            (zone, cpu),
            self.entrances[number].address,
        )
        .map_err(|error| format!("an instance: {error}"))
    }

    fn await_ready(&self, instances: &[Instance]) -> Result<(), String> {
        let is_ready = |it: &Instance| it.wait_until_ready(Duration::from_secs(20));
        if !instances.iter().all(is_ready) {
            return Err("the instances are not ready within 20 s".into());
        }
        self.record.line("all instances are ready");
        Ok(())
    }

    /// Waits for some time; returns whether two backends held the same keys for too long.
    pub fn is_broken_within(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Some(text) = self.overlap.lock().unwrap().as_ref() {
                self.record.line(&format!("BROKEN, OWNER: {text}"));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Records how many answers there were, and how many of them were sent a second time.
    fn report_answers(&self) {
        let all = self.backends.lock().unwrap();
        let answers: u32 = all.iter().map(|it| it.answers.load(Ordering::SeqCst)).sum();
        let copies: u32 = all.iter().map(|it| it.copies.load(Ordering::SeqCst)).sum();
        self.record.line(&format!(
            "{answers} answers of backends, {copies} of them sent a second time"
        ));
    }
}

/// Lets the backends write their entries, and removes those of backends that do not report themselves.
fn report(store: &Store, backends: &Backends) {
    let (store, backends) = (store.clone(), backends.clone());
    let mut last = BTreeMap::new();
    let mut round = move || {
        for backend in backends.lock().unwrap().iter() {
            let reports =
                backend.is_up.load(Ordering::SeqCst) && !backend.is_cut.load(Ordering::SeqCst);
            let at = last.get(&backend.id).copied();
            let elapsed = at.map(|at: Instant| at.elapsed());
            if reports && elapsed.is_none_or(|it| it >= HEARTBEAT) {
                store.put("servers", &backend.id, Some(&backend.entry()));
                last.insert(backend.id.clone(), Instant::now());
            } else if !reports && elapsed.is_some_and(|it| it >= EXPIRY) {
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
            let is_over = |it: &Option<Instant>| it.is_some_and(|it| now - it > LIMIT);
            if let Some(key) = since.iter().position(is_over) {
                let holders = all.iter().filter_map(|it| Some((&it.id, it.fence(key)?)));
                let holders = holders.map(|(id, fence)| format!("{id} (fence {fence})"));
                let holders: Vec<String> = holders.collect();
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
