//! Section `listen`: addresses on which an instance listens.

use {
    crate::{
        error::Result,
        field::{DataType, Field},
        reader::Section,
    },
    std::net::SocketAddr,
};

const CALLERS_FIELD: Field = address_field("listen.callers", "Address for requests of callers.");
const READINESS_FIELD: Field = address_field(
    "listen.readiness",
    "Address for readiness probes of the platform.",
);
const OPERATORS_FIELD: Field =
    address_field("listen.operators", "Address for requests of operators.");
const HEARTBEATS_FIELD: Field = address_field(
    "listen.heartbeats",
    "UDP address for heartbeats and other messages between instances, and TCP address for requests that they pass on.",
);

/// Addresses on which an instance listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness probes of the platform.
    pub readiness: SocketAddr,
    /// Address for requests of operators.
    pub operators: SocketAddr,
    /// UDP address for heartbeats and other messages between instances, and TCP address for requests that
    /// they pass on.
    pub heartbeats: SocketAddr,
}

impl ListenAddresses {
    /// All fields of the section, in the order of the docs.
    pub const FIELDS: &'static [Field] = &[
        CALLERS_FIELD,
        READINESS_FIELD,
        OPERATORS_FIELD,
        HEARTBEATS_FIELD,
    ];

    /// Reads the section, which is required.
    pub(crate) fn from_root(root: &Section<'_>) -> Result<Self> {
        let section = root
            .read_section("listen")?
            .ok_or_else(|| root.missing_key("listen", "a table of addresses"))?;
        Ok(Self {
            callers: section.read_address(&CALLERS_FIELD)?,
            readiness: section.read_address(&READINESS_FIELD)?,
            operators: section.read_address(&OPERATORS_FIELD)?,
            heartbeats: section.read_address(&HEARTBEATS_FIELD)?,
        })
    }
}

const fn address_field(path: &'static str, description: &'static str) -> Field {
    Field {
        path,
        data_type: DataType::Address,
        unit: "",
        default: None,
        description,
    }
}
