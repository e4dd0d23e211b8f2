//! Tests of targets that send an earlier answer once more, where the answer to the next request is expected.

use {
    crate::deployment::{Deployment, lookup_request, removal_request},
    bytes::Bytes,
    cowslip_adapter_standins::scripted_target::{ReceivedRequest, ScriptedReply, ScriptedTarget},
    http::StatusCode,
    http_body_util::Full,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Requests of each test that are refused, or fail, once.
const REQUESTS: u64 = 8;
/// Requests before them, with which the retry budget grows.
const UNTROUBLED: u64 = 60;

/// A target that doesn't run the first attempt of a request, or fails it, and sends that answer once more with
/// the next request on its connection if that might take it for its own.
#[derive(Default)]
struct Repeater {
    /// Attempts by request id.
    attempts: BTreeMap<String, u32>,
    /// Runs by request id.
    runs: BTreeMap<String, u32>,
    /// Answers to send once more, by connection.
    copies: BTreeMap<usize, Vec<u8>>,
}

impl Repeater {
    fn reply(
        &mut self,
        request: &ReceivedRequest,
        first_answer: fn(&ReceivedRequest) -> Option<Vec<u8>>,
    ) -> ScriptedReply {
        if request.is_command() {
            return request.answer().into();
        }
        let copy = self.copies.remove(&request.connection);
        // Copies for other requests are recognised by their ids.
        let mut bytes = copy
            .filter(|it| may_belong(it, request))
            .unwrap_or_default();
        let attempts = self.attempts.entry(request.id.clone()).or_default();
        *attempts += 1;
        if let Some(answer) = first_answer(request).filter(|_| *attempts == 1) {
            self.copies.insert(request.connection, answer.clone());
            bytes.extend(answer);
        } else {
            *self.runs.entry(request.id.clone()).or_default() += 1;
            bytes.extend(request.answer());
        }
        bytes.into()
    }
}

/// Returns whether a response has the id of a request, or none.
fn may_belong(response: &[u8], request: &ReceivedRequest) -> bool {
    let text = String::from_utf8_lossy(response);
    let mut ids = text
        .lines()
        .filter_map(|it| it.strip_prefix("x-request-id: "));
    ids.next().is_none_or(|id| id == request.id)
}

/// Starts an instance whose only target of the sharded service is a [`Repeater`].
async fn start_with_repeater(
    first_answer: fn(&ReceivedRequest) -> Option<Vec<u8>>,
) -> (Deployment, ScriptedTarget, Arc<Mutex<Repeater>>) {
    let deployment = Deployment::start(1, 1, 2, PROCESSING_TIME).await;
    let repeater = Arc::new(Mutex::new(Repeater::default()));
    let replies = repeater.clone();
    let target = ScriptedTarget::start(move |request| {
        let mut repeater = replies.lock().expect("a repeater");
        repeater.reply(request, first_answer)
    })
    .await;
    deployment.hand_over_boards(&target).await;
    (deployment, target, repeater)
}

/// Sends requests of two kinds in turn, of which the target answers the first attempt of `first` ones with
/// `first_answer`; each has to run once and to be answered.
async fn check_copies(
    first_answer: fn(&ReceivedRequest) -> Option<Vec<u8>>,
    request: fn(&str, u64) -> http::Request<Full<Bytes>>,
) {
    let (deployment, _target, repeater) = start_with_repeater(first_answer).await;
    for number in 0..UNTROUBLED {
        let request = request(&format!("before{number}"), number);
        let response = deployment.instances[0].send(request).await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
    for number in 0..REQUESTS {
        for kind in ["first", "other"] {
            let id = format!("{kind}{number}");
            let response = deployment.instances[0].send(request(&id, number)).await;
            assert_eq!(response.expect("a response").status, StatusCode::OK, "{id}");
            let runs = repeater.lock().expect("a repeater").runs.get(&id).copied();
            assert_eq!(runs, Some(1), "{id}");
        }
    }
}

/// Guards against requests that run twice: the copy of a refusal has the id of the request that was refused,
/// and so has that request's next attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_is_no_answer_to_the_next_attempt_of_its_request() {
    check_copies(|it| is_first(it).then(|| it.refuse()), removal_request).await;
}

/// Guards against a refusal without an id, whose copy would be taken for the answer to any later request.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_without_an_id_is_no_answer_to_another_request() {
    check_copies(
        |it| is_first(it).then(|| ReceivedRequest::default().refuse()),
        removal_request,
    )
    .await;
}

/// Guards against the loss of an answer: the copy of a failure has the id of the request that is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_failure_is_no_answer_to_the_next_attempt_of_its_request() {
    check_copies(
        |it| is_first(it).then(|| it.respond("500 Internal Server Error", "", "")),
        lookup_request,
    )
    .await;
}

fn is_first(request: &ReceivedRequest) -> bool {
    request.id.starts_with("first")
}
