//! Client of the table service.

use {
    crate::{
        error::{Error, Result},
        http::{Answer, Http},
        items::{self, Attribute, Failure, Get, GotItem, Page, Query, Transaction},
    },
    cowslip_decide::names::Name,
    http::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, time::Duration},
};

const GET: &str = "DynamoDB_20120810.GetItem";
const QUERY: &str = "DynamoDB_20120810.Query";
const WRITE: &str = "DynamoDB_20120810.TransactWriteItems";
const JSON: &str = "application/x-amz-json-1.0";
const CANCELED: &str = "TransactionCanceledException";
const CONDITION_FAILED: &str = "ConditionalCheckFailed";

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Partition key.
    pub pk: Name,
    /// Sort key.
    pub sk: Name,
    /// Version that conditions compare.
    pub version: u64,
    /// Content as JSON.
    pub body: String,
    /// Time from which the table may drop the row, in seconds since 1970; `None` keeps it.
    pub expires: Option<u64>,
}

/// Condition on the row of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Always,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

/// One item of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Replaces a row.
    Put {
        /// Row to write.
        row: Row,
        /// Condition on the row as it is.
        when: Condition,
    },
    /// Only checks a row.
    Check {
        /// Partition key of the row.
        pk: Name,
        /// Sort key of the row.
        sk: Name,
        /// Condition on the row as it is.
        when: Condition,
    },
}

/// Client of one table.
#[derive(Clone, Debug)]
pub struct Table {
    http: Http,
    name: Name,
}

impl Table {
    /// Creates a client of the table `name` at `address` (`ip:port`); calls end within `limit`.
    pub fn new(address: &str, name: &str, limit: Duration) -> Self {
        Self {
            http: Http::new(address, limit),
            name: name.into(),
        }
    }

    /// Reads a row as it is after every write that was answered.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn get(&self, pk: &str, sk: &str) -> Result<Option<Row>> {
        let request = Get {
            table_name: &self.name,
            key: items::key(pk, sk),
            consistent_read: true,
        };
        let answer: GotItem = self.read(GET, &request).await?;
        answer.item.map(Row::try_from).transpose()
    }

    /// Reads every row of a partition key, ordered by sort key.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn query(&self, pk: &str) -> Result<Vec<Row>> {
        let mut rows = Vec::new();
        let mut request = Query {
            table_name: &self.name,
            condition: "pk = :pk",
            values: BTreeMap::from([(":pk".to_owned(), Attribute::S(pk.to_owned()))]),
            consistent_read: true,
            start_key: None,
        };
        loop {
            let page: Page = self.read(QUERY, &request).await?;
            for item in page.items {
                rows.push(Row::try_from(item)?);
            }
            if page.last_key.is_none() {
                return Ok(rows);
            }
            request.start_key = page.last_key;
        }
    }

    /// Carries out all items in one transaction, or none.
    ///
    /// # Errors
    ///
    /// Says which conditions failed, or whether the write may have happened.
    pub async fn write(&self, writes: &[Write]) -> Result<()> {
        let request = Transaction {
            transact_items: writes
                .iter()
                .map(|write| items::item(&self.name, write))
                .collect(),
        };
        let answer = self.call(WRITE, &request).await?;
        if let Some(items) = failed_conditions(&answer) {
            return Err(Error::Refused { items });
        }
        answer.success().map(drop)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        action: &'static str,
        request: &impl Serialize,
    ) -> Result<T> {
        let body = self.call(action, request).await?.success()?;
        serde_json::from_slice(&body).map_err(|error| Error::Unknown(error.to_string()))
    }

    async fn call(&self, action: &'static str, request: &impl Serialize) -> Result<Answer> {
        let body =
            serde_json::to_vec(request).map_err(|error| Error::NotSent(error.to_string()))?;
        let headers = [("x-amz-target", action), ("content-type", JSON)];
        self.http
            .call(Method::POST, "/", &headers, body.into())
            .await
    }
}

/// Returns the places of the failed conditions of a canceled transaction.
fn failed_conditions(answer: &Answer) -> Option<Vec<usize>> {
    if !answer.status.is_client_error() {
        return None;
    }
    let failure: Failure = serde_json::from_slice(&answer.body).ok()?;
    if !failure.kind.ends_with(CANCELED) {
        return None;
    }
    let items: Vec<usize> = failure
        .reasons
        .iter()
        .enumerate()
        .filter(|(_, reason)| reason.code == CONDITION_FAILED)
        .map(|(place, _)| place)
        .collect();
    Some(items).filter(|items| !items.is_empty())
}
