//! HTTP endpoints for the platform's readiness probe and for operators.

use {
    crate::{
        context::Context,
        serve::{caller_response::ResponseBody, counter_guard::CounterGuard},
        status::Status,
    },
    bytes::Bytes,
    cowslip_adapter::{metered_stream::MIN_READ_BUFFER_BYTES, paths::READINESS_PATH},
    http::{HeaderMap, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::Serialize,
    std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time in which the head of a request must arrive; also the longest idle time of a connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection is closed.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Concurrent connections to one port; further ones are closed at once.
const MAX_CONNECTIONS: u32 = 64;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Scheme in the `Authorization` header, before the token.
const AUTH_SCHEME: &str = "Bearer ";

/// Serves the readiness probe.
pub async fn serve_readiness(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |request| match request.uri().path() {
        READINESS_PATH if context.is_ready() => plain(StatusCode::OK, "ready"),
        READINESS_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    })
    .await;
}

/// Serves the operators' pages.
pub async fn serve_operators(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |request| render_page(&context, request)).await;
}

fn render_page(context: &Context, request: &Request<Incoming>) -> Response<ResponseBody> {
    match request.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok"),
        "/metrics" => Response::new(Bytes::from(context.metrics.render(context)).into()),
        "/status" | "/events" if !is_authorized(request.headers(), &context.settings.token) => {
            plain(StatusCode::UNAUTHORIZED, "token missing or wrong")
        }
        "/status" => json(&Status::from(context)),
        "/events" => match parse_after(request.uri().query().unwrap_or_default()) {
            Some(after) => json(&context.events.events_after(after)),
            None => plain(StatusCode::BAD_REQUEST, "query is not after=NUMBER"),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns whether the headers contain the configured token; an empty token authorizes nobody.
fn is_authorized(headers: &HeaderMap, token: &str) -> bool {
    let given = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(AUTH_SCHEME));
    !token.is_empty()
        && given.is_some_and(|given| equals_constant_time(given.as_bytes(), token.as_bytes()))
}

/// Compares in a time that does not depend on how many bytes match.
fn equals_constant_time(left: &[u8], right: &[u8]) -> bool {
    let differing = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && differing == 0
}

/// Parses `after=NUMBER`; an empty query means 0, and `None` an invalid query.
fn parse_after(query: &str) -> Option<u64> {
    match query {
        "" => Some(0),
        _ => query.strip_prefix("after=")?.parse().ok(),
    }
}

async fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request<Incoming>) -> Response<ResponseBody> + 'static,
) {
    let (handler, open) = (Rc::new(handler), Rc::new(Cell::new(0)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() < MAX_CONNECTIONS {
            spawn_local(handle_connection(stream, handler.clone(), open.clone()));
        }
    }
}

/// Serves one connection until it ends or its lifetime is over.
async fn handle_connection(
    stream: TcpStream,
    handler: Rc<impl Fn(&Request<Incoming>) -> Response<ResponseBody> + 'static>,
    open: Rc<Cell<u32>>,
) {
    let _counted = CounterGuard::new(&open);
    let service = service_fn(move |request| {
        let response = handler(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MIN_READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // How the connection ends does not matter.
    let _ = timeout(CONNECTION_LIFETIME, connection).await;
}

fn json(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(Bytes::from(body).into());
            let content_type = header::HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "no JSON form"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    response
}
