//! The program of the soak.

use {
    clap::{Arg, Command, value_parser},
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

Exit codes: 0 every promise held, 1 one was broken or a run failed, 2 usage.";

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program = match matches.get_one::<PathBuf>("program") {
        Some(program) => program.clone(),
        None => run::find_program()?,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut code = ExitCode::SUCCESS;
    for seed in number("seed")..number("seed") + number("seeds") {
        let options = RunOptions {
            program_path: program.clone(),
            work_directory: run::work_directory(seed),
            seed,
            fault_time: Duration::from_secs(number("seconds")),
            instance_count: number("instances") as usize,
        };
        match runtime.block_on(run::run_deployment(&options)) {
            Ok(report) if report.violations.is_empty() => {
                say(seed, &report);
                fs::remove_dir_all(&options.work_directory)?;
            }
            Ok(report) => {
                say(seed, &report);
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

fn say(seed: u64, report: &RunReport) {
    let ends: Vec<String> = report
        .outcomes
        .iter()
        .map(|(end, count)| format!("{end} {count}"))
        .collect();
    let (faults, broken) = (report.faults.len(), report.violations.len());
    println!(
        "seed {seed}: {broken} broken, {faults} faults, {}",
        ends.join(", ")
    );
    for line in &report.violations {
        println!("  {line}");
    }
    if broken > 0 {
        println!("  faults: {:?}", report.faults);
    }
}

fn command() -> Command {
    let number = |name: &'static str, usual: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(usual)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("cowslip-soak")
        .about("Runs instances as processes, injects faults and checks the promises")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds, one run each"))
        .arg(number(
            "seconds",
            "20",
            "Seconds for which faults come in a run",
        ))
        .arg(number("instances", "4", "Instances"))
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Program of an instance; by default the one built beside this"),
        )
        .after_help(EXAMPLES)
}
