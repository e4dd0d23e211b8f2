//! Serves one or many targets until it is killed.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    cowslip_standins::target::{options::Options, serve},
    eyre::Result,
    std::{thread, time::Duration},
    tokio::{net::TcpListener, runtime::Builder},
};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let names = names(&matches);
    let count = names.len();
    let threads = get::<usize>(&matches, "threads").clamp(1, count.max(1));
    let options = options(&matches);
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            let mine: Vec<_> = (thread..count)
                .step_by(threads)
                .map(|number| numbered(&options, number, &names[number], &matches))
                .collect();
            thread::spawn(move || run(mine))
        })
        .collect();
    for worker in workers {
        worker.join().expect("worker does not panic")?;
    }
    Ok(())
}

fn command() -> Command {
    let arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let number = |name, default, help| arg(name, default, help).value_parser(value_parser!(usize));
    let ms = |name, default, help| arg(name, default, help).value_parser(value_parser!(f64));
    Command::new("standin-target")
        .about("Serves targets; prints `listening NAME ADDRESS CONTROL` for each")
        .arg(number("count", "1", "Targets"))
        .arg(number("threads", "1", "Threads"))
        .arg(arg("name-prefix", "t", "Names are this and a number"))
        .arg(arg(
            "names",
            "",
            "Names, separated by commas, in place of count and prefix",
        ))
        .arg(arg("service", "board-registry", "Service"))
        .arg(arg(
            "data-centre",
            "dc-1",
            "Data centres, separated by commas, in turn",
        ))
        .arg(arg(
            "addresses",
            "",
            "Addresses, separated by commas; ports of the OS if empty",
        ))
        .arg(number("slots", "2", "Requests at the same time"))
        .arg(number(
            "cold-limit",
            "1",
            "Requests that a cold target bears",
        ))
        .arg(number(
            "warmup",
            "10",
            "Successes for one request more while cold",
        ))
        .arg(number("queue", "8", "Requests that wait for a slot"))
        .arg(number("connections", "130", "Open connections"))
        .arg(number("record", "400000", "Runs that the record keeps"))
        .arg(ms("opening-ms", "1", "Time that a new connection takes"))
        .arg(ms("service-ms", "2", "Median time of a request"))
        .arg(ms(
            "spread",
            "0.3",
            "Standard deviation of the logarithm of the time",
        ))
        .arg(ms("health-lag-ms", "2000", "Age of the health report"))
        .arg(Arg::new("warm").long("warm").num_args(0).help("Start warm"))
        .arg(
            Arg::new("unfenced")
                .long("unfenced")
                .num_args(0)
                .help("Check no fence"),
        )
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("has a default")
}

fn options(matches: &ArgMatches) -> Options {
    let ms = |name| Duration::from_secs_f64(get::<f64>(matches, name) / 1000.0);
    Options {
        service: get(matches, "service"),
        slots: get(matches, "slots"),
        cold_limit: get(matches, "cold-limit"),
        cold: !matches.get_flag("warm"),
        warmup: get::<usize>(matches, "warmup") as u32,
        queue: get(matches, "queue"),
        connections: get(matches, "connections"),
        opening: ms("opening-ms"),
        service_time: ms("service-ms"),
        spread: get(matches, "spread"),
        checks_fence: !matches.get_flag("unfenced"),
        health_lag: ms("health-lag-ms"),
        record_limit: get(matches, "record"),
        ..Options::default()
    }
}

fn names(matches: &ArgMatches) -> Vec<String> {
    let names: String = get(matches, "names");
    if !names.is_empty() {
        return names.split(',').map(str::to_owned).collect();
    }
    let prefix: String = get(matches, "name-prefix");
    let count = get::<usize>(matches, "count");
    (1..=count)
        .map(|number| format!("{prefix}{number}"))
        .collect()
}

fn numbered(
    options: &Options,
    number: usize,
    name: &str,
    matches: &ArgMatches,
) -> (Options, String) {
    let centres: String = get(matches, "data-centre");
    let centres: Vec<_> = centres.split(',').collect();
    let addresses: String = get(matches, "addresses");
    let address = addresses.split(',').nth(number).unwrap_or_default();
    let address = if address.is_empty() {
        "127.0.0.1:0"
    } else {
        address
    };
    let options = Options {
        name: name.to_owned(),
        data_centre: centres[number % centres.len()].to_owned(),
        ..options.clone()
    };
    (options, address.to_owned())
}

fn run(targets: Vec<(Options, String)>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        for (options, address) in targets {
            let name = options.name.clone();
            let target = serve(TcpListener::bind(address).await?, options).await?;
            println!("listening {name} {} {}", target.address, target.control);
        }
        std::future::pending().await
    })
}
