//! Drives a request from its first attempt to its end.

use {
    super::{
        Route,
        job::Job,
        locate::{self, Place},
    },
    crate::{
        events::{self, About},
        peer::Remote,
        ring::Offer,
        work::{Aim, Outcome, Ticket, Work},
    },
    cowslip_decide::{
        deliver::retry::{self, Ended, Next, Request},
        names::{Name, Version},
        verdict::{Reason, Verdict},
    },
    std::time::Duration,
    tokio::{
        sync::oneshot,
        time::{Instant, sleep_until, timeout_at},
    },
};

/// Longest wait for a change of the view before the place is looked up again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Time without an owner after which requests are refused at once: a key is served again within
/// one second of a loss.
const OWNER_WAIT: Duration = Duration::from_millis(1500);
/// Wait that a caller refused without an owner is told.
const OWNER_RETRY: Duration = Duration::from_secs(1);
/// Time after the deadline in which a holder's own judgement may still arrive.
const GRACE: Duration = Duration::from_millis(100);

/// Sends a request until it has an end.
pub async fn drive(route: &Route, job: &Job) -> Outcome {
    let mut attempts = 0;
    loop {
        let Some(place) = locate::locate(route, job) else {
            match wait_for_place(route, job, Reason::NoOwner).await {
                Some(outcome) => return outcome,
                None => continue,
            }
        };
        found(route, job);
        attempts += 1;
        let outcome = send(route, job, &place, attempts).await;
        if misplaced(&outcome) {
            let detail = format!("at {}: {:?}", place.holder, outcome.reason);
            note(route, job, events::WRONG_HOLDER, detail);
            match wait_for_place(route, job, outcome.reason.unwrap_or(Reason::NoOwner)).await {
                Some(outcome) => return outcome,
                None => continue,
            }
        }
        let next = next(route, job, &outcome, attempts);
        match next {
            Next::Answer => return outcome,
            Next::Again { at } => {
                route.context.metrics.retried();
                note(
                    route,
                    job,
                    events::RETRY,
                    format!("attempt {attempts} ended, next follows"),
                );
                sleep_until(at).await;
            }
        }
    }
}

/// Returns whether the attempt went to an instance that no longer, or not yet, sends to the target.
fn misplaced(outcome: &Outcome) -> bool {
    let elsewhere = matches!(
        outcome.reason,
        Some(Reason::WrongHolder | Reason::NoLease | Reason::NoOwner | Reason::Stopping)
    );
    outcome.verdict == Verdict::NotRun && elsewhere
}

fn next(route: &Route, job: &Job, outcome: &Outcome, attempts: u32) -> Next {
    let ended = Ended {
        verdict: outcome.verdict,
        reason: outcome.reason,
        wait: outcome.wait,
    };
    let request = Request {
        repeatable: job.repeatable,
        deadline: job.deadline,
        attempts,
    };
    retry::after(&ended, &request, &mut route.state().budget, Instant::now())
}

/// Notes that the service of a request has a place again.
fn found(route: &Route, job: &Job) {
    let mut state = route.state();
    if !state.missing.is_empty() {
        state.missing.remove(&job.service);
    }
}

/// Waits for another view; returns the refusal when waiting does not help.
async fn wait_for_place(route: &Route, job: &Job, reason: Reason) -> Option<Outcome> {
    let now = Instant::now();
    let waiting = Waiting::enter(route, job, now);
    let again = now + LOOK_AGAIN;
    if waiting.is_none() || again >= job.deadline {
        let mut outcome = Outcome::not_run(reason, Version(0));
        outcome.wait = Some(OWNER_RETRY);
        return Some(outcome);
    }
    let mut changed = route.context.changed.subscribe();
    let _ = timeout_at(again, changed.changed()).await;
    None
}

/// Counts a request that waits for a place.
struct Waiting<'a>(&'a Route);

impl<'a> Waiting<'a> {
    /// Returns `None` if the service has been without a place for too long, or too many wait.
    fn enter(route: &'a Route, job: &Job, now: Instant) -> Option<Self> {
        let most = route.context.settings.limits.in_progress as usize / 2;
        let mut state = route.state();
        let since = *state.missing.entry(job.service.clone()).or_insert(now);
        if now - since > OWNER_WAIT || state.waiting >= most {
            return None;
        }
        state.waiting += 1;
        Some(Self(route))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state().waiting -= 1;
    }
}

/// Sends one attempt and waits for its end.
async fn send(route: &Route, job: &Job, place: &Place, number: u32) -> Outcome {
    let _outstanding = Outstanding::enter(route, &place.aim);
    let work = job.attempt(number, place.aim.clone());
    if job.order.is_some() {
        note_attempt(route, &work, place);
    }
    let (reply, end) = oneshot::channel();
    let ticket = Ticket { work, reply };
    let refused = match place.holder == route.context.name {
        true => refused(route.rings.hold.offer(ticket)),
        false => refused(route.rings.peer.offer(Remote {
            to: place.holder.clone(),
            ticket,
        })),
    };
    if let Some(reason) = refused {
        if reason == Reason::Overload {
            let detail = format!("attempt {number} for {}", place.holder);
            note(route, job, events::RING_FULL, detail);
        }
        return Outcome::not_run(reason, Version(0));
    }
    match timeout_at(job.deadline + GRACE, end).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Outcome::may_have_run(Reason::Broken),
        Err(_) => Outcome::may_have_run(Reason::Deadline),
    }
}

fn refused<T>(offer: Offer<T>) -> Option<Reason> {
    match offer {
        Offer::Taken => None,
        Offer::Full(_) => Some(Reason::Overload),
        Offer::Closed(_) => Some(Reason::Stopping),
    }
}

/// Counts an attempt as outstanding at its pool.
struct Outstanding<'a> {
    route: &'a Route,
    pool: Option<Name>,
}

impl<'a> Outstanding<'a> {
    fn enter(route: &'a Route, aim: &Aim) -> Self {
        let pool = match aim {
            Aim::Pool(pool) => Some(pool.clone()),
            Aim::Owner { .. } => None,
        };
        if let Some(pool) = &pool {
            *route.state().outstanding.entry(pool.clone()).or_default() += 1;
        }
        Self { route, pool }
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let Some(pool) = &self.pool else { return };
        if let Some(count) = self.route.state().outstanding.get_mut(pool) {
            *count = count.saturating_sub(1);
        }
    }
}

fn note_attempt(route: &Route, work: &Work, place: &Place) {
    let (target, detail) = match &place.aim {
        Aim::Owner { target, fence } => (Some(target.clone()), format!("fence {fence}")),
        Aim::Pool(pool) => (None, format!("pool {pool}")),
    };
    let about = About {
        request: Some(work.request.clone()),
        key: work.key.clone(),
        target,
        instance: Some(place.holder.clone()),
        detail: Some(detail),
    };
    route.context.events.note(events::ORDER_ATTEMPT, about);
}

fn note(route: &Route, job: &Job, code: events::Code, detail: String) {
    let about = About {
        request: Some(job.request.clone()),
        key: job.key.as_ref().map(|(key, _)| key.clone()),
        detail: Some(detail),
        ..About::default()
    };
    route.context.events.note(code, about);
}
