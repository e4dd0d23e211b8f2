//! Reads typed values from TOML and reports the location of invalid ones.

use {
    crate::{
        error::{Error, Location, Result},
        field::{DataType, Field},
        overrides::Overrides,
    },
    cowslip_adapter::text::parse_interval,
    cowslip_decide::names::Name,
    std::{
        cell::RefCell,
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

/// Span that marks values from `--set` flags, which have no line in the file.
pub(crate) const FLAG_SPAN: Range<usize> = usize::MAX..usize::MAX;

/// Reads a file; returns its path for use in errors, and its text.
pub(crate) fn read_file(path: &Path) -> Result<(String, String)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(cause) => Err(Error::Unreadable {
            file: file.into(),
            cause: Arc::new(cause),
        }),
    }
}

/// Parses TOML, applies the overrides and reads the result with `read`.
pub(crate) fn parse<T>(
    text: &str,
    file: &str,
    (fields, unknown): (&'static [Field], UnknownFields),
    overrides: &Overrides,
    read: impl FnOnce(&Section<'_>) -> Result<T>,
) -> Result<T> {
    let source = Source {
        file: file.into(),
        text,
        fields,
        unknown,
        ignored: RefCell::default(),
    };
    let mut table = source.parse()?;
    overrides.apply(table.get_mut())?;
    read(&source.read_root(&table)?)
}

/// What happens to fields of a file that the program does not know; those of flags are always rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownFields {
    /// Reading fails.
    Rejected,
    /// They are listed: a file may be written for a later build.
    Ignored,
}

/// Text of a settings file, with the fields allowed in it.
struct Source<'a> {
    /// Path of the file, for errors.
    file: Name,
    /// Text of the file.
    text: &'a str,
    /// All fields that the file may contain.
    fields: &'static [Field],
    unknown: UnknownFields,
    /// Locations and paths of the fields that were ignored.
    ignored: RefCell<Vec<String>>,
}

/// A table of the file; one that is missing counts as empty.
pub(crate) struct Section<'a> {
    source: &'a Source<'a>,
    table: Option<&'a DeTable<'a>>,
    span: Range<usize>,
    path: String,
}

/// A value of the file with its path.
pub(crate) struct FieldValue<'a> {
    source: &'a Source<'a>,
    value: &'a Spanned<DeValue<'a>>,
    path: String,
}

impl<'a> Source<'a> {
    /// Parses the text as TOML.
    pub fn parse(&self) -> Result<Spanned<DeTable<'a>>> {
        DeTable::parse(self.text).map_err(|error| Error::Syntax {
            location: self.find_location(&error.span().unwrap_or(0..0)),
            detail: error.message().to_owned(),
        })
    }

    /// Returns the top-level table after a check for unknown fields.
    pub fn read_root(&'a self, table: &'a Spanned<DeTable<'a>>) -> Result<Section<'a>> {
        let root = Section {
            source: self,
            table: Some(table.get_ref()),
            // A missing top-level field is reported in line 1.
            span: 0..0,
            path: String::new(),
        };
        root.check_known_keys()?;
        Ok(root)
    }

    fn find_location(&self, span: &Range<usize>) -> Location {
        if *span == FLAG_SPAN {
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
    /// Returns the locations and paths of the unknown fields that were ignored so far.
    pub fn ignored_fields(&self) -> Vec<String> {
        self.source.ignored.borrow().clone()
    }

    /// Returns the integer of a field, or its default.
    pub fn read_integer(&self, field: &Field) -> Result<u64> {
        match self.find_value(field.key()) {
            Some(found) => found.read_integer(field.data_type),
            None => self
                .default_text(field)?
                .parse()
                .map_err(|_| self.missing_field(field)),
        }
    }

    /// Returns the text of a field, or its default.
    pub fn read_text(&self, field: &Field) -> Result<Name> {
        match self.find_value(field.key()) {
            Some(found) => found.read_text(field.data_type),
            None => Ok(self.default_text(field)?.into()),
        }
    }

    /// Returns the address of a field, or its default.
    pub fn read_address(&self, field: &Field) -> Result<SocketAddr> {
        match self.find_value(field.key()) {
            Some(found) => found.read_address(field.data_type),
            None => self
                .default_text(field)?
                .parse()
                .map_err(|_| self.missing_field(field)),
        }
    }

    /// Returns the address of a field, or `None` if it is missing.
    pub fn read_optional_address(&self, field: &Field) -> Result<Option<SocketAddr>> {
        let found = self.find_value(field.key());
        found
            .map(|found| found.read_address(field.data_type))
            .transpose()
    }

    /// Returns the duration of a field, or its default if missing or empty.
    pub fn read_duration(&self, field: &Field) -> Result<Duration> {
        match self.find_nonempty(field) {
            Some(found) => found.read_duration(),
            None => {
                parse_interval(self.default_text(field)?).map_err(|_| self.missing_field(field))
            }
        }
    }

    /// Returns the number of a field, or its default if missing or empty.
    pub fn read_decimal(&self, field: &Field) -> Result<f64> {
        match self.find_nonempty(field) {
            Some(found) => found.read_decimal(),
            None => self
                .default_text(field)?
                .parse()
                .map_err(|_| self.missing_field(field)),
        }
    }

    /// Returns a flag or its default.
    pub fn read_flag(&self, field: &Field) -> Result<bool> {
        match self.find_nonempty(field) {
            Some(found) => found.read_flag(),
            None => self
                .default_text(field)?
                .parse()
                .map_err(|_| self.missing_field(field)),
        }
    }

    /// Returns the addresses in a table by their keys; empty if the table is missing.
    pub fn read_addresses(&self, key: &str, field: &Field) -> Result<BTreeMap<Name, SocketAddr>> {
        let Some(section) = self.read_section(key)? else {
            return Ok(BTreeMap::new());
        };
        section
            .entries()
            .map(|(name, found)| Ok((name.into(), found.read_address(field.data_type)?)))
            .collect()
    }

    /// Returns the table under a key, or `None` if it is missing.
    pub fn read_section(&self, key: &str) -> Result<Option<Self>> {
        self.find_value(key)
            .map(|found| found.to_section())
            .transpose()
    }

    /// Returns the table under a key, or an empty one if it is missing.
    pub fn read_section_or_empty(&self, key: &str) -> Result<Self> {
        let empty = || Self {
            source: self.source,
            table: None,
            span: self.span.clone(),
            path: join_path(&self.path, key),
        };
        Ok(self.read_section(key)?.unwrap_or_else(empty))
    }

    /// Iterates over the values of this table with their keys.
    fn entries(&self) -> impl Iterator<Item = (&str, FieldValue<'a>)> {
        self.table.into_iter().flatten().map(|(key, value)| {
            let key = key.get_ref().as_ref();
            (key, self.wrap_value(key, value))
        })
    }

    /// Returns the value under a key, or `None` if it is missing.
    pub fn find_value(&self, key: &str) -> Option<FieldValue<'a>> {
        let mut entries = self.table?.iter();
        let (_, value) = entries.find(|(other, _)| other.get_ref().as_ref() == key)?;
        Some(self.wrap_value(key, value))
    }

    /// Returns the value of a field unless it is an empty string.
    fn find_nonempty(&self, field: &Field) -> Option<FieldValue<'a>> {
        let found = self.find_value(field.key())?;
        (found.value.get_ref().as_str() != Some("")).then_some(found)
    }

    /// Returns the error for a missing key of this table.
    pub fn missing_key(&self, key: &str, expected: impl Into<String>) -> Error {
        Error::MissingField {
            location: self.source.find_location(&self.span),
            path: join_path(&self.path, key),
            expected: expected.into(),
        }
    }

    fn wrap_value(&self, key: &str, value: &'a Spanned<DeValue<'a>>) -> FieldValue<'a> {
        FieldValue {
            source: self.source,
            value,
            path: join_path(&self.path, key),
        }
    }

    fn default_text(&self, field: &Field) -> Result<&'static str> {
        field.default.ok_or_else(|| self.missing_field(field))
    }

    /// Returns the error for a missing field; also for a default that is not a valid value, such as
    /// an empty address.
    fn missing_field(&self, field: &Field) -> Error {
        self.missing_key(field.key(), field.data_type.to_string())
    }

    fn check_known_keys(&self) -> Result<()> {
        let keys = child_keys(self.source.fields, &self.path);
        for (key, _) in self.table.into_iter().flatten() {
            // `*` in the path of a field allows any key.
            if keys.contains("*") || keys.contains(key.get_ref().as_ref()) {
                continue;
            }
            let location = self.source.find_location(&key.span());
            let path = join_path(&self.path, key.get_ref());
            if self.source.unknown == UnknownFields::Ignored && location != Location::Flag {
                let mut ignored = self.source.ignored.borrow_mut();
                ignored.push(format!("{location}: {path}"));
                continue;
            }
            let names: Vec<_> = keys.iter().copied().collect();
            return Err(Error::UnknownField {
                location,
                path,
                expected: format!("one of {}", names.join(", ")),
            });
        }
        Ok(())
    }
}

impl<'a> FieldValue<'a> {
    /// Returns the integer if it is within the range of `data_type`.
    pub fn read_integer(&self, data_type: DataType) -> Result<u64> {
        let int = self
            .value
            .get_ref()
            .as_integer()
            .and_then(|digits| u64::from_str_radix(digits.as_str(), digits.radix()).ok());
        match (int, data_type) {
            (Some(int), DataType::Integer(min, max)) if (min..=max).contains(&int) => Ok(int),
            _ => Err(self.invalid_value(data_type.to_string())),
        }
    }

    /// Returns the string if it is valid for `data_type`: a text, a secret or an address.
    pub fn read_text(&self, data_type: DataType) -> Result<Name> {
        let text = self.value.get_ref().as_str();
        text.filter(|text| is_valid_text(data_type, text))
            .map(Name::from)
            .ok_or_else(|| self.invalid_text(data_type))
    }

    /// Returns the address if it is valid for `data_type`.
    pub fn read_address(&self, data_type: DataType) -> Result<SocketAddr> {
        let text = self.read_text(data_type)?;
        text.parse()
            .map_err(|_| self.invalid_value(data_type.to_string()))
    }

    /// Returns the duration.
    fn read_duration(&self) -> Result<Duration> {
        let text = self.value.get_ref().as_str();
        let parsed = text.and_then(|text| parse_interval(text).ok());
        parsed.ok_or_else(|| self.invalid_value(DataType::DurationText.to_string()))
    }

    /// Returns the number, which may be given as a string.
    fn read_decimal(&self) -> Result<f64> {
        let number = match self.value.get_ref() {
            DeValue::String(text) => text.parse().ok(),
            DeValue::Integer(digits) => digits.as_str().parse().ok(),
            DeValue::Float(digits) => digits.as_str().parse().ok(),
            _ => None,
        };
        let number = number.filter(|it: &f64| it.is_finite() && *it >= 0.0);
        number.ok_or_else(|| self.invalid_value(DataType::Decimal.to_string()))
    }

    /// Returns the flag, which may be given as a string.
    fn read_flag(&self) -> Result<bool> {
        let flag = match self.value.get_ref() {
            DeValue::String(text) => text.parse().ok(),
            DeValue::Boolean(flag) => Some(*flag),
            _ => None,
        };
        flag.ok_or_else(|| self.invalid_value(DataType::Flag.to_string()))
    }

    /// Returns the error for an invalid value, with the value in it.
    pub fn invalid_value(&self, expected: impl Into<String>) -> Error {
        self.value_error(expected.into(), describe_value(self.value.get_ref()))
    }

    /// Returns the error for an invalid string; of a secret it contains only the length.
    fn invalid_text(&self, expected: DataType) -> Error {
        match (expected, self.value.get_ref().as_str()) {
            (DataType::Secret(..), Some(text)) => {
                self.value_error(expected.to_string(), format!("{} bytes", text.len()))
            }
            _ => self.invalid_value(expected.to_string()),
        }
    }

    fn value_error(&self, expected: String, found: String) -> Error {
        Error::InvalidValue {
            location: self.source.find_location(&self.value.span()),
            path: self.path.clone(),
            expected,
            found,
        }
    }

    fn to_section(&self) -> Result<Section<'a>> {
        let Some(table) = self.value.get_ref().as_table() else {
            return Err(self.invalid_value("a table"));
        };
        let section = Section {
            source: self.source,
            table: Some(table),
            span: self.value.span(),
            path: self.path.clone(),
        };
        section.check_known_keys()?;
        Ok(section)
    }
}

fn is_valid_text(data_type: DataType, text: &str) -> bool {
    match data_type {
        DataType::Text(min, max) | DataType::Secret(min, max) => (min..=max).contains(&text.len()),
        DataType::Address => text.parse().is_ok_and(|it: SocketAddr| it.port() > 0),
        DataType::Integer(..) | DataType::DurationText | DataType::Decimal | DataType::Flag => {
            false
        }
    }
}

fn describe_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(digits) => digits.to_string(),
        DeValue::Float(digits) => digits.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date-time".to_owned(),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

fn child_keys(fields: &[Field], parent: &str) -> BTreeSet<&'static str> {
    let child_key = |field: &Field| {
        let relative = match parent {
            "" => Some(field.path),
            _ => field.path.strip_prefix(parent)?.strip_prefix('.'),
        };
        relative?.split('.').next()
    };
    fields.iter().filter_map(child_key).collect()
}
