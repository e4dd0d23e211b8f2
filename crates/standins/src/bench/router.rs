//! What one instance adds to a direct call, and what it costs.

use {
    crate::{
        caller::{Plan, Report, kinds, start},
        cluster::{Cluster, Layout},
    },
    eyre::{Result, eyre},
    std::{collections::BTreeMap, fmt::Write, thread, time::Duration},
};

/// Targets of the benchmark.
const TARGETS: usize = 30;
/// Requests that each target runs at the same time.
const SLOTS: usize = 16;
/// Time for connections and limits to grow before a measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests a second, one measurement each.
    pub rates: Vec<f64>,
    /// Time of each measurement.
    pub time: Duration,
    /// Threads of the load.
    pub threads: usize,
    /// Threads of the targets.
    pub targets: usize,
}

/// Measures each rate straight to the targets and through one instance, and prints a table.
///
/// # Errors
///
/// Fails if the deployment does not start.
pub fn run(options: &Options) -> Result<()> {
    let layout = Layout {
        document: document(),
        instances: 1,
        targets: [
            "--service-ms=1",
            "--spread=0",
            "--warm",
            "--record=1000",
            "--queue=64",
        ]
        .map(str::to_owned)
        .to_vec(),
        threads: options.targets,
    };
    let cluster = Cluster::start(&layout)?;
    println!(
        "| path | rate | ran | not ran | p50 ms | p99 ms | p99.9 ms | core | µs CPU/request | MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in &options.rates {
        let plan = Plan {
            kinds: kinds(&cluster.document, &BTreeMap::new()),
            rate: *rate,
            time: options.time,
            threads: options.threads,
            skew: 0.0,
            history: false,
            ..Plan::default()
        };
        let targets = cluster.targets.iter().map(|target| target.address.parse());
        let direct = Plan {
            entries: targets.collect::<Result<_, _>>()?,
            direct: true,
            ..plan.clone()
        };
        measure(&cluster, "direct", &direct)?;
        let routed = Plan {
            entries: cluster.entries(),
            ..plan
        };
        measure(&cluster, "routed", &routed)?;
    }
    Ok(())
}

fn measure(cluster: &Cluster, name: &str, plan: &Plan) -> Result<()> {
    let warm = Plan {
        time: WARM_UP,
        ..plan.clone()
    };
    start(&warm).join()?;
    let process = cluster.instances[0].process.as_ref();
    let process = process.ok_or_else(|| eyre!("no instance runs"))?;
    let (before, _) = process.usage()?;
    let tally = start(plan).join()?;
    let (after, memory) = process.usage()?;
    let reports = tally.reports(&plan.kinds);
    let all: &Report = reports.last().ok_or_else(|| eyre!("nothing was sent"))?;
    let ms = |micros: u64| micros as f64 / 1000.0;
    let used = after - before;
    println!(
        "| {name} | {:.0} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.0} |",
        plan.rate,
        all.ran,
        all.sent - all.ran,
        ms(all.p50),
        ms(all.p99),
        ms(all.p999),
        used / plan.time.as_secs_f64(),
        used * 1e6 / all.sent as f64,
        memory as f64 / 1e6,
    );
    for (reason, count) in &all.refused {
        eprintln!("{name} at {:.0}: refused {reason}: {count}", plan.rate);
    }
    thread::sleep(Duration::from_millis(500));
    Ok(())
}

/// Returns a document with one divided service that has one repeatable route.
fn document() -> String {
    let mut text = "[[service]]\nname = \"registry\"\ndivided = true\n\n\
        [[service.route]]\nname = \"lookup\"\nmethod = \"GET\"\npriority = \"low\"\n\
        repeatable = true\ndeadline_ms = 1000\n"
        .to_owned();
    for number in 0..TARGETS {
        let _ = write!(
            text,
            "\n[[service.target]]\nname = \"t-{number:02}\"\naddress = \"10.1.0.{}:80\"\n\
             data_centre = \"dc-1\"\nslots = {SLOTS}\ncold_limit = {SLOTS}\nconnections = 1000\n\
             checks_fence = false\n",
            number + 1
        );
    }
    text
}
