//! The configuration document: one validated text that is the whole configuration in force.

mod check;
mod edit;
mod fields;
mod read;

pub use {edit::with_withdrawn, fields::FIELDS};

use {
    crate::{error::Result, reader::Source},
    cowslip_decide::{names::Name, verdict::Priority},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::collections::BTreeSet,
};

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Services in the order of the document.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Data centres that get no new work.
    #[serde(default)]
    pub withdrawn: BTreeSet<Name>,
}

/// A service: targets that answer the same routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// First segment of the path of its requests.
    pub name: Name,
    /// Whether each key has one owning target.
    pub divided: bool,
    /// Kinds of request.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Servers of the service.
    #[serde(rename = "target")]
    pub targets: Vec<Target>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Second segment of the path of its requests.
    pub name: Name,
    /// HTTP method.
    pub method: Name,
    /// Rank in every queue.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Longest time from arrival to answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique over all services.
    pub name: Name,
    /// Address as `ip:port`.
    pub address: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Requests that it runs at the same time once warm.
    pub slots: u32,
    /// Requests that it bears at the same time while cold.
    pub cold_limit: u32,
    /// Connections that it bears over all instances.
    pub connections: u32,
    /// Whether it accepts grants and refuses requests with an older fence.
    pub checks_fence: bool,
}

/// Reads and checks a document; `file` is its name in errors.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn parse(text: &str, file: &str) -> Result<Document> {
    let source = Source {
        file: file.into(),
        text,
        fields: FIELDS,
    };
    let table = source.parse()?;
    let root = source.root(&table)?;
    let document = read::document(&root)?;
    check::document(&root, &document)?;
    Ok(document)
}

/// Returns the SHA-256 of a document's text as 64 hexadecimal digits; its key in the object store.
pub fn hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Document {
    /// Returns every data centre that a target stands in.
    pub fn data_centres(&self) -> BTreeSet<&Name> {
        let targets = self.services.iter().flat_map(|service| &service.targets);
        targets.map(|target| &target.data_centre).collect()
    }
}
