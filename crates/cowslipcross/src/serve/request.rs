//! Reading and validation of callers' requests.

use {
    crate::{
        context::Context,
        serve::{
            exchange::TargetRequest,
            fingerprints::{Fingerprints, RequestContent},
            late_requests, organisations,
        },
    },
    bytes::Bytes,
    cowslip_adapter::{
        body_reader::{self, BodyError},
        config::Route,
        headers,
        organisations::Organisation,
    },
    cowslip_decide::{
        memory_budget::{ConnectionKind, MemoryReservation},
        names::Name,
    },
    http::{HeaderMap, HeaderValue, Method, StatusCode, header, request::Parts},
    hyper::body::Incoming,
    std::{net::IpAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Memory that the steps of a request take beside its body, in bytes.
const REQUEST_BYTES: usize = 24 << 10;

/// A caller's request with its whole body, as it is forwarded.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request id that the caller chose.
    pub id: HeaderValue,
    /// Matching route.
    pub route: Rc<Route>,
    /// Organisation of the caller; `None` if callers of the route need no key.
    pub organisation: Option<Rc<Organisation>>,
    /// Service chosen among those of the route.
    pub service: Name,
    /// Shard key; `None` if the service is not sharded.
    pub key: Option<u16>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Fingerprints of the content.
    pub fingerprints: Fingerprints,
    /// When the request's head had been read.
    pub arrived: Instant,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Memory for the steps of the request.
    _reservation: MemoryReservation,
}

impl CallerRequest {
    /// Returns the request as it is sent to a target.
    pub fn for_target(&self) -> TargetRequest<'_> {
        TargetRequest {
            id: &self.id,
            method: &self.method,
            path: &self.path,
            headers: &self.headers,
            body: &self.body,
            deadline: self.deadline,
            idempotent: self.route.idempotent,
        }
    }
}

/// Why a request cannot be read or routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// This instance has not read a configuration yet.
    NoConfig,
    /// No route matches, or all services of the route have weight 0.
    NoRoute,
    /// There are organisations, and none of them has the caller's key.
    UnknownKey,
    /// The caller's organisation has used its allotment; it should come back after this time.
    OverAllotment(Duration),
    /// The request id is missing.
    MissingId,
    /// The shard key is missing or not a number from 0 to 65535.
    InvalidKey(String),
    /// The deadline is not a number of milliseconds.
    InvalidDeadline,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// There is no memory for the request now.
    NoMemory,
    /// The request became complete, or is still incomplete, too late before this instance exits.
    Stopping,
    /// The connection failed before the end of the body.
    BodyTruncated,
    /// The body was incomplete at the deadline.
    BodyTimeout,
}

impl BadRequest {
    /// Returns the status code of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoConfig | Self::NoMemory | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverAllotment(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::MissingId | Self::InvalidKey(_) | Self::InvalidDeadline | Self::BodyTruncated => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the text for the response body and the log.
    pub fn message(&self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration yet",
            Self::NoRoute => "no route",
            Self::UnknownKey => "no valid API key",
            Self::OverAllotment(_) => "allotment used",
            Self::MissingId => "no request id",
            Self::InvalidKey(_) => "key missing or no number from 0 to 65535",
            Self::InvalidDeadline => "deadline is no number of milliseconds",
            Self::BodyTooLong => "body too long",
            Self::NoMemory => "no memory for the request now",
            Self::Stopping => "instance stops",
            Self::BodyTruncated => "body ended early",
            Self::BodyTimeout => "body not whole in time",
        }
    }
}

/// Reads the whole request of a caller with this address, finds its route and chooses its service.
///
/// # Errors
/// Fails if the request is not valid, matches no route, or is not complete by its deadline or in time before this
/// instance exits.
pub async fn read_request(
    context: &Context,
    parts: Parts,
    body: Incoming,
    (arrived, caller): (Instant, Option<IpAddr>),
) -> Result<CallerRequest, BadRequest> {
    let config = context.config.borrow().clone();
    let config = config.ok_or(BadRequest::NoConfig)?;
    let route = find_route(context, &parts).ok_or(BadRequest::NoRoute)?;
    let organisation = find_organisation(context, &parts.headers, &route)?;
    let id = parts.headers.get(&headers::REQUEST_ID).cloned();
    let id = id.ok_or(BadRequest::MissingId)?;
    let deadline = arrived + parse_timeout(&parts.headers, &route)?;
    let service = choose_service(context, &route).ok_or(BadRequest::NoRoute)?;
    let is_sharded = config.services.get(&service).is_some_and(|it| it.sharded);
    let key = headers::parse_shard_key(&parts.headers).map_err(BadRequest::InvalidKey)?;
    if is_sharded && key.is_none() {
        return Err(BadRequest::InvalidKey(String::new()));
    }
    let body = read_body(context, body, config.limits.body_bytes, deadline).await?;
    let reservation = reserve_memory(context)?;
    let path = parts.uri.path_and_query();
    let path = path.map_or_else(|| "/".to_owned(), ToString::to_string);
    let key = key.filter(|_| is_sharded);
    let content = RequestContent {
        method: parts.method.as_str(),
        host: headers::get_str(&parts.headers, &header::HOST).unwrap_or_default(),
        path: &path,
        key,
        body: &body,
    };
    if let Some(organisation) = &organisation {
        organisations::admit(context, organisation)?;
    }
    let has_organisations = config.organisations.is_some();
    let name = organisation.as_ref().map(|it| &*it.name);
    let mut headers = forwarded_headers(&parts.headers);
    if has_organisations {
        headers::set_organisation(&mut headers, name);
    }
    Ok(CallerRequest {
        id,
        organisation,
        service,
        key,
        fingerprints: Fingerprints::new(content, caller),
        method: parts.method,
        path,
        headers,
        body,
        arrived,
        deadline,
        route,
        _reservation: reservation,
    })
}

/// Returns the caller's organisation; `None` if callers of the route need no key.
fn find_organisation(
    context: &Context,
    caller_headers: &HeaderMap,
    route: &Route,
) -> Result<Option<Rc<Organisation>>, BadRequest> {
    match route.public {
        true => Ok(None),
        false => {
            let key = headers::api_key(caller_headers);
            context.organisations.find_caller(key)
        }
    }
}

fn find_route(context: &Context, parts: &Parts) -> Option<Rc<Route>> {
    let host_header = headers::get_str(&parts.headers, &header::HOST);
    let host = host_header.or_else(|| parts.uri.host())?;
    context.routes.borrow().find_route(host, parts.uri.path())
}

/// Returns the caller's timeout, at most that of the route.
fn parse_timeout(caller_headers: &HeaderMap, route: &Route) -> Result<Duration, BadRequest> {
    let Some(text) = headers::get_str(caller_headers, &headers::DEADLINE) else {
        return Ok(route.timeout);
    };
    let millis: u64 = text
        .trim()
        .parse()
        .map_err(|_| BadRequest::InvalidDeadline)?;
    Ok(Duration::from_millis(millis).min(route.timeout))
}

/// Chooses the service of the next request on a route by weight; `None` if all weights are 0.
fn choose_service(context: &Context, route: &Route) -> Option<Name> {
    if let [(only, _)] = route.traffic_split.as_slice() {
        return Some(only.clone());
    }
    let mut by_route = context.splitters.borrow_mut();
    let splitter = by_route
        .entry(route.name.clone())
        .or_insert_with(|| cowslip_decide::traffic_split::TrafficSplitter::new(rand::random()));
    let index = splitter.next_index(route.traffic_split.iter().map(|(_, weight)| *weight))?;
    Some(route.traffic_split[index].0.clone())
}

async fn read_body(
    context: &Context,
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BadRequest> {
    let reservation = context
        .memory_budget
        .body_reservation(ConnectionKind::Caller);
    let read = timeout_at(
        deadline,
        body_reader::read_body(&mut body, reservation, max_bytes),
    );
    let read = tokio::select! {
        // Both may be ready: a body that is complete needs no reader for the rest of it.
        biased;
        read = read => read,
        () = late_requests::wait_until_refused(context, deadline) => {
            late_requests::discard(body);
            return Err(BadRequest::Stopping);
        }
    };
    match read {
        Ok(Ok(_)) if !late_requests::is_taken(context, deadline) => Err(BadRequest::Stopping),
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong)) => Err(BadRequest::BodyTooLong),
        Ok(Err(BodyError::NoMemory)) => Err(BadRequest::NoMemory),
        Ok(Err(BodyError::Truncated)) => Err(BadRequest::BodyTruncated),
        Err(_) => Err(BadRequest::BodyTimeout),
    }
}

/// Takes the memory for the steps of a request that is whole.
fn reserve_memory(context: &Context) -> Result<MemoryReservation, BadRequest> {
    let reservation = context
        .memory_budget
        .body_reservation(ConnectionKind::Caller);
    reservation.sized(REQUEST_BYTES).ok_or(BadRequest::NoMemory)
}

/// Returns the headers to forward; `content-length` is set again from the body that was read.
pub(super) fn forwarded_headers(caller_headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers::copy_end_to_end(caller_headers);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    forwarded.remove(&headers::REQUIRED_TARGET);
    forwarded
}
