//! The state of all instances.

use {
    crate::{
        error::{Error, Exit, Result},
        instances::{self, Answers},
        reply::Reply,
    },
    cowslip_decide::names::Name,
    cowslip_settings::operator::Operator,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Pause between two looks at the instances.
const PAUSE: Duration = Duration::from_millis(200);

/// What the table of instances shows of a status.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Status {
    data_centre: Name,
    version: u64,
    config: u64,
    lease_ms: Option<u64>,
    planner: Option<Name>,
    stopping: bool,
    #[serde(default)]
    losses: Losses,
    #[serde(default)]
    loads: BTreeMap<Name, Load>,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Losses {
    targets: Vec<Name>,
    instances: Vec<Name>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Load {
    in_flight: u64,
    queued: u64,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

/// Shows the state of all instances.
pub(crate) async fn show(settings: &Operator) -> Result<Reply> {
    let answers: Answers<Status> = instances::ask(settings, "/status").await;
    let exit = exit(settings, &answers)?;
    Ok(Reply {
        text: table(&answers),
        json: json!({ "instances": answers.reached, "unreachable": answers.unreachable }),
        exit,
    })
}

/// Waits until every instance follows a version; returns those that do not in time, with the cause.
pub(crate) async fn behind(
    settings: &Operator,
    version: u64,
    limit: Duration,
) -> BTreeMap<Name, String> {
    let end = Instant::now() + limit;
    loop {
        let answers: Answers<Status> = instances::ask(settings, "/status").await;
        let mut behind = answers.unreachable;
        let late = answers
            .reached
            .into_iter()
            .filter(|(_, it)| it.config < version);
        behind.extend(late.map(|(name, it)| (name, format!("version {}", it.config))));
        if behind.is_empty() || Instant::now() >= end {
            return behind;
        }
        sleep(PAUSE).await;
    }
}

/// Returns the exit code that fits who was reached.
pub(crate) fn exit<T>(settings: &Operator, answers: &Answers<T>) -> Result<Exit> {
    if settings.instances.is_empty() {
        let message = "settings: instances: missing, expected at least one address";
        return Err(Error::Lacking(message.to_owned()));
    }
    Ok(
        match (answers.reached.is_empty(), answers.unreachable.is_empty()) {
            (true, _) => Exit::Unreachable,
            (false, false) => Exit::Partly,
            (false, true) => Exit::Done,
        },
    )
}

/// Returns the lines that name the instances that were not reached.
pub(crate) fn unreachable(causes: &BTreeMap<Name, String>) -> String {
    let lines = causes
        .iter()
        .map(|(name, cause)| format!("unreachable: {name}: {cause}\n"));
    lines.collect()
}

fn table(answers: &Answers<Status>) -> String {
    let mut text = format!(
        "{:<20} {:<12} {:>10} {:>8} {:>9} {:<20} {:>5} {:>9} {:>7} lost\n",
        "instance",
        "data centre",
        "assignment",
        "config",
        "lease ms",
        "planner",
        "held",
        "in flight",
        "queued",
    );
    for (name, status) in &answers.reached {
        let lease = match (status.stopping, status.lease_ms) {
            (true, _) => "stopping".to_owned(),
            (false, Some(left)) => left.to_string(),
            (false, None) => "none".to_owned(),
        };
        let lost: Vec<&str> = [&status.losses.instances, &status.losses.targets]
            .into_iter()
            .flatten()
            .map(AsRef::as_ref)
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{name:<20} {:<12} {:>10} {:>8} {lease:>9} {:<20} {:>5} {:>9} {:>7} {}",
            status.data_centre,
            status.version,
            status.config,
            status.planner.as_deref().unwrap_or("-"),
            status.loads.len(),
            status
                .loads
                .values()
                .map(|load| load.in_flight)
                .sum::<u64>(),
            status.loads.values().map(|load| load.queued).sum::<u64>(),
            lost.join(", "),
        );
    }
    text + &unreachable(&answers.unreachable)
}
