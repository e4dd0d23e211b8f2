//! A caller's request, read whole.

use {
    crate::context::Context,
    bytes::Bytes,
    cowslip_adapter::{config::Route, headers},
    cowslip_decide::names::Name,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id that the caller gave it.
    pub id: HeaderValue,
    /// Route.
    pub route: Rc<Route>,
    /// Service that this request goes to.
    pub service: Name,
    /// Key, if the service is divided.
    pub key: Option<u16>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time of the arrival of its head.
    pub arrived: Instant,
    /// Time by which the caller gets an answer.
    pub deadline: Instant,
}

/// A request that is not valid, or that cannot be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The request has no id.
    MissingId,
    /// The key is not a number from 0 to 65535, or is missing.
    InvalidKey(String),
    /// The deadline is not a number of milliseconds.
    InvalidDeadline,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body ended early.
    BodyTruncated,
    /// The body was not whole by the deadline.
    BodyTimeout,
}

impl BadRequest {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::MissingId | Self::InvalidKey(_) | Self::InvalidDeadline | Self::BodyTruncated => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns a short text for the answer and the log.
    pub fn message(&self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration yet",
            Self::NoRoute => "no route",
            Self::MissingId => "no request id",
            Self::InvalidKey(_) => "key missing or no number from 0 to 65535",
            Self::InvalidDeadline => "deadline is no number of milliseconds",
            Self::BodyTooLong => "body too long",
            Self::BodyTruncated => "body ended early",
            Self::BodyTimeout => "body not whole in time",
        }
    }
}

/// Reads a request whole.
///
/// # Errors
/// Says what is not valid.
pub async fn read_request(
    context: &Context,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<CallerRequest, BadRequest> {
    let config = context.config.borrow().clone();
    let config = config.ok_or(BadRequest::NoConfig)?;
    let route = find(context, &parts).ok_or(BadRequest::NoRoute)?;
    let id = parts.headers.get(&headers::REQUEST_ID).cloned();
    let id = id.ok_or(BadRequest::MissingId)?;
    let deadline = arrived + patience(&parts.headers, &route)?;
    let service = service(context, &route).ok_or(BadRequest::NoRoute)?;
    let divided = config.services.get(&service).is_some_and(|it| it.sharded);
    let key = headers::parse_shard_key(&parts.headers).map_err(BadRequest::InvalidKey)?;
    if divided && key.is_none() {
        return Err(BadRequest::InvalidKey(String::new()));
    }
    let body = whole(body, config.limits.body_bytes, deadline).await?;
    let path = parts.uri.path_and_query();
    Ok(CallerRequest {
        id,
        service,
        key: key.filter(|_| divided),
        method: parts.method,
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: passed_on(&parts.headers),
        body,
        arrived,
        deadline,
        route,
    })
}

fn find(context: &Context, parts: &Parts) -> Option<Rc<Route>> {
    let named = headers::get_str(&parts.headers, &header::HOST);
    let host = named.or_else(|| parts.uri.host())?;
    context.routes.borrow().find_route(host, parts.uri.path())
}

/// Returns the time that the caller waits, at most that of the route.
fn patience(all: &HeaderMap, route: &Route) -> Result<Duration, BadRequest> {
    let Some(text) = headers::get_str(all, &headers::DEADLINE) else {
        return Ok(route.timeout);
    };
    let millis: u64 = text
        .trim()
        .parse()
        .map_err(|_| BadRequest::InvalidDeadline)?;
    Ok(Duration::from_millis(millis).min(route.timeout))
}

/// Chooses the service of the next request on a route, by weight.
fn service(context: &Context, route: &Route) -> Option<Name> {
    if let [(only, _)] = route.traffic_split.as_slice() {
        return Some(only.clone());
    }
    let mut dealers = context.splitters.borrow_mut();
    let dealer = dealers
        .entry(route.name.clone())
        .or_insert_with(|| cowslip_decide::traffic_split::TrafficSplitter::new(rand::random()));
    let at = dealer.next_index(route.traffic_split.iter().map(|(_, weight)| *weight))?;
    Some(route.traffic_split[at].0.clone())
}

async fn whole(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, BadRequest> {
    match timeout_at(deadline, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadRequest::BodyTooLong),
        Ok(Err(_)) => Err(BadRequest::BodyTruncated),
        Err(_) => Err(BadRequest::BodyTimeout),
    }
}

/// Returns the headers that go on to the target; the length is set anew with the whole body.
fn passed_on(all: &HeaderMap) -> HeaderMap {
    let mut passed = headers::copy_end_to_end(all);
    passed.remove(header::CONTENT_LENGTH);
    passed.remove(header::EXPECT);
    passed.remove(&headers::REQUIRED_TARGET);
    passed
}
