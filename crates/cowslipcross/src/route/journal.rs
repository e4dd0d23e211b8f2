//! Drives an order: journalled before it is sent, its end recorded afterwards.

use {
    super::{Route, drive, job::Job},
    crate::{
        ring::Offer,
        store::ask::{Ask, Begun, Order},
        work::Outcome,
    },
    cowslip_decide::{
        names::{Name, Version},
        order::{OrderEnd, OrderRow, RECORDED_BYTES},
        verdict::{Reason, Verdict},
    },
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::{sync::oneshot, time::timeout_at},
    xxhash_rust::xxh3::Xxh3,
};

/// Wait that a caller is told while the table is down.
const TABLE_RETRY: Duration = Duration::from_secs(2);
/// Wait that a caller is told while an earlier arrival of its order is in progress.
const DUPLICATE_RETRY: Duration = Duration::from_secs(1);

/// Drives an order with the id `id` to its end.
pub async fn drive(route: &Route, job: &Job, id: &Name) -> Outcome {
    let order = order(route, job, id);
    let version = match begin(route, job, order.clone()).await {
        Begun::Send(version) => version,
        Begun::Answer(end) => return recorded(end),
        Begun::Duplicate => {
            return refusal(Reason::Duplicate, Verdict::MayHaveRun, DUPLICATE_RETRY);
        }
        Begun::Mismatch => return mismatch(id),
        Begun::Refused => return refusal(Reason::TableDown, Verdict::NotRun, TABLE_RETRY),
    };
    let outcome = drive::drive(route, job).await;
    let end = end(&outcome);
    // A full ring leaves the order without an end: repeats get `duplicate`, which is safe.
    let _ = route.rings.store.offer(Ask::End {
        order,
        version,
        end,
    });
    outcome
}

fn order(route: &Route, job: &Job, id: &Name) -> Order {
    let row = OrderRow {
        run: job.request.clone(),
        instance: route.context.name.clone(),
        digest: digest(job),
        end: None,
    };
    Order {
        id: format!("{}/{id}", job.service).into(),
        row,
        expires: expires(route),
    }
}

/// Returns when the table may drop the row of an order that comes now.
fn expires(route: &Route) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let keep = route.context.settings.limits.order_hours * 3600;
    now.unwrap_or_default().as_secs() + keep
}

/// Returns a hash of what the order asks for.
fn digest(job: &Job) -> u64 {
    let mut hash = Xxh3::new();
    let key = job.key.as_ref().map_or("", |(key, _)| key);
    for part in [&*job.service, &*job.route, key, job.method.as_str()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&job.body);
    hash.digest()
}

/// Journals the order before its deadline.
async fn begin(route: &Route, job: &Job, order: Order) -> Begun {
    let (reply, begun) = oneshot::channel();
    match route.rings.store.offer(Ask::Begin { order, reply }) {
        Offer::Taken => {}
        Offer::Full(_) | Offer::Closed(_) => return Begun::Refused,
    }
    match timeout_at(job.deadline, begun).await {
        Ok(Ok(begun)) => begun,
        // The row may be written later: repeats then get `duplicate`, and nothing was sent.
        Ok(Err(_)) | Err(_) => Begun::Refused,
    }
}

fn end(outcome: &Outcome) -> OrderEnd {
    let body = Some(outcome.body.to_vec()).filter(|body| body.len() <= RECORDED_BYTES);
    OrderEnd {
        verdict: outcome.verdict,
        reason: outcome.reason,
        status: outcome.status,
        media: outcome.media.clone(),
        body,
    }
}

/// Returns the recorded end as the answer to a repeat.
fn recorded(end: OrderEnd) -> Outcome {
    let mut outcome = Outcome::not_run(Reason::Duplicate, Version(0));
    outcome.verdict = end.verdict;
    match end.body {
        Some(body) => {
            outcome.reason = end.reason;
            outcome.status = end.status;
            outcome.media = end.media;
            outcome.body = body.into();
        }
        None => outcome.body = "the order ran; its answer was too long to record".into(),
    }
    outcome
}

fn mismatch(id: &Name) -> Outcome {
    let mut outcome = Outcome::not_run(Reason::BadRequest, Version(0));
    outcome.status = 422;
    outcome.body = format!("idempotency key {id:?} belongs to another order").into();
    outcome
}

fn refusal(reason: Reason, verdict: Verdict, wait: Duration) -> Outcome {
    let mut outcome = Outcome::not_run(reason, Version(0));
    outcome.verdict = verdict;
    outcome.wait = Some(wait);
    outcome
}
