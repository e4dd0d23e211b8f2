//! Section `listen`: the addresses that a process listens on.

use {
    crate::{
        error::Result,
        field::{Field, Kind},
        reader::Section,
    },
    std::net::SocketAddr,
};

const CALLERS: Field = field("listen.callers", "Address for callers.");
const PEERS: Field = field("listen.peers", "Address for other instances.");
const OPERATORS: Field = field("listen.operators", "Address for operators.");

/// Addresses that a process listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

impl Listen {
    /// Every field of the section.
    pub const FIELDS: &'static [Field] = &[CALLERS, PEERS, OPERATORS];

    /// Reads the section.
    pub(crate) fn read(root: &Section<'_>) -> Result<Self> {
        let section = root
            .section("listen")?
            .ok_or_else(|| root.missing("listen", "a table with callers, peers and operators"))?;
        Ok(Self {
            callers: section.address(&CALLERS)?,
            peers: section.address(&PEERS)?,
            operators: section.address(&OPERATORS)?,
        })
    }
}

const fn field(path: &'static str, meaning: &'static str) -> Field {
    Field {
        path,
        kind: Kind::Listen,
        unit: "",
        default: None,
        meaning,
    }
}
