//! Callers that keep their connections for as long as these serve.

use {
    crate::history::{History, RequestKind, RequestOutcome, RequestRecord},
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

/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_millis(3000);
/// Time beyond it after which a caller gives its connection up.
const SILENCE: Duration = Duration::from_millis(1000);
/// Bounds of the pause between two requests of a caller, in milliseconds.
const PAUSE: (u64, u64) = (30, 250);
/// Part of the requests that go to a few keys, and these.
const HOT: (f64, u64) = (0.3, 8);

/// Where a caller sends: names and addresses of the instances.
pub type InstanceAddresses = Vec<(String, SocketAddr)>;

type Link = SendRequest<Full<Bytes>>;

/// Sends requests until this is dropped.
pub async fn run_caller(number: u64, seed: u64, doors: InstanceAddresses, history: History) {
    let mut random = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut open: Option<(usize, Link)> = None;
    for count in 0u64.. {
        sleep(Duration::from_millis(random.random_range(PAUSE.0..PAUSE.1))).await;
        let link = match open.take().filter(|(_, link)| !link.is_closed()) {
            Some(link) => Some(link),
            None => dial(random.random_range(0..doors.len()), &doors).await,
        };
        let Some((door, mut link)) = link else {
            continue;
        };
        let (id, kind) = (format!("{number}-{count}"), kind(&mut random));
        let request = request(kind, &id, key(&mut random));
        let at = Instant::now();
        let end = send(&mut link, request, &id).await;
        if matches!(end, RequestOutcome::Response(..)) {
            open = Some((door, link));
        }
        history.add_request(RequestRecord {
            id,
            kind,
            instance: doors[door].0.clone(),
            sent_at: at,
            ended_at: Instant::now(),
            outcome: end,
        });
    }
}

/// Sends one request to an instance; returns how it ended, or `None` without a connection.
pub async fn send_probe(address: SocketAddr, id: &str, key: u64) -> Option<RequestOutcome> {
    let (_, mut link) = dial(0, &[(String::new(), address)]).await?;
    Some(send(&mut link, request(RequestKind::Removal, id, key), id).await)
}

fn kind(random: &mut StdRng) -> RequestKind {
    match random.random_range(0..10) {
        0..5 => RequestKind::Lookup,
        5..8 => RequestKind::Removal,
        _ => RequestKind::Booking,
    }
}

fn key(random: &mut StdRng) -> u64 {
    match random.random_bool(HOT.0) {
        true => 20_000 + random.random_range(0..HOT.1),
        false => random.random_range(0..65_536),
    }
}

fn request(kind: RequestKind, id: &str, key: u64) -> Request<Full<Bytes>> {
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
        .header("x-deadline-ms", PATIENCE.as_millis().to_string())
        .body(Full::new(Bytes::copy_from_slice(id.as_bytes())))
        .expect("a valid request")
}

async fn dial(door: usize, doors: &[(String, SocketAddr)]) -> Option<(usize, Link)> {
    let connect = TcpStream::connect(doors[door].1);
    let stream = timeout(SILENCE, connect).await.ok()?.ok()?;
    let (link, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The link tells of the end of the connection.
    tokio::spawn(async move { drop(driver.await) });
    Some((door, link))
}

async fn send(link: &mut Link, request: Request<Full<Bytes>>, id: &str) -> RequestOutcome {
    let exchange = async {
        // A connection that ended before the request left has taken nothing.
        link.ready().await?;
        let answer = link.send_request(request).await?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>(RequestOutcome::Response(status, body == id.as_bytes()))
    };
    match timeout(PATIENCE + SILENCE, exchange).await {
        Ok(Ok(end)) => end,
        Ok(Err(_)) => RequestOutcome::ConnectionClosed,
        Err(_) => RequestOutcome::TimedOut,
    }
}
