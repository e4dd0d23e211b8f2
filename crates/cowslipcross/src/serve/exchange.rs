//! One request on one connection to a target, and its response or the reason why there is none.

use {
    crate::serve::{
        counter_guard::CounterGuard,
        request::CallerRequest,
        response_memory::ResponseMemory,
        target_connections::{ConnectError, Connection, LimitStatement, TargetConnections},
    },
    bytes::Bytes,
    cowslip_adapter::{
        headers::{self, ResponseMetadata},
        interim_responses::InterimResponses,
    },
    cowslip_decide::names::Name,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Body of every request to a target.
pub type RequestBody = Full<Bytes>;

/// Time after the deadline for which the response to a non-idempotent request is awaited, as the
/// target may still report whether the request ran.
const RESPONSE_GRACE: Duration = Duration::from_millis(120);

/// Time within which the body of a refusal has to be complete, so that its connection can be used
/// again; the outcome is known without the body.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Complete response of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Cause of [`ExchangeOutcome::Broken`] if the target closed the connection or has ended.
const CONNECTION_CLOSED: &str = "connection closed before the response";

/// How an attempt to send a request to a target ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The target answered.
    Completed(TargetResponse),
    /// The target answered that it did not run the request.
    NotExecuted(ResponseMetadata),
    /// No connection was available, so nothing was sent.
    Unsent(ConnectError),
    /// The request was at least partly sent, and no complete and signed response to it was
    /// received; holds the cause.
    Broken(&'static str),
    /// The request was at least partly sent, and its deadline passed.
    TimedOut,
}

impl ExchangeOutcome {
    /// Returns whether the connection was closed after the request had at least partly been sent and
    /// before any response.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Broken(cause) if *cause == CONNECTION_CLOSED)
    }
}

/// A connection in use; counted as closed on drop unless it was returned for reuse.
struct ActiveConnection<'a> {
    target_connections: &'a TargetConnections,
    /// `None` once the connection was returned or counted as closed.
    connection: Option<Connection>,
}

impl Drop for ActiveConnection<'_> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.target_connections.count_closed();
        }
    }
}

/// Sends a request to a target on an idle or new connection and waits for the complete response.
pub async fn send_request(
    memory: &ResponseMemory,
    connections: Rc<TargetConnections>,
    target: Name,
    request: Rc<CallerRequest>,
    max_connections: u32,
) -> ExchangeOutcome {
    let _active = CounterGuard::new(&connections.active_requests);
    let response_deadline = match request.route.idempotent {
        true => request.deadline,
        false => request.deadline + RESPONSE_GRACE,
    };
    let start = Instant::now();
    let mut idle = connections.take_idle();
    loop {
        let (connection, is_reused) = match idle.take() {
            Some(connection) => (connection, true),
            None => match timeout_at(request.deadline, connections.open(max_connections)).await {
                Ok(Ok(connection)) => (connection, false),
                Ok(Err(cause)) => return ExchangeOutcome::Unsent(cause),
                Err(_) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            },
        };
        let active = ActiveConnection {
            target_connections: &connections,
            connection: Some(connection),
        };
        let Some(message) = build_message(&request, &target) else {
            return ExchangeOutcome::Unsent(ConnectError::Failed);
        };
        match timeout_at(
            response_deadline,
            send_on_connection(memory, active, message, &request),
        )
        .await
        {
            // The connection was closed while idle, so nothing was sent on it.
            Ok(None) if is_reused => idle = connections.take_idle(),
            Ok(None) => return ExchangeOutcome::Unsent(ConnectError::Failed),
            Ok(Some(outcome)) => {
                if matches!(outcome, ExchangeOutcome::Completed(_)) {
                    connections.record_service_time(start.elapsed());
                }
                return outcome;
            }
            Err(_) => return ExchangeOutcome::TimedOut,
        }
    }
}

/// Builds the HTTP request for a target; `None` if the path or the target's id is invalid.
fn build_message(request: &CallerRequest, target: &Name) -> Option<http::Request<RequestBody>> {
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
    memory: &ResponseMemory,
    mut active: ActiveConnection<'_>,
    mut message: http::Request<RequestBody>,
    request: &CallerRequest,
) -> Option<ExchangeOutcome> {
    let sender = &mut active.connection.as_mut()?.sender;
    if sender.ready().await.is_err() {
        return None;
    }
    let interim = InterimResponses::count(&mut message);
    let sent = tokio::select! {
        sent = sender.try_send_request(message) => sent,
        () = interim.exceeded() => {
            return Some(ExchangeOutcome::Broken("too many interim responses"));
        }
    };
    match sent {
        Ok(response) => Some(receive_response(memory, active, response, request).await),
        Err(mut error) => match error.take_message() {
            Some(_) => None,
            None if error.error().is_parse() => Some(ExchangeOutcome::Broken("malformed response")),
            None => Some(ExchangeOutcome::Broken(CONNECTION_CLOSED)),
        },
    }
}

/// Reads the rest of a response and keeps its connection for reuse.
async fn receive_response(
    memory: &ResponseMemory,
    mut active: ActiveConnection<'_>,
    response: Response<Incoming>,
    request: &CallerRequest,
) -> ExchangeOutcome {
    let metadata = headers::parse_response_head(response.status(), response.headers());
    let target = active.target_connections;
    target.record_notices(&metadata, Instant::now());
    // A refusal may lack the id, but one with another id is a late response to another request.
    let is_other = match metadata.not_executed {
        true => headers::has_other_request_id(response.headers(), &request.id),
        false => !headers::has_request_id(response.headers(), &request.id),
    };
    if is_other {
        return ExchangeOutcome::Broken("response to another request");
    }
    if let Some(load) = metadata.load {
        target.load.set(Some((load, Instant::now())));
    }
    let body_timeout = match metadata.not_executed {
        true => REFUSAL_BODY_TIMEOUT,
        // The caller of this function sets the limit.
        false => Duration::MAX,
    };
    let complete = timeout(body_timeout, read_response(memory, response)).await;
    let Some(complete) = complete.ok().flatten() else {
        return match metadata.not_executed {
            true => ExchangeOutcome::NotExecuted(metadata),
            false => ExchangeOutcome::Broken("response truncated or too long"),
        };
    };
    if let Some(connection) = active.connection.take() {
        match metadata.closes_connection {
            true => target.count_closed(),
            false => target.return_idle(connection, metadata.keep_alive),
        }
    }
    if metadata.not_executed {
        return ExchangeOutcome::NotExecuted(metadata);
    }
    if complete.status.is_success() && !metadata.signed {
        return ExchangeOutcome::Broken("response without a signature");
    }
    // Refusals need not name the limit.
    if metadata.rate_limit.is_none() {
        target.limit_statement.set(Some(LimitStatement::Unlimited));
    }
    ExchangeOutcome::Completed(complete)
}

/// Reads the complete response; returns `None` if it is truncated or too long.
async fn read_response(
    memory: &ResponseMemory,
    response: Response<Incoming>,
) -> Option<TargetResponse> {
    let (head, body) = response.into_parts();
    let body = memory.read_body(body).await?;
    let mut headers = headers::copy_end_to_end(&head.headers);
    headers.remove(header::CONTENT_LENGTH);
    Some(TargetResponse {
        status: head.status,
        headers,
        body,
    })
}
