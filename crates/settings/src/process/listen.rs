//! Section `listen`: the addresses that a process listens on.

use {
    crate::{
        error::Result,
        field::{Field, ValueType},
        reader::Section,
    },
    std::net::SocketAddr,
};

const CALLERS: Field = field("listen.callers", "Address for callers.");
const READINESS: Field = field(
    "listen.readiness",
    "Address for the platform's question whether the instance is ready.",
);
const OPERATORS: Field = field("listen.operators", "Address for operators.");
const HEARTBEATS: Field = field(
    "listen.heartbeats",
    "Address for datagrams of other instances.",
);

/// Addresses that a process listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's question whether the instance is ready.
    pub readiness: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for datagrams of other instances.
    pub heartbeats: SocketAddr,
}

impl Listen {
    /// Every field of the section.
    pub const FIELDS: &'static [Field] = &[CALLERS, READINESS, OPERATORS, HEARTBEATS];

    /// Reads the section.
    pub(crate) fn read(root: &Section<'_>) -> Result<Self> {
        let section = root
            .section("listen")?
            .ok_or_else(|| root.missing("listen", "a table of addresses"))?;
        Ok(Self {
            callers: section.address(&CALLERS)?,
            readiness: section.address(&READINESS)?,
            operators: section.address(&OPERATORS)?,
            heartbeats: section.address(&HEARTBEATS)?,
        })
    }
}

const fn field(path: &'static str, description: &'static str) -> Field {
    Field {
        path,
        value_type: ValueType::Address,
        unit: "",
        default: None,
        description,
    }
}
