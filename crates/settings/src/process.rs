//! Settings of an instance's process.

pub mod bounds;
pub mod listen;

use {
    crate::{
        error::Result,
        field::{Field, ValueType},
        overrides::Overrides,
        reader::{self, Section},
    },
    bounds::Bounds,
    cowslip_decide::names::Name,
    listen::Listen,
    std::{net::SocketAddr, path::Path},
};

const NAME: Field = Field {
    path: "name",
    value_type: ValueType::Text(1, 200),
    unit: "",
    default: None,
    description: "Name of the instance, unique in a deployment.",
};
const DATA_CENTRE: Field = Field {
    path: "data_centre",
    value_type: ValueType::Text(1, 200),
    unit: "",
    default: None,
    description: "Data centre of the instance.",
};
const STORE: Field = Field {
    path: "store",
    value_type: ValueType::Address,
    unit: "",
    default: None,
    description: "Address of the platform's store.",
};
const TOKEN: Field = Field {
    path: "token",
    value_type: ValueType::Secret(0, 256),
    unit: "",
    default: Some(""),
    description: "Secret for `/status` and `/events`; without one these are closed.",
};

const CPU: Field = Field {
    path: "cpu",
    value_type: ValueType::Decimal,
    unit: "cores",
    default: Some("1"),
    description: "Part of a core that the instance has; those with more do more for the others.",
};

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the instance, unique in a deployment.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Part of a core that the instance has.
    pub cpu: f64,
    /// Secret for operators' pages; an empty one closes them.
    pub token: Name,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Times and shares within which the deployment has to react.
    pub bounds: Bounds,
}

/// Every field of the settings, in the order of the docs.
pub const FIELDS: &[Field] = &joined();

/// Reads the settings from a file, with the values of flags put over them.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn load(path: &Path, overrides: &Overrides) -> Result<ProcessSettings> {
    let (file, text) = reader::file(path)?;
    parse(&text, &file, overrides)
}

/// Reads the settings from a text; `file` is its name in errors.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<ProcessSettings> {
    reader::parse(text, file, FIELDS, overrides, read)
}

fn read(root: &Section<'_>) -> Result<ProcessSettings> {
    Ok(ProcessSettings {
        name: root.text(&NAME)?,
        data_centre: root.text(&DATA_CENTRE)?,
        store: root.address(&STORE)?,
        cpu: root.share(&CPU)?,
        token: root.text(&TOKEN)?,
        listen: Listen::read(root)?,
        bounds: Bounds::read(root)?,
    })
}

const PARTS: [&[Field]; 3] = [
    &[NAME, DATA_CENTRE, STORE, CPU, TOKEN],
    Listen::FIELDS,
    Bounds::FIELDS,
];

const COUNT: usize = PARTS[0].len() + PARTS[1].len() + PARTS[2].len();

const fn joined() -> [Field; COUNT] {
    let mut fields = [NAME; COUNT];
    let (mut at, mut part) = (0, 0);
    while part < PARTS.len() {
        let mut index = 0;
        while index < PARTS[part].len() {
            fields[at] = PARTS[part][index];
            at += 1;
            index += 1;
        }
        part += 1;
    }
    fields
}
