//! One request and its whole answer, within a timeout.

use {
    crate::error::{Error, Result},
    bytes::Bytes,
    cowslip_decide::names::Name,
    http::{HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Most bytes of an answer; 64 MiB.
const MAX_ANSWER: usize = 64 << 20;
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(5);
/// Idle connections that are kept.
const MAX_IDLE: usize = 4;

/// HTTP client of one service at a fixed address.
#[derive(Clone, Debug)]
pub(crate) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    address: Name,
    limit: Duration,
}

/// Whole answer of a service.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Http {
    /// Creates a client of the service at `address` (`ip:port`) whose calls end within `limit`.
    pub(crate) fn new(address: &str, limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the whole call, so that a failed connect is told from a lost answer.
        connector.set_connect_timeout(Some(limit / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(MAX_IDLE)
            .build(connector);
        Self {
            client,
            address: address.into(),
            limit,
        }
    }

    /// Sends a request and returns the whole answer, whatever its status.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &'static str)],
        body: Bytes,
    ) -> Result<Answer> {
        let request = self.request(method, path, headers, body)?;
        timeout(self.limit, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err(Error::Unknown(format!("no answer in {:?}", self.limit))))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &'static str)],
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        for (name, value) in headers {
            request
                .headers_mut()
                .insert(*name, HeaderValue::from_static(value));
        }
        request
            .headers_mut()
            .entry(CONTENT_TYPE)
            .or_insert(HeaderValue::from_static("application/octet-stream"));
        Ok(request)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let answer = self.client.request(request).await.map_err(|error| {
            let cause = format!("{error}: {:?}", std::error::Error::source(&error));
            if error.is_connect() {
                return Error::NotSent(cause);
            }
            Error::Unknown(cause)
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER)
            .collect()
            .await
            .map_err(|error| Error::Unknown(error.to_string()))?
            .to_bytes();
        Ok(Answer { status, body })
    }
}

impl Answer {
    /// Returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Says `Rejected` for a client error, and `Unknown` for any other status, because a service
    /// that fails while it answers may have carried the call out.
    pub(crate) fn success(self) -> Result<Bytes> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let message = String::from_utf8_lossy(&self.body).into_owned();
        if self.status.is_client_error() {
            return Err(Error::Rejected {
                status: self.status.as_u16(),
                message,
            });
        }
        Err(Error::Unknown(format!("{}: {message}", self.status)))
    }
}
