//! Settings of the operators' command.

use {
    crate::{
        error::Result,
        field::{DataType, Field},
        overrides::Overrides,
        reader::{self, Section, UnknownFields},
    },
    cowslip_decide::names::Name,
    std::{collections::BTreeMap, net::SocketAddr, path::Path},
};

const TOKEN_FIELD: Field = Field {
    path: "token",
    data_type: DataType::Secret(0, 256),
    unit: "",
    default: Some(""),
    description: "Bearer token for the operators' ports of the instances.",
};
const STORE_FIELD: Field = Field {
    path: "store",
    data_type: DataType::Address,
    unit: "",
    default: Some(""),
    description: "Address of the platform's store; required by `show`.",
};
const TIMEOUT_FIELD: Field = Field {
    path: "timeout_ms",
    data_type: DataType::Integer(10, 600_000),
    unit: "ms",
    default: Some("2000"),
    description: "Time limit for a request to the store or to an instance.",
};
const INSTANCE_FIELD: Field = Field {
    path: "instances.*",
    data_type: DataType::Address,
    unit: "",
    default: None,
    description: "Address of the operators' port of the instance with this name.",
};

/// All fields, in the order of the docs.
pub const FIELDS: &[Field] = &[STORE_FIELD, TOKEN_FIELD, TIMEOUT_FIELD, INSTANCE_FIELD];

/// Settings of the operators' command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address of the platform's store; only `show` needs it.
    pub store: Option<SocketAddr>,
    /// Bearer token for the operators' ports.
    pub token: Name,
    /// Time limit for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Addresses of the operators' ports by instance name.
    pub instances: BTreeMap<Name, SocketAddr>,
}

/// Reads the settings from a file, or the defaults without one, and applies the overrides.
///
/// # Errors
/// Fails if the file cannot be read or a value is not valid.
pub fn load(path: Option<&Path>, overrides: &Overrides) -> Result<OperatorSettings> {
    let Some(path) = path else {
        return parse("", "settings", overrides);
    };
    let (file, text) = reader::read_file(path)?;
    parse(&text, &file, overrides)
}

/// Reads the settings from TOML and applies the overrides; `file` is the name used in errors.
///
/// # Errors
/// Fails if the text is not valid TOML or a value is not valid.
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<OperatorSettings> {
    reader::parse(
        text,
        file,
        (FIELDS, UnknownFields::Rejected),
        overrides,
        read_settings,
    )
}

fn read_settings(root: &Section<'_>) -> Result<OperatorSettings> {
    Ok(OperatorSettings {
        store: root.read_optional_address(&STORE_FIELD)?,
        token: root.read_text(&TOKEN_FIELD)?,
        timeout_ms: root.read_integer(&TIMEOUT_FIELD)?,
        instances: root.read_addresses("instances", &INSTANCE_FIELD)?,
    })
}
