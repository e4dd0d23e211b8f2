//! Histories of real processes under faults keep every promise.
//!
//! The programs of the workspace must be built: `cargo test --workspace` does it.

use {
    cowslip_decide::verdict::Verdict,
    cowslip_standins::{
        caller::{Plan, Sent, Tally, kinds, start},
        clock::micros,
        cluster::{Cluster, Layout},
        measures::{Evidence, Withdrawal, check},
        platform::Faults as Platform,
        target::options::Faults,
    },
    std::{
        collections::BTreeMap,
        fmt::Write,
        sync::{Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Keeps the tests from loading the machine all at once.
static TURN: Mutex<()> = Mutex::new(());

/// Bound of everything that must happen at some time.
const EVENTUALLY: Duration = Duration::from_secs(30);

struct World {
    cluster: Cluster,
    plan: Plan,
    _turn: MutexGuard<'static, ()>,
}

fn document() -> String {
    let route = |name: &str, method: &str, priority: &str, repeatable: bool| {
        format!(
            "[[service.route]]\nname = \"{name}\"\nmethod = \"{method}\"\n\
             priority = \"{priority}\"\nrepeatable = {repeatable}\ndeadline_ms = 2000\n"
        )
    };
    let mut text = String::new();
    for (service, divided, count) in [("registry", true, 5), ("dispatch", false, 3)] {
        let _ = write!(
            text,
            "[[service]]\nname = \"{service}\"\ndivided = {divided}\n"
        );
        text += &route("lookup", "GET", "low", true);
        text += &route("order", "POST", "high", false);
        for number in 1..=count {
            let checks = divided && number < count;
            let _ = write!(
                text,
                "[[service.target]]\nname = \"{service}-{number}\"\naddress = \"10.0.{count}.{number}:80\"\n\
                 data_centre = \"dc-{}\"\nslots = 2\ncold_limit = 1\nconnections = 50\nchecks_fence = {checks}\n",
                number % 3 + 1
            );
        }
    }
    text
}

impl World {
    fn start() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let cluster = Cluster::start(&Layout {
            document: document(),
            instances: 3,
            targets: vec!["--service-ms=4".to_owned()],
            threads: 1,
        })
        .unwrap();
        let mix = BTreeMap::from([("order".to_owned(), 50.0), ("lookup".to_owned(), 50.0)]);
        let plan = Plan {
            entries: cluster.entries(),
            kinds: kinds(&cluster.document, &mix),
            rate: 120.0,
            time: Duration::from_secs(7),
            keys: 200,
            repeats: 0.2,
            ..Plan::default()
        };
        Self {
            cluster,
            plan,
            _turn: turn,
        }
    }

    /// Runs the load, brings about `faults` a second later, and checks the promises.
    fn run(&mut self, faults: impl FnOnce(&mut Cluster)) -> Tally {
        let load = start(&self.plan);
        thread::sleep(Duration::from_secs(1));
        faults(&mut self.cluster);
        let tally = load.join().unwrap();
        self.check(&tally, &[]);
        tally
    }

    fn check(&self, tally: &Tally, withdrawals: &[Withdrawal]) {
        let broken = check(&Evidence {
            kinds: &self.plan.kinds,
            history: &tally.history,
            records: &self.cluster.records().unwrap(),
            withdrawals,
            notice: Duration::from_secs(5),
        });
        let shown: Vec<_> = broken.iter().map(|broken| broken.to_string()).collect();
        assert!(broken.is_empty(), "{shown:#?}");
        let bad = |sent: &&Sent| sent.reason.as_deref() == Some("bad-request");
        assert_eq!(tally.history.iter().find(bad), None);
        let ran = |sent: &&Sent| sent.verdict == Some(Verdict::Ran);
        assert!(tally.history.iter().filter(ran).count() > 0);
    }

    /// Waits until every key is served through every instance that runs.
    fn recovers(&self) {
        let end = Instant::now() + EVENTUALLY;
        let running = |place: &usize| self.cluster.instances[*place].process.is_some();
        for place in (0..3).filter(running) {
            for key in 0..30 {
                let path = format!("/registry/lookup/k{key}");
                while !self.cluster.served(place, &path, "GET") {
                    assert!(Instant::now() < end, "{path} at instance {place}");
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }
}

fn platform(cluster: &Cluster, faults: Platform) {
    let body = serde_json::to_value(faults).unwrap();
    cluster.post(&cluster.platform, "/-/faults", &body).unwrap();
}

fn nap(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

#[test]
fn connection_stays_good_beyond_the_bounds_of_one_head() {
    let mut world = World::start();
    world
        .plan
        .kinds
        .retain(|kind| kind.service == "registry" && kind.repeatable);
    world.plan.entries.truncate(1);
    world.plan.rate = 200.0;
    world.run(|_| {});
}

#[test]
fn killed_instance_and_target() {
    let mut world = World::start();
    world.run(|cluster| {
        cluster.instances[0].process = None;
        nap(1500);
        let kill = Faults {
            kill: true,
            ..Faults::default()
        };
        cluster.fault(&cluster.targets[1], &kill).unwrap();
        nap(1500);
        cluster.start_instance(0).unwrap();
    });
    world.recovers();
}

#[test]
fn frozen_instance_and_targets_that_come_back() {
    let mut world = World::start();
    world.run(|cluster| {
        let freeze = |on| Faults {
            freeze: Some(on),
            ..Faults::default()
        };
        let target = cluster.targets[0].clone();
        cluster.fault(&target, &freeze(true)).unwrap();
        nap(900);
        let process = cluster.instances[1].process.as_ref().unwrap();
        process.signal("STOP").unwrap();
        nap(1200);
        cluster.fault(&target, &freeze(false)).unwrap();
        process.signal("CONT").unwrap();
        nap(500);
        let silence = Faults {
            silence: true,
            ..Faults::default()
        };
        cluster.fault(&cluster.targets[2], &silence).unwrap();
        let restart = Faults {
            restart: true,
            ..Faults::default()
        };
        cluster.fault(&cluster.targets[3], &restart).unwrap();
    });
    world.recovers();
}

#[test]
fn table_down_while_an_instance_and_an_owner_are_lost() {
    let mut world = World::start();
    world.run(|cluster| {
        platform(
            cluster,
            Platform {
                down: true,
                ..Platform::default()
            },
        );
        nap(500);
        let kill = Faults {
            kill: true,
            ..Faults::default()
        };
        cluster.fault(&cluster.targets[0], &kill).unwrap();
        cluster.instances[2].process = None;
        nap(2500);
        platform(cluster, Platform::default());
    });
    world.recovers();
}

#[test]
fn answers_of_the_table_and_of_targets_are_lost() {
    let mut world = World::start();
    world.run(|cluster| {
        let faults = Platform {
            lose_answers: true,
            slow_ms: 30,
            ..Platform::default()
        };
        platform(cluster, faults);
        let cut = |share| Faults {
            cut: Some(share),
            ..Faults::default()
        };
        for target in &cluster.targets {
            cluster.fault(target, &cut(0.1)).unwrap();
        }
        nap(2500);
        platform(cluster, Platform::default());
        for target in &cluster.targets {
            cluster.fault(target, &cut(0.0)).unwrap();
        }
    });
    world.recovers();
}

#[test]
fn racing_operators_and_a_withdrawal() {
    let world = World::start();
    let load = start(&world.plan);
    nap(500);
    let cluster = &world.cluster;
    let race = |data_centre| {
        cluster
            .command(&["withdraw", data_centre, "--expect", "1"])
            .unwrap()
    };
    let mut first = race("dc-1").spawn().unwrap();
    let mut second = race("dc-2").spawn().unwrap();
    let codes = [first.wait().unwrap().code(), second.wait().unwrap().code()];
    let winner = codes.iter().position(|code| *code == Some(0)).unwrap();
    assert_eq!(codes[1 - winner], Some(3), "{codes:?}");
    let mut withdrawal = Withdrawal {
        data_centre: ["dc-1", "dc-2"][winner].to_owned(),
        from: micros(),
        until: u64::MAX,
    };
    load.join().unwrap();
    let load = start(&Plan {
        seed: 100,
        ..world.plan.clone()
    });
    nap(1000);
    withdrawal.until = micros();
    cluster
        .operate(&["restore", &withdrawal.data_centre])
        .unwrap();
    let tally = load.join().unwrap();
    world.check(&tally, &[withdrawal]);
    for place in 0..3 {
        assert_eq!(cluster.status(place).unwrap()["config"], 3);
    }
}
