//! Settings of an instance's process, in TOML.

use {
    cowslip_adapter::text,
    cowslip_decide::names::Name,
    eyre::{WrapErr, bail},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Result of reading the settings.
pub type Result<T> = eyre::Result<T>;

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in a deployment.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Times and shares within which the deployment has to react.
    pub bounds: Bounds,
}

/// Addresses that the process listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's question whether the instance is ready.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub operators: SocketAddr,
    /// Address for datagrams of other instances.
    pub heartbeats: SocketAddr,
}

/// Times and shares within which the deployment has to react.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the stop signal at which the process is killed.
    pub grace: Duration,
    /// Time for which a target takes requests after it reported that it leaves.
    pub drain: Duration,
    /// Time after which a withdrawn data centre gets nothing more.
    pub withdrawal: Duration,
    /// Longest hold of a grant.
    pub max_hold: Duration,
    /// Repeated sends for each request.
    pub retry_ratio: f64,
    /// Repeated sends of all instances beyond that share.
    pub retry_slack: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Duration,
    /// Multiple of a target's cold rate that it may get.
    pub cold_factor: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            drain: Duration::from_secs(2),
            withdrawal: Duration::from_secs(5),
            max_hold: Duration::from_secs(10),
            retry_ratio: 0.2,
            retry_slack: 30.0,
            retry_window: Duration::from_secs(10),
            cold_factor: 1.0,
        }
    }
}

#[derive(Deserialize)]
struct WireSettings {
    name: Name,
    data_centre: Name,
    store: String,
    listen: Listen,
    #[serde(default)]
    bounds: WireBounds,
}

/// Bounds as texts; an empty or absent one has its default.
#[derive(Default, Deserialize)]
#[serde(default)]
struct WireBounds {
    grace: String,
    drain: String,
    withdrawal: String,
    max_hold: String,
    retry_ratio: String,
    retry_slack: String,
    retry_window: String,
    cold_factor: String,
}

impl TryFrom<WireSettings> for Settings {
    type Error = eyre::Report;

    fn try_from(wire: WireSettings) -> Result<Self> {
        if wire.name.is_empty() {
            bail!("name is empty");
        }
        Ok(Self {
            name: wire.name,
            data_centre: wire.data_centre,
            listen: wire.listen,
            store: wire
                .store
                .parse()
                .wrap_err_with(|| format!("store = {:?} is no ip:port", wire.store))?,
            bounds: wire.bounds.try_into()?,
        })
    }
}

impl TryFrom<WireBounds> for Bounds {
    type Error = eyre::Report;

    fn try_from(wire: WireBounds) -> Result<Self> {
        let usual = Self::default();
        Ok(Self {
            grace: time("grace", &wire.grace, usual.grace)?,
            drain: time("drain", &wire.drain, usual.drain)?,
            withdrawal: time("withdrawal", &wire.withdrawal, usual.withdrawal)?,
            max_hold: time("max_hold", &wire.max_hold, usual.max_hold)?,
            retry_ratio: number("retry_ratio", &wire.retry_ratio, usual.retry_ratio)?,
            retry_slack: number("retry_slack", &wire.retry_slack, usual.retry_slack)?,
            retry_window: time("retry_window", &wire.retry_window, usual.retry_window)?,
            cold_factor: number("cold_factor", &wire.cold_factor, usual.cold_factor)?,
        })
    }
}

/// Reads the settings from a file.
///
/// # Errors
/// Names the file and the field, and what was expected.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("cannot read {file}"))?;
    parse(&text).wrap_err_with(|| format!("{file} is not valid"))
}

/// Reads the settings from a text; unknown fields are ignored.
///
/// # Errors
/// Names the field and what was expected.
pub fn parse(text: &str) -> Result<Settings> {
    let wire: WireSettings = toml::from_str(text)?;
    wire.try_into()
}

fn time(field: &str, value: &str, usual: Duration) -> Result<Duration> {
    match value {
        "" => Ok(usual),
        value => text::duration(value).wrap_err_with(|| format!("bounds.{field}")),
    }
}

fn number(field: &str, value: &str, usual: f64) -> Result<f64> {
    if value.is_empty() {
        return Ok(usual);
    }
    let number: f64 = value
        .parse()
        .wrap_err_with(|| format!("bounds.{field} = {value:?} is no number"))?;
    if !number.is_finite() || number < 0.0 {
        bail!("bounds.{field} = {value:?} is below 0 or not finite");
    }
    Ok(number)
}
