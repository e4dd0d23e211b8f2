//! Subcommands `check` and `show`: validates a configuration file, and prints the stored one.

use {
    crate::{
        differences,
        error::{Error, Result},
        output::CommandOutput,
        review,
    },
    cowslip_adapter::{
        config::Config,
        store::{OPERATOR_TABLE, OperatorRow, Row, Store},
    },
    cowslip_decide::memory_budget::MemoryBudget,
    cowslip_settings::operator::OperatorSettings,
    serde_json::{Value, json},
    std::{fs, path::Path, time::Duration},
};

/// Memory for responses of the store: 64 MiB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A configuration and where it was read from.
pub(crate) struct NamedConfig {
    name: String,
    config: Config,
}

/// Reads a configuration file.
pub(crate) fn read_file(path: &Path) -> Result<NamedConfig> {
    let name = path.display().to_string();
    let text = fs::read(path).map_err(|cause| Error::File {
        file: name.clone(),
        cause,
    })?;
    let config = decode_configuration(&text, &name)?;
    Ok(NamedConfig { name, config })
}

/// Reads the configuration in the store.
pub(crate) async fn read_stored(settings: &OperatorSettings) -> Result<NamedConfig> {
    let rows = read_operator_rows(settings).await?;
    let body = rows.iter().find_map(configuration_body);
    let body = body.ok_or_else(|| Error::Failure("no configuration in the store".to_owned()))?;
    let config = decode_configuration(body, "store")?;
    let name = "store".to_owned();
    Ok(NamedConfig { name, config })
}

/// Validates a configuration, and shows what differs from the one in force; fails also for parts that
/// instances would skip, and for a version that they would ignore.
pub(crate) fn check(
    NamedConfig { name, config }: &NamedConfig,
    in_force: Option<&NamedConfig>,
) -> Result<CommandOutput> {
    let causes: Vec<String> = config
        .decode_errors
        .iter()
        .map(ToString::to_string)
        .collect();
    if !causes.is_empty() {
        let causes = causes.join("\n  ");
        return Err(Error::Failure(format!(
            "{name}: invalid parts, which instances skip:\n  {causes}"
        )));
    }
    if let Some(known) = in_force.filter(|it| it.config.version >= config.version) {
        return Err(Error::Failure(format!(
            "{name}: version {} is not above {} of {}, so instances ignore it",
            config.version, known.config.version, known.name
        )));
    }
    let findings = review::review(config);
    let changes = in_force.map(|it| differences::compare(&it.config, config));
    let mut text = format!("{name}: valid, {}\n", format_counts(config));
    for finding in &findings {
        text += &format!("warning: {finding}\n");
    }
    for change in changes.iter().flatten() {
        text += &format!("change: {change}\n");
    }
    let mut json = summarize(config);
    json["warnings"] = json!(findings);
    json["changes"] = json!(changes);
    Ok(CommandOutput::success(text, json))
}

/// Shows the configuration and the withdrawn data centres that are in the store.
pub(crate) async fn show_stored(settings: &OperatorSettings) -> Result<CommandOutput> {
    let rows = read_operator_rows(settings).await?;
    let body = rows.iter().find_map(configuration_body);
    let body = body.ok_or_else(|| Error::Failure("no configuration in the store".to_owned()))?;
    let config = decode_configuration(body, "store")?;
    let withdrawn: Vec<String> = rows.iter().filter_map(withdrawn_data_centre).collect();
    let names = match withdrawn.is_empty() {
        true => "none".to_owned(),
        false => withdrawn.join(", "),
    };
    let mut text = format!(
        "{}\nwithdrawn data centres: {names}\n",
        format_counts(&config)
    );
    for route in &config.routes {
        let split = route.traffic_split.iter();
        let split: Vec<String> = split
            .map(|(name, weight)| format!("{name}:{weight}"))
            .collect();
        text += &format!(
            "route {} {}{} rank {} timeout {} ms to {}\n",
            route.name,
            route.host,
            route.path_prefix,
            route.priority,
            route.timeout.as_millis(),
            split.join(" "),
        );
    }
    for error in &config.decode_errors {
        text += &format!("skipped: {error}\n");
    }
    let mut json = summarize(&config);
    json["withdrawn"] = json!(withdrawn);
    Ok(CommandOutput::success(text, json))
}

async fn read_operator_rows(settings: &OperatorSettings) -> Result<Vec<Row>> {
    let missing_store =
        || Error::MissingInput("settings: store: missing, expected an address".to_owned());
    let address = settings.store.ok_or_else(missing_store)?;
    let time_limit = Duration::from_millis(settings.timeout_ms);
    let rows = Store::new(address, MemoryBudget::new(MAX_RESPONSE_BYTES))
        .read_table(OPERATOR_TABLE, time_limit)
        .await;
    let rows = rows.map_err(|error| Error::Unreachable(error.to_string()))?;
    Ok(rows.rows)
}

fn decode_configuration(body: &[u8], name: &str) -> Result<Config> {
    Config::try_from(body).map_err(|error| Error::Failure(format!("{name}: {error}")))
}

fn configuration_body(row: &Row) -> Option<&[u8]> {
    match OperatorRow::from_key(&row.key) {
        OperatorRow::Config => row.value.as_deref(),
        _ => None,
    }
}

fn withdrawn_data_centre(row: &Row) -> Option<String> {
    match OperatorRow::from_key(&row.key) {
        OperatorRow::Withdrawn(data_centre) => row.value.as_ref().map(|_| data_centre),
        _ => None,
    }
}

fn format_counts(config: &Config) -> String {
    let (version, routes) = (config.version, config.routes.len());
    let services = config.services.len();
    format!("version {version}, {routes} routes, {services} services")
}

fn summarize(config: &Config) -> Value {
    let skipped = config.decode_errors.iter().map(ToString::to_string);
    json!({
        "version": config.version,
        "routes": config.routes.len(),
        "services": config.services.keys().collect::<Vec<_>>(),
        "skipped": skipped.collect::<Vec<_>>(),
    })
}
