//! Tests of targets that stop in the middle of a response and close or reset the connection.

use {
    crate::deployment::{Deployment, lookup_request, removal_request},
    cowslip_adapter_standins::scripted_target::{
        ConnectionEnd, ReceivedRequest, ScriptedReply, ScriptedTarget,
    },
    futures_util::future::join_all,
    http::StatusCode,
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
const BODY: &str = "done in full";
/// Bytes between the places at which a line is cut, and cuts at a time.
const CUT_STEP: usize = 16;
const CONCURRENT_CUTS: usize = 6;
/// Requests that are answered whole, with which the retry budget grows.
const UNTROUBLED: u64 = 400;

/// How the end of a response's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// The body ends with the connection.
    Connection,
}

impl Framing {
    const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Connection];

    /// Returns the head and the body of a complete response.
    fn respond(self, id: &str) -> (Vec<u8>, Vec<u8>) {
        let head = format!("HTTP/1.1 200 OK\r\nx-response-signature: s\r\nx-request-id: {id}\r\n");
        let length = BODY.len();
        let (framing, body) = match self {
            Self::Length => (format!("content-length: {length}\r\n"), BODY.to_owned()),
            Self::Chunks => {
                let body = format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n");
                ("transfer-encoding: chunked\r\n".to_owned(), body)
            }
            Self::Connection => (String::new(), BODY.to_owned()),
        };
        (
            format!("{head}{framing}\r\n").into_bytes(),
            body.into_bytes(),
        )
    }
}

/// Replies to `FRAMING-LENGTH-...` with the first bytes of a response, once for each id, and to other requests
/// with all of it.
fn reply(request: &ReceivedRequest, is_first: bool, end: ConnectionEnd) -> ScriptedReply {
    if request.is_command() {
        return request.answer().into();
    }
    let mut fields = request.id.split('-').map(|it| it.parse::<usize>().ok());
    let (framing, length) = (fields.next().flatten(), fields.next().flatten());
    let (Some(framing), Some(length), true) = (framing, length, is_first) else {
        return request
            .respond("200 OK", "x-response-signature: s\r\n", BODY)
            .into();
    };
    let (head, body) = Framing::ALL[framing].respond(&request.id);
    let mut bytes = [head, body].concat();
    bytes.truncate(length);
    ScriptedReply { bytes, end }
}

async fn start_with_cutter(end: ConnectionEnd) -> (Deployment, ScriptedTarget) {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let target = ScriptedTarget::start(move |request| {
        let is_first = seen.lock().expect("a set").insert(request.id.clone());
        reply(request, is_first, end)
    })
    .await;
    deployment.hand_over_boards(&target).await;
    for number in 0..UNTROUBLED {
        let response = deployment.instances[0].send(lookup_request(&format!("w{number}"), 7));
        assert_eq!(response.await.expect("a response").status, StatusCode::OK);
    }
    (deployment, target)
}

/// Returns the lengths at which a response is cut: near each line's end, and at some other places.
fn cut_lengths(response: &[u8]) -> Vec<usize> {
    let is_near_line_end = |length: usize| {
        let near = &response[length.saturating_sub(2)..response.len().min(length + 2)];
        near.contains(&b'\n') || near.contains(&b'\r')
    };
    let lengths = 0..response.len();
    lengths
        .filter(|it| it.is_multiple_of(CUT_STEP) || is_near_line_end(*it))
        .collect()
}

/// Checks what callers get for responses that are cut at several places.
async fn check_cuts(end: ConnectionEnd) {
    let (deployment, _target) = start_with_cutter(end).await;
    let instance = &deployment.instances[0];
    for (index, framing) in Framing::ALL.into_iter().enumerate() {
        let (head, body) = framing.respond("0-000-u");
        let mut lengths = cut_lengths(&[&*head, &*body].concat());
        match (framing, end) {
            // A body that ends with its connection is whole wherever that is closed, but not if it is reset.
            (Framing::Connection, ConnectionEnd::Close) => lengths.retain(|it| *it < head.len()),
            (Framing::Connection, _) => lengths.push(head.len() + body.len()),
            _ => {}
        }
        for group in lengths.chunks(CONCURRENT_CUTS) {
            let checks = group.iter().map(|length| async move {
                let id = format!("{index}-{length:03}-u");
                let response = instance.send(removal_request(&id, 7)).await;
                let status = response.expect("a response").status;
                assert_eq!(status, StatusCode::BAD_GATEWAY, "{framing:?}, {length}");
                let id = format!("{index}-{length:03}-s");
                let response = instance.send(lookup_request(&id, 7)).await;
                let response = response.expect("a response");
                match response.status {
                    StatusCode::OK => assert_eq!(response.body, BODY, "{framing:?}, {length}"),
                    status => assert!(status.is_server_error(), "{framing:?}, {length}: {status}"),
                }
            });
            join_all(checks).await;
        }
    }
}

/// Guards against a success with an empty or a short body that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_cut_anywhere_and_closed_is_no_success() {
    check_cuts(ConnectionEnd::Close).await;
}

/// Guards against a body that ends with a reset of its connection and looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_cut_anywhere_and_reset_is_no_success() {
    check_cuts(ConnectionEnd::Reset).await;
}
