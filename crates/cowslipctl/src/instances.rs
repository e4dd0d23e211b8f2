//! Asks the operators' ports of the instances.

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

/// Longest answer, in bytes.
const LARGEST: usize = 64 << 20;

/// What the instances answered, and why others did not.
#[derive(Clone, Debug)]
pub struct Responses<T> {
    /// Responses by the name of the instance.
    pub reached: BTreeMap<Name, T>,
    /// Causes by the name of the instance.
    pub unreachable: BTreeMap<Name, String>,
}

/// Asks every instance at the same time for the JSON of a path.
pub async fn query_all<T>(settings: &OperatorSettings, path: &'static str) -> Responses<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut calls = JoinSet::new();
    let limit = Duration::from_millis(settings.timeout_ms);
    for (name, address) in &settings.instances {
        let call = get(*address, path, settings.token.clone());
        let name = name.clone();
        calls.spawn(async move {
            let late = format!("no answer within {} ms", limit.as_millis());
            (name, timeout(limit, call).await.unwrap_or(Err(late)))
        });
    }
    let mut answers = Responses {
        reached: BTreeMap::new(),
        unreachable: BTreeMap::new(),
    };
    for (name, answer) in calls.join_all().await {
        match answer {
            Ok(answer) => {
                answers.reached.insert(name, answer);
            }
            Err(cause) => {
                answers.unreachable.insert(name, cause);
            }
        }
    }
    answers
}

async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    token: Name,
) -> Result<T, String> {
    let request = Request::get(format!("http://{address}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client
        .request(request)
        .await
        .map_err(|error| format!("{:#}", Report::new(error)))?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), LARGEST).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    if !status.is_success() {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
