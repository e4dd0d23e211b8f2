//! The platform's question whether the instance is ready, and the operators' pages.

use {
    crate::{
        context::Context,
        serve::{caller_response::ResponseBody, counter_guard::CounterGuard},
        status::Status,
    },
    bytes::Bytes,
    cowslip_adapter::paths::READINESS_PATH,
    http::{HeaderMap, Request, Response, StatusCode, header},
    http_body_util::Full,
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

/// Time for a head, and for which a connection may be idle.
const IDLE: Duration = Duration::from_secs(10);
/// Longest life of a connection.
const LIFE: Duration = Duration::from_secs(60);
/// Connections of one port at the same time; further ones are closed at once.
const CONNECTIONS: u32 = 64;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Word before the token in its header.
const SCHEME: &str = "Bearer ";

/// Answers whether the instance is ready.
pub async fn serve_readiness(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |request| match request.uri().path() {
        READINESS_PATH if context.is_ready() => plain(StatusCode::OK, "ready"),
        READINESS_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    })
    .await;
}

/// Answers operators.
pub async fn serve_operators(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |request| page(&context, request)).await;
}

fn page(context: &Context, request: &Request<Incoming>) -> Response<ResponseBody> {
    match request.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok"),
        "/metrics" => Response::new(Full::new(context.metrics.render(context).into())),
        "/status" | "/events" if !granted(request.headers(), &context.settings.token) => {
            plain(StatusCode::UNAUTHORIZED, "token missing or wrong")
        }
        "/status" => json(&Status::from(context)),
        "/events" => match after(request.uri().query().unwrap_or_default()) {
            Some(after) => json(&context.events.events_after(after)),
            None => plain(StatusCode::BAD_REQUEST, "query is not after=NUMBER"),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns whether the headers bear the token; without a token nothing is granted.
fn granted(headers: &HeaderMap, token: &str) -> bool {
    let given = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME));
    !token.is_empty() && given.is_some_and(|given| same(given.as_bytes(), token.as_bytes()))
}

/// Compares in a time that does not tell how many bytes are right.
fn same(left: &[u8], right: &[u8]) -> bool {
    let differing = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && differing == 0
}

/// Returns the number that the events must be above.
fn after(query: &str) -> Option<u64> {
    match query {
        "" => Some(0),
        _ => query.strip_prefix("after=")?.parse().ok(),
    }
}

async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<ResponseBody> + 'static,
) {
    let (answer, open) = (Rc::new(answer), Rc::new(Cell::new(0)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() < CONNECTIONS {
            spawn_local(connection(stream, answer.clone(), open.clone()));
        }
    }
}

/// Serves one connection for at most its life.
async fn connection(
    stream: TcpStream,
    answer: Rc<impl Fn(&Request<Incoming>) -> Response<ResponseBody> + 'static>,
    open: Rc<Cell<u32>>,
) {
    let _counted = CounterGuard::new(&open);
    let service = service_fn(move |request| {
        let response = answer(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // Nothing depends on how a question ends.
    let _ = timeout(LIFE, connection).await;
}

fn json(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(Full::new(body.into()));
            let kind = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "no JSON form"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
