//! Benchmarks of the router and drills of failures; prints tables for the docs.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    cowslip_standins::{
        bench::{drills, router},
        cluster::until_signal,
    },
    eyre::Result,
    std::time::Duration,
};

const DOCUMENT: &str = include_str!("../../../../examples/ishikari.toml");

fn main() -> Result<()> {
    let matches = command().get_matches();
    until_signal(move || run(&matches))
}

fn run(matches: &ArgMatches) -> Result<()> {
    let number = |matches: &ArgMatches, name: &str| *matches.get_one::<u64>(name).expect("default");
    match matches.subcommand() {
        Some(("router", matches)) => {
            let rates: &String = matches.get_one("rates").expect("has a default");
            router::run(&router::Options {
                rates: rates.split(',').map(str::parse).collect::<Result<_, _>>()?,
                time: Duration::from_secs(number(matches, "seconds")),
                threads: number(matches, "threads") as usize,
                targets: number(matches, "target-threads") as usize,
            })
        }
        Some(("drills", matches)) => drills::run(&drills::Options {
            document: DOCUMENT.to_owned(),
            instances: number(matches, "instances") as usize,
            runs: number(matches, "runs") as usize,
            rate: number(matches, "rate") as f64,
        }),
        _ => Ok(()),
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let rates = Arg::new("rates").long("rates").default_value("11400,22800");
    let router = Command::new("router")
        .about("Latency and cost that one instance adds to a direct call")
        .arg(rates.help("Requests a second, separated by commas"))
        .arg(number("seconds", "10", "Time of each measurement"))
        .arg(number("threads", "2", "Threads of the load"))
        .arg(number("target-threads", "2", "Threads of the targets"));
    let drills = Command::new("drills")
        .about("Time until keys are served again after a failure")
        .arg(number("instances", "12", "Instances"))
        .arg(number("runs", "3", "Runs of each drill"))
        .arg(number("rate", "400", "Requests a second"));
    Command::new("standin-bench")
        .subcommand_required(true)
        .subcommand(router)
        .subcommand(drills)
}
