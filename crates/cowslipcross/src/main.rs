//! The program of an entry instance.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    cowslip_adapter::places,
    cowslip_settings::{overrides::Overrides, process},
    cowslipcross::{direct, instance},
    eyre::Result,
    std::{path::PathBuf, process::ExitCode},
    tokio::{
        runtime,
        signal::unix::{SignalKind, signal},
    },
};

/// Command that runs an instance on the users' platform.
const DIRECT: &str = "direct";

const EXAMPLES: &str = "\
Examples:
  cowslipcross --settings instance.toml
  cowslipcross direct --settings instance.toml
  cowslipcross --settings instance.toml --set listen.callers=10.1.0.4:8080 --set name=entry-4

Exit codes: 0 stopped in order, 1 could not start or the stop took too long, 2 usage.";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cowslipcross: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let matches = command().get_matches();
    if let Some(matches) = matches.subcommand_matches(DIRECT) {
        let path = matches.get_one::<PathBuf>("settings").cloned();
        return direct::run(path.unwrap_or_else(places::settings_path));
    }
    let flags = matches.get_many::<String>("set").unwrap_or_default();
    let overrides = Overrides::parse(flags.map(String::as_str))?;
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Ok(command().print_help()?);
    };
    let settings = process::load(path, &overrides)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        instance::run(settings, stop).await
    })
}

fn command() -> Command {
    Command::new("cowslipcross")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes callers' requests to the targets that own their keys")
        .subcommand_negates_reqs(true)
        .subcommand(
            Command::new(DIRECT)
                .about("Runs an instance that sends to targets itself, on the users' platform")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Settings of the process; by default where the platform puts them"),
                ),
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the process, in TOML"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("PATH=VALUE")
                .action(ArgAction::Append)
                .help("Replaces one field of the settings, such as listen.callers=10.1.0.4:8080"),
        )
        .after_help(EXAMPLES)
}
