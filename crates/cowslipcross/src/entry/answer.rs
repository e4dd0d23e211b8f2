//! Answers to callers.

use {
    super::classify::BadRequest,
    crate::{context::Context, work::Outcome},
    bytes::Bytes,
    cowslip_decide::{
        names::{Name, Version},
        verdict::{Reason, Verdict},
    },
    gotham::helpers::http::Body,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::{BodyExt, Full},
    serde::Serialize,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Time after which a refused caller finds a busy instance ready again.
pub const BUSY_WAIT: Duration = Duration::from_millis(500);
/// Time after which an instance that starts has its configuration.
pub const START_WAIT: Duration = Duration::from_secs(1);

const JSON: &str = "application/json";

/// Body of a refusal.
#[derive(Serialize)]
struct Refusal<'a> {
    verdict: Verdict,
    reason: Reason,
    message: &'a str,
    retry_after_ms: Option<u64>,
}

/// Returns the end of a request that this instance refuses before anything ran.
pub fn refusal(reason: Reason, wait: Duration) -> Outcome {
    let mut outcome = Outcome::not_run(reason, Version(0));
    outcome.wait = Some(wait).filter(|wait| !wait.is_zero());
    outcome
}

/// Returns the end of a request that is not valid.
pub fn bad(bad: &BadRequest) -> Outcome {
    let mut outcome = Outcome::not_run(Reason::BadRequest, Version(0));
    outcome.status = bad.status().as_u16();
    outcome.body = Bytes::from(bad.to_string());
    outcome
}

/// Returns the status that says how an attempt ended without an answer.
fn status(reason: Reason, verdict: Verdict, given: u16) -> u16 {
    match (reason, verdict) {
        (Reason::BadRequest, _) => given,
        (Reason::Duplicate, _) => 409,
        (Reason::Deadline, _) => 504,
        (_, Verdict::NotRun) => 503,
        (_, _) => 502,
    }
}

/// Writes the answer for the end of a request.
pub fn response(context: &Context, request: &Name, outcome: Outcome) -> Response<Body> {
    let (status, media, body) = match outcome.reason {
        None => (outcome.status, outcome.media.clone(), outcome.body),
        Some(reason) => (
            status(reason, outcome.verdict, outcome.status),
            Some(JSON.into()),
            refusal_body(reason, &outcome),
        ),
    };
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    put("cowslip-verdict", outcome.verdict.as_str());
    put("cowslip-request", request);
    put("cowslip-instance", &context.name);
    if let Some(media) = media {
        put(header::CONTENT_TYPE.as_str(), &media);
    }
    if let Some(reason) = outcome.reason {
        put("cowslip-reason", reason.as_str());
    }
    if let Some(wait) = outcome.wait {
        put(
            "retry-after",
            &wait.as_secs_f64().ceil().max(1.0).to_string(),
        );
        put("retry-after-ms", &wait.as_millis().to_string());
    }
    if context.stopping.load(Ordering::Relaxed) {
        put("connection", "close");
    }
    response
}

fn refusal_body(reason: Reason, outcome: &Outcome) -> Bytes {
    let text = String::from_utf8_lossy(&outcome.body);
    let message = if text.is_empty() {
        message(reason)
    } else {
        &text
    };
    let refusal = Refusal {
        verdict: outcome.verdict,
        reason,
        message,
        retry_after_ms: outcome.wait.map(|wait| wait.as_millis() as u64),
    };
    serde_json::to_vec(&refusal).unwrap_or_default().into()
}

/// Says in words why a request was refused or given up.
fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::Overload => "too many requests wait for the target",
        Reason::Deadline => "the deadline cannot be met or has passed",
        Reason::NoOwner => "the key or service has no target at this moment",
        Reason::WrongHolder => "the instance asked does not send to this target",
        Reason::NoLease => "the instance is cut off from the other instances",
        Reason::Shed => "the target refused the request",
        Reason::Broken => "the connection broke before a whole answer came",
        Reason::TableDown => "the order cannot be journalled because the table service is down",
        Reason::Duplicate => {
            "an order with this idempotency key is in progress or its end is unknown"
        }
        Reason::Stopping => "the instance is stopping",
        Reason::BadRequest => "the request is not valid",
    }
}
