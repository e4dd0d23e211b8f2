//! The configuration in the platform: a row that names a document by its hash.

use {
    crate::error::{Error, Result},
    cowslip_decide::names::Name,
    cowslip_platform::{
        Error as PlatformError,
        commit::{Outcome, commit},
        objects::Objects,
        table::{Row, Table},
    },
    cowslip_settings::{document, operator::Platform, process::platform::address},
    serde::{Deserialize, Serialize},
    std::{
        hash::{BuildHasher, RandomState},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Key of the row.
const KEY: (&str, &str) = ("config", "-");

/// Tries to store a document before the command gives up.
const TRIES: u32 = 5;

/// Pause before a document is stored again.
const PAUSE: Duration = Duration::from_millis(100);

/// Clients of the platform for one operator.
#[derive(Clone, Debug)]
pub struct Store {
    table: Table,
    objects: Objects,
    author: Name,
}

/// The configuration that a row names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Current {
    /// Version; it only grows.
    pub version: u64,
    /// Hash of the document.
    pub hash: String,
    /// Who published it.
    pub author: String,
}

/// Body of the row.
#[derive(Serialize, Deserialize)]
struct Body {
    version: u64,
    hash: String,
    author: String,
    /// Tells two writes of the same document apart, so that only one of them wins.
    #[serde(default)]
    id: String,
}

impl Store {
    /// Returns the clients for one operator; each call ends within `limit`.
    pub fn new(platform: &Platform, author: Name, limit: Duration) -> Self {
        let table = address(&platform.table);
        let objects = address(&platform.objects);
        Self {
            table: Table::new(table, &platform.table_name, limit),
            objects: Objects::new(objects, &platform.bucket, limit),
            author,
        }
    }

    /// Returns what is published, or `None` before the first time.
    ///
    /// # Errors
    /// Fails if the table cannot be reached.
    pub async fn current(&self) -> Result<Option<Current>> {
        let row = self.table.get(KEY.0, KEY.1).await.map_err(unreachable)?;
        row.as_ref().map(current).transpose()
    }

    /// Returns the text of a published document.
    ///
    /// # Errors
    /// Fails if the object store cannot be reached or does not have it.
    pub async fn document(&self, hash: &str) -> Result<String> {
        let bytes = self.objects.get(hash).await.map_err(unreachable)?;
        let text = bytes.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
        text.filter(|text| document::hash(text) == hash)
            .ok_or_else(|| {
                Error::Unreachable(format!("document {hash} is not in the object store"))
            })
    }

    /// Puts a document in force if `expected` is still the version; 0 stands for none.
    ///
    /// # Errors
    /// Says what is wrong with the document, who won the race, or that the outcome is unknown.
    pub async fn publish(&self, text: &str, file: &str, expected: u64) -> Result<Current> {
        document::parse(text, file).map_err(Error::Invalid)?;
        let hash = document::hash(text);
        let found = self.current().await?;
        if found.as_ref().map_or(0, |found| found.version) != expected {
            return Err(lost(expected, found));
        }
        self.store(&hash, text).await?;
        self.replace(hash, expected).await
    }

    /// Stores a document; one that is there already counts as stored.
    async fn store(&self, hash: &str, text: &str) -> Result<()> {
        let mut tries = 0;
        loop {
            let Err(error) = self.objects.put(hash, text.to_owned().into()).await else {
                return Ok(());
            };
            if self.document(hash).await.is_ok() {
                return Ok(());
            }
            tries += 1;
            if tries == TRIES {
                return Err(unreachable(error));
            }
            sleep(PAUSE).await;
        }
    }

    async fn replace(&self, hash: String, expected: u64) -> Result<Current> {
        let version = expected + 1;
        let body = Body {
            version,
            hash,
            author: self.author.to_string(),
            id: format!("{:016x}", RandomState::new().hash_one(())),
        };
        let text =
            serde_json::to_string(&body).map_err(|error| Error::Refused(error.to_string()))?;
        let row = Row {
            pk: KEY.0.into(),
            sk: KEY.1.into(),
            version,
            body: text,
            expires: None,
        };
        match commit(&self.table, &row, &[]).await {
            Outcome::Done => current(&row),
            Outcome::Lost(found) => Err(lost(expected, found.as_ref().map(current).transpose()?)),
            Outcome::Unknown => Err(Error::Unknown { version }),
        }
    }
}

fn current(row: &Row) -> Result<Current> {
    let body: Body = serde_json::from_str(&row.body)
        .map_err(|error| Error::Refused(format!("row of the configuration: {error}")))?;
    Ok(Current {
        version: row.version,
        hash: body.hash,
        author: body.author,
    })
}

pub(crate) fn lost(expected: u64, found: Option<Current>) -> Error {
    let (version, author) = found.map_or((0, String::new()), |it| (it.version, it.author));
    Error::LostRace {
        expected,
        version,
        author,
    }
}

fn unreachable(error: PlatformError) -> Error {
    Error::Unreachable(error.to_string())
}
