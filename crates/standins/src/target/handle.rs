//! What a target answers.

use {
    super::{
        Shared,
        body::{AnswerBody, collect},
        grants::{Post, Refusal},
        options::Faults,
        record::Run,
        state::{Admit, State},
    },
    crate::clock::micros,
    bytes::Bytes,
    hyper::{HeaderMap, Method, Request, Response, body::Incoming},
    serde::Serialize,
    serde_json::json,
    std::{convert::Infallible, future::pending, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

type Answer = Response<AnswerBody>;

/// Time that a target waits for a slot when the request names no deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Bytes of a request's body that the record keeps.
const KEPT_BODY: usize = 64;

/// What `/-/health` reports.
#[derive(Clone, Serialize)]
pub(super) struct Health {
    start: String,
    cold: bool,
    leaving: bool,
    load: usize,
}

impl Health {
    pub(super) fn of(state: &State) -> Self {
        Self {
            start: state.start.clone(),
            cold: state.cold() && !state.lie,
            leaving: state.leaving && !state.lie,
            load: if state.lie { 0 } else { state.load() },
        }
    }
}

/// A request as the router sent it.
struct Job {
    run: Run,
    body: Bytes,
    deadline: Instant,
}

/// Answers one request that came on connection `number`.
pub(super) async fn handle(
    shared: Arc<Shared>,
    number: Option<u64>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    if number.is_some() {
        shared.thawed().await;
        silence(&shared, number).await;
    }
    // The target goes on with a request whose connection is gone.
    let inner = shared.clone();
    let answer = tokio::spawn(async move { route(&inner, request).await }).await;
    if number.is_some() {
        shared.thawed().await;
        silence(&shared, number).await;
    }
    Ok(answer.unwrap_or_else(|_| text(500, "handler panicked")))
}

/// Never returns on a connection that was silenced.
async fn silence(shared: &Shared, number: Option<u64>) {
    let silenced = shared.lock().silenced;
    if number.is_some_and(|number| number <= silenced) {
        pending::<()>().await;
    }
}

async fn route(shared: &Shared, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/-/health") => health(shared),
        (&Method::GET, "/-/record") => reply(200, &shared.record()),
        (&Method::GET, "/-/breaches") => reply(200, &shared.record().breaches),
        (&Method::POST, "/-/faults") => match parse::<Faults>(request).await {
            Ok(faults) => {
                shared.switch(&faults);
                reply(200, &json!({}))
            }
            Err(answer) => answer,
        },
        (&Method::POST, "/-/grants") => match parse(request).await {
            Ok(post) => grant(shared, &post),
            Err(answer) => answer,
        },
        (&Method::DELETE, _) if path.starts_with("/-/requests/") => {
            let id = path.trim_start_matches("/-/requests/");
            let ran = shared.lock().cancel(id);
            reply(200, &json!({ "ran": ran }))
        }
        _ if path.starts_with("/-/") => text(404, "no such route"),
        _ => work(shared, request, &path).await,
    }
}

async fn parse<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let body = collect(request.into_body())
        .await
        .map_err(|e| text(400, &e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| text(400, &e.to_string()))
}

fn health(shared: &Shared) -> Answer {
    let mut health = shared.health.lock().expect("no holder of the lock panics");
    if health.0.elapsed() >= shared.options.health_lag {
        *health = (Instant::now(), Health::of(&shared.lock()));
    }
    reply(200, &health.1)
}

fn grant(shared: &Shared, post: &Post) -> Answer {
    let stamp = shared.stamp();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let at = micros();
    let until = match post.stamp {
        0 => at,
        stamp => shared.born + (stamp - 1 + post.ttl_ms) * 1000,
    };
    if shared.options.checks_fence {
        let log = &mut state.writer.record.held;
        match state.grants.replace(post, at, until, log) {
            Ok(()) => {}
            Err(Refusal::Fence(fence)) => {
                return reply(409, &json!({"reason": "fence", "fence": fence}));
            }
            Err(_) => return text(400, "a bound of a range is not a number"),
        }
    }
    let fence = state.grants.highest();
    reply(
        200,
        &json!({"start": state.start, "stamp": stamp, "fence": fence}),
    )
}

async fn work(shared: &Shared, request: Request<Incoming>, path: &str) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = collect(body).await else {
        return refuse(shared, 400, "body");
    };
    let job = job(path, &head.headers, body);
    let refusal = check(shared, &mut shared.lock(), &job);
    if let Some(reason) = refusal {
        return refuse(shared, 409, reason);
    }
    let admit = shared.lock().admit(&job.run.request, Instant::now());
    match admit {
        Admit::Shed => return refuse(shared, 503, "shed"),
        Admit::Run => {}
        Admit::Wait(woken) => match timeout_at(job.deadline, woken).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return refuse(shared, 503, "cancelled"),
            Err(_) => {
                shared.lock().forget(&job.run.request);
                return refuse(shared, 503, "deadline");
            }
        },
    }
    shared.thawed().await;
    run(shared, job).await
}

fn job(path: &str, headers: &HeaderMap, body: Bytes) -> Job {
    let word = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &str| word(name).and_then(|text| text.parse().ok());
    let mut parts = path.trim_start_matches('/').splitn(2, '/');
    let kept = &body[..body.len().min(KEPT_BODY)];
    let wait = number("Cowslip-Deadline-Ms").map_or(LONGEST_WAIT, Duration::from_millis);
    Job {
        run: Run {
            request: word("Cowslip-Request").unwrap_or_default().to_owned(),
            order: word("Idempotency-Key").map(str::to_owned),
            route: parts.next().unwrap_or_default().to_owned(),
            key: parts.next().unwrap_or_default().to_owned(),
            hash: number("Cowslip-Hash").unwrap_or_default(),
            fence: number("Cowslip-Fence").unwrap_or_default(),
            holder: word("Cowslip-Holder").unwrap_or_default().to_owned(),
            body: String::from_utf8_lossy(kept).into_owned(),
            ..Run::default()
        },
        deadline: Instant::now() + wait,
        body,
    }
}

/// Returns why the target must not run the request, if so.
fn check(shared: &Shared, state: &mut State, job: &Job) -> Option<&'static str> {
    if state.cancelled(&job.run.request) {
        return Some("cancelled");
    }
    if !shared.options.checks_fence {
        return None;
    }
    let run = &job.run;
    let service = &shared.options.service;
    match state.grants.check(service, run.hash, run.fence, micros()) {
        Ok(()) => None,
        Err(Refusal::Fence(_)) => Some("fence"),
        Err(_) => Some("range"),
    }
}

/// Runs a request that has a slot.
async fn run(shared: &Shared, job: Job) -> Answer {
    let now = Instant::now();
    let (number, time, error, thaws) = {
        let mut state = shared.lock();
        // The wait for the slot may have outlasted the grant or the deadline.
        let late = (now >= job.deadline).then_some("deadline");
        if let Some(reason) = late.or_else(|| check(shared, &mut state, &job)) {
            state.release(false);
            drop(state);
            return refuse(shared, 409, reason);
        }
        let run = Run {
            start: micros(),
            owner: shared.options.checks_fence,
            ..job.run.clone()
        };
        let number = state.writer.begin(run);
        let share = state.error;
        let error = state.draw(share);
        (number, state.duration(now), error, state.thaws)
    };
    if !error {
        sleep(time).await;
        shared.thawed().await;
    }
    let status = if error { 500 } else { 200 };
    let cut = {
        let mut state = shared.lock();
        let frozen = state.thaws != thaws;
        state.writer.end(number, micros(), status, frozen);
        state.release(!error);
        let share = state.cut;
        state.draw(share)
    };
    let head = format!("{} {}\n", shared.options.name, job.run.key);
    let whole = [head.as_bytes(), &job.body].concat();
    mark(shared, answer(status, whole.into(), cut))
}

/// Refuses a request that did not run and will not.
fn refuse(shared: &Shared, status: u16, reason: &str) -> Answer {
    shared.lock().writer.record.refused += 1;
    let mut answer = reply(status, &json!({ "reason": reason }));
    let headers = answer.headers_mut();
    headers.insert("target-verdict", "not-run".parse().expect("valid value"));
    mark(shared, answer)
}

fn mark(shared: &Shared, mut answer: Answer) -> Answer {
    let state = shared.lock();
    let headers = answer.headers_mut();
    headers.insert("target-start", state.start.parse().expect("valid value"));
    if state.leaving {
        headers.insert("target-leaving", "1".parse().expect("valid value"));
    }
    answer
}

fn reply<T: Serialize>(status: u16, body: &T) -> Answer {
    let body = serde_json::to_vec(body).expect("keys are strings");
    answer(status, body.into(), false)
}

fn text(status: u16, body: &str) -> Answer {
    answer(status, Bytes::copy_from_slice(body.as_bytes()), false)
}

fn answer(status: u16, body: Bytes, cut: bool) -> Answer {
    let mut answer = Response::new(AnswerBody::new(body, cut));
    *answer.status_mut() = status.try_into().expect("status is valid");
    answer
}
