//! Section `platform`: where the services of the platform are.

use {
    crate::{
        error::Result,
        field::{Field, Kind},
        reader::Section,
    },
    cowslip_decide::names::Name,
};

pub(crate) const TABLE: Field = url("platform.table", "Table service.");
pub(crate) const OBJECTS: Field = url("platform.objects", "Object store.");
const INSTANCES: Field = url("platform.instances", "Instance list.");
pub(crate) const TABLE_NAME: Field = name("platform.table_name", "Name of the table.");
pub(crate) const BUCKET: Field = name("platform.bucket", "Bucket of the object store.");

/// Start of every URL of the platform.
const SCHEME: &str = "http://";

/// Services of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// URL of the table service.
    pub table: Name,
    /// URL of the object store.
    pub objects: Name,
    /// URL of the instance list.
    pub instances: Name,
    /// Name of the table, `cowslipcross` by default.
    pub table_name: Name,
    /// Bucket of the object store, `cowslipcross` by default.
    pub bucket: Name,
}

impl Platform {
    /// Every field of the section.
    pub const FIELDS: &'static [Field] = &[TABLE, OBJECTS, INSTANCES, TABLE_NAME, BUCKET];

    /// Reads the section.
    pub(crate) fn read(root: &Section<'_>) -> Result<Self> {
        let section = root
            .section("platform")?
            .ok_or_else(|| root.missing("platform", "a table with table, objects and instances"))?;
        Ok(Self {
            table: section.text(&TABLE)?,
            objects: section.text(&OBJECTS)?,
            instances: section.text(&INSTANCES)?,
            table_name: section.text(&TABLE_NAME)?,
            bucket: section.text(&BUCKET)?,
        })
    }
}

/// Returns the `ip:port` of a URL of the settings.
pub fn address(url: &str) -> &str {
    url.strip_prefix(SCHEME).unwrap_or(url)
}

const fn url(path: &'static str, meaning: &'static str) -> Field {
    Field {
        path,
        kind: Kind::Url,
        unit: "",
        default: None,
        meaning,
    }
}

const fn name(path: &'static str, meaning: &'static str) -> Field {
    Field {
        path,
        kind: Kind::Name,
        unit: "",
        default: Some("cowslipcross"),
        meaning,
    }
}
