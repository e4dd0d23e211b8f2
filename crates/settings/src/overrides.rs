//! Values from `--set` flags, which replace those of a settings file.

use {
    crate::{
        error::{Error, Location, Result},
        reader::FLAG_SPAN,
    },
    std::collections::BTreeMap,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Values of `--set` flags as text, by the path of their field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(pub BTreeMap<String, String>);

impl Overrides {
    /// Parses flags of the form `path=value`; the last value for a path wins.
    ///
    /// # Errors
    /// Fails if a flag has no `=`.
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

    /// Sets the values in a parsed file; missing parent tables are created.
    pub(crate) fn apply<'a>(&'a self, table: &mut DeTable<'a>) -> Result<()> {
        for (path, text) in &self.0 {
            set_value(table, path, path, text)?;
        }
        Ok(())
    }
}

fn set_value<'a>(
    table: &mut DeTable<'a>,
    path: &str,
    remaining: &'a str,
    text: &'a str,
) -> Result<()> {
    let (key, subpath) = match remaining.split_once('.') {
        Some((key, subpath)) => (key, Some(subpath)),
        None => (remaining, None),
    };
    let name = Spanned::new(FLAG_SPAN, key.into());
    let Some(subpath) = subpath else {
        table.remove(&name);
        table.insert(name, Spanned::new(FLAG_SPAN, parse_value(text)));
        return Ok(());
    };
    let empty = || Spanned::new(FLAG_SPAN, DeValue::Table(DeTable::new()));
    let child = table.entry(name).or_insert_with(empty);
    match child.get_mut() {
        DeValue::Table(table) => set_value(table, path, subpath, text),
        _ => Err(Error::UnknownField {
            location: Location::Flag,
            path: path.to_owned(),
            expected: format!("{key} alone, as it is not a table"),
        }),
    }
}

/// Parses a value as TOML; a value that is not valid TOML is taken as a string.
fn parse_value(text: &str) -> DeValue<'_> {
    DeValue::parse(text).map_or_else(
        |_| DeValue::String(text.into()),
        |parsed| parsed.into_inner(),
    )
}
