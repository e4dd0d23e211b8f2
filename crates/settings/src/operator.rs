//! Settings of the operators' command.

use {
    crate::{
        error::{Error, Result},
        field::{Field, Kind},
        overrides::Overrides,
        process::platform::{BUCKET, OBJECTS, TABLE, TABLE_NAME},
        reader::{Section, Source},
    },
    cowslip_decide::names::Name,
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc},
};

const AUTHOR: Field = Field {
    path: "author",
    kind: Kind::Text(1, 64),
    unit: "",
    default: Some("operator"),
    meaning: "Who publishes, as others see it in a lost race.",
};
const TOKEN: Field = Field {
    path: "token",
    kind: Kind::Secret(0, 256),
    unit: "",
    default: Some(""),
    meaning: "Secret of the operators' ports.",
};
const TIMEOUT: Field = Field {
    path: "timeout_ms",
    kind: Kind::Number(10, 600_000),
    unit: "ms",
    default: Some("2000"),
    meaning: "Longest time for a call of the platform or of an instance.",
};
const INSTANCE: Field = Field {
    path: "instances.*",
    kind: Kind::Address,
    unit: "",
    default: None,
    meaning: "Address of the operators' port of the instance of that name.",
};

/// Every field of the settings, in the order of the docs.
pub const FIELDS: &[Field] = &[
    AUTHOR, TOKEN, TIMEOUT, TABLE, OBJECTS, TABLE_NAME, BUCKET, INSTANCE,
];

/// Settings of the operators' command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Who publishes.
    pub author: Name,
    /// Secret of the operators' ports.
    pub token: Name,
    /// Longest time for a call, in milliseconds.
    pub timeout_ms: u64,
    /// Services of the platform; `None` without the section.
    pub platform: Option<Platform>,
    /// Addresses of the operators' ports by the name of the instance.
    pub instances: BTreeMap<Name, SocketAddr>,
}

/// Services of the platform that the command uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// URL of the table service.
    pub table: Name,
    /// URL of the object store.
    pub objects: Name,
    /// Name of the table.
    pub table_name: Name,
    /// Bucket of the object store.
    pub bucket: Name,
}

/// Reads the settings from a file, if there is one, with the values of flags put over them.
///
/// # Errors
/// Names the file, the line, the path of the field and what was expected.
pub fn load(path: Option<&Path>, overrides: &Overrides) -> Result<Operator> {
    let Some(path) = path else {
        return parse("", "settings", overrides);
    };
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
pub fn parse(text: &str, file: &str, overrides: &Overrides) -> Result<Operator> {
    let source = Source {
        file: file.into(),
        text,
        fields: FIELDS,
    };
    let mut table = source.parse()?;
    overrides.apply(table.get_mut())?;
    let root = source.root(&table)?;
    let platform = root.section("platform")?;
    Ok(Operator {
        author: root.text(&AUTHOR)?,
        token: root.text(&TOKEN)?,
        timeout_ms: root.number(&TIMEOUT)?,
        platform: platform.as_ref().map(platform_of).transpose()?,
        instances: root.addresses("instances", &INSTANCE)?,
    })
}

fn platform_of(section: &Section<'_>) -> Result<Platform> {
    Ok(Platform {
        table: section.text(&TABLE)?,
        objects: section.text(&OBJECTS)?,
        table_name: section.text(&TABLE_NAME)?,
        bucket: section.text(&BUCKET)?,
    })
}
