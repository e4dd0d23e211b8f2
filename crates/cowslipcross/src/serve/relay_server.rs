//! Passes requests of other instances on to targets that they cannot connect to.

use {
    crate::{
        context::Context,
        serve::{
            attempt,
            counter_guard::CounterGuard,
            exchange::{ExchangeOutcome, TargetRequest, TargetResponse},
            relay_headers::{self, RelayReply, RelayRequest, RelayTask},
            request,
            target_connections::{ConnectError, TargetConnections},
            target_path, target_selection,
        },
    },
    cowslip_adapter::{
        body_reader, headers,
        held_body::HeldBody,
        http_client::MAX_READ_BUFFER_BYTES,
        metered_stream::{self, MeteredStream},
    },
    cowslip_decide::{memory_budget::ConnectionKind, names::Name, owners::TargetIncarnation},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header, request::Parts},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{fmt, net::IpAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{Instant, sleep, timeout_at},
    },
};

/// Delay before the next connection is accepted after one could not be.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time without acknowledgement of sent data after which TCP closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which an idle connection is closed, longer than instances keep one for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes hyper close the connection without a response: the request may have run.
#[derive(Debug)]
struct NoResponse;

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no complete response of the target")
    }
}

impl std::error::Error for NoResponse {}

/// Target of a request that is passed on.
struct Recipient {
    target: TargetIncarnation,
    service: Name,
    connections: Rc<TargetConnections>,
}

/// Accepts connections of other instances; never returns.
pub async fn accept_instances(context: Rc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                spawn_local(serve_instance(context.clone(), stream, from.ip()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_instance(context: Rc<Context>, stream: TcpStream, from: IpAddr) {
    // The connection also works without these options.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let Some(reservation) =
        metered_stream::reserve_connection(&context.memory_budget, ConnectionKind::Instance)
    else {
        return;
    };
    let stream = MeteredStream::new(stream, reservation, MAX_READ_BUFFER_BYTES);
    // Boxed like the handling of callers' requests, as hyper keeps room for it on each connection.
    let service = service_fn(|request| Box::pin(handle_request(context.clone(), request, from)));
    // The instance that asks sees an error of the connection, too.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    context: Rc<Context>,
    request: http::Request<Incoming>,
    from: IpAddr,
) -> Result<Response<HeldBody>, NoResponse> {
    let _active = CounterGuard::new(&context.active_requests);
    let (mut parts, body) = request.into_parts();
    let relay = relay_headers::take_request(&mut parts.headers);
    let mut response = match relay {
        None => empty_response(StatusCode::BAD_REQUEST),
        // Only instances are let in.
        Some(_) if !context.membership.borrow().has_member(from) => {
            reply_response(&RelayReply::Denied)
        }
        Some(relay) => match find_recipient(&context, &parts.headers, relay) {
            Err(reply) => reply_response(&reply),
            Ok(recipient) => match relay.task {
                RelayTask::Check => reply_response(&check(&recipient).await),
                task => {
                    let idempotent = task == RelayTask::SendIdempotent;
                    pass_on(&context, &recipient, parts, body, idempotent).await?
                }
            },
        },
    };
    if context.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Returns the target of a request if this instance may send it now.
///
/// # Errors
/// Returns the reply to an instance whose request is not sent.
fn find_recipient(
    context: &Context,
    headers: &HeaderMap,
    relay: RelayRequest,
) -> Result<Recipient, RelayReply> {
    if passes_nothing_on(context) {
        return Err(RelayReply::CutOff);
    }
    let id = headers::get_str(headers, &headers::REQUIRED_TARGET).ok_or(RelayReply::Denied)?;
    let target = TargetIncarnation {
        id: Name::from(id),
        incarnation: relay.incarnation,
    };
    if !target_selection::may_relay(context, &target) {
        return Err(RelayReply::Denied);
    }
    let connections = target_selection::connections_to_target(context, &target);
    let targets = context.targets.borrow();
    let service = targets.get(&target.id).map(|it| it.report.service.clone());
    Ok(Recipient {
        connections: connections.ok_or(RelayReply::Denied)?,
        service: service.ok_or(RelayReply::Denied)?,
        target,
    })
}

/// Returns whether other instances have to be asked: this one stops, or reaches no targets.
fn passes_nothing_on(context: &Context) -> bool {
    context.is_stopping() || context.reach.borrow().is_lost()
}

async fn check(recipient: &Recipient) -> RelayReply {
    match recipient.connections.check().await {
        Ok(()) => RelayReply::TargetReached,
        Err(ConnectError::Closed) => RelayReply::TargetClosed,
        Err(_) => RelayReply::TargetUnreachable,
    }
}

/// Sends a request to its target and returns the response.
///
/// # Errors
/// Fails if the request may have run and there is no complete response.
async fn pass_on(
    context: &Context,
    recipient: &Recipient,
    parts: Parts,
    body: Incoming,
    idempotent: bool,
) -> Result<Response<HeldBody>, NoResponse> {
    let denied = || Ok(reply_response(&RelayReply::Denied));
    let Some((id, deadline)) = read_head(&parts.headers) else {
        return denied();
    };
    let config = context.config.borrow().clone();
    let max_bytes = config.map_or(0, |it| it.limits.body_bytes);
    let reservation = context
        .memory_budget
        .body_reservation(ConnectionKind::Instance);
    let body = timeout_at(
        deadline,
        body_reader::read_body(body, reservation, max_bytes),
    )
    .await;
    let Ok(Ok(body)) = body else {
        return denied();
    };
    // The body may have taken a while.
    if passes_nothing_on(context) {
        return Ok(reply_response(&RelayReply::CutOff));
    }
    let path = parts.uri.path_and_query();
    let request = TargetRequest {
        id: &id,
        method: &parts.method,
        path: path.map_or("/", |it| it.as_str()),
        headers: &request::forwarded_headers(&parts.headers),
        body: &body,
        deadline,
        idempotent,
    };
    let Recipient {
        target,
        service,
        connections,
    } = recipient;
    let max_connections = attempt::connection_limit(context, service);
    let outcome =
        target_path::send_directly(context, connections, target, request, max_connections).await;
    attempt::apply_notices(context, service, connections, target);
    match outcome {
        ExchangeOutcome::Completed(response) => Ok(target_response(context, response)),
        ExchangeOutcome::NotExecuted(refusal) => Ok(target_response(context, refusal.response)),
        ExchangeOutcome::Unsent(ConnectError::Closed) => {
            Ok(reply_response(&RelayReply::TargetClosed))
        }
        ExchangeOutcome::Unsent(ConnectError::Failed) => {
            Ok(reply_response(&RelayReply::TargetUnreachable))
        }
        ExchangeOutcome::Unsent(ConnectError::LimitReached | ConnectError::Reset)
        | ExchangeOutcome::NotRelayed(_) => denied(),
        ExchangeOutcome::Broken(_) | ExchangeOutcome::TimedOut => Err(NoResponse),
    }
}

/// Returns the id and the deadline of a request; `None` if it has none.
fn read_head(headers: &HeaderMap) -> Option<(HeaderValue, Instant)> {
    let id = headers.get(&headers::REQUEST_ID)?.clone();
    let millis = headers::get_str(headers, &headers::DEADLINE)?;
    let remaining = Duration::from_millis(millis.parse().ok()?);
    Some((id, Instant::now().checked_add(remaining)?))
}

fn target_response(context: &Context, response: TargetResponse) -> Response<HeldBody> {
    let reply = RelayReply::PassedOn(context.settings.data_centre.clone());
    let mut passed_on = Response::new(response.body);
    *passed_on.status_mut() = response.status;
    *passed_on.headers_mut() = response.headers;
    passed_on
        .headers_mut()
        .insert(relay_headers::RELAY, (&reply).into());
    passed_on
}

fn reply_response(reply: &RelayReply) -> Response<HeldBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response
        .headers_mut()
        .insert(relay_headers::RELAY, reply.into());
    response
}

fn empty_response(status: StatusCode) -> Response<HeldBody> {
    let mut response = Response::new(HeldBody::default());
    *response.status_mut() = status;
    response
}
