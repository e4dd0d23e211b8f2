//! A client for one request on a connection of its own.

use {
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde::de::DeserializeOwned,
    tokio::net::TcpStream,
};

/// Sends one request and returns the whole answer.
///
/// # Errors
///
/// Fails if the connection or the answer breaks.
pub async fn send(address: &str, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err_with(|| format!("connect to {address}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(request).await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    driver.abort();
    Ok(Response::from_parts(head, body))
}

/// Builds a request with headers.
///
/// # Panics
///
/// Panics if a part is not valid HTTP.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(body.into()))
        .expect("parts are valid")
}

/// Gets a JSON document.
///
/// # Errors
///
/// Fails if the connection breaks, the status is not 200 or the body does not fit `T`.
pub async fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T> {
    let answer = send(address, request("GET", path, &[("host", "standin")], "")).await?;
    eyre::ensure!(
        answer.status() == 200,
        "{path} at {address}: {}",
        answer.status()
    );
    Ok(serde_json::from_slice(answer.body())?)
}

/// Posts a JSON document and returns the status and the body.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn post(address: &str, path: &str, body: &serde_json::Value) -> Result<Response<Bytes>> {
    let headers = [("host", "standin"), ("content-type", "application/json")];
    send(address, request("POST", path, &headers, body.to_string())).await
}
