//! Failure drills: the time until keys are served again and until nothing new is sent.

use {
    crate::{
        caller::{Plan, Sent, kinds, start},
        clock::micros,
        cluster::{Cluster, Layout},
        measures::recovery,
        platform::{Counts, Faults as Platform},
        target::options::Faults,
    },
    eyre::{Result, eyre},
    std::{collections::BTreeMap, thread, time::Duration},
};

/// Load before the fault.
const BEFORE: Duration = Duration::from_millis(500);
/// Load after the fault.
const AFTER: Duration = Duration::from_millis(3500);
/// Pause between two drills.
const PAUSE: Duration = Duration::from_secs(4);
/// Pause between two looks at the version in force.
const LOOK: Duration = Duration::from_millis(5);
/// Bound of a look for the version in force.
const SPREAD: Duration = Duration::from_secs(20);
/// Time over which the calls of the table are counted.
const COUNTED: Duration = Duration::from_secs(10);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Document whose addresses are replaced.
    pub document: String,
    /// Instances.
    pub instances: usize,
    /// Runs of each drill.
    pub runs: usize,
    /// Requests a second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Victim {
    Owner,
    Holder,
    Planner,
}

/// Runs every drill and prints tables.
///
/// # Errors
///
/// Fails if the deployment does not start or an operators' command fails.
pub fn run(options: &Options) -> Result<()> {
    let mut cluster = Cluster::start(&Layout {
        document: options.document.clone(),
        instances: options.instances,
        targets: vec!["--service-ms=2".to_owned(), "--warm".to_owned()],
        threads: 1,
    })?;
    rates(&cluster)?;
    spread(&cluster, options.runs)?;
    println!("\n| drill | table | runs | served again, median ms | max ms | requests held up |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut next = 0;
    for victim in [Victim::Owner, Victim::Holder, Victim::Planner] {
        for frozen in [false, true] {
            for down in [false, true] {
                let mut seen = Vec::new();
                for _ in 0..options.runs {
                    next += 1;
                    seen.push(drill(&mut cluster, options, victim, (frozen, down), next)?);
                }
                report(victim, (frozen, down), seen);
            }
        }
    }
    withdrawals(&cluster, options)
}

fn report(victim: Victim, (frozen, down): (bool, bool), mut seen: Vec<(Duration, usize)>) {
    seen.sort();
    let ms = |place: usize| seen[place].0.as_secs_f64() * 1000.0;
    println!(
        "| {victim:?} {} | {} | {} | {:.0} | {:.0} | {} |",
        if frozen { "frozen" } else { "killed" },
        if down { "down" } else { "up" },
        seen.len(),
        ms(seen.len() / 2),
        ms(seen.len() - 1),
        seen.iter().map(|(_, count)| count).sum::<usize>(),
    );
}

fn plan(cluster: &Cluster, options: &Options, time: Duration) -> Plan {
    let mix = [("removal", 0.0), ("booking", 0.0), ("status", 0.0)];
    let mix = mix.map(|(name, weight)| (name.to_owned(), weight)).into();
    Plan {
        entries: cluster.entries(),
        kinds: kinds(&cluster.document, &mix),
        rate: options.rate,
        time,
        skew: 0.0,
        ..Plan::default()
    }
}

/// Runs one drill; returns the time until the last key was served again, and what was held up.
fn drill(
    cluster: &mut Cluster,
    options: &Options,
    victim: Victim,
    (frozen, down): (bool, bool),
    number: usize,
) -> Result<(Duration, usize)> {
    let plan = plan(cluster, options, BEFORE + AFTER);
    let table = |cluster: &Cluster, down| {
        let faults = Platform {
            down,
            ..Platform::default()
        };
        cluster.post(
            &cluster.platform,
            "/-/faults",
            &serde_json::to_value(faults)?,
        )
    };
    let planner = planner(cluster)?;
    let instance = match victim {
        Victim::Planner => planner,
        _ => (planner + 1 + number % (cluster.instances.len() - 1)) % cluster.instances.len(),
    };
    let target = cluster.targets[number % cluster.targets.len()].clone();
    table(cluster, down)?;
    let load = start(&plan);
    thread::sleep(BEFORE);
    let at = micros();
    match (victim, frozen) {
        (Victim::Owner, true) => cluster.fault(&target, &freeze(true))?,
        (Victim::Owner, false) => {
            let kill = Faults {
                kill: true,
                ..Faults::default()
            };
            cluster.fault(&target, &kill)?;
        }
        (_, true) => signal(cluster, instance, "STOP")?,
        (_, false) => cluster.instances[instance].process = None,
    }
    let tally = load.join()?;
    table(cluster, false)?;
    match (victim, frozen) {
        (Victim::Owner, true) => cluster.fault(&target, &freeze(false))?,
        (Victim::Owner, false) => {}
        (_, true) => signal(cluster, instance, "CONT")?,
        (_, false) => cluster.start_instance(instance)?,
    }
    thread::sleep(PAUSE);
    let seen = through_others(&tally.history, &cluster.instances[instance].name);
    for sent in seen
        .iter()
        .filter(|sent| sent.answered > at && sent.reason.is_some())
    {
        let after = (sent.answered - at) / 1000;
        eprintln!(
            "{victim:?} {frozen} {down}: {} after {after} ms: {:?}",
            sent.key, sent.reason
        );
    }
    Ok(recovery(&plan.kinds, &seen, at))
}

/// Leaves out what was lost in the instance itself, which is the caller's to send again.
fn through_others(history: &[Sent], lost: &str) -> Vec<Sent> {
    let kept = |sent: &&Sent| sent.instance.as_deref().is_some_and(|name| name != lost);
    history.iter().filter(kept).cloned().collect()
}

fn freeze(on: bool) -> Faults {
    Faults {
        freeze: Some(on),
        ..Faults::default()
    }
}

fn signal(cluster: &Cluster, place: usize, name: &str) -> Result<()> {
    let process = cluster.instances[place].process.as_ref();
    process
        .ok_or_else(|| eyre!("instance is not running"))?
        .signal(name)
}

fn planner(cluster: &Cluster) -> Result<usize> {
    for place in 0..cluster.instances.len() {
        let Ok(status) = cluster.status(place) else {
            continue;
        };
        let name = status["planner"].as_str().unwrap_or_default();
        let known = cluster
            .instances
            .iter()
            .position(|instance| instance.name == name);
        if let Some(known) = known {
            return Ok(known);
        }
    }
    Err(eyre!("no instance knows the planner"))
}

fn counts(cluster: &Cluster) -> Result<Counts> {
    cluster.get(&cluster.platform, "/-/counts")
}

fn rates(cluster: &Cluster) -> Result<()> {
    println!("| table | reads/s | writes/s |\n| --- | --- | --- |");
    for name in ["calm", "a data centre withdrawn and restored"] {
        let before = counts(cluster)?;
        if name != "calm" {
            cluster.operate(&["withdraw", "hk-2"])?;
            thread::sleep(COUNTED / 2);
            cluster.operate(&["restore", "hk-2"])?;
            thread::sleep(COUNTED / 2);
        } else {
            thread::sleep(COUNTED);
        }
        let after = counts(cluster)?;
        let rate = |now: u64, then: u64| (now - then) as f64 / COUNTED.as_secs_f64();
        let (reads, writes) = (
            rate(after.reads, before.reads),
            rate(after.writes, before.writes),
        );
        println!("| {name} | {reads:.1} | {writes:.1} |");
    }
    Ok(())
}

/// Prints the time from the start of the operators' command until all instances follow it.
fn spread(cluster: &Cluster, runs: usize) -> Result<()> {
    let mut times = Vec::new();
    for run in 0..runs * 2 {
        let begin = micros();
        cluster.operate(&[if run % 2 == 0 { "withdraw" } else { "restore" }, "hk-3"])?;
        let version = |place| {
            cluster
                .status(place)
                .map(|s| s["config"].as_u64().unwrap_or(0))
        };
        let shown: serde_json::Value =
            serde_json::from_str(&cluster.operate(&["show", "--json"])?)?;
        let wanted = shown["version"].as_u64().unwrap_or(u64::MAX);
        for place in 0..cluster.instances.len() {
            while version(place)? < wanted {
                if micros() - begin > SPREAD.as_micros() as u64 {
                    return Err(eyre!("version {wanted} does not spread"));
                }
                thread::sleep(LOOK);
            }
        }
        times.push(micros() - begin);
        thread::sleep(PAUSE);
    }
    times.sort();
    let ms = |place: usize| times[place] as f64 / 1000.0;
    let (median, most) = (ms(times.len() / 2), ms(times.len() - 1));
    println!("\nConfiguration in force on all: median {median:.0} ms, max {most:.0} ms");
    Ok(())
}

/// Prints the time from a withdrawal, or from a target's leaving, until its last new work.
fn withdrawals(cluster: &Cluster, options: &Options) -> Result<()> {
    let (mut withdrawn, mut left) = (Vec::new(), Vec::new());
    // The last target stands in the data centre that is withdrawn here.
    let alive: Vec<_> = cluster
        .targets
        .iter()
        .rev()
        .skip(1)
        .take(options.runs)
        .cloned()
        .collect();
    for target in alive {
        let load = start(&plan(cluster, options, BEFORE + AFTER));
        thread::sleep(BEFORE);
        let begin = micros();
        cluster.operate(&["withdraw", "hk-4"])?;
        load.join()?;
        let records = cluster.records()?;
        let gone = records
            .iter()
            .filter(|record| &*record.data_centre == "hk-4");
        let last = gone
            .filter_map(|record| Some(record.runs.back()?.start))
            .max();
        withdrawn.push(last.unwrap_or(0).saturating_sub(begin));
        cluster.operate(&["restore", "hk-4"])?;
        thread::sleep(PAUSE);
        let load = start(&Plan {
            kinds: kinds(&cluster.document, &BTreeMap::new()),
            ..plan(cluster, options, BEFORE + AFTER)
        });
        thread::sleep(BEFORE);
        let begin = micros();
        cluster.fault(
            &target,
            &Faults {
                leave: Some(true),
                ..Faults::default()
            },
        )?;
        load.join()?;
        let last = cluster
            .record(&target)?
            .runs
            .back()
            .map_or(0, |run| run.start);
        left.push(last.saturating_sub(begin));
        cluster.fault(
            &target,
            &Faults {
                leave: Some(false),
                ..Faults::default()
            },
        )?;
        thread::sleep(PAUSE);
    }
    println!("\n| until no new work | runs | median ms | max ms |\n| --- | --- | --- | --- |");
    for (name, mut times) in [
        ("data centre withdrawn", withdrawn),
        ("target leaving", left),
    ] {
        times.sort();
        let ms = |place: usize| times[place] as f64 / 1000.0;
        let (median, most) = (ms(times.len() / 2), ms(times.len() - 1));
        println!("| {name} | {} | {median:.0} | {most:.0} |", times.len());
    }
    Ok(())
}
