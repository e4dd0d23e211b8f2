//! One request on one connection to a target, and its response or the reason why there is none.

use {
    crate::serve::{
        counter_guard::CounterGuard,
        relay_headers::{self, RelayReply},
        target_connections::{
            ConnectError, Connection, ConnectionUsage, LimitStatement, TargetConnections,
        },
    },
    bytes::Bytes,
    cowslip_adapter::{
        body_reader::{self, BodyError},
        headers::{self, ResponseMetadata},
        held_body::HeldBody,
        interim_responses::InterimResponses,
    },
    cowslip_decide::{
        memory_budget::{ConnectionKind, MemoryBudget, MemoryReservation},
        names::Name,
        unsettled::{ConnectionFate, RequestIdHash},
    },
    http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header, response},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
    xxhash_rust::xxh3::xxh3_64,
};

/// Body of every request to a target.
pub type RequestBody = Full<Bytes>;

/// Time after the deadline for which the response to a non-idempotent request is awaited, as the
/// target may still report whether the request ran.
const RESPONSE_GRACE: Duration = Duration::from_millis(120);

/// Longest body of a response that is passed on: 32 MiB.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Time within which the body of a refusal has to be complete, so that its connection can be used
/// again; the outcome is known without the body.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A request as it is sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequest<'a> {
    /// Request id.
    pub id: &'a HeaderValue,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers to forward.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Whether running the request more than once is harmless.
    pub idempotent: bool,
}

/// Way on which a request is sent to a target.
#[derive(Clone, Debug)]
pub struct Path<'a> {
    /// Connections to use: those to the target, or those to an instance that passes requests on.
    pub pool: &'a TargetConnections,
    /// State of the target.
    pub target: &'a TargetConnections,
    /// What the instance is asked to do; `None` on the way to the target itself.
    pub relay: Option<HeaderValue>,
}

/// Complete response of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: HeldBody,
}

impl TargetRequest<'_> {
    fn id_hash(&self) -> RequestIdHash {
        RequestIdHash(xxh3_64(self.id.as_bytes()))
    }
}

impl TargetResponse {
    fn new(head: &response::Parts, body: HeldBody) -> Self {
        let mut headers = headers::copy_end_to_end(&head.headers);
        headers.remove(header::CONTENT_LENGTH);
        Self {
            status: head.status,
            headers,
            body,
        }
    }
}

/// Response of a target that it did not run a request.
#[derive(Clone, Debug)]
pub struct TargetRefusal {
    /// Metadata of the response.
    pub metadata: ResponseMetadata,
    /// The response, without its body if that was not complete in time.
    pub response: TargetResponse,
    /// Connection on which the refused request was sent.
    pub usage: ConnectionUsage,
}

/// Cause of [`ExchangeOutcome::Broken`] if the target closed the connection or has ended.
const CONNECTION_CLOSED: &str = "connection closed before the response";

/// How an attempt to send a request to a target ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The target answered.
    Completed(TargetResponse),
    /// The target answered that it did not run the request; the body of the response may be missing.
    NotExecuted(TargetRefusal),
    /// No connection was available, so nothing was sent.
    Unsent(ConnectError),
    /// An instance that was asked to pass the request on sent nothing, and tells why.
    NotRelayed(RelayReply),
    /// The request was at least partly sent, and no complete and signed response to it was
    /// received; holds the cause.
    Broken(&'static str),
    /// The request was at least partly sent, and its deadline passed.
    TimedOut,
}

impl ExchangeOutcome {
    /// Returns whether the target could not be connected to, so that nothing was sent.
    pub fn is_unreachable(&self) -> bool {
        matches!(
            self,
            Self::Unsent(ConnectError::Closed | ConnectError::Failed)
        )
    }

    /// Returns whether nothing listened at the target's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Unsent(ConnectError::Closed))
    }

    /// Returns whether the connection was closed after the request had at least partly been sent and
    /// before any response.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Broken(cause) if *cause == CONNECTION_CLOSED)
    }
}

/// A connection in use; counted as closed on drop unless it was returned for reuse.
struct ActiveConnection<'a> {
    pool: &'a TargetConnections,
    /// `None` once the connection was returned or counted as closed.
    connection: Option<Connection>,
}

impl ActiveConnection<'_> {
    /// Keeps the connection after a complete response, unless its sender or this side closes it.
    fn finish(self, metadata: &ResponseMetadata, fate: ConnectionFate) {
        if !metadata.closes_connection && fate == ConnectionFate::Keep {
            self.return_idle(metadata.keep_alive);
        }
    }

    /// Records a response after which the request may be sent again; returns what to do with the connection.
    fn record_unsettled(&mut self, request: &TargetRequest<'_>, has_id: bool) -> ConnectionFate {
        let Some(connection) = self.connection.as_mut() else {
            return ConnectionFate::Close;
        };
        let id = has_id.then(|| request.id_hash());
        let now = Instant::now();
        connection
            .unsettled
            .record_response(id, request.deadline, now)
    }

    fn return_idle(mut self, keep_alive: Option<Duration>) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_idle(connection, keep_alive);
        }
    }
}

impl Drop for ActiveConnection<'_> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.count_closed();
        }
    }
}

/// Sends a request on an idle or new connection and waits for the complete response.
pub async fn send_request(
    budget: &Arc<MemoryBudget>,
    path: &Path<'_>,
    target: &Name,
    request: TargetRequest<'_>,
    max_connections: u32,
) -> ExchangeOutcome {
    let _active = CounterGuard::new(&path.target.active_requests);
    let response_deadline = match request.idempotent {
        true => request.deadline,
        false => request.deadline + RESPONSE_GRACE,
    };
    let start = Instant::now();
    let mut idle = path.pool.take_idle(request.id_hash());
    loop {
        let (connection, is_reused) = match idle.take() {
            Some(connection) => (connection, true),
            None => match timeout_at(request.deadline, path.pool.open(max_connections)).await {
                Ok(Ok(connection)) => (connection, false),
                Ok(Err(cause)) => return ExchangeOutcome::Unsent(cause),
                Err(_) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            },
        };
        let active = ActiveConnection {
            pool: path.pool,
            connection: Some(connection),
        };
        let Some(message) = build_message(request, target, path.relay.as_ref()) else {
            return ExchangeOutcome::Unsent(ConnectError::Failed);
        };
        match timeout_at(
            response_deadline,
            send_on_connection(budget, path, active, message, &request),
        )
        .await
        {
            // The connection was closed while idle, so nothing was sent on it.
            Ok(None) if is_reused => idle = path.pool.take_idle(request.id_hash()),
            Ok(None) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            Ok(Some(outcome)) => {
                if matches!(outcome, ExchangeOutcome::Completed(_)) {
                    path.target.record_service_time(start.elapsed());
                }
                return outcome;
            }
            Err(_) => return ExchangeOutcome::TimedOut,
        }
    }
}

/// Builds the HTTP request for a target; `None` if the path or the target's id is invalid.
fn build_message(
    request: TargetRequest<'_>,
    target: &Name,
    relay: Option<&HeaderValue>,
) -> Option<http::Request<RequestBody>> {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path.parse().ok()?;
    *message.headers_mut() = request.headers.clone();
    let headers = message.headers_mut();
    headers.insert(
        headers::DEADLINE,
        HeaderValue::from(remaining.as_millis() as u64),
    );
    headers.insert(
        headers::REQUIRED_TARGET,
        HeaderValue::from_str(target).ok()?,
    );
    if let Some(relay) = relay {
        headers.insert(relay_headers::RELAY, relay.clone());
    }
    if !request.body.is_empty() {
        headers.insert(
            header::CONTENT_LENGTH,
            HeaderValue::from(request.body.len()),
        );
    }
    Some(message)
}

/// Sends a request on a connection; returns `None` if it was closed before anything was sent.
async fn send_on_connection(
    budget: &Arc<MemoryBudget>,
    path: &Path<'_>,
    mut active: ActiveConnection<'_>,
    mut message: http::Request<RequestBody>,
    request: &TargetRequest<'_>,
) -> Option<ExchangeOutcome> {
    let connection = active.connection.as_mut()?;
    if connection.sender.ready().await.is_err() {
        return None;
    }
    connection.usage.requests += 1;
    let interim = InterimResponses::count(&mut message);
    let sent = tokio::select! {
        sent = connection.sender.try_send_request(message) => sent,
        () = interim.exceeded() => {
            return Some(ExchangeOutcome::Broken("too many interim responses"));
        }
    };
    match sent {
        Ok(response) => Some(receive_response(budget, path, active, response, request).await),
        Err(mut error) => match error.take_message() {
            Some(_) => None,
            None if error.error().is_parse() => Some(ExchangeOutcome::Broken("malformed response")),
            None => Some(ExchangeOutcome::Broken(CONNECTION_CLOSED)),
        },
    }
}

/// Reads the rest of a response and keeps its connection for reuse.
async fn receive_response(
    budget: &Arc<MemoryBudget>,
    path: &Path<'_>,
    mut active: ActiveConnection<'_>,
    mut response: Response<Incoming>,
    request: &TargetRequest<'_>,
) -> ExchangeOutcome {
    if !headers::is_final_status(response.status()) {
        return ExchangeOutcome::Broken("status of no final response");
    }
    let target = path.target;
    let kind = match path.relay {
        Some(_) => ConnectionKind::Instance,
        None => ConnectionKind::Target,
    };
    if path.relay.is_some() {
        match relay_headers::take_reply(response.headers_mut()) {
            Some(RelayReply::PassedOn(data_centre)) => {
                path.pool.data_centre.replace(Some(data_centre));
            }
            Some(reply) => {
                active.return_idle(None);
                return ExchangeOutcome::NotRelayed(reply);
            }
            None => return ExchangeOutcome::Broken("response of no instance"),
        }
    }
    let metadata = headers::parse_response_head(response.status(), response.headers());
    target.record_notices(&metadata, Instant::now());
    // A refusal may lack the id, but one with another id is a late response to another request.
    let is_other = match metadata.not_executed {
        true => headers::has_other_request_id(response.headers(), request.id),
        false => !headers::has_request_id(response.headers(), request.id),
    };
    if is_other {
        return ExchangeOutcome::Broken("response to another request");
    }
    if let Some(load) = metadata.load {
        target.load.set(Some((load, Instant::now())));
    }
    if metadata.not_executed {
        return receive_refusal(
            budget.body_reservation(kind),
            active,
            response,
            metadata,
            request,
        )
        .await;
    }
    let defect = find_defect(response.status(), &metadata);
    let fate = match response.status().is_server_error() || defect.is_some() {
        true => active.record_unsettled(request, true),
        false => ConnectionFate::Keep,
    };
    let (head, body) = response.into_parts();
    // The caller of this function sets the time limit.
    let read = body_reader::read_pieces(body, budget.body_reservation(kind), MAX_RESPONSE_BYTES);
    let body = match read.await {
        Ok(body) => body,
        Err(BodyError::NoMemory) => return ExchangeOutcome::Broken("no memory for the response"),
        Err(_) => return ExchangeOutcome::Broken("response truncated or too long"),
    };
    active.finish(&metadata, fate);
    if let Some(defect) = defect {
        return ExchangeOutcome::Broken(defect);
    }
    // Refusals need not name the limit.
    if metadata.rate_limit.is_none() {
        target.limit_statement.set(Some(LimitStatement::Unlimited));
    }
    ExchangeOutcome::Completed(TargetResponse::new(&head, body))
}

/// Returns why a response that is no refusal must not be passed on; `None` if it may be.
fn find_defect(status: StatusCode, metadata: &ResponseMetadata) -> Option<&'static str> {
    if status.is_success() && !metadata.signed {
        return Some("response without a signature");
    }
    // To the caller the status would say that the request has not run, which the target has not said.
    headers::is_promise(status).then_some("status of a refusal that is none")
}

/// Reads the body of a refusal; without it, the connection is not used again.
async fn receive_refusal(
    reservation: MemoryReservation,
    mut active: ActiveConnection<'_>,
    response: Response<Incoming>,
    metadata: ResponseMetadata,
    request: &TargetRequest<'_>,
) -> ExchangeOutcome {
    let has_id = headers::has_request_id(response.headers(), request.id);
    let fate = active.record_unsettled(request, has_id);
    let (head, body) = response.into_parts();
    let usage = active.connection.as_ref().map(|it| it.usage);
    let read = body_reader::read_pieces(body, reservation, MAX_RESPONSE_BYTES);
    let body = timeout(REFUSAL_BODY_TIMEOUT, read).await;
    let body = body.ok().and_then(Result::ok);
    if body.is_some() {
        active.finish(&metadata, fate);
    }
    ExchangeOutcome::NotExecuted(TargetRefusal {
        metadata,
        response: TargetResponse::new(&head, body.unwrap_or_default()),
        usage: usage.unwrap_or_default(),
    })
}
