//! Subcommand `status`: shows the state of all instances.

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

/// Response of `/status`; fields that the table does not show are in `rest`, for JSON output.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct InstanceStatus {
    data_centre: Name,
    ready: bool,
    stopping: bool,
    /// Whether the instance is the leader.
    leads: bool,
    /// Version of the configuration; 0 without one.
    config: u64,
    /// Number of targets.
    targets: u64,
    /// Number of requests in progress.
    active: u64,
    ages: ViewAges,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

/// Time since each view of the instance was last updated; `None` if it never was.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct ViewAges {
    config_ms: Option<u64>,
    targets_ms: Option<u64>,
    owners_ms: Option<u64>,
}

/// Shows the state of all instances.
pub(crate) async fn show_status(settings: &OperatorSettings) -> Result<CommandOutput> {
    let responses: Responses<InstanceStatus> = instances::query_all(settings, "/status").await;
    let exit_status = exit_status(settings, &responses)?;
    Ok(CommandOutput {
        text: format_table(&responses),
        json: json!({ "instances": responses.reached, "unreachable": responses.unreachable }),
        exit_status,
    })
}

/// Returns the exit status for the instances that answered; fails if none are configured.
pub(crate) fn exit_status<T>(
    settings: &OperatorSettings,
    responses: &Responses<T>,
) -> Result<ExitStatus> {
    if settings.instances.is_empty() {
        let message = "settings: instances: missing, expected at least one address";
        return Err(Error::MissingInput(message.to_owned()));
    }
    Ok(
        match (
            responses.reached.is_empty(),
            responses.unreachable.is_empty(),
        ) {
            (true, _) => ExitStatus::Unreachable,
            (false, false) => ExitStatus::Partial,
            (false, true) => ExitStatus::Success,
        },
    )
}

/// Formats one line for each instance that could not be queried.
pub(crate) fn format_unreachable(causes: &BTreeMap<Name, String>) -> String {
    let lines = causes
        .iter()
        .map(|(name, cause)| format!("unreachable: {name}: {cause}\n"));
    lines.collect()
}

fn format_table(responses: &Responses<InstanceStatus>) -> String {
    let mut text = format!(
        "{:<20} {:<12} {:<9} {:>6} {:>7} {:>8} {:>22}\n",
        "instance", "data centre", "state", "config", "targets", "requests", "ages of views in ms",
    );
    for (name, status) in &responses.reached {
        let ages = &status.ages;
        let ages = [ages.config_ms, ages.targets_ms, ages.owners_ms].map(format_age);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{name:<20} {:<12} {:<9} {:>6} {:>7} {:>8} {:>22}",
            status.data_centre,
            state_label(status),
            status.config,
            status.targets,
            status.active,
            ages.join(" / "),
        );
    }
    text + &format_unreachable(&responses.unreachable)
}

fn state_label(status: &InstanceStatus) -> &'static str {
    match status {
        InstanceStatus { stopping: true, .. } => "stopping",
        InstanceStatus { ready: false, .. } => "not ready",
        InstanceStatus { leads: true, .. } => "leader",
        _ => "ready",
    }
}

fn format_age(age: Option<u64>) -> String {
    age.map_or_else(|| "never".to_owned(), |age| age.to_string())
}
