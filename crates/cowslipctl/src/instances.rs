//! Queries the operators' ports of all instances.

use {
    bytes::Bytes,
    cowslip_decide::names::Name,
    cowslip_settings::operator::OperatorSettings,
    eyre::Report,
    http::{Request, header::AUTHORIZATION},
    http_body_util::{BodyExt, Empty, Limited},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde::de::DeserializeOwned,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::timeout},
};

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Responses of the instances, and the errors of those without one.
#[derive(Clone, Debug)]
pub struct Responses<T> {
    /// Responses by instance name.
    pub reached: BTreeMap<Name, T>,
    /// Error messages of instances that did not answer with success and valid JSON, by name.
    pub unreachable: BTreeMap<Name, String>,
}

/// Sends a GET request for JSON at `path` to all instances concurrently.
pub async fn query_all<T>(settings: &OperatorSettings, path: &'static str) -> Responses<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut calls = JoinSet::new();
    let time_limit = Duration::from_millis(settings.timeout_ms);
    for (name, address) in &settings.instances {
        let call = get_json(*address, path, settings.token.clone());
        let name = name.clone();
        calls.spawn(async move {
            let timeout_error = format!("no response within {} ms", time_limit.as_millis());
            (
                name,
                timeout(time_limit, call)
                    .await
                    .unwrap_or(Err(timeout_error)),
            )
        });
    }
    let mut responses = Responses {
        reached: BTreeMap::new(),
        unreachable: BTreeMap::new(),
    };
    for (name, response) in calls.join_all().await {
        match response {
            Ok(response) => {
                responses.reached.insert(name, response);
            }
            Err(cause) => {
                responses.unreachable.insert(name, cause);
            }
        }
    }
    responses
}

async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    token: Name,
) -> Result<T, String> {
    let request = Request::get(format!("http://{address}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|error| format!("{:#}", Report::new(error)))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    if !status.is_success() {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
