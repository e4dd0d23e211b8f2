//! The state of all instances.

use {
    crate::{
        error::{Error, ExitStatus, Result},
        instances::{self, Responses},
        output::CommandOutput,
    },
    cowslip_decide::names::Name,
    cowslip_settings::operator::OperatorSettings,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write},
};

/// What the table of instances shows of a status.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Status {
    data_centre: Name,
    ready: bool,
    stopping: bool,
    leads: bool,
    config: u64,
    targets: u64,
    active: u64,
    ages: Ages,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Ages {
    config_ms: Option<u64>,
    targets_ms: Option<u64>,
    owners_ms: Option<u64>,
}

/// Shows the state of all instances.
pub(crate) async fn show_status(settings: &OperatorSettings) -> Result<CommandOutput> {
    let answers: Responses<Status> = instances::query_all(settings, "/status").await;
    let exit_status = exit(settings, &answers)?;
    Ok(CommandOutput {
        text: table(&answers),
        json: json!({ "instances": answers.reached, "unreachable": answers.unreachable }),
        exit_status,
    })
}

/// Returns the exit code that fits who was reached.
pub(crate) fn exit<T>(settings: &OperatorSettings, answers: &Responses<T>) -> Result<ExitStatus> {
    if settings.instances.is_empty() {
        let message = "settings: instances: missing, expected at least one address";
        return Err(Error::Usage(message.to_owned()));
    }
    Ok(
        match (answers.reached.is_empty(), answers.unreachable.is_empty()) {
            (true, _) => ExitStatus::Unreachable,
            (false, false) => ExitStatus::Partial,
            (false, true) => ExitStatus::Success,
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

fn table(answers: &Responses<Status>) -> String {
    let mut text = format!(
        "{:<20} {:<12} {:<9} {:>6} {:>7} {:>8} {:>22}\n",
        "instance", "data centre", "state", "config", "targets", "requests", "ages of views in ms",
    );
    for (name, status) in &answers.reached {
        let ages = &status.ages;
        let ages = [ages.config_ms, ages.targets_ms, ages.owners_ms].map(age);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{name:<20} {:<12} {:<9} {:>6} {:>7} {:>8} {:>22}",
            status.data_centre,
            state(status),
            status.config,
            status.targets,
            status.active,
            ages.join(" / "),
        );
    }
    text + &unreachable(&answers.unreachable)
}

fn state(status: &Status) -> &'static str {
    match status {
        Status { stopping: true, .. } => "stopping",
        Status { ready: false, .. } => "not ready",
        Status { leads: true, .. } => "leader",
        _ => "ready",
    }
}

fn age(age: Option<u64>) -> String {
    age.map_or_else(|| "never".to_owned(), |age| age.to_string())
}
