//! Simulated callers, which reuse their connections for as long as these stay open.

use {
    crate::{
        history::{History, Outcome, RequestKind, RequestRecord},
        organisations,
    },
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Deadline that each request carries.
const REQUEST_DEADLINE: Duration = Duration::from_millis(3000);
/// Time limit of a connect, and of a response after the deadline of its request.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Shortest and longest pause between two requests of a caller, in milliseconds.
const PAUSE_RANGE_MS: (u64, u64) = (30, 250);
/// Fraction of the requests that use a hot key, and number of hot keys, which begin at 20000.
const HOT_KEYS: (f64, u64) = (0.3, 8);

/// Names of the instances and their addresses for callers.
pub type InstanceAddresses = Vec<(String, SocketAddr)>;

type Connection = SendRequest<Full<Bytes>>;

/// Sends requests to random instances and records their outcomes until the future is dropped; each
/// caller draws a sequence of its own from the seed.
pub async fn run_caller(number: u64, seed: u64, instances: InstanceAddresses, history: History) {
    let mut random = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut idle: Option<(usize, Connection)> = None;
    for count in 0u64.. {
        sleep(Duration::from_millis(
            random.random_range(PAUSE_RANGE_MS.0..PAUSE_RANGE_MS.1),
        ))
        .await;
        let connection = match idle
            .take()
            .filter(|(_, connection)| !connection.is_closed())
        {
            Some(connection) => Some(connection),
            None => open_connection(random.random_range(0..instances.len()), &instances).await,
        };
        let Some((index, mut connection)) = connection else {
            continue;
        };
        let (id, kind) = (format!("{number}-{count}"), draw_kind(&mut random));
        let key = (draw_key(&mut random), organisations::api_key(number));
        let request = build_request(kind, &id, key);
        let sent_at = Instant::now();
        let outcome = exchange(&mut connection, request, &id).await;
        if matches!(outcome, Outcome::Response(..)) {
            idle = Some((index, connection));
        }
        history.add_request(RequestRecord {
            id,
            kind,
            instance: instances[index].0.clone(),
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
    }
}

/// Sends one removal, which goes to the owner of the key, through an instance; returns its outcome,
/// or `None` if the connect failed.
pub async fn send_probe(address: SocketAddr, id: &str, key: u64) -> Option<Outcome> {
    let (_, mut connection) = open_connection(0, &[(String::new(), address)]).await?;
    Some(
        exchange(
            &mut connection,
            build_request(
                RequestKind::Removal,
                id,
                (key, organisations::unlimited_key()),
            ),
            id,
        )
        .await,
    )
}

fn draw_kind(random: &mut StdRng) -> RequestKind {
    match random.random_range(0..10) {
        0..5 => RequestKind::Lookup,
        5..8 => RequestKind::Removal,
        _ => RequestKind::Booking,
    }
}

fn draw_key(random: &mut StdRng) -> u64 {
    match random.random_bool(HOT_KEYS.0) {
        true => 20_000 + random.random_range(0..HOT_KEYS.1),
        false => random.random_range(0..65_536),
    }
}

fn build_request(kind: RequestKind, id: &str, (key, api_key): (u64, &str)) -> Request<Full<Bytes>> {
    let (method, path) = match kind {
        RequestKind::Lookup => ("GET", "/lookup/x"),
        RequestKind::Removal => ("POST", "/remove/x"),
        RequestKind::Booking => ("PUT", "/book/x"),
    };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "front.example")
        .header("x-request-id", id)
        .header("x-shard-key", key.to_string())
        .header("x-credential", api_key)
        .header("x-deadline-ms", REQUEST_DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::copy_from_slice(id.as_bytes())))
        .expect("a valid request")
}

/// Connects to the instance with this index; returns the index, too.
async fn open_connection(
    index: usize,
    instances: &[(String, SocketAddr)],
) -> Option<(usize, Connection)> {
    let connecting = TcpStream::connect(instances[index].1);
    let stream = timeout(CONNECTION_TIMEOUT, connecting).await.ok()?.ok()?;
    let (connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The sending half, `connection`, reports errors of the connection, too.
    tokio::spawn(async move { drop(driver.await) });
    Some((index, connection))
}

async fn exchange(connection: &mut Connection, request: Request<Full<Bytes>>, id: &str) -> Outcome {
    let pending = async {
        // An error here means that the connection closed before the request was sent.
        connection.ready().await?;
        let response = connection.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>(Outcome::Response(status, body == id.as_bytes()))
    };
    match timeout(REQUEST_DEADLINE + CONNECTION_TIMEOUT, pending).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Outcome::ConnectionClosed,
        Err(_) => Outcome::TimedOut,
    }
}
