//! One request on one connection, up to its whole answer or to what was seen instead.

use {
    super::gate::Meter,
    crate::work::{Aim, Work},
    bytes::{Bytes, BytesMut},
    cowslip_decide::names::Name,
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request::Builder,
    },
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1::SendRequest},
    std::{fmt::Write, sync::Arc},
    tokio::time::Instant,
};

/// Longest answer that is passed on, in bytes.
pub const LONGEST_ANSWER: usize = 1024 * 1024;

const REQUEST: HeaderName = HeaderName::from_static("cowslip-request");
const FENCE: HeaderName = HeaderName::from_static("cowslip-fence");
const HASH: HeaderName = HeaderName::from_static("cowslip-hash");
const DEADLINE: HeaderName = HeaderName::from_static("cowslip-deadline-ms");
const HOLDER: HeaderName = HeaderName::from_static("cowslip-holder");
const ORDER: HeaderName = HeaderName::from_static("idempotency-key");
const START: HeaderName = HeaderName::from_static("target-start");
const VERDICT: HeaderName = HeaderName::from_static("target-verdict");
const LEAVING: HeaderName = HeaderName::from_static("target-leaving");

/// Body of every request to a target.
pub type Body = Full<Bytes>;

/// What the head of an answer says of its target.
#[derive(Clone, Debug)]
pub struct Signs {
    /// Status.
    pub status: u16,
    /// Start id.
    pub start: Option<Name>,
    /// Whether the target says that it did not run the request.
    pub unrun: bool,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
}

/// What was seen of an attempt.
#[derive(Clone, Debug)]
pub enum Seen {
    /// The head says that the target did not run the request.
    Unrun(Signs),
    /// The whole answer.
    Whole {
        /// What its head says.
        signs: Signs,
        /// Media type.
        media: Option<Name>,
        /// Body.
        body: Bytes,
    },
    /// No byte of the request left.
    Unsent,
    /// Bytes may have left, and no whole answer came.
    Broken(Option<Signs>),
}

/// Returns the request for a target.
///
/// # Errors
///
/// Returns an error for a key, route or id that is no valid part of a request.
pub fn request(
    work: &Work,
    id: &str,
    holder: &HeaderValue,
    now: Instant,
) -> http::Result<Request<Body>> {
    let left = work.deadline.saturating_duration_since(now).as_millis();
    let mut head = Request::builder()
        .method(work.method.clone())
        .uri(path(work))
        .header(header::CONTENT_LENGTH, work.body.len())
        .header(REQUEST, id)
        .header(DEADLINE, left as u64)
        .header(HOLDER, holder);
    if let Aim::Owner { fence, .. } = &work.aim {
        head = head.header(FENCE, fence.0);
    }
    if let Some(hash) = work.hash {
        head = head.header(HASH, hash);
    }
    head = optional(head, ORDER, work.order.as_ref());
    head = optional(head, header::CONTENT_TYPE, work.media.as_ref());
    head.header(header::HOST, HeaderValue::from_static("target"))
        .body(Full::new(work.body.clone()))
}

/// Sends a request and waits for its whole answer.
pub async fn run(sender: &mut SendRequest<Body>, request: Request<Body>, meter: &Meter) -> Seen {
    let before = meter.written();
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(_) => {
            meter.close();
            return match meter.written() == before {
                true => Seen::Unsent,
                false => Seen::Broken(None),
            };
        }
    };
    let signs = signs(&response);
    let media = text(response.headers(), &header::CONTENT_TYPE);
    match whole(response).await {
        _ if signs.unrun => Seen::Unrun(signs),
        Some(body) => Seen::Whole { signs, media, body },
        None => {
            meter.close();
            Seen::Broken(Some(signs))
        }
    }
}

/// Returns what the head of an answer says of its target.
pub fn signs<B>(response: &Response<B>) -> Signs {
    let headers = response.headers();
    let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::CONFLICT];
    let says_unrun = headers.get(VERDICT).is_some_and(|value| value == "not-run");
    Signs {
        status: response.status().as_u16(),
        start: text(headers, &START),
        unrun: says_unrun && refused.contains(&response.status()),
        leaving: headers.get(LEAVING).is_some_and(|value| value == "1"),
    }
}

/// Returns the whole body, or `None` if it was cut short, too long, or without a marked end.
pub async fn whole(response: Response<Incoming>) -> Option<Bytes> {
    let headers = response.headers();
    let marked = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || response.status() == StatusCode::NO_CONTENT;
    if !marked {
        return None;
    }
    let mut body = response.into_body();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.len() + rest.len() + data.len() > LONGEST_ANSWER {
            return None;
        }
        if first.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
            first.clear();
        }
        rest.extend_from_slice(&data);
    }
    Some(if rest.is_empty() {
        first
    } else {
        rest.freeze()
    })
}

fn path(work: &Work) -> String {
    let mut path = String::with_capacity(64);
    path.push('/');
    path.push_str(&work.route);
    if let Some(key) = &work.key {
        path.push('/');
        escape(&mut path, key);
    }
    path
}

/// Appends `key` as one segment of a path.
fn escape(path: &mut String, key: &str) {
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                path.push(char::from(byte));
            }
            other => {
                let _ = write!(path, "%{other:02X}");
            }
        }
    }
}

fn optional(head: Builder, name: HeaderName, value: Option<&Name>) -> Builder {
    match value {
        Some(value) => head.header(name, value.as_ref()),
        None => head,
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<Name> {
    headers.get(name)?.to_str().ok().map(Arc::from)
}
