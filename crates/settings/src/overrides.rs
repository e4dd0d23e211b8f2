//! Values of flags that replace values of a settings file.

use {
    crate::{
        error::{Error, Location, Result},
        reader::FLAG,
    },
    std::collections::BTreeMap,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Values by the path of their field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(pub BTreeMap<String, String>);

impl Overrides {
    /// Parses flags of the form `path=value`; a later one replaces an earlier one.
    ///
    /// # Errors
    /// Names the flag without `=`.
    pub fn parse<'a>(flags: impl IntoIterator<Item = &'a str>) -> Result<Self> {
        let mut values = BTreeMap::new();
        for flag in flags {
            let (path, value) = flag.split_once('=').ok_or_else(|| Error::InvalidValue {
                location: Location::Flag,
                path: flag.to_owned(),
                expected: "path=value".to_owned(),
                found: format!("{flag:?}"),
            })?;
            values.insert(path.trim().to_owned(), value.trim().to_owned());
        }
        Ok(Self(values))
    }

    /// Puts the values into a parsed file.
    pub(crate) fn apply<'a>(&'a self, table: &mut DeTable<'a>) -> Result<()> {
        for (path, text) in &self.0 {
            put(table, path, path, text)?;
        }
        Ok(())
    }
}

fn put<'a>(table: &mut DeTable<'a>, path: &str, rest: &'a str, text: &'a str) -> Result<()> {
    let (key, deeper) = match rest.split_once('.') {
        Some((key, deeper)) => (key, Some(deeper)),
        None => (rest, None),
    };
    let name = Spanned::new(FLAG, key.into());
    let Some(deeper) = deeper else {
        table.remove(&name);
        table.insert(name, Spanned::new(FLAG, value(text)));
        return Ok(());
    };
    let empty = || Spanned::new(FLAG, DeValue::Table(DeTable::new()));
    let below = table.entry(name).or_insert_with(empty);
    match below.get_mut() {
        DeValue::Table(table) => put(table, path, deeper, text),
        _ => Err(Error::UnknownField {
            location: Location::Flag,
            path: path.to_owned(),
            expected: format!("no field below {key}"),
        }),
    }
}

/// Reads a value as TOML, or as plain text where it is not TOML.
fn value(text: &str) -> DeValue<'_> {
    DeValue::parse(text).map_or_else(
        |_| DeValue::String(text.into()),
        |parsed| parsed.into_inner(),
    )
}
