//! The callers' port: good requests pass, bad ones get a clear error and harm nobody else.

use {
    cowslip_decide::{
        names::{Incarnation, Version},
        verdict::Verdict,
    },
    cowslip_settings::{document, overrides::Overrides, process},
    cowslipcross::{
        config::Config, context::Context, entry, events::Events, ring::ring, route::job::JobTicket,
        work::Outcome,
    },
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime,
        sync::{mpsc, watch},
        time::timeout,
    },
};

const SETTINGS: &str = r#"
name = "entry-1"
data_centre = "hk-1"
deployment = "test"
token = "secret-token"

[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"

[platform]
table = "http://127.0.0.1:4"
objects = "http://127.0.0.1:4"
instances = "http://127.0.0.1:4"

[limits]
head_bytes = 8192
body_bytes = 1000
head_timeout_ms = 300
body_timeout_ms = 300
"#;

/// Long enough for every answer, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

struct Port {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    served: thread::JoinHandle<()>,
}

/// Serves callers; every job is answered with its own key and body.
async fn port() -> Port {
    let settings = process::parse(SETTINGS, "test.toml", &Overrides::default()).unwrap();
    let context = Arc::new(Context::new(settings, Incarnation(1), Events::default()));
    let text = include_str!("../../../examples/ishikari.toml");
    let document = document::parse(text, "ishikari.toml").unwrap();
    let config = Config::new(Version(1), document, text.into());
    context.config.store(Some(Arc::new(config)));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (jobs, taken) = ring(64);
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(echo(taken));
    // As in the process: what the duty leaves behind ends with its runtime.
    let served = thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async {
            let listener = TcpListener::from_std(listener).unwrap();
            entry::serve(context, listener, jobs, stopped).await;
        });
    });
    Port {
        address,
        stop,
        served,
    }
}

async fn echo(mut jobs: mpsc::Receiver<JobTicket>) {
    while let Some(JobTicket { job, reply }) = jobs.recv().await {
        let key = job.key.as_ref().map_or("-", |(key, _)| key);
        let mut outcome = Outcome::not_run(cowslip_decide::verdict::Reason::Shed, Version(1));
        outcome.verdict = Verdict::Ran;
        outcome.reason = None;
        outcome.status = 200;
        outcome.body = format!("{key}:{}", String::from_utf8_lossy(&job.body)).into();
        let _ = reply.send(outcome);
    }
}

async fn connect(port: &Port) -> TcpStream {
    TcpStream::connect(port.address).await.unwrap()
}

/// Reads one answer: its status, its head in lower case, and its body.
async fn answer(stream: &mut TcpStream) -> (u16, String, String) {
    let read = async {
        let mut bytes = Vec::new();
        let head = loop {
            if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            let byte = stream.read_u8().await.expect("an answer");
            bytes.push(byte);
        };
        let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.trim().parse().unwrap())];
        stream.read_exact(&mut body).await.expect("a whole body");
        let status = text.split(' ').nth(1).unwrap().parse().unwrap();
        (status, text, String::from_utf8_lossy(&body).into_owned())
    };
    timeout(PATIENCE, read).await.expect("an answer in time")
}

async fn ask(port: &Port, request: &str) -> (u16, String, String) {
    let mut stream = connect(port).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    answer(&mut stream).await
}

#[tokio::test]
async fn one_connection_carries_any_number_of_requests() {
    let port = port().await;
    let mut stream = connect(&port).await;
    let padding = "x".repeat(3000);
    for i in 0..50 {
        // Longer in all than one head may be, and than the time for one head.
        let request =
            format!("GET /registry/lookup/k{i} HTTP/1.1\r\nhost: x\r\npad: {padding}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let (status, _, body) = answer(&mut stream).await;
        assert_eq!((status, body), (200, format!("k{i}:")));
        if i == 25 {
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    }
}

#[tokio::test]
async fn bad_requests_get_a_clear_error() {
    let port = port().await;
    let cases = [
        (
            "GET /nothing/lookup/k",
            "",
            404,
            "service \\\"nothing\\\" does not exist",
        ),
        (
            "GET /registry/nothing/k",
            "",
            404,
            "route \\\"nothing\\\" does not exist",
        ),
        ("POST /registry/lookup/k", "", 405, "takes method GET only"),
        ("GET /registry/lookup", "", 400, "needs a key"),
        ("GET /registry/lookup/a/b", "", 400, "is not /service/route"),
        ("GET /registry/lookup/k?all=1", "", 400, "takes no query"),
        (
            "GET /registry/lookup/%zz",
            "",
            400,
            "is not valid percent-encoding",
        ),
        ("GET /dispatch/status/k", "", 400, "takes no key"),
        (
            "GET /registry/lookup/k",
            "request-deadline-ms: soon\r\n",
            400,
            "request-deadline-ms",
        ),
        (
            "POST /dispatch/booking",
            "idempotency-key: \r\n",
            400,
            "idempotency-key",
        ),
        (
            "POST /dispatch/booking",
            "content-length: 1001\r\n",
            413,
            "larger than 1000 bytes",
        ),
        (
            "POST /dispatch/booking",
            "content-length: 10\r\n",
            408,
            "did not arrive whole",
        ),
    ];
    for (line, headers, status, why) in cases {
        let body = if status == 413 {
            "x".repeat(1001)
        } else {
            String::new()
        };
        let request = format!("{line} HTTP/1.1\r\nhost: x\r\n{headers}\r\n{body}");
        let (got, head, text) = ask(&port, &request).await;
        assert_eq!(got, status, "{line} {headers}: {text}");
        assert!(text.contains(why), "{line}: {text}");
        assert!(head.contains("cowslip-verdict: not-run"), "{line}: {head}");
    }
}

#[tokio::test]
async fn slow_and_long_heads_are_refused_and_harm_nobody() {
    let port = port().await;
    let mut slow = connect(&port).await;
    slow.write_all(b"GET /registry/lookup/k HTTP/1.1\r\nhost:")
        .await
        .unwrap();
    let mut long = connect(&port).await;
    let head = format!(
        "GET /registry/lookup/k HTTP/1.1\r\npad: {}",
        "x".repeat(9000)
    );
    long.write_all(head.as_bytes()).await.unwrap();
    let good = ask(&port, "GET /registry/lookup/k HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!((good.0, good.2.as_str()), (200, "k:"));
    assert_eq!(answer(&mut slow).await.0, 408);
    assert_eq!(answer(&mut long).await.0, 431);
}

#[tokio::test]
async fn two_spellings_of_a_key_are_one_key() {
    let port = port().await;
    for path in ["caf%C3%A9%20a", "caf%c3%a9%20%61"] {
        let request = format!("GET /registry/lookup/{path} HTTP/1.1\r\nhost: x\r\n\r\n");
        let (status, _, body) = ask(&port, &request).await;
        assert_eq!((status, body.as_str()), (200, "café a:"));
    }
}

#[tokio::test]
async fn a_stop_cuts_no_request_in_flight() {
    let port = port().await;
    let mut begun = connect(&port).await;
    let head = "POST /dispatch/booking HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab";
    begun.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    port.stop.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    begun.write_all(b"cd").await.unwrap();
    let (status, _, body) = answer(&mut begun).await;
    assert_eq!((status, body.as_str()), (200, "-:abcd"));
    drop(begun);
    tokio::task::spawn_blocking(|| port.served.join().unwrap())
        .await
        .unwrap();
}
