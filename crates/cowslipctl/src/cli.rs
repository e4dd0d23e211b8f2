//! Flags and subcommands.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::path::PathBuf,
};

/// Exit codes, as `--help` says them.
const EXITS: &str = "\
Exit codes:
  0  done
  1  configuration refused, or nothing found
  2  wrong flags or settings
  4  store, or every instance asked, unreachable
  5  some instances unreachable";

const CHECK: &str = "\
Examples:
  cowslipctl check board.json
  cowslipctl check board.json --json";

const SHOW: &str = "\
Examples:
  cowslipctl show --set store=10.1.0.2:8000
  cowslipctl show --json";

const STATUS: &str = "\
Examples:
  cowslipctl status
  cowslipctl status --json --set instances.entry-1=10.1.1.5:7002";

const TIMELINE: &str = "\
Examples:
  cowslipctl timeline --target board-07
  cowslipctl timeline --request 7c5ee32bd7d4ed08 --json
  cowslipctl timeline --data-centre hk-2 --format svg --out withdrawal.svg";

const EXPLAIN: &str = "\
Examples:
  cowslipctl explain 7c5ee32bd7d4ed08 front-1.log front-2.log
  cowslipctl explain 7c5ee32bd7d4ed08 all.log --json";

/// Returns the whole command line.
pub fn build_command() -> Command {
    Command::new("cowslipctl")
        .about("Checks and shows configurations of cowslipcross, and looks at instances")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXITS)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            file(
                "settings",
                "Settings file; else the one that COWSLIPCTL_SETTINGS names",
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
                .help("Value that goes over the settings file"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON"),
        )
        .subcommand(subcommand("check", "Check a configuration", CHECK).arg(document()))
        .subcommand(subcommand(
            "show",
            "Print the configuration in the store",
            SHOW,
        ))
        .subcommand(subcommand(
            "status",
            "Show the state of all instances",
            STATUS,
        ))
        .subcommand(timeline())
        .subcommand(explain())
}

fn explain() -> Command {
    let request = Arg::new("request").value_name("REQUEST-ID").required(true);
    let logs = file("log", "Logs of instances")
        .num_args(1..)
        .required(true);
    let about = "Print what logs say of a request, and of what its keys went through";
    subcommand("explain", about, EXPLAIN)
        .arg(request.help("Id of the request"))
        .arg(logs)
}

fn timeline() -> Command {
    let filter = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help)
    };
    let formats = ["text", "json", "svg"];
    subcommand(
        "timeline",
        "Merge the events of all instances in causal order",
        TIMELINE,
    )
    .arg(filter("key", "Only events about this key or range"))
    .arg(filter("target", "Only events about this target"))
    .arg(filter("instance", "Only events of or about this instance"))
    .arg(filter("request", "Only events about this request"))
    .arg(filter(
        "data-centre",
        "Only events of instances in this data centre",
    ))
    .arg(
        Arg::new("format")
            .long("format")
            .value_parser(formats)
            .conflicts_with("json")
            .help("Form of the output; text unless --json is given"),
    )
    .arg(file("out", "Write to this file instead of the standard output").long("out"))
}

fn subcommand(name: &'static str, about: &'static str, examples: &'static str) -> Command {
    Command::new(name).about(about).after_help(examples)
}

fn document() -> Arg {
    file("file", "Configuration, in the platform's form").required(true)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
