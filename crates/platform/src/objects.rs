//! Client of the object store.

use {
    crate::{error::Result, http::Http},
    bytes::Bytes,
    cowslip_decide::names::Name,
    http::{Method, StatusCode},
    std::time::Duration,
};

/// Client of one bucket.
#[derive(Clone, Debug)]
pub struct Objects {
    http: Http,
    bucket: Name,
}

impl Objects {
    /// Creates a client of `bucket` at `address` (`ip:port`); calls end within `limit`.
    pub fn new(address: &str, bucket: &str, limit: Duration) -> Self {
        Self {
            http: Http::new(address, limit),
            bucket: bucket.into(),
        }
    }

    /// Stores an object; storing the same bytes again is harmless.
    ///
    /// # Errors
    ///
    /// Says whether the object may have been stored.
    pub async fn put(&self, key: &str, body: Bytes) -> Result<()> {
        let path = self.path(key);
        let answer = self.http.call(Method::PUT, &path, &[], body).await?;
        answer.success().map(drop)
    }

    /// Reads an object, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let path = self.path(key);
        let answer = self
            .http
            .call(Method::GET, &path, &[], Bytes::new())
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.success().map(Some)
    }

    fn path(&self, key: &str) -> String {
        format!("/{}/{key}", self.bucket)
    }
}
