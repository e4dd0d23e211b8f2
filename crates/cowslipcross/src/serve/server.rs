//! Callers' connections and the requests on them.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        serve::{
            counter_guard::CounterGuard,
            forward::forward_request,
            request::{self, BadRequest, CallerRequest},
            response::{self, RequestOutcome, ResponseBody},
        },
    },
    cowslip_adapter::headers,
    cowslip_decide::names::Name,
    http::{HeaderValue, Response, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        future::poll_fn,
        pin::pin,
        rc::Rc,
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// Pause after a connection could not be accepted, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a head that the library needs at least.
const LEAST_HEAD: usize = 8 << 10;

/// Open connections of callers.
#[derive(Clone, Default)]
pub struct CallerConnections(Rc<Shared>);

struct Shared {
    count: Cell<usize>,
    close: RefCell<watch::Sender<bool>>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            count: Cell::new(0),
            close: RefCell::new(watch::channel(false).0),
        }
    }
}

impl CallerConnections {
    /// Returns how many are open.
    pub fn open_count(&self) -> usize {
        self.0.count.get()
    }

    /// Closes each as soon as no request is on it.
    pub fn close_idle(&self) {
        self.0.close.borrow().send_replace(true);
    }
}

/// Accepts connections for ever.
pub async fn accept_connections(
    context: Rc<Context>,
    listener: TcpListener,
    conns: CallerConnections,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve(context.clone(), stream, conns.clone()))),
            Err(error) => {
                context.record_event(events::CONNECTION_REFUSED, error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends, or until it is idle during a stop.
async fn serve(context: Rc<Context>, stream: TcpStream, conns: CallerConnections) {
    if let Err(error) = stream.set_nodelay(true) {
        context.record_event(events::CONNECTION_REFUSED, error.to_string());
        return;
    }
    conns.0.count.set(conns.open_count() + 1);
    let mut close = conns.0.close.borrow().subscribe();
    let config = context.config.borrow().clone();
    let limits = config.map(|it| it.limits.clone()).unwrap_or_default();
    let service = service_fn(|request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(handle(context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = pin!(close.wait_for(|close| *close));
    let mut told = false;
    // The end of a connection, whatever its cause, needs nothing but its place.
    let _ = poll_fn(|task| {
        if !told && closing.as_mut().poll(task).is_ready() {
            told = true;
            connection.as_mut().graceful_shutdown();
        }
        match connection.as_mut().poll(task) {
            Poll::Ready(end) => Poll::Ready(end),
            Poll::Pending => Poll::Pending,
        }
    })
    .await;
    conns.0.count.set(conns.open_count().saturating_sub(1));
}

/// Answers one request.
async fn handle(context: Rc<Context>, request: http::Request<Incoming>) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let _active = CounterGuard::new(&context.active_requests);
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&headers::REQUEST_ID).cloned();
    let mut response = match request::read_request(&context, parts, body, arrived).await {
        Ok(request) => answered(&context, Rc::new(request)).await,
        Err(bad) => refused(&context, &bad, id),
    };
    if context.stopping_since.get().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answered(context: &Rc<Context>, request: Rc<CallerRequest>) -> Response<ResponseBody> {
    count_key(context, &request);
    let answer = forward_request(context.clone(), request.clone()).await;
    let left = request.deadline.saturating_duration_since(Instant::now());
    note(context, &request, &answer);
    answer.into_response(&request.id, left)
}

fn refused(context: &Context, bad: &BadRequest, id: Option<HeaderValue>) -> Response<ResponseBody> {
    context.metrics.count_bad_request(bad);
    let about = EventFields {
        request: id.as_ref().and_then(|id| id.to_str().ok()).map(Name::from),
        detail: Some(format!("{}: {}", bad.status(), bad.message())),
        ..EventFields::default()
    };
    context.events.record(events::BAD_REQUEST, about);
    let mut response = response::bad_request_response(bad);
    if let Some(id) = id {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    response
}

/// Counts the key for the leader, which spreads keys by their load.
fn count_key(context: &Context, request: &CallerRequest) {
    if let Some(key) = request.key {
        let mut sample = context.key_counts.borrow_mut();
        let keys = sample.entry(request.service.clone()).or_default();
        *keys.entry(key).or_default() += 1;
    }
}

fn note(context: &Context, request: &CallerRequest, answer: &RequestOutcome) {
    let time = request.arrived.elapsed();
    context.metrics.count_response(&request.route, answer, time);
    let Some(reason) = answer.reason() else {
        return;
    };
    let about = EventFields {
        request: request.id.to_str().ok().map(Name::from),
        key: request.key.map(|key| key.to_string().into()),
        detail: Some(format!(
            "{}, {}, route {}, service {}, after {} ms, {}",
            answer.verdict(),
            reason.as_str(),
            request.route.name,
            request.service,
            time.as_millis(),
            context.describe_views(&request.service)
        )),
        ..EventFields::default()
    };
    context.events.record(events::UNSERVED, about);
}
