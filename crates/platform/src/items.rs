//! JSON of the table service.

use {
    crate::{
        error::Error,
        table::{Condition, Row, Write},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// One attribute of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Attribute {
    /// String.
    S(String),
    /// Number as text.
    N(String),
}

/// Attributes by name.
pub(crate) type Attributes = BTreeMap<String, Attribute>;

/// Body of `GetItem`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Get<'a> {
    pub(crate) table_name: &'a str,
    pub(crate) key: Attributes,
    pub(crate) consistent_read: bool,
}

/// Answer of `GetItem`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct GotItem {
    pub(crate) item: Option<Attributes>,
}

/// Body of `Query`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Query<'a> {
    pub(crate) table_name: &'a str,
    #[serde(rename = "KeyConditionExpression")]
    pub(crate) condition: &'a str,
    #[serde(rename = "ExpressionAttributeValues")]
    pub(crate) values: Attributes,
    pub(crate) consistent_read: bool,
    #[serde(rename = "ExclusiveStartKey", skip_serializing_if = "Option::is_none")]
    pub(crate) start_key: Option<Attributes>,
}

/// Answer of `Query`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Page {
    #[serde(default)]
    pub(crate) items: Vec<Attributes>,
    #[serde(rename = "LastEvaluatedKey")]
    pub(crate) last_key: Option<Attributes>,
}

/// Body of `TransactWriteItems`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Transaction<'a> {
    pub(crate) transact_items: Vec<Item<'a>>,
}

/// One item of a transaction.
#[derive(Serialize)]
pub(crate) enum Item<'a> {
    /// Replaces a row.
    Put(Action<'a>),
    /// Only checks a row.
    ConditionCheck(Action<'a>),
}

/// What an item does to its row.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Action<'a> {
    table_name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<Attributes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    item: Option<Attributes>,
    #[serde(
        rename = "ConditionExpression",
        skip_serializing_if = "Option::is_none"
    )]
    condition: Option<&'a str>,
    #[serde(
        rename = "ExpressionAttributeValues",
        skip_serializing_if = "Option::is_none"
    )]
    values: Option<Attributes>,
}

/// Answer to a call that was not carried out.
#[derive(Deserialize)]
pub(crate) struct Failure {
    #[serde(rename = "__type", default)]
    pub(crate) kind: String,
    #[serde(rename = "CancellationReasons", default)]
    pub(crate) reasons: Vec<Cancellation>,
}

/// Why one item canceled its transaction.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Cancellation {
    #[serde(default)]
    pub(crate) code: String,
}

/// Returns the key of a row.
pub(crate) fn key(pk: &str, sk: &str) -> Attributes {
    BTreeMap::from([
        ("pk".to_owned(), Attribute::S(pk.to_owned())),
        ("sk".to_owned(), Attribute::S(sk.to_owned())),
    ])
}

/// Returns the item of a write.
pub(crate) fn item<'a>(table: &'a str, write: &Write) -> Item<'a> {
    match write {
        Write::Put { row, when } => {
            let item = Some(Attributes::from(row));
            Item::Put(action(table, None, item, *when))
        }
        Write::Check { pk, sk, when } => {
            Item::ConditionCheck(action(table, Some(key(pk, sk)), None, *when))
        }
    }
}

fn action<'a>(
    table: &'a str,
    key: Option<Attributes>,
    item: Option<Attributes>,
    when: Condition,
) -> Action<'a> {
    let (condition, values) = match when {
        Condition::Always => (None, None),
        Condition::Absent => (Some("attribute_not_exists(pk)"), None),
        Condition::Version(version) => {
            let value = Attribute::N(version.to_string());
            let values = BTreeMap::from([(":v".to_owned(), value)]);
            (Some("version = :v"), Some(values))
        }
    };
    Action {
        table_name: table,
        key,
        item,
        condition,
        values,
    }
}

impl From<&Row> for Attributes {
    fn from(row: &Row) -> Self {
        let mut attributes = key(&row.pk, &row.sk);
        let version = Attribute::N(row.version.to_string());
        attributes.insert("version".to_owned(), version);
        attributes.insert("body".to_owned(), Attribute::S(row.body.clone()));
        if let Some(expires) = row.expires {
            attributes.insert("expires".to_owned(), Attribute::N(expires.to_string()));
        }
        attributes
    }
}

impl TryFrom<Attributes> for Row {
    type Error = Error;

    fn try_from(mut attributes: Attributes) -> Result<Self, Error> {
        let expires = match attributes.remove("expires") {
            Some(Attribute::N(text)) => text.parse().ok(),
            _ => None,
        };
        let mut text = |name: &str| match attributes.remove(name) {
            Some(Attribute::S(text) | Attribute::N(text)) => Ok(text),
            None => Err(Error::Unknown(format!("row without attribute {name:?}"))),
        };
        Ok(Self {
            pk: text("pk")?.into(),
            sk: text("sk")?.into(),
            version: text("version")?
                .parse()
                .map_err(|error| Error::Unknown(format!("attribute \"version\": {error}")))?,
            body: text("body")?,
            expires,
        })
    }
}
