//! Reads checked values out of TOML and says where a bad one stands.

use {
    crate::{
        error::{Error, Location, Result},
        field::{Field, ValueType},
        overrides::Overrides,
    },
    cowslip_adapter::text::parse_duration,
    cowslip_decide::names::Name,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        net::SocketAddr,
        ops::Range,
        path::Path,
        sync::Arc,
        time::Duration,
    },
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Span of values that came from flags.
pub(crate) const FLAG: Range<usize> = usize::MAX..usize::MAX;

/// Reads a file; returns its name in errors and its text.
pub(crate) fn file(path: &Path) -> Result<(String, String)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(cause) => Err(Error::Unreadable {
            file: file.into(),
            cause: Arc::new(cause),
        }),
    }
}

/// Reads a text with the values of flags put over it.
pub(crate) fn parse<T>(
    text: &str,
    file: &str,
    fields: &'static [Field],
    overrides: &Overrides,
    read: impl FnOnce(&Section<'_>) -> Result<T>,
) -> Result<T> {
    let source = Source {
        file: file.into(),
        text,
        fields,
    };
    let mut table = source.parse()?;
    overrides.apply(table.get_mut())?;
    read(&source.root(&table)?)
}

/// The text that values come from, with the fields that may be in it.
struct Source<'a> {
    /// Name of the file in errors.
    file: Name,
    /// Whole text.
    text: &'a str,
    /// Every field that may be there.
    fields: &'static [Field],
}

/// One table of the text.
pub(crate) struct Section<'a> {
    source: &'a Source<'a>,
    table: Option<&'a DeTable<'a>>,
    span: Range<usize>,
    path: String,
}

/// A value with its path and its place.
pub(crate) struct Found<'a> {
    source: &'a Source<'a>,
    value: &'a Spanned<DeValue<'a>>,
    path: String,
}

impl<'a> Source<'a> {
    /// Parses the text; errors name the line.
    pub fn parse(&self) -> Result<Spanned<DeTable<'a>>> {
        DeTable::parse(self.text).map_err(|error| Error::Syntax {
            location: self.location(&error.span().unwrap_or(0..0)),
            message: error.message().to_owned(),
        })
    }

    /// Returns the whole text as one table, after a check for unknown fields.
    pub fn root(&'a self, table: &'a Spanned<DeTable<'a>>) -> Result<Section<'a>> {
        let root = Section {
            source: self,
            table: Some(table.get_ref()),
            span: 0..0,
            path: String::new(),
        };
        root.known()?;
        Ok(root)
    }

    fn location(&self, span: &Range<usize>) -> Location {
        if *span == FLAG {
            return Location::Flag;
        }
        let end = span.start.min(self.text.len());
        let line = 1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        Location::Line {
            file: self.file.clone(),
            line,
        }
    }
}

impl<'a> Section<'a> {
    /// Returns the checked value of a field, or its default.
    pub fn number(&self, field: &Field) -> Result<u64> {
        match self.find(field.key()) {
            Some(found) => found.number(field.value_type),
            None => self.default(field)?.parse().map_err(|_| self.lack(field)),
        }
    }

    /// Returns the text of a field, or its default.
    pub fn text(&self, field: &Field) -> Result<Name> {
        match self.find(field.key()) {
            Some(found) => found.text(field.value_type),
            None => Ok(self.default(field)?.into()),
        }
    }

    /// Returns the address of a field, or its default.
    pub fn address(&self, field: &Field) -> Result<SocketAddr> {
        match self.find(field.key()) {
            Some(found) => found.address(field.value_type),
            None => self.default(field)?.parse().map_err(|_| self.lack(field)),
        }
    }

    /// Returns the address of a field; `None` without one.
    pub fn optional_address(&self, field: &Field) -> Result<Option<SocketAddr>> {
        let found = self.find(field.key());
        found
            .map(|found| found.address(field.value_type))
            .transpose()
    }

    /// Returns the time of a field, or its default.
    pub fn time(&self, field: &Field) -> Result<Duration> {
        match self.filled(field) {
            Some(found) => found.time(),
            None => parse_duration(self.default(field)?).map_err(|_| self.lack(field)),
        }
    }

    /// Returns the number of a field, or its default.
    pub fn share(&self, field: &Field) -> Result<f64> {
        match self.filled(field) {
            Some(found) => found.share(),
            None => self.default(field)?.parse().map_err(|_| self.lack(field)),
        }
    }

    /// Returns the addresses of a table by their names; an absent one counts as empty.
    pub fn addresses(&self, key: &str, field: &Field) -> Result<BTreeMap<Name, SocketAddr>> {
        let Some(section) = self.section(key)? else {
            return Ok(BTreeMap::new());
        };
        section
            .entries()
            .map(|(name, found)| Ok((name.into(), found.address(field.value_type)?)))
            .collect()
    }

    /// Returns the table under a key; `None` without one.
    pub fn section(&self, key: &str) -> Result<Option<Self>> {
        self.find(key).map(|found| found.section()).transpose()
    }

    /// Returns the table under a key; an absent one counts as empty.
    pub fn section_or_empty(&self, key: &str) -> Result<Self> {
        let empty = || Self {
            source: self.source,
            table: None,
            span: self.span.clone(),
            path: join(&self.path, key),
        };
        Ok(self.section(key)?.unwrap_or_else(empty))
    }

    /// Returns every value of this table with its key.
    fn entries(&self) -> impl Iterator<Item = (&str, Found<'a>)> {
        self.table.into_iter().flatten().map(|(key, value)| {
            let key = key.get_ref().as_ref();
            (key, self.found(key, value))
        })
    }

    /// Returns the value under a key.
    pub fn find(&self, key: &str) -> Option<Found<'a>> {
        let mut entries = self.table?.iter();
        let (_, value) = entries.find(|(other, _)| other.get_ref().as_ref() == key)?;
        Some(self.found(key, value))
    }

    /// Returns the value of a field unless it is an empty text.
    fn filled(&self, field: &Field) -> Option<Found<'a>> {
        let found = self.find(field.key())?;
        (found.value.get_ref().as_str() != Some("")).then_some(found)
    }

    /// Returns the error that a field of this table is absent.
    pub fn missing(&self, key: &str, expected: impl Into<String>) -> Error {
        Error::MissingField {
            location: self.source.location(&self.span),
            path: join(&self.path, key),
            expected: expected.into(),
        }
    }

    fn found(&self, key: &str, value: &'a Spanned<DeValue<'a>>) -> Found<'a> {
        Found {
            source: self.source,
            value,
            path: join(&self.path, key),
        }
    }

    fn default(&self, field: &Field) -> Result<&'static str> {
        field.default.ok_or_else(|| self.lack(field))
    }

    fn lack(&self, field: &Field) -> Error {
        self.missing(field.key(), field.value_type.to_string())
    }

    fn known(&self) -> Result<()> {
        let keys = children(self.source.fields, &self.path);
        for (key, _) in self.table.into_iter().flatten() {
            if keys.contains("*") || keys.contains(key.get_ref().as_ref()) {
                continue;
            }
            let names: Vec<_> = keys.iter().copied().collect();
            return Err(Error::UnknownField {
                location: self.source.location(&key.span()),
                path: join(&self.path, key.get_ref()),
                expected: format!("one of {}", names.join(", ")),
            });
        }
        Ok(())
    }
}

impl<'a> Found<'a> {
    /// Returns the number within the bounds of `kind`.
    pub fn number(&self, kind: ValueType) -> Result<u64> {
        let number = self
            .value
            .get_ref()
            .as_integer()
            .and_then(|digits| u64::from_str_radix(digits.as_str(), digits.radix()).ok());
        match (number, kind) {
            (Some(number), ValueType::Integer(low, high)) if (low..=high).contains(&number) => {
                Ok(number)
            }
            _ => Err(self.invalid(kind.to_string())),
        }
    }

    /// Returns the text if it is of `kind`.
    pub fn text(&self, kind: ValueType) -> Result<Name> {
        let text = self.value.get_ref().as_str();
        text.filter(|text| fits(kind, text))
            .map(Name::from)
            .ok_or_else(|| self.unfit(kind))
    }

    /// Returns the address if it is of `kind`.
    pub fn address(&self, kind: ValueType) -> Result<SocketAddr> {
        let text = self.text(kind)?;
        text.parse().map_err(|_| self.invalid(kind.to_string()))
    }

    /// Returns the time.
    fn time(&self) -> Result<Duration> {
        let text = self.value.get_ref().as_str();
        let time = text.and_then(|text| parse_duration(text).ok());
        time.ok_or_else(|| self.invalid(ValueType::Duration.to_string()))
    }

    /// Returns the number, which may stand in a text.
    fn share(&self) -> Result<f64> {
        let number = match self.value.get_ref() {
            DeValue::String(text) => text.parse().ok(),
            DeValue::Integer(digits) => digits.as_str().parse().ok(),
            DeValue::Float(digits) => digits.as_str().parse().ok(),
            _ => None,
        };
        let number = number.filter(|it: &f64| it.is_finite() && *it >= 0.0);
        number.ok_or_else(|| self.invalid(ValueType::Decimal.to_string()))
    }

    /// Returns the error that this value is not what was expected.
    pub fn invalid(&self, expected: impl Into<String>) -> Error {
        self.error(expected.into(), shown(self.value.get_ref()))
    }

    /// Returns the error that this value is not of `kind`, without repeating a secret.
    fn unfit(&self, kind: ValueType) -> Error {
        match (kind, self.value.get_ref().as_str()) {
            (ValueType::Secret(..), Some(text)) => {
                self.error(kind.to_string(), format!("a text of {} bytes", text.len()))
            }
            _ => self.invalid(kind.to_string()),
        }
    }

    fn error(&self, expected: String, found: String) -> Error {
        Error::InvalidValue {
            location: self.source.location(&self.value.span()),
            path: self.path.clone(),
            expected,
            found,
        }
    }

    fn section(&self) -> Result<Section<'a>> {
        let Some(table) = self.value.get_ref().as_table() else {
            return Err(self.invalid("a table"));
        };
        let section = Section {
            source: self.source,
            table: Some(table),
            span: self.value.span(),
            path: self.path.clone(),
        };
        section.known()?;
        Ok(section)
    }
}

fn fits(kind: ValueType, text: &str) -> bool {
    match kind {
        ValueType::Text(low, high) | ValueType::Secret(low, high) => {
            (low..=high).contains(&text.len())
        }
        ValueType::Address => text.parse().is_ok_and(|it: SocketAddr| it.port() > 0),
        ValueType::Integer(..) | ValueType::Duration | ValueType::Decimal => false,
    }
}

fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(digits) => digits.to_string(),
        DeValue::Float(digits) => digits.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date".to_owned(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

fn children(fields: &[Field], parent: &str) -> BTreeSet<&'static str> {
    let below = |field: &Field| {
        let rest = match parent {
            "" => Some(field.path),
            _ => field.path.strip_prefix(parent)?.strip_prefix('.'),
        };
        rest?.split('.').next()
    };
    fields.iter().filter_map(below).collect()
}
