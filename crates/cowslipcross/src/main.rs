//! Command line of an instance.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    cowslip_adapter::paths,
    cowslip_settings::overrides::Overrides,
    cowslipcross::instance,
    eyre::Result,
    std::{path::PathBuf, process::ExitCode},
};

const EXAMPLES: &str = "\
Examples:
  cowslipcross
  cowslipcross --settings instance.toml
  cowslipcross --settings instance.toml --set listen.callers=10.1.0.4:8080 --set name=entry-4

Exit codes: 0 stopped by a signal, 1 failed to start, 2 invalid usage.";

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
    let flags = matches.get_many::<String>("set").unwrap_or_default();
    let overrides = Overrides::parse(flags.map(String::as_str))?;
    let path = matches.get_one::<PathBuf>("settings").cloned();
    instance::run(path.unwrap_or_else(paths::settings_path), overrides)
}

fn command() -> Command {
    Command::new("cowslipcross")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes callers' requests to the targets that own their keys")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in TOML; by default the path that the platform sets"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("PATH=VALUE")
                .action(ArgAction::Append)
                .help("Overrides a field of the settings by its path, such as listen.callers=10.1.0.4:8080"),
        )
        .after_help(EXAMPLES)
}
