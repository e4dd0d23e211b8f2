//! Outcomes of callers' requests and the HTTP responses for them.

use {
    crate::serve::{exchange::TargetResponse, request::BadRequest},
    bytes::Bytes,
    cowslip_adapter::{headers, held_body::HeldBody},
    cowslip_decide::verdict::{Reason, Verdict},
    http::{HeaderValue, Response, StatusCode, header},
    std::{ops::RangeInclusive, time::Duration},
};

/// Body of every response to a caller.
pub type ResponseBody = HeldBody;

/// Part of a caller's remaining time to which `retry-after` is limited. Callers follow it only up
/// to one third of that time; 0.3 stays below.
const MAX_RETRY_AFTER_FACTOR: f64 = 0.3;

/// Range of the random factor on `retry-after`, so that callers do not retry all at once.
pub const RETRY_AFTER_JITTER: RangeInclusive<f64> = 0.8..=1.2;

/// Time after which a caller of an instance without a configuration should come back.
const NO_CONFIG_WAIT: Duration = Duration::from_millis(300);

/// Time after which a caller should come back for whose request there was no memory; most are held for less.
const NO_MEMORY_WAIT: Duration = Duration::from_millis(500);

/// Time after which a caller of an instance that stops should come back: other instances serve it.
pub const STOPPING_WAIT: Duration = Duration::from_millis(100);

/// A refusal: the request has not run and will not run.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub wait: Duration,
}

/// How a caller's request ended.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// A target answered; its response is passed on unchanged.
    Completed(TargetResponse),
    /// The request has not run and will not run.
    Refused(Refusal),
    /// The request may have run, and no complete response was received.
    Failed(Reason),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl RequestOutcome {
    /// Returns whether the request ran.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Completed(_) => Verdict::Ran,
            Self::Refused(_) => Verdict::NotRun,
            Self::Failed(_) | Self::TimedOut => Verdict::MayHaveRun,
        }
    }

    /// Returns why there is no target's response; `None` if there is one.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Completed(_) => None,
            Self::Refused(refusal) => Some(refusal.reason),
            Self::Failed(reason) => Some(*reason),
            Self::TimedOut => Some(Reason::Deadline),
        }
    }

    /// Converts to an HTTP response; `remaining` is the time until the caller's deadline.
    pub fn into_response(self, id: &HeaderValue, remaining: Duration) -> Response<ResponseBody> {
        let mut response = match self {
            Self::Completed(received) => return forwarded_response(received),
            Self::Refused(refusal) => refusal_response(&refusal, remaining),
            Self::Failed(reason) => text_response(StatusCode::BAD_GATEWAY, reason.as_str()),
            Self::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, Reason::Deadline.as_str()),
        };
        response
            .headers_mut()
            .insert(headers::REQUEST_ID, id.clone());
        response
    }
}

/// Returns the response to a request that cannot be read or routed.
pub fn bad_request_response(bad: &BadRequest) -> Response<ResponseBody> {
    let mut response = text_response(bad.status(), bad.message());
    if let Some(wait) = retry_wait(bad) {
        let wait = headers::format_retry_after(wait);
        response.headers_mut().insert(header::RETRY_AFTER, wait);
    }
    response
}

/// Returns the time after which the caller of a request that cannot be read or routed should come back.
fn retry_wait(bad: &BadRequest) -> Option<Duration> {
    match bad {
        BadRequest::NoConfig => Some(NO_CONFIG_WAIT),
        BadRequest::NoMemory => Some(jittered(NO_MEMORY_WAIT)),
        BadRequest::Stopping => Some(jittered(STOPPING_WAIT)),
        BadRequest::OverAllotment(wait) => Some(jittered(*wait)),
        _ => None,
    }
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(RETRY_AFTER_JITTER))
}

/// Returns a whole message that says that there is no memory for a request, for a connection on which no response can
/// be sent otherwise.
pub fn no_memory_message() -> Vec<u8> {
    let bad = BadRequest::NoMemory;
    let wait = headers::format_retry_after(jittered(NO_MEMORY_WAIT));
    let text = bad.message();
    let message = format!(
        "HTTP/1.1 {}\r\nretry-after: {}\r\nconnection: close\r\ncontent-type: text/plain\r\n\
         content-length: {}\r\n\r\n{text}",
        bad.status(),
        wait.to_str().unwrap_or_default(),
        text.len()
    );
    message.into_bytes()
}

fn forwarded_response(received: TargetResponse) -> Response<ResponseBody> {
    let mut response = Response::new(received.body);
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    response
}

/// Returns a 503 whose `retry-after` varies by [`RETRY_AFTER_JITTER`].
fn refusal_response(refusal: &Refusal, remaining: Duration) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.as_str());
    let wait = jittered(refusal.wait).min(remaining.mul_f64(MAX_RETRY_AFTER_FACTOR));
    let wait = headers::format_retry_after(wait);
    response.headers_mut().insert(header::RETRY_AFTER, wait);
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
