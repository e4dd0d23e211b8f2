//! Client of the instance list.

use {
    crate::{
        error::{Error, Result},
        http::Http,
    },
    bytes::Bytes,
    cowslip_decide::names::Name,
    http::Method,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What stands at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Instance of the router.
    Instance,
    /// Target of callers' requests.
    Target,
}

/// State of an entry, as the platform saw it some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running.
    Live,
    /// Draining.
    Leaving,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name, unique over instances and targets.
    pub name: Name,
    /// Address as `ip:port`.
    pub address: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// What it is.
    pub kind: Kind,
    /// Its state.
    pub state: State,
}

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct Instances {
    http: Http,
}

impl Instances {
    /// Creates a client of the list at `address` (`ip:port`); calls end within `limit`.
    pub fn new(address: &str, limit: Duration) -> Self {
        Self {
            http: Http::new(address, limit),
        }
    }

    /// Reads the whole list, which lags behind what is true.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn list(&self) -> Result<Vec<Entry>> {
        let body = self
            .http
            .call(Method::GET, "/instances", &[], Bytes::new())
            .await?
            .success()?;
        serde_json::from_slice(&body).map_err(|error| Error::Unknown(error.to_string()))
    }
}
