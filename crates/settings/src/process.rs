//! Settings of an instance of the router, which is one process.

pub mod bounds;
pub mod listen;

use {
    crate::{
        error::Result,
        field::{DataType, Field},
        overrides::Overrides,
        reader::{self, Section, UnknownFields},
    },
    bounds::Bounds,
    cowslip_decide::names::Name,
    listen::ListenAddresses,
    std::{net::SocketAddr, path::Path},
};

const NAME_FIELD: Field = Field {
    path: "name",
    data_type: DataType::Text(1, 200),
    unit: "",
    default: None,
    description: "Name of the instance, unique in a deployment.",
};
const DATA_CENTRE_FIELD: Field = Field {
    path: "data_centre",
    data_type: DataType::Text(1, 200),
    unit: "",
    default: None,
    description: "Data centre in which the instance runs.",
};
const STORE_FIELD: Field = Field {
    path: "store",
    data_type: DataType::Address,
    unit: "",
    default: None,
    description: "Address of the platform's store.",
};
const TOKEN_FIELD: Field = Field {
    path: "token",
    data_type: DataType::Secret(0, 256),
    unit: "",
    default: Some(""),
    description: "Bearer token for `/status` and `/events`; if empty, both are denied.",
};

const CPU_FIELD: Field = Field {
    path: "cpu",
    data_type: DataType::Decimal,
    unit: "cores",
    default: Some("1"),
    description: "CPU cores of the instance; more make it a likelier leader and pool coordinator.",
};

const LINK_FIELD: Field = Field {
    path: "link",
    data_type: DataType::Decimal,
    unit: "Mbit/s",
    default: Some("1000"),
    description: "Bandwidth of the instance's link; on narrow ones requests leave their data centre only if that pays.",
};

const MEMORY_FIELD: Field = Field {
    path: "memory",
    data_type: DataType::Decimal,
    unit: "MiB",
    default: Some("260"),
    description: "Memory of the instance; three quarters of it may be held by messages and connections.",
};

const BOOTSTRAP_FIELD: Field = Field {
    path: "bootstrap",
    data_type: DataType::Flag,
    unit: "",
    default: Some("false"),
    description: "Whether the whole system starts for the first time, so that no target can own keys.",
};

/// Settings of an instance of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the instance, unique in a deployment.
    pub name: Name,
    /// Data centre in which the instance runs.
    pub data_centre: Name,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Number of CPU cores available to the instance, such as 0.5.
    pub cpu: f64,
    /// Bandwidth of the instance's link in Mbit/s.
    pub link: f64,
    /// Memory of the instance in MiB.
    pub memory: f64,
    /// Whether the whole system starts for the first time, so that no target can own keys yet.
    pub bootstrap: bool,
    /// Bearer token for `/status` and `/events`; if empty, all requests to them are denied.
    pub token: Name,
    /// Addresses on which the instance listens.
    pub listen: ListenAddresses,
    /// Time limits and retry budget of the deployment.
    pub bounds: Bounds,
    /// Locations and paths of the file's fields that this build does not know.
    pub ignored: Vec<String>,
}

/// All fields, in the order of the docs.
pub const FIELDS: &[Field] = &concat_fields();

/// Reads the settings from a file and applies the overrides.
///
/// # Errors
/// Fails if the file cannot be read or a value is not valid.
pub fn load(path: &Path, overrides: &Overrides) -> Result<ProcessSettings> {
    let (file, text) = reader::read_file(path)?;
    parse(&text, &file, overrides)
}

/// Reads the settings from TOML and applies the overrides; `file` is the name used in errors.
///
/// # Errors
/// Fails if the text is not valid TOML or a value is not valid.
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<ProcessSettings> {
    reader::parse(
        text,
        file,
        (FIELDS, UnknownFields::Ignored),
        overrides,
        read_settings,
    )
}

fn read_settings(root: &Section<'_>) -> Result<ProcessSettings> {
    Ok(ProcessSettings {
        name: root.read_text(&NAME_FIELD)?,
        data_centre: root.read_text(&DATA_CENTRE_FIELD)?,
        store: root.read_address(&STORE_FIELD)?,
        cpu: root.read_decimal(&CPU_FIELD)?,
        link: root.read_decimal(&LINK_FIELD)?,
        memory: root.read_decimal(&MEMORY_FIELD)?,
        bootstrap: root.read_flag(&BOOTSTRAP_FIELD)?,
        token: root.read_text(&TOKEN_FIELD)?,
        listen: ListenAddresses::from_root(root)?,
        bounds: Bounds::from_root(root)?,
        ignored: root.ignored_fields(),
    })
}

const FIELD_GROUPS: [&[Field]; 3] = [
    &[
        NAME_FIELD,
        DATA_CENTRE_FIELD,
        STORE_FIELD,
        CPU_FIELD,
        LINK_FIELD,
        MEMORY_FIELD,
        BOOTSTRAP_FIELD,
        TOKEN_FIELD,
    ],
    ListenAddresses::FIELDS,
    Bounds::FIELDS,
];

const FIELD_COUNT: usize = FIELD_GROUPS[0].len() + FIELD_GROUPS[1].len() + FIELD_GROUPS[2].len();

const fn concat_fields() -> [Field; FIELD_COUNT] {
    let mut fields = [NAME_FIELD; FIELD_COUNT];
    let (mut filled, mut group) = (0, 0);
    while group < FIELD_GROUPS.len() {
        let mut index = 0;
        while index < FIELD_GROUPS[group].len() {
            fields[filled] = FIELD_GROUPS[group][index];
            filled += 1;
            index += 1;
        }
        group += 1;
    }
    fields
}
