//! Finds the service, route, key, priority and deadline of a caller's request.

use {
    crate::config::Config,
    cowslip_decide::{key::key_hash, names::Name, verdict::Priority},
    http::{HeaderMap, Method, StatusCode, Uri, header},
    percent_encoding::percent_decode_str,
    std::{fmt, result, time::Duration},
};

/// Header with the milliseconds that the caller waits.
pub const DEADLINE: &str = "request-deadline-ms";
/// Header with the id of an order.
pub const ORDER: &str = "idempotency-key";
/// Longest key or id of an order, in bytes.
const NAME_BYTES: usize = 512;

/// Result of a classification.
pub type Result<T> = result::Result<T, BadRequest>;

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Service of the request.
    pub service: Name,
    /// Route of the request.
    pub route: Name,
    /// Key and its hash, for divided services.
    pub key: Option<(Name, u64)>,
    /// Rank in every queue.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Time from arrival within which the answer is wanted.
    pub patience: Duration,
    /// Id of the order, if the caller gave one.
    pub order: Option<Name>,
    /// Media type of the body.
    pub media: Option<Name>,
}

/// Why a request is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// No service of this name.
    Service(String),
    /// The service has no route of this name.
    Route(Name, String),
    /// The route takes another method.
    Method(Name, Name),
    /// The service is divided by key and the path has none.
    NoKey(Name),
    /// The service is not divided by key and the path has one.
    Key(Name),
    /// The path has more segments than a request has, or is too long.
    Path(String),
    /// The path has a query.
    Query(String),
    /// The key is not valid percent-encoded UTF-8.
    Encoding(String),
    /// A header holds an impossible value.
    Header(&'static str, String),
    /// The body is larger than this number of bytes.
    Large(usize),
    /// The body did not arrive in time or was cut off.
    Body(String),
}

impl BadRequest {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Service(_) | Self::Route(..) => StatusCode::NOT_FOUND,
            Self::Method(..) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(_) => StatusCode::REQUEST_TIMEOUT,
            Self::NoKey(_)
            | Self::Key(_)
            | Self::Path(_)
            | Self::Query(_)
            | Self::Encoding(_)
            | Self::Header(..) => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for BadRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service {name:?} does not exist"),
            Self::Route(service, name) => {
                write!(f, "route {name:?} does not exist in service {service:?}")
            }
            Self::Method(route, method) => write!(f, "route {route:?} takes method {method} only"),
            Self::NoKey(service) => write!(f, "service {service:?} needs a key in the path"),
            Self::Path(path) => write!(
                f,
                "path {path:?} is not /service/route or /service/route/key"
            ),
            Self::Key(service) => write!(f, "service {service:?} takes no key in the path"),
            Self::Query(query) => write!(f, "a request takes no query, found {query:?}"),
            Self::Encoding(key) => write!(f, "key {key:?} is not valid percent-encoding of UTF-8"),
            Self::Header(name, value) => write!(f, "header {name:?} has the bad value {value:?}"),
            Self::Large(bytes) => write!(f, "body is larger than {bytes} bytes"),
            Self::Body(why) => write!(f, "body did not arrive whole: {why}"),
        }
    }
}

/// Classifies a request by its head.
///
/// # Errors
///
/// Says what is wrong with the path, the method or a header.
pub fn classify(config: &Config, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Class> {
    if let Some(query) = uri.query() {
        return Err(BadRequest::Query(query.to_owned()));
    }
    let mut segments = uri.path().trim_start_matches('/').splitn(3, '/');
    let name = segments.next().unwrap_or_default();
    let service = config
        .service(name)
        .ok_or_else(|| BadRequest::Service(name.to_owned()))?;
    let name = segments.next().unwrap_or_default();
    let route = service
        .routes
        .get(name)
        .ok_or_else(|| BadRequest::Route(service.name.clone(), name.to_owned()))?;
    if method.as_str() != &*route.method {
        return Err(BadRequest::Method(route.name.clone(), route.method.clone()));
    }
    let key = key(&service.name, service.divided, segments.next(), uri.path())?;
    Ok(Class {
        service: service.name.clone(),
        route: route.name.clone(),
        key,
        priority: route.priority,
        repeatable: route.repeatable,
        patience: patience(headers, route.deadline_ms)?,
        order: order(headers)?,
        media: headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(Name::from),
    })
}

/// Returns the decoded key and its hash: two spellings of a key are one key.
fn key(
    service: &Name,
    divided: bool,
    key: Option<&str>,
    path: &str,
) -> Result<Option<(Name, u64)>> {
    let raw = match key {
        Some(_) if !divided => return Err(BadRequest::Key(service.clone())),
        Some(raw) if !raw.is_empty() => raw,
        _ if divided => return Err(BadRequest::NoKey(service.clone())),
        _ => return Ok(None),
    };
    if raw.contains('/') || raw.len() > NAME_BYTES {
        return Err(BadRequest::Path(path.to_owned()));
    }
    let key = decode(raw)?;
    let hash = key_hash(&key);
    Ok(Some((key, hash)))
}

/// Decodes a segment of a path.
fn decode(raw: &str) -> Result<Name> {
    let wrong = || BadRequest::Encoding(raw.to_owned());
    let bytes = raw.as_bytes();
    let hex = |at: usize| bytes.get(at).is_some_and(u8::is_ascii_hexdigit);
    let mut signs = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'%');
    if !signs.all(|(at, _)| hex(at + 1) && hex(at + 2)) {
        return Err(wrong());
    }
    let text = percent_decode_str(raw).decode_utf8().map_err(|_| wrong())?;
    Ok(text.as_ref().into())
}

fn patience(headers: &HeaderMap, limit_ms: u64) -> Result<Duration> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(Duration::from_millis(limit_ms));
    };
    let wanted = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match wanted.filter(|&ms| ms > 0) {
        Some(ms) => Ok(Duration::from_millis(ms.min(limit_ms))),
        None => Err(bad_header(DEADLINE, value)),
    }
}

fn order(headers: &HeaderMap) -> Result<Option<Name>> {
    let Some(value) = headers.get(ORDER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= NAME_BYTES => Ok(Some(text.into())),
        _ => Err(bad_header(ORDER, value)),
    }
}

fn bad_header(name: &'static str, value: &http::HeaderValue) -> BadRequest {
    BadRequest::Header(name, String::from_utf8_lossy(value.as_bytes()).into_owned())
}
