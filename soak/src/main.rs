//! Command line of the soak test.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    cowslip_soak::{
        Result,
        run::{self, RunOptions, RunReport},
    },
    std::{fs, path::PathBuf, process::ExitCode, time::Duration},
};

const EXAMPLES: &str = "\
Examples:
  cowslip-soak --seed 7
  cowslip-soak --seed 100 --seeds 50 --seconds 30

Exit codes: 0 all guarantees held, 1 a guarantee was violated or a run failed, 2 invalid usage.";

fn main() -> Result<ExitCode> {
    let matches = build_command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program_path = match matches.get_one::<PathBuf>("program") {
        Some(path) => path.clone(),
        None => run::find_program()?,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut code = ExitCode::SUCCESS;
    for seed in number("seed")..number("seed") + number("seeds") {
        let options = RunOptions {
            program_path: program_path.clone(),
            former_path: matches.get_one::<PathBuf>("former").cloned(),
            work_directory: run::work_directory_path(seed),
            seed,
            fault_time: Duration::from_secs(number("seconds")),
            instance_count: number("instances") as usize,
            drills: matches.get_flag("drills"),
            limits: matches.get_flag("limits"),
            cuts: matches.get_flag("cuts"),
            organisations: matches.get_flag("organisations"),
        };
        match runtime.block_on(run::run_deployment(&options)) {
            Ok(report) if report.violations.is_empty() => {
                print_report(seed, &report);
                fs::remove_dir_all(&options.work_directory)?;
            }
            Ok(report) => {
                print_report(seed, &report);
                println!("  logs in {}", options.work_directory.display());
                code = ExitCode::FAILURE;
            }
            Err(error) => {
                println!("seed {seed}: failed: {error:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok(code)
}

fn print_report(seed: u64, report: &RunReport) {
    let outcomes: Vec<String> = report
        .outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome} {count}"))
        .collect();
    let (faults, broken) = (report.faults.len(), report.violations.len());
    println!(
        "seed {seed}: {broken} broken, {faults} faults, {}",
        outcomes.join(", ")
    );
    for line in &report.violations {
        println!("  {line}");
    }
    if broken > 0 {
        println!("  faults: {:?}", report.faults);
    }
}

fn build_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("cowslip-soak")
        .about("Runs instances as processes, injects faults and checks the router's guarantees")
        .arg(number("seed", "1", "First seed"))
        .arg(number(
            "seeds",
            "1",
            "Number of consecutive seeds, one run each",
        ))
        .arg(number(
            "seconds",
            "20",
            "Duration of fault injection in seconds",
        ))
        .arg(number("instances", "4", "Number of instances"))
        .arg(
            Arg::new("drills")
                .long("drills")
                .action(ArgAction::SetTrue)
                .help("Also restore the store, let targets announce their stop and ask for quiet"),
        )
        .arg(
            Arg::new("limits")
                .long("limits")
                .action(ArgAction::SetTrue)
                .help("Also let targets name limits on the requests of all instances together"),
        )
        .arg(
            Arg::new("cuts")
                .long("cuts")
                .action(ArgAction::SetTrue)
                .help("Also cut instances off from all targets"),
        )
        .arg(
            Arg::new("organisations")
                .long("organisations")
                .action(ArgAction::SetTrue)
                .help("Callers belong to organisations, of which one has a limit"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the cowslipcross program; by default the one built with this one"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of a former build: half of the instances start with it, restarts change between both"),
        )
        .after_help(EXAMPLES)
}
