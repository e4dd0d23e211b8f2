//! Settings of the operators' command.

use {
    crate::{
        error::Result,
        field::{Field, ValueType},
        overrides::Overrides,
        reader::{self, Section},
    },
    cowslip_decide::names::Name,
    std::{collections::BTreeMap, net::SocketAddr, path::Path},
};

const TOKEN: Field = Field {
    path: "token",
    value_type: ValueType::Secret(0, 256),
    unit: "",
    default: Some(""),
    description: "Secret of the operators' ports.",
};
const STORE: Field = Field {
    path: "store",
    value_type: ValueType::Address,
    unit: "",
    default: Some(""),
    description: "Address of the platform's store; `show` needs it.",
};
const TIMEOUT: Field = Field {
    path: "timeout_ms",
    value_type: ValueType::Integer(10, 600_000),
    unit: "ms",
    default: Some("2000"),
    description: "Longest time for a call of the store or of an instance.",
};
const INSTANCE: Field = Field {
    path: "instances.*",
    value_type: ValueType::Address,
    unit: "",
    default: None,
    description: "Address of the operators' port of the instance of that name.",
};

/// Every field of the settings, in the order of the docs.
pub const FIELDS: &[Field] = &[STORE, TOKEN, TIMEOUT, INSTANCE];

/// Settings of the operators' command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address of the platform's store.
    pub store: Option<SocketAddr>,
    /// Secret of the operators' ports.
    pub token: Name,
    /// Longest time for a call, in milliseconds.
    pub timeout_ms: u64,
    /// Addresses of the operators' ports by the name of the instance.
    pub instances: BTreeMap<Name, SocketAddr>,
}

/// Reads the settings from a file, if there is one, with the values of flags put over them.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn load(path: Option<&Path>, overrides: &Overrides) -> Result<OperatorSettings> {
    let Some(path) = path else {
        return parse("", "settings", overrides);
    };
    let (file, text) = reader::file(path)?;
    parse(&text, &file, overrides)
}

/// Reads the settings from a text; `file` is its name in errors.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<OperatorSettings> {
    reader::parse(text, file, FIELDS, overrides, read)
}

fn read(root: &Section<'_>) -> Result<OperatorSettings> {
    Ok(OperatorSettings {
        store: root.optional_address(&STORE)?,
        token: root.text(&TOKEN)?,
        timeout_ms: root.number(&TIMEOUT)?,
        instances: root.addresses("instances", &INSTANCE)?,
    })
}
