//! Runs a deployment through failures and prints the five measures.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    cowslip_standins::{
        caller::{self, Kind, Plan, Report, Sent, Tally, kinds, start},
        clock::micros,
        cluster::{Cluster, Layout, until_signal},
        measures::{
            Broken, Evidence, Service, Window, Withdrawal, check, churn, gaps, imbalance, services,
        },
        target::{options::Faults, record::Record},
    },
    eyre::{Result, eyre},
    std::{collections::BTreeMap, process::ExitCode, thread, time::Duration},
};

const DOCUMENT: &str = include_str!("../../../../examples/ishikari.toml");
/// Time after which a withdrawn data centre gets no new work.
const NOTICE: Duration = Duration::from_secs(5);
/// Broken promises that are printed in full.
const PRINTED: usize = 10;
/// Exit code when a promise was broken.
const BROKEN: u8 = 1;
/// Exit code when the demo itself failed.
const FAILED: u8 = 2;

/// What happens, with the share of the time that it takes.
const PHASES: [(&str, f64); 6] = [
    ("calm", 0.15),
    ("instance killed", 0.15),
    ("target killed", 0.15),
    ("data centre withdrawn", 0.2),
    ("data centre restored", 0.2),
    ("2 of 8 crew targets slow", 0.15),
];

/// What was seen in the run.
struct Seen {
    windows: Vec<Window>,
    withdrawals: Vec<Withdrawal>,
    records: Vec<Record>,
    tally: Tally,
    kinds: Vec<Kind>,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match until_signal(move || run(&matches)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let keep = Arg::new("keep").long("keep").num_args(0);
    Command::new("standin-demo")
        .about("Runs 3 instances through failures under load and prints the measures")
        .arg(number("seconds", "60", "Time of the load"))
        .arg(number("rate", "500", "Requests a second"))
        .arg(number("instances", "3", "Instances"))
        .arg(number(
            "service-ms",
            "5",
            "Median time of a request at a target",
        ))
        .arg(keep.help("Stay up afterwards"))
}

fn run(matches: &ArgMatches) -> Result<bool> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let layout = Layout {
        document: DOCUMENT.to_owned(),
        instances: number("instances") as usize,
        targets: vec![format!("--service-ms={}", number("service-ms"))],
        threads: 1,
    };
    let mut cluster = Cluster::start(&layout)?;
    println!(
        "{} instances and {} targets serve; {} requests/s for {} s",
        cluster.instances.len(),
        cluster.targets.len(),
        number("rate"),
        number("seconds")
    );
    let plan = Plan {
        entries: cluster.entries(),
        kinds: kinds(&cluster.document, &BTreeMap::new()),
        rate: number("rate") as f64,
        time: Duration::from_secs(number("seconds")),
        ..Plan::default()
    };
    let seen = drive(&mut cluster, &plan)?;
    let held = print(&seen);
    if matches.get_flag("keep") {
        stay(&cluster);
    }
    Ok(held)
}

fn drive(cluster: &mut Cluster, plan: &Plan) -> Result<Seen> {
    let load = start(plan);
    let begin = micros();
    let (mut windows, mut withdrawals) = (Vec::new(), Vec::new());
    let mut share = 0.0;
    for (name, part) in PHASES {
        let from = micros();
        enter(cluster, name, &mut withdrawals)?;
        share += part;
        let until = begin + plan.time.mul_f64(share).as_micros() as u64;
        thread::sleep(Duration::from_micros(until.saturating_sub(micros())));
        windows.push(Window {
            name: name.to_owned(),
            from,
            until: micros(),
        });
    }
    let tally = load.join()?;
    Ok(Seen {
        windows,
        withdrawals,
        records: cluster.records()?,
        tally,
        kinds: plan.kinds.clone(),
    })
}

/// Brings about what a phase is named after.
fn enter(cluster: &mut Cluster, name: &str, withdrawals: &mut Vec<Withdrawal>) -> Result<()> {
    let find = |cluster: &Cluster, name: &str| {
        let target = cluster.targets.iter().find(|target| target.name == name);
        target.cloned().ok_or_else(|| eyre!("no target {name:?}"))
    };
    match name {
        "instance killed" => cluster.instances[0].process = None,
        "target killed" => {
            let kill = Faults {
                kill: true,
                ..Faults::default()
            };
            cluster.fault(&find(cluster, "board-07")?, &kill)?;
        }
        "data centre withdrawn" => withdrawals.push(cluster.withdraw("hk-2")?),
        "data centre restored" => {
            if let Some(withdrawal) = withdrawals.last_mut() {
                withdrawal.until = micros();
            }
            cluster.operate(&["restore", "hk-2"])?;
        }
        "2 of 8 crew targets slow" => {
            let slow = Faults {
                slow: Some(10.0),
                ..Faults::default()
            };
            for name in ["crew-01", "crew-04"] {
                cluster.fault(&find(cluster, name)?, &slow)?;
            }
        }
        _ => {}
    }
    println!("  {name}");
    Ok(())
}

/// Prints the measures and returns whether every promise held.
fn print(seen: &Seen) -> bool {
    let history = &seen.tally.history;
    let (first, last) = (seen.windows[0].from, micros());
    println!("\n1. Load imbalance (highest load of a target / mean) and 2. churn of ownership");
    println!(
        "{:<26} {:<18} {:>10} {:>14}",
        "window", "service", "imbalance", "moved hashes %"
    );
    for window in &seen.windows {
        let moved = churn(&seen.records, window.from, window.until);
        for (service, ratio) in imbalance(&seen.records, window.from, window.until) {
            let moved = 100.0 * moved.get(&service).copied().unwrap_or_default();
            println!(
                "{:<26} {service:<18} {ratio:>10.2} {moved:>14.1}",
                window.name
            );
        }
    }
    println!("\n3. Time unavailable (from a failed request of a key range to the next served one)");
    println!(
        "{:<26} {:<18} {:>6} {:>12} {:>12}",
        "window", "service", "gaps", "longest ms", "mean ms"
    );
    for window in &seen.windows {
        for (service, gaps) in gaps(&seen.kinds, history, window.from, window.until) {
            let ms = |time: Duration| time.as_secs_f64() * 1000.0;
            let (longest, mean) = (ms(gaps.longest), ms(gaps.mean));
            let count = gaps.count;
            println!(
                "{:<26} {service:<18} {count:>6} {longest:>12.1} {mean:>12.1}",
                window.name
            );
        }
    }
    println!("\n4. Service by kind, and 5. tail latency");
    println!("{}", Service::heading());
    for window in &seen.windows {
        for service in services(&seen.kinds, history, window) {
            println!("{service}");
        }
    }
    println!("\nAll requests, and what was refused with which verdict");
    println!("{}", Report::heading());
    for report in seen.tally.reports(&seen.kinds) {
        println!("{report}");
    }
    print_promises(seen, history, (first, last))
}

fn print_promises(seen: &Seen, history: &[Sent], (first, last): (u64, u64)) -> bool {
    let broken = check(&Evidence {
        kinds: &seen.kinds,
        history,
        records: &seen.records,
        withdrawals: &seen.withdrawals,
        notice: NOTICE,
    });
    let runs: usize = seen.records.iter().map(|record| record.runs.len()).sum();
    let seconds = (last - first) / 1_000_000;
    let lost = history
        .iter()
        .filter(|sent| sent.fault == Some(caller::Fault::Lost))
        .count();
    println!(
        "\nPromises: {} requests and {runs} runs of {} targets in {seconds} s checked, {lost} \
         without an answer, {} broken",
        history.len(),
        seen.records.len(),
        broken.len()
    );
    let mut by_promise: BTreeMap<_, Vec<&Broken>> = BTreeMap::new();
    for one in &broken {
        by_promise.entry(one.promise).or_default().push(one);
    }
    for (promise, all) in by_promise {
        println!("  {promise:?}: {} times", all.len());
        for one in all.iter().take(PRINTED) {
            println!("    {one}");
        }
    }
    broken.is_empty()
}

fn stay(cluster: &Cluster) {
    println!("\nStill up until a signal:");
    for instance in &cluster.instances {
        let (callers, operators) = (instance.callers, instance.operators);
        println!(
            "  {}: callers {callers}, operators {operators}",
            instance.name
        );
    }
    if let Some(instance) = cluster.instances.last() {
        println!(
            "  curl -i http://{}/registry/lookup/some-key",
            instance.callers
        );
    }
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}
