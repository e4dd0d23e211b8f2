//! Drives an open-loop load and prints what became of it.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    cowslip_settings::document::Document,
    cowslip_standins::caller::{Plan, Report, kinds, start},
    eyre::{Result, WrapErr},
    std::{collections::BTreeMap, fs, time::Duration},
};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let plan = plan(&matches)?;
    let tally = start(&plan).join()?;
    let reports = tally.reports(&plan.kinds);
    if let Some(file) = matches.get_one::<String>("history") {
        fs::write(file, serde_json::to_vec(&tally.history)?)?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&reports)?);
        return Ok(());
    }
    println!("{}", Report::heading());
    for report in reports {
        println!("{report}");
    }
    Ok(())
}

fn command() -> Command {
    let arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let number = |name, default, help| arg(name, default, help).value_parser(value_parser!(u64));
    let real = |name, default, help| arg(name, default, help).value_parser(value_parser!(f64));
    let flag =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).num_args(0).help(help);
    Command::new("standin-load")
        .about("Sends requests at a fixed rate, whatever the answers")
        .arg(
            Arg::new("document")
                .long("document")
                .required(true)
                .help("Document, TOML"),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .required(true)
                .help("Addresses, by commas"),
        )
        .arg(arg(
            "mix",
            "",
            "Weights of routes, such as lookup=70,removal=10",
        ))
        .arg(real("rate", "100", "Requests a second"))
        .arg(real("seconds", "10", "Time for which requests arrive"))
        .arg(real("skew", "1", "Exponent of the distribution of keys"))
        .arg(real(
            "keyed",
            "1",
            "Share of the orders with an idempotency key",
        ))
        .arg(real(
            "repeats",
            "0.05",
            "Share of the orders with a key that are sent again",
        ))
        .arg(number("threads", "1", "Threads"))
        .arg(number("keys", "10000", "Keys of each divided service"))
        .arg(number("body", "0", "Bytes of a body at least"))
        .arg(number("seed", "1", "Seed"))
        .arg(
            Arg::new("history")
                .long("history")
                .help("File for the history, JSON"),
        )
        .arg(flag("direct", "The entries are targets"))
        .arg(flag("json", "Print JSON"))
}

fn plan(matches: &ArgMatches) -> Result<Plan> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let real = |name: &str| *matches.get_one::<f64>(name).expect("has a default");
    let file = text("document");
    let document = fs::read_to_string(&file).wrap_err_with(|| format!("read {file}"))?;
    let document: Document = toml::from_str(&document)?;
    let entries = text("entries")
        .split(',')
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok(Plan {
        entries,
        kinds: kinds(&document, &mix(&text("mix"))?),
        rate: real("rate"),
        time: Duration::from_secs_f64(real("seconds")),
        threads: number("threads") as usize,
        keys: number("keys"),
        skew: real("skew"),
        keyed: real("keyed"),
        repeats: real("repeats"),
        body: number("body") as usize,
        history: matches.contains_id("history"),
        direct: matches.get_flag("direct"),
        seed: number("seed"),
    })
}

fn mix(text: &str) -> Result<BTreeMap<String, f64>> {
    let parts = text.split(',').filter_map(|part| part.split_once('='));
    parts
        .map(|(name, weight)| Ok((name.to_owned(), weight.parse()?)))
        .collect()
}
