//! Tests of targets whose answers have a status that the protocol does not allow, at all or at that place.

use {
    crate::deployment::{Deployment, lookup_request, removal_request},
    bytes::Bytes,
    cowslip_adapter_standins::scripted_target::ScriptedTarget,
    http::{Request, StatusCode},
    http_body_util::Full,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Returns a request with this id and key.
type BuildRequest = fn(&str, u64) -> Request<Full<Bytes>>;

/// Sends a request of each kind for each status line that the target answers with, after having run the request;
/// each has to end as if there had been no answer.
async fn check_statuses(status_lines: &[&str]) {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    let status_line = Arc::new(Mutex::new(String::from("200 OK")));
    let current = status_line.clone();
    let target = ScriptedTarget::start(move |request| {
        let status = current.lock().expect("a status").clone();
        match request.is_command() {
            true => request.answer().into(),
            false => request
                .respond(&status, "x-response-signature: s\r\n", "done")
                .into(),
        }
    })
    .await;
    deployment.hand_over_boards(&target).await;
    let kinds: [BuildRequest; 2] = [lookup_request, removal_request];
    for (number, line) in status_lines.iter().enumerate() {
        *status_line.lock().expect("a status") = (*line).to_owned();
        for (kind, request) in kinds.iter().enumerate() {
            let request = request(&format!("r{number}-{kind}"), number as u64);
            let response = deployment.instances[0].send(request).await;
            let response = response.unwrap_or_else(|| panic!("no answer to a {line:?}"));
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{line:?}");
            let is_signed = response.headers.contains_key("x-response-signature");
            assert!(!is_signed, "the signature of an answer with {line:?}");
        }
    }
}

/// Guards against answers that no caller can read: the status has to have three digits and lie between 200 and 599.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_does_not_exist_is_not_passed_on() {
    check_statuses(&[
        "000",
        "000 OK",
        "099 Early",
        "101 Switching Protocols",
        "600 More",
        "999 Most",
        "20 OK",
        "2000 OK",
        "2x0 OK",
        "-20 OK",
    ])
    .await;
}

/// Guards against a false promise: to a caller these statuses say that its request has not run, which the target
/// has not said without the header for that.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_status_promises_that_nothing_ran_is_not_passed_on_without_the_target_saying_so()
 {
    check_statuses(&[
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ])
    .await;
}
