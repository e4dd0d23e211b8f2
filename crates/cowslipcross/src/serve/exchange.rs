//! One request on one connection to a target, up to its whole answer or to what was seen instead.

use {
    crate::serve::{
        counter_guard::CounterGuard,
        request::CallerRequest,
        target_connections::{ConnectError, Connection, TargetConnections},
    },
    bytes::Bytes,
    cowslip_adapter::headers::{self, ResponseMetadata},
    cowslip_decide::names::Name,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Body of every request to a target.
pub type RequestBody = Full<Bytes>;

/// Longest answer that is passed on, in bytes.
const LONGEST_ANSWER: usize = 32 << 20;
/// Time beyond the deadline that a target may take for its own last word on a request that may not
/// be repeated.
const LAST_WORD: Duration = Duration::from_millis(120);

/// Whole answer of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The target answered.
    Completed(TargetResponse),
    /// The target says that it did not run the request.
    NotExecuted(ResponseMetadata),
    /// No byte left: there was no connection.
    Unsent(ConnectError),
    /// Bytes may have left, and no whole answer came.
    Broken(&'static str),
    /// Bytes may have left, and the deadline passed.
    DeadlinePassed,
}

/// A connection in use; it counts as closed unless it is kept.
struct Used<'a> {
    line: &'a TargetConnections,
    link: Option<Connection>,
}

impl Drop for Used<'_> {
    fn drop(&mut self) {
        if self.link.take().is_some() {
            self.line.count_closed();
        }
    }
}

/// Sends a request to a target and waits for its whole answer.
pub async fn send_request(
    line: Rc<TargetConnections>,
    target: Name,
    request: Rc<CallerRequest>,
    most: u32,
) -> ExchangeOutcome {
    let _running = CounterGuard::new(&line.in_flight);
    let last = match request.route.idempotent {
        true => request.deadline,
        false => request.deadline + LAST_WORD,
    };
    let begun = Instant::now();
    let mut first = line.take_idle();
    loop {
        let (link, reused) = match first.take() {
            Some(link) => (link, true),
            None => match timeout_at(request.deadline, line.open(most)).await {
                Ok(Ok(link)) => (link, false),
                Ok(Err(cause)) => return ExchangeOutcome::Unsent(cause),
                Err(_) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            },
        };
        let used = Used {
            line: &line,
            link: Some(link),
        };
        let Some(message) = message(&request, &target) else {
            return ExchangeOutcome::Unsent(ConnectError::Failed);
        };
        match timeout_at(last, send(used, message, &request)).await {
            // The connection had ended while it was idle: nothing left on it.
            Ok(None) if reused => first = line.take_idle(),
            Ok(None) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            Ok(Some(end)) => {
                if matches!(end, ExchangeOutcome::Completed(_)) {
                    line.record_service_time(begun.elapsed());
                }
                return end;
            }
            Err(_) => return ExchangeOutcome::DeadlinePassed,
        }
    }
}

fn message(request: &CallerRequest, target: &Name) -> Option<http::Request<RequestBody>> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path.parse().ok()?;
    *message.headers_mut() = request.headers.clone();
    let headers = message.headers_mut();
    headers.insert(
        headers::DEADLINE,
        HeaderValue::from(left.as_millis() as u64),
    );
    headers.insert(
        headers::REQUIRED_TARGET,
        HeaderValue::from_str(target).ok()?,
    );
    if !request.body.is_empty() {
        headers.insert(
            header::CONTENT_LENGTH,
            HeaderValue::from(request.body.len()),
        );
    }
    Some(message)
}

/// Returns `None` if the connection had ended before any byte left.
async fn send(
    mut used: Used<'_>,
    message: http::Request<RequestBody>,
    request: &CallerRequest,
) -> Option<ExchangeOutcome> {
    let sender = &mut used.link.as_mut()?.sender;
    if sender.ready().await.is_err() {
        return None;
    }
    let answer = match sender.try_send_request(message).await {
        Ok(answer) => answer,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => None,
                None => Some(ExchangeOutcome::Broken(
                    "connection broke before the answer",
                )),
            };
        }
    };
    let signs = headers::parse_response_head(answer.status(), answer.headers());
    if !headers::has_request_id(answer.headers(), &request.id) && !signs.not_executed {
        return Some(ExchangeOutcome::Broken("answer to another request"));
    }
    if let Some(load) = signs.load {
        used.line.load.set(Some((load, Instant::now())));
    }
    let whole = whole(answer).await;
    let Some(whole) = whole else {
        return Some(match signs.not_executed {
            true => ExchangeOutcome::NotExecuted(signs),
            false => ExchangeOutcome::Broken("answer ended early"),
        });
    };
    if let Some(link) = used.link.take() {
        match signs.closes_connection {
            true => used.line.count_closed(),
            false => used.line.return_idle(link, signs.keep_alive),
        }
    }
    if signs.not_executed {
        return Some(ExchangeOutcome::NotExecuted(signs));
    }
    if whole.status.is_success() && !signs.signed {
        return Some(ExchangeOutcome::Broken("answer without a signature"));
    }
    Some(ExchangeOutcome::Completed(whole))
}

/// Returns the whole answer, or `None` if it ended early or is too long.
async fn whole(answer: Response<Incoming>) -> Option<TargetResponse> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, LONGEST_ANSWER).collect().await.ok()?;
    let mut headers = headers::copy_end_to_end(&head.headers);
    headers.remove(header::CONTENT_LENGTH);
    Some(TargetResponse {
        status: head.status,
        headers,
        body: body.to_bytes(),
    })
}
