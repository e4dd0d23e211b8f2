//! Tests of requests that become whole, or still wait, late in the grace period of an instance that stops.

use {
    crate::deployment::{Deployment, InstanceResponse, removal_request, wait_until},
    bytes::Bytes,
    cowslip_adapter_standins::config::build_config,
    futures_util::future::join_all,
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time for which a target processes a request, longer than what is left of the grace period at [`LATE`].
const PROCESSING_TIME: Duration = Duration::from_millis(1500);
/// Time after the stop signal at which a request becomes whole; the grace period is 6 s.
const LATE: Duration = Duration::from_millis(4500);
/// Time in which an instance reads what was sent to it.
const READ_TIME: Duration = Duration::from_millis(100);
/// Time after which a response counts as missing.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller that sends requests in pieces.
struct SlowCaller {
    stream: TcpStream,
}

impl SlowCaller {
    async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        Self { stream }
    }

    async fn send(&mut self, piece: &str) {
        let sent = self.stream.write_all(piece.as_bytes()).await;
        sent.expect("the connection is open");
    }

    /// Reads a response; `None` if the connection ended without a whole one.
    async fn receive(&mut self) -> Option<InstanceResponse> {
        let (mut received, mut piece) = (Vec::new(), [0; 1024]);
        loop {
            if let Some(response) = parse_response(&received) {
                return Some(response);
            }
            let read = timeout(WAIT_TIMEOUT, self.stream.read(&mut piece)).await;
            match read.expect("an end in time") {
                Ok(length) if length > 0 => received.extend_from_slice(&piece[..length]),
                _ => return None,
            }
        }
    }
}

/// Returns the response if it is complete.
fn parse_response(received: &[u8]) -> Option<InstanceResponse> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut headers = HeaderMap::new();
    for line in lines {
        let (name, value) = line.split_once(": ")?;
        let name: HeaderName = name.parse().ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    let length: usize = headers
        .get("content-length")
        .and_then(|it| it.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    (body.len() >= length).then(|| InstanceResponse {
        status: StatusCode::from_u16(status).expect("a status"),
        headers,
        body: Bytes::copy_from_slice(body.as_bytes()),
    })
}

/// Returns the two pieces of the head of a non-idempotent request with a body of 8 bytes.
fn head_of_removal(id: &str, timeout_ms: u32) -> [String; 2] {
    [
        "POST /remove/x HTTP/1.1\r\nhost: front.example\r\n".to_owned(),
        format!(
            "x-request-id: {id}\r\nx-shard-key: 8\r\nx-deadline-ms: {timeout_ms}\r\ncontent-length: 8\r\n\r\n"
        ),
    ]
}

/// Starts two instances, of which a test stops the first, with timeouts of 20 s on all routes, and one target of the
/// sharded service.
async fn start(slots: u32, processing_time: Duration) -> Deployment {
    let deployment = Deployment::start(2, 1, slots, processing_time).await;
    let config = build_config("r9", "boards").replace("3000ms\",\"600ms", "20000ms\",\"600ms");
    assert!(config.contains("20000ms"));
    deployment.store.put("op", "config", config.as_bytes());
    let instance = &deployment.instances[0];
    wait_until(|| async { instance.metrics().await.contains("config_version 9") }).await;
    deployment
}

/// Sends a piece of a request, and stops the first instance once that has read it.
async fn send_and_stop(deployment: &Deployment, caller: &mut SlowCaller, piece: &str) {
    caller.send(piece).await;
    sleep(READ_TIME).await;
    deployment.instances[0].signal("TERM");
}

fn assert_refused(deployment: &Deployment, id: &str, response: Option<InstanceResponse>) {
    let response = response.unwrap_or_else(|| panic!("{id}: no response"));
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
    assert!(response.headers.contains_key("retry-after"), "{id}");
    assert_eq!(response.headers["connection"], "close", "{id}");
    assert_eq!(deployment.count_executions(id), 0, "{id}");
}

/// Guards against requests that are taken late in the grace period, sent to a target and cut at its end:
/// here, bodies that become whole late.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_becomes_whole_late_in_the_grace_period_is_refused_unrun() {
    let mut deployment = start(4, PROCESSING_TIME).await;
    let mut caller = SlowCaller::connect(deployment.instances[0].callers).await;
    let head = head_of_removal("body", 20_000).concat();
    send_and_stop(&deployment, &mut caller, &(head + "strip")).await;
    sleep(LATE).await;
    caller.send(" it").await;
    assert_refused(&deployment, "body", caller.receive().await);
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
    assert_eq!(deployment.count_executions("body"), 0);
}

/// Like the one before, with a body that never becomes whole: it is refused as soon as it would not be taken any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_not_whole_in_time_is_refused_before_the_exit() {
    let mut deployment = start(4, PROCESSING_TIME).await;
    let mut caller = SlowCaller::connect(deployment.instances[0].callers).await;
    let head = head_of_removal("part", 20_000).concat();
    send_and_stop(&deployment, &mut caller, &(head + "strip")).await;
    assert_refused(&deployment, "part", caller.receive().await);
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
}

/// Like the first one, with the head of the first request on a connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_becomes_whole_late_in_the_grace_period_is_refused_unrun() {
    let mut deployment = start(4, PROCESSING_TIME).await;
    let mut caller = SlowCaller::connect(deployment.instances[0].callers).await;
    let [first, rest] = head_of_removal("head", 20_000);
    send_and_stop(&deployment, &mut caller, &first).await;
    sleep(LATE).await;
    caller.send(&(rest + "strip it")).await;
    assert_refused(&deployment, "head", caller.receive().await);
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
}

/// Guards against connections that are closed as idle while the head of their next request arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_arrives_in_pieces_on_a_connection_in_use_is_answered() {
    let mut deployment = start(4, Duration::from_millis(50)).await;
    let mut caller = SlowCaller::connect(deployment.instances[0].callers).await;
    let before = head_of_removal("before", 20_000).concat();
    caller.send(&(before + "strip it")).await;
    let response = caller.receive().await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let [first, rest] = head_of_removal("kept", 20_000);
    send_and_stop(&deployment, &mut caller, &first).await;
    sleep(LATE).await;
    caller.send(&(rest + "strip it")).await;
    assert_refused(&deployment, "kept", caller.receive().await);
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
}

/// Guards against requests that wait for a target until the process exits and get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_target_are_answered_before_the_exit() {
    let mut deployment = start(1, Duration::from_millis(500)).await;
    let instance = &deployment.instances[0];
    let ids: Vec<String> = (0..40).map(|number| format!("waits{number}")).collect();
    let sends = ids.iter().map(|id| {
        let mut request = removal_request(id, 8);
        let deadline = HeaderValue::from_static("20000");
        request.headers_mut().insert("x-deadline-ms", deadline);
        instance.send(request)
    });
    let stop = async {
        sleep(5 * READ_TIME).await;
        instance.signal("TERM");
    };
    let (responses, ()) = tokio::join!(join_all(sends), stop);
    let mut served = 0;
    for (id, response) in ids.iter().zip(responses) {
        let response = response.unwrap_or_else(|| panic!("{id}: no response"));
        let executions = match response.status {
            StatusCode::OK => 1,
            StatusCode::SERVICE_UNAVAILABLE => 0,
            other => panic!("{id}: {other}"),
        };
        served += executions;
        assert_eq!(deployment.count_executions(id), executions, "{id}");
    }
    assert!(served > 1, "{served} served");
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
}

/// A request that certainly ends before the exit is served, however late it becomes whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_whose_deadline_lies_before_the_exit_is_served() {
    let mut deployment = start(4, Duration::from_millis(50)).await;
    let mut caller = SlowCaller::connect(deployment.instances[0].callers).await;
    let head = head_of_removal("short", 5000).concat();
    send_and_stop(&deployment, &mut caller, &(head + "strip")).await;
    sleep(Duration::from_millis(3500)).await;
    caller.send(" it").await;
    let response = caller.receive().await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(deployment.count_executions("short"), 1);
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
}

/// Guards against requests of other instances that become whole late, are passed on, and are cut at the exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_another_instance_that_becomes_whole_during_the_stop_is_not_passed_on() {
    let mut deployment = start(4, PROCESSING_TIME).await;
    let mut peer = SlowCaller::connect(deployment.instances[0].peers).await;
    let [first, rest] = head_of_removal("passed", 20_000);
    let relay = "cowslipcross-relay: 1 once 1\r\nx-target-instance: b0\r\n";
    let request = format!("{first}{relay}{rest}strip");
    send_and_stop(&deployment, &mut peer, &request).await;
    sleep(10 * READ_TIME).await;
    peer.send(" it").await;
    let response = peer.receive().await.expect("a response");
    assert_eq!(response.headers["cowslipcross-relay"], "1 cut-off");
    assert_eq!(deployment.instances[0].wait_for_exit().await, Some(0));
    assert_eq!(deployment.count_executions("passed"), 0);
}
