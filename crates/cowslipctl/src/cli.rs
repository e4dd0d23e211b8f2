//! Command-line flags and subcommands.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::path::PathBuf,
};

/// Exit codes, shown by `--help`.
const EXIT_CODES_HELP: &str = "\
Exit codes:
  0  success
  1  configuration not valid, or nothing found
  2  invalid flags or settings, or unreadable file
  4  store, or all instances, unreachable
  5  some instances unreachable";

const CHECK_EXAMPLES: &str = "\
Examples:
  cowslipctl check configuration.json
  cowslipctl check configuration.json --json
  cowslipctl check configuration.json --against in-force.json
  cowslipctl check configuration.json --against store --set store=10.1.0.2:8000";

const SHOW_EXAMPLES: &str = "\
Examples:
  cowslipctl show --set store=10.1.0.2:8000
  cowslipctl show --json";

const STATUS_EXAMPLES: &str = "\
Examples:
  cowslipctl status
  cowslipctl status --json --set instances.entry-1=10.1.1.5:7002";

const TIMELINE_EXAMPLES: &str = "\
Examples:
  cowslipctl timeline --target target-07
  cowslipctl timeline --request 7c5ee32bd7d4ed08 --json
  cowslipctl timeline --data-centre hk-2 --format svg --out withdrawal.svg";

const EXPLAIN_EXAMPLES: &str = "\
Examples:
  cowslipctl explain 7c5ee32bd7d4ed08 front-1.log front-2.log
  cowslipctl explain 7c5ee32bd7d4ed08 all.log --json";

/// Builds the parser for the command line.
pub fn build_command() -> Command {
    Command::new("cowslipctl")
        .about("Checks configurations of cowslipcross, queries instances and explains requests")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            file_arg(
                "settings",
                "Settings file; default: the path in COWSLIPCTL_SETTINGS",
            )
            .long("settings")
            .global(true),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("PATH=VALUE")
                .action(ArgAction::Append)
                .global(true)
                .help("Override a value of the settings file"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON"),
        )
        .subcommand(
            build_subcommand("check", "Validate a configuration file", CHECK_EXAMPLES)
                .arg(configuration_file())
                .arg(
                    Arg::new("against")
                        .long("against")
                        .value_name("FILE|store")
                        .help("Also show what differs from this configuration, or from the one in the store"),
                ),
        )
        .subcommand(build_subcommand(
            "show",
            "Print the configuration in the store",
            SHOW_EXAMPLES,
        ))
        .subcommand(build_subcommand(
            "status",
            "Show the state of all instances, with the ages of configuration, targets and owners",
            STATUS_EXAMPLES,
        ))
        .subcommand(timeline_command())
        .subcommand(explain_command())
}

fn explain_command() -> Command {
    let request = Arg::new("request").value_name("REQUEST-ID").required(true);
    let logs = file_arg("log", "Log files of the instances")
        .num_args(1..)
        .required(true);
    let about = "Print the log lines about a request and the events that may explain it";
    build_subcommand("explain", about, EXPLAIN_EXAMPLES)
        .arg(request.help("ID of the request"))
        .arg(logs)
}

fn timeline_command() -> Command {
    let filter = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help)
    };
    let formats = ["text", "json", "svg"];
    build_subcommand(
        "timeline",
        "Merge the events of all instances in causal order",
        TIMELINE_EXAMPLES,
    )
    .arg(filter("key", "Only events about this key or key range"))
    .arg(filter("target", "Only events about this target"))
    .arg(filter(
        "instance",
        "Only events recorded by or about this instance",
    ))
    .arg(filter("request", "Only events about this request"))
    .arg(filter(
        "data-centre",
        "Only events recorded in this data centre",
    ))
    .arg(
        Arg::new("format")
            .long("format")
            .value_parser(formats)
            .conflicts_with("json")
            .help("Output format; default: text"),
    )
    .arg(file_arg("out", "Write to this file instead of standard output").long("out"))
}

fn build_subcommand(name: &'static str, about: &'static str, examples: &'static str) -> Command {
    Command::new(name).about(about).after_help(examples)
}

fn configuration_file() -> Arg {
    file_arg("file", "Configuration file in the format of the platform").required(true)
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
