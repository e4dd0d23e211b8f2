//! Settings of an instance's process.

pub mod limits;
pub mod listen;
pub mod platform;
pub mod timing;

use {
    crate::{
        error::{Error, Result},
        field::{Field, Kind},
        overrides::Overrides,
        reader::{Section, Source},
    },
    cowslip_decide::names::Name,
    limits::Limits,
    listen::Listen,
    platform::Platform,
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc},
    timing::Timing,
};

const NAME: Field = field(
    "name",
    Kind::Name,
    "Name of the instance, unique in a deployment.",
);
const DATA_CENTRE: Field = field("data_centre", Kind::Name, "Data centre of the instance.");
const DEPLOYMENT: Field = field(
    "deployment",
    Kind::Name,
    "Deployment; instances of another one are refused.",
);
const TOKEN: Field = field(
    "token",
    Kind::Secret(8, 256),
    "Secret of the operators' port and of the peers.",
);
const PEER: Field = field(
    "peers.*",
    Kind::Address,
    "Address of the instance of that name.",
);

/// Settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Deployment; instances of another one are refused.
    pub deployment: Name,
    /// Secret of the operators' port and of the peers.
    pub token: Name,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Services of the platform.
    pub platform: Platform,
    /// Addresses of the instances by name, this one included or not.
    pub peers: BTreeMap<Name, SocketAddr>,
    /// Periods, leases and grants.
    pub timing: Timing,
    /// Sizes, queues and bounds of time for callers.
    pub limits: Limits,
}

/// Every field of the settings, in the order of the docs.
pub const FIELDS: &[Field] = &joined();

/// Reads the settings from a file, with the values of flags put over them.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn load(path: &Path, overrides: &Overrides) -> Result<Process> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|cause| Error::Unreadable {
        file: file.as_str().into(),
        cause: Arc::new(cause),
    })?;
    parse(&text, &file, overrides)
}

/// Reads the settings from a text; `file` is its name in errors.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<Process> {
    let source = Source {
        file: file.into(),
        text,
        fields: FIELDS,
    };
    let mut table = source.parse()?;
    overrides.apply(table.get_mut())?;
    let root = source.root(&table)?;
    read(&root)
}

fn read(root: &Section<'_>) -> Result<Process> {
    let process = Process {
        name: root.text(&NAME)?,
        data_centre: root.text(&DATA_CENTRE)?,
        deployment: root.text(&DEPLOYMENT)?,
        token: root.text(&TOKEN)?,
        listen: Listen::read(root)?,
        platform: Platform::read(root)?,
        peers: root.addresses("peers", &PEER)?,
        timing: Timing::read(root)?,
        limits: Limits::read(root)?,
    };
    process.timing.check(root)?;
    Ok(process)
}

const fn field(path: &'static str, kind: Kind, meaning: &'static str) -> Field {
    Field {
        path,
        kind,
        unit: "",
        default: None,
        meaning,
    }
}

const PARTS: [&[Field]; 6] = [
    &[NAME, DATA_CENTRE, DEPLOYMENT, TOKEN],
    Listen::FIELDS,
    Platform::FIELDS,
    &[PEER],
    Timing::FIELDS,
    Limits::FIELDS,
];

const COUNT: usize = {
    let (mut count, mut part) = (0, 0);
    while part < PARTS.len() {
        count += PARTS[part].len();
        part += 1;
    }
    count
};

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
