//! Flags and subcommands.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::path::PathBuf,
};

/// Exit codes, as `--help` says them.
const EXITS: &str = "\
Exit codes:
  0  done
  1  document or change refused; nothing was published
  2  wrong flags or settings
  3  lost race: another operator published first; nothing was published
  4  platform, or every instance asked, unreachable; with \"outcome unknown\" run show first
  5  some instances unreachable, or not yet on the new version";

const CHECK: &str = "\
Examples:
  cowslipctl check examples/ishikari.toml
  cowslipctl check board.toml --json";

const PUBLISH: &str = "\
Examples:
  cowslipctl publish board.toml
  cowslipctl publish board.toml --expect 41
  cowslipctl publish board.toml --wait 18";

const SHOW: &str = "\
Examples:
  cowslipctl show > board.toml
  cowslipctl show --json";

const WITHDRAW: &str = "\
Examples:
  cowslipctl withdraw hk-2
  cowslipctl withdraw hk-2 --wait 10";

const RESTORE: &str = "\
Examples:
  cowslipctl restore hk-2
  cowslipctl restore hk-2 --expect 42 --json";

const STATUS: &str = "\
Examples:
  cowslipctl status
  cowslipctl status --json --set instances.entry-1=10.1.1.5:7002";

const TIMELINE: &str = "\
Examples:
  cowslipctl timeline --target board-07
  cowslipctl timeline --request order-4711 --json
  cowslipctl timeline --data-centre hk-2 --format svg --out withdrawal.svg";

const EXPLAIN: &str = "\
Examples:
  cowslipctl explain 7c5ee32bd7d4ed08 front-1.log front-2.log
  cowslipctl explain 7c5ee32bd7d4ed08 all.log --json";

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("cowslipctl")
        .about("Checks, publishes and shows configurations of cowslipcross, and looks at instances")
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
        .subcommand(subcommand("check", "Check a document", CHECK).arg(document()))
        .subcommand(
            publishing(subcommand("publish", "Put a document in force", PUBLISH)).arg(document()),
        )
        .subcommand(subcommand("show", "Print the published document", SHOW))
        .subcommand(
            publishing(subcommand(
                "withdraw",
                "Give a data centre no new work",
                WITHDRAW,
            ))
            .arg(data_centre()),
        )
        .subcommand(
            publishing(subcommand(
                "restore",
                "Give a data centre work again",
                RESTORE,
            ))
            .arg(data_centre()),
        )
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
    .arg(filter(
        "request",
        "Only events about this request, its attempts or this order",
    ))
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

fn publishing(command: Command) -> Command {
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    command
        .arg(number(
            "expect",
            "VERSION",
            "Version to replace; else the one read at the start",
        ))
        .arg(number(
            "wait",
            "SECONDS",
            "Wait until all instances follow the new version",
        ))
}

fn document() -> Arg {
    file("file", "Document").required(true)
}

fn data_centre() -> Arg {
    Arg::new("data_centre")
        .value_name("DATA_CENTRE")
        .required(true)
        .help("Data centre")
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
