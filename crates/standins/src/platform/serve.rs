//! HTTP server of the platform stand-in.

use {
    super::{
        faults::{Counts, Faults},
        list::{Entry, List},
        objects::Objects,
        table::Table,
    },
    bytes::Bytes,
    http::{Method, Request, Response, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::Serialize,
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{AbortHandle, JoinSet},
        time::sleep,
    },
};

type Answer = Response<Full<Bytes>>;

/// Error that makes the server close the connection without an answer.
#[derive(Debug)]
struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection dropped by a fault")
    }
}

impl std::error::Error for Dropped {}

#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: Objects,
    list: List,
    faults: Faults,
}

type Shared = Arc<Mutex<State>>;

/// Running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Shared,
    task: AbortHandle,
}

impl Handle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the counters of calls.
    pub fn counts(&self) -> Counts {
        lock(&self.state).table.counts
    }

    /// Adds or replaces an entry of the instance list.
    pub fn register(&self, name: &str, entry: Entry) {
        lock(&self.state).list.put(name, entry);
    }

    /// Removes an entry of the instance list.
    pub fn remove(&self, name: &str) {
        lock(&self.state).list.remove(name);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves the platform on `listener` in the current runtime.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn serve(listener: TcpListener) -> std::io::Result<Handle> {
    let address = listener.local_addr()?;
    let state = Shared::default();
    let task = tokio::spawn(accept(listener, state.clone())).abort_handle();
    Ok(Handle {
        address,
        state,
        task,
    })
}

async fn accept(listener: TcpListener, state: Shared) {
    let mut connections = JoinSet::new();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(connection(stream, state.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(stream: TcpStream, state: Shared) {
    // A failed connection is what the faults ask for.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(request, state.clone()));
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(request: Request<Incoming>, state: Shared) -> Result<Answer, Dropped> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    if parts.uri.path().starts_with("/-/") {
        return Ok(control(&parts.method, parts.uri.path(), &body, &state));
    }
    // A task of its own: a call takes effect also when the client has given up meanwhile.
    tokio::spawn(take_effect(parts, body, state))
        .await
        .unwrap_or(Err(Dropped))
}

async fn take_effect(
    parts: http::request::Parts,
    body: Bytes,
    state: Shared,
) -> Result<Answer, Dropped> {
    let path = parts.uri.path();
    let faults = lock(&state).faults;
    let down = match path {
        "/instances" => faults.list_down,
        _ => faults.down,
    };
    if down {
        return Err(Dropped);
    }
    sleep(faults.delay()).await;
    let mut state = lock(&state);
    match (&parts.method, path) {
        (&Method::GET, "/instances") => Ok(json(200, &state.list.seen(faults.lag()))),
        (&Method::POST, "/") => {
            let action = parts.headers.get("x-amz-target");
            let action = action.and_then(|value| value.to_str().ok()).unwrap_or("");
            let (status, answer) = state.table.call(action, &body);
            let lost = faults.lose_answers && action.ends_with("TransactWriteItems");
            (!lost).then(|| json(status, &answer)).ok_or(Dropped)
        }
        (&Method::PUT, _) => {
            state.objects.put(path, body);
            let lost = faults.lose_answers;
            (!lost).then(|| empty(200)).ok_or(Dropped)
        }
        (&Method::GET, _) => Ok(match state.objects.get(path) {
            Some(object) => Response::new(Full::new(object)),
            None => empty(404),
        }),
        _ => Ok(empty(405)),
    }
}

fn control(method: &Method, path: &str, body: &[u8], state: &Shared) -> Answer {
    let mut state = lock(state);
    let name = path.strip_prefix("/-/instances/");
    match (method, path, name) {
        (&Method::GET, "/-/counts", _) => json(200, &state.table.counts),
        (&Method::GET, "/-/faults", _) => json(200, &state.faults),
        (&Method::POST, "/-/faults", _) => match serde_json::from_slice(body) {
            Ok(faults) => {
                state.faults = faults;
                empty(200)
            }
            Err(error) => json(400, &error.to_string()),
        },
        (&Method::PUT, _, Some(name)) => match serde_json::from_slice(body) {
            Ok(entry) => {
                state.list.put(name, entry);
                empty(200)
            }
            Err(error) => json(400, &error.to_string()),
        },
        (&Method::DELETE, _, Some(name)) => {
            state.list.remove(name);
            empty(200)
        }
        _ => empty(404),
    }
}

fn json(status: u16, value: &impl Serialize) -> Answer {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(500);
    };
    let mut answer = empty(status);
    let kind = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    *answer.body_mut() = Full::new(body.into());
    answer
}

fn empty(status: u16) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
