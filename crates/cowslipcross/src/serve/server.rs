//! HTTP server for callers: accepts connections and handles the requests on them.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        serve::{
            caller_response::{self, RequestOutcome, ResponseBody},
            caller_stream::{CallerStream, SharedUsage, Usage},
            counter_guard::CounterGuard,
            forward::forward_request,
            organisations, refused_connection,
            request::{self, BadRequest, CallerRequest},
        },
    },
    cowslip_adapter::{
        headers,
        metered_stream::{self, MIN_READ_BUFFER_BYTES, MeteredStream},
    },
    cowslip_decide::{memory_budget::ConnectionKind, names::Name, verdict::Verdict},
    http::{HeaderValue, Response, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        future::poll_fn,
        net::IpAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// Delay before the next connection is accepted after one could not be, for example because no file
/// descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Detail of the event of a connection for which there is no memory.
const NO_MEMORY: &str = "no memory for it";

/// Handle to the state of all callers' connections; clones share the state.
#[derive(Clone, Default)]
pub struct CallerConnections(Rc<SharedState>);

struct SharedState {
    open_count: Cell<usize>,
    close_signal: RefCell<watch::Sender<bool>>,
}

impl Default for SharedState {
    fn default() -> Self {
        Self {
            open_count: Cell::new(0),
            close_signal: RefCell::new(watch::channel(false).0),
        }
    }
}

impl CallerConnections {
    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.0.open_count.get()
    }

    /// Closes each connection as soon as it has no request in progress, and none that is arriving.
    pub fn close_idle(&self) {
        self.0.close_signal.borrow().send_replace(true);
    }
}

/// Accepts callers' connections until the task is aborted.
pub async fn accept_connections(
    context: Rc<Context>,
    listener: TcpListener,
    open_connections: CallerConnections,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(handle_connection(
                context.clone(),
                stream,
                open_connections.clone(),
            ))),
            Err(error) => {
                context.record_event(events::CONNECTION_REFUSED, error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends, or is idle after [`CallerConnections::close_idle`].
async fn handle_connection(
    context: Rc<Context>,
    stream: TcpStream,
    open_connections: CallerConnections,
) {
    if let Err(error) = stream.set_nodelay(true) {
        context.record_event(events::CONNECTION_REFUSED, error.to_string());
        return;
    }
    let Some(reservation) =
        metered_stream::reserve_connection(&context.memory_budget, ConnectionKind::Caller)
    else {
        context.record_event(events::CONNECTION_REFUSED, NO_MEMORY.into());
        return refused_connection::refuse_first(stream).await;
    };
    open_connections
        .0
        .open_count
        .set(open_connections.open_count() + 1);
    let mut close_receiver = open_connections.0.close_signal.borrow().subscribe();
    let config = context.config.borrow().clone();
    let limits = config.map(|it| it.limits.clone()).unwrap_or_default();
    let caller = stream.peer_addr().ok().map(|it| it.ip());
    let usage = SharedUsage::default();
    let service = service_fn(|request| {
        let (context, usage) = (context.clone(), usage.clone());
        usage.set(Usage::ReadsBody);
        // hyper keeps room for this future on each connection, also while there is no request.
        Box::pin(async move {
            let response = handle_request(context, request, caller, &usage).await;
            if usage.get() == Usage::HandlesRequest {
                usage.set(Usage::Idle);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let max_buffer = limits.header_bytes.max(MIN_READ_BUFFER_BYTES);
    let stream = MeteredStream::new(stream, reservation, max_buffer);
    let stream = CallerStream::new(stream, usage.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(max_buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut close_requested = pin!(close_receiver.wait_for(|close| *close));
    let (mut is_requested, mut is_closing) = (false, false);
    // An error of the connection needs no handling beyond the count of open connections.
    let _ = poll_fn(|task| {
        let end = connection.as_mut().poll(task);
        is_requested = is_requested || close_requested.as_mut().poll(task).is_ready();
        // Between two requests, even one that is arriving would be cut.
        if end.is_ready() || is_closing || !is_requested || usage.get() == Usage::ReadsHead {
            return end;
        }
        is_closing = true;
        connection.as_mut().graceful_shutdown();
        connection.as_mut().poll(task)
    })
    .await;
    if usage.get() == Usage::Refused {
        context.record_event(events::CONNECTION_REFUSED, NO_MEMORY.into());
    }
    open_connections
        .0
        .open_count
        .set(open_connections.open_count().saturating_sub(1));
}

/// Returns the response to one request.
async fn handle_request(
    context: Rc<Context>,
    request: http::Request<Incoming>,
    caller: Option<IpAddr>,
    usage: &SharedUsage,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let _active = CounterGuard::new(&context.active_requests);
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&headers::REQUEST_ID).cloned();
    let read = request::read_request(&context, parts, body, (arrived, caller)).await;
    if usage.get() == Usage::ReadsBody {
        usage.set(Usage::HandlesRequest);
    }
    let mut response = match read {
        // Boxed, as a request whose body is still arriving needs little of the room for this future.
        Ok(request) => Box::pin(forward(&context, Rc::new(request))).await,
        Err(bad) => reject(&context, &bad, id),
    };
    if context.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Forwards a valid request and returns the response for its caller.
async fn forward(context: &Rc<Context>, request: Rc<CallerRequest>) -> Response<ResponseBody> {
    count_key(context, &request);
    let outcome = forward_request(context.clone(), request.clone()).await;
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if let Some(organisation) = &request.organisation
        && outcome.verdict() == Verdict::NotRun
    {
        organisations::give_back(context, organisation);
    }
    record_outcome(context, &request, &outcome);
    outcome.into_response(&request.id, remaining)
}

/// Counts and records an invalid request, and returns the response for its caller.
fn reject(context: &Context, bad: &BadRequest, id: Option<HeaderValue>) -> Response<ResponseBody> {
    context.metrics.count_bad_request(bad);
    let fields = EventFields {
        request: id.as_ref().and_then(|id| id.to_str().ok()).map(Name::from),
        detail: Some(format!("{}: {}", bad.status(), bad.message())),
        ..EventFields::default()
    };
    context.events.record(events::BAD_REQUEST, fields);
    let mut response = caller_response::bad_request_response(bad);
    if let Some(id) = id {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    response
}

/// Counts a request for its key; the leader assigns keys to targets by these counts.
fn count_key(context: &Context, request: &CallerRequest) {
    if let Some(key) = request.key {
        let mut counts = context.key_counts.borrow_mut();
        let keys = counts.entry(request.service.clone()).or_default();
        *keys.entry(key).or_default() += 1;
    }
}

/// Counts the response and records an event if it is not a target's.
fn record_outcome(context: &Context, request: &CallerRequest, outcome: &RequestOutcome) {
    let response_time = request.arrived.elapsed();
    context
        .metrics
        .count_response(&request.route, outcome, response_time);
    let Some(reason) = outcome.reason() else {
        return;
    };
    let fields = EventFields {
        request: request.id.to_str().ok().map(Name::from),
        key: request.key.map(|key| key.to_string().into()),
        detail: Some(format!(
            "{}, {}, route {}, service {}, after {} ms, {}",
            outcome.verdict(),
            reason.as_str(),
            request.route.name,
            request.service,
            response_time.as_millis(),
            context.describe_views(&request.service)
        )),
        ..EventFields::default()
    };
    context.events.record(events::UNSERVED, fields);
}
