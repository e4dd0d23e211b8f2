//! Handles one request of a caller.

use {
    super::{
        Entry, answer,
        classify::{self, BadRequest, Class},
    },
    crate::{
        config::Config,
        events::{self, About},
        ring::Offer,
        route::job::{Job, JobTicket},
        work::Outcome,
    },
    bytes::Bytes,
    cowslip_decide::{names::Name, verdict::Reason},
    gotham::{
        handler::{Handler, HandlerFuture, NewHandler},
        helpers::http::Body,
        state::{FromState, State, client_addr},
    },
    http::{HeaderMap, Method, Response, Uri},
    http_body_util::{BodyExt, Limited},
    std::{
        net::SocketAddr,
        panic::RefUnwindSafe,
        pin::Pin,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{Instant, timeout},
    },
};

/// Makes a handler for each request.
#[derive(Clone, Debug)]
pub struct Handlers(pub Arc<Entry>);

/// A panic in a handler ends that request only: nothing of `Entry` is left half changed.
impl RefUnwindSafe for Handlers {}

impl NewHandler for Handlers {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Handlers {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let peer = client_addr(&state);
            let progress = Progress::new(self.0.clone(), peer);
            let response = respond(&self.0, &mut state).await;
            drop(progress);
            Ok((state, response))
        })
    }
}

/// Counts a request as in progress until its answer is ready or its caller has left.
struct Progress {
    entry: Arc<Entry>,
    peer: Option<SocketAddr>,
}

impl Progress {
    fn new(entry: Arc<Entry>, peer: Option<SocketAddr>) -> Self {
        let active = entry.active.fetch_add(1, Ordering::Relaxed);
        entry.context.metrics.in_progress(active + 1);
        peer.inspect(|peer| entry.conns.begin(*peer));
        Self { entry, peer }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.peer.inspect(|peer| self.entry.conns.end(*peer));
        let active = self.entry.active.fetch_sub(1, Ordering::Relaxed);
        self.entry.context.metrics.in_progress(active - 1);
    }
}

async fn respond(entry: &Entry, state: &mut State) -> Response<Body> {
    let arrived = Instant::now();
    let request = next_id(entry);
    let outcome = match admit(entry) {
        Err(outcome) => noted(entry, &request, outcome),
        Ok(config) => match job(entry, &config, request.clone(), arrived, state).await {
            Err(bad) => refuse(entry, &request, &bad),
            Ok(job) => noted(entry, &request, run(entry, job, arrived).await),
        },
    };
    answer::response(&entry.context, &request, outcome)
}

/// Notes why a request that was valid in itself has no answer of a target.
fn noted(entry: &Entry, request: &Name, outcome: Outcome) -> Outcome {
    let Some(reason) = outcome.reason else {
        return outcome;
    };
    let code = match reason {
        Reason::BadRequest => {
            entry.context.metrics.bad_request(outcome.status);
            events::BAD_REQUEST
        }
        _ => events::REFUSED,
    };
    let about = About {
        request: Some(request.clone()),
        target: outcome.target.clone(),
        detail: Some(format!("{}, {}", outcome.verdict, reason.as_str())),
        ..About::default()
    };
    entry.context.events.note(code, about);
    outcome
}

/// Counts and answers a request that is not valid.
fn refuse(entry: &Entry, request: &Name, bad: &BadRequest) -> Outcome {
    let context = &entry.context;
    context.metrics.bad_request(bad.status().as_u16());
    let about = About {
        request: Some(request.clone()),
        detail: Some(bad.to_string()),
        ..About::default()
    };
    context.events.note(events::BAD_REQUEST, about);
    answer::bad(bad)
}

/// Returns an id that no other instance or run gives out.
fn next_id(entry: &Entry) -> Name {
    let count = entry.count.fetch_add(1, Ordering::Relaxed);
    let context = &entry.context;
    format!("{}-{:x}-{count:x}", context.name, context.incarnation.0).into()
}

/// Refuses what cannot be taken on now.
fn admit(entry: &Entry) -> std::result::Result<Arc<Config>, Outcome> {
    let context = &entry.context;
    if entry.active.load(Ordering::Relaxed) > context.settings.limits.in_progress as usize {
        return Err(answer::refusal(Reason::Overload, answer::BUSY_WAIT));
    }
    context
        .config
        .load_full()
        .ok_or_else(|| answer::refusal(Reason::NoOwner, answer::START_WAIT))
}

/// Reads the whole request.
async fn job(
    entry: &Entry,
    config: &Config,
    request: Name,
    arrived: Instant,
    state: &mut State,
) -> classify::Result<Job> {
    let method = Method::borrow_from(state).clone();
    let class = classify::classify(
        config,
        &method,
        Uri::borrow_from(state),
        HeaderMap::borrow_from(state),
    )?;
    let body = body(entry, Body::take_from(state)).await?;
    let Class {
        service,
        route,
        key,
        priority,
        repeatable,
        patience,
        order,
        media,
    } = class;
    let deadline = arrived + patience;
    Ok(Job {
        request,
        service,
        route,
        key,
        priority,
        repeatable,
        deadline,
        order,
        method,
        media,
        body,
    })
}

async fn body(entry: &Entry, body: Body) -> classify::Result<Bytes> {
    let limits = &entry.context.settings.limits;
    let most = limits.body_bytes as usize;
    let limit = Duration::from_millis(limits.body_timeout_ms);
    match timeout(limit, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BadRequest::Large(most))
        }
        Ok(Err(error)) => Err(BadRequest::Body(error.to_string())),
        Err(_) => Err(BadRequest::Body(format!(
            "not whole after {} ms",
            limit.as_millis()
        ))),
    }
}

/// Hands the request to the route duty and waits for its end.
async fn run(entry: &Entry, job: Job, arrived: Instant) -> Outcome {
    let class = (job.service.clone(), job.route.clone());
    let (reply, end) = oneshot::channel();
    let outcome = match entry.route.offer(JobTicket { job, reply }) {
        Offer::Taken => end
            .await
            .unwrap_or_else(|_| Outcome::may_have_run(Reason::Broken)),
        Offer::Full(_) => answer::refusal(Reason::Overload, answer::BUSY_WAIT),
        Offer::Closed(_) => answer::refusal(Reason::Stopping, Duration::ZERO),
    };
    let metrics = &entry.context.metrics;
    metrics.answered(
        &class.0,
        &class.1,
        outcome.verdict,
        outcome.reason,
        arrived.elapsed(),
    );
    outcome
}
