//! Attempts and their ends as messages between instances.

use {
    crate::work::{Aim, Outcome, Work},
    cowslip_decide::{
        names::{Fence, Name, Version},
        verdict::Priority,
    },
    cowslip_wire::{Malformed, Result, peer},
    std::time::Duration,
    tokio::time::Instant,
};

fn text(name: &Option<Name>) -> Option<String> {
    name.as_ref().map(|name| name.to_string())
}

fn name(text: Option<String>) -> Option<Name> {
    text.map(Name::from)
}

/// Returns the message for the attempt with `number` on its stream.
pub fn attempt(number: u64, work: &Work, now: Instant) -> peer::Attempt {
    let (target, fence, pool) = match &work.aim {
        Aim::Owner { target, fence } => (Some(target.to_string()), fence.0, None),
        Aim::Pool(pool) => (None, 0, Some(pool.to_string())),
    };
    peer::Attempt {
        number,
        request: work.request.to_string(),
        service: work.service.to_string(),
        route: work.route.to_string(),
        key: text(&work.key),
        hash: work.hash,
        target,
        fence,
        pool,
        priority: work.priority as u32,
        repeatable: work.repeatable,
        left_us: work.deadline.saturating_duration_since(now).as_micros() as u64,
        order: text(&work.order),
        method: work.method.to_string(),
        media: text(&work.media),
        body: work.body.clone(),
    }
}

/// Reads an attempt that arrived at `now`.
///
/// # Errors
///
/// Names the field that holds an impossible value.
pub fn work(attempt: peer::Attempt, now: Instant) -> Result<Work> {
    let aim = match (attempt.target, attempt.pool) {
        (Some(target), None) => Aim::Owner {
            target: target.into(),
            fence: Fence(attempt.fence),
        },
        (None, Some(pool)) => Aim::Pool(pool.into()),
        _ => {
            return Err(Malformed::new(
                "attempt.target",
                "needs either a target or a pool",
            ));
        }
    };
    let priority = *Priority::ALL
        .get(attempt.priority as usize)
        .ok_or_else(|| Malformed::new("attempt.priority", format!("{}", attempt.priority)))?;
    let method = http::Method::from_bytes(attempt.method.as_bytes())
        .map_err(|error| Malformed::new("attempt.method", error.to_string()))?;
    Ok(Work {
        request: attempt.request.into(),
        service: attempt.service.into(),
        route: attempt.route.into(),
        key: name(attempt.key),
        hash: attempt.hash,
        aim,
        priority,
        repeatable: attempt.repeatable,
        deadline: now + Duration::from_micros(attempt.left_us),
        order: name(attempt.order),
        method,
        media: name(attempt.media),
        body: attempt.body,
    })
}

/// Returns the message for the end of the attempt with `number`.
pub fn end(number: u64, outcome: Outcome) -> peer::Outcome {
    peer::Outcome {
        number,
        verdict: outcome.verdict.as_str().to_owned(),
        reason: outcome.reason.map(|reason| reason.as_str().to_owned()),
        status: outcome.status.into(),
        media: text(&outcome.media),
        body: outcome.body,
        wait_ms: outcome.wait.map(|wait| wait.as_millis() as u64),
        target: text(&outcome.target),
        version: outcome.version.0,
    }
}

/// Reads the end of an attempt.
///
/// # Errors
///
/// Names the field that holds an impossible value.
pub fn outcome(end: peer::Outcome) -> Result<Outcome> {
    let verdict = end
        .verdict
        .parse()
        .map_err(|why: String| Malformed::new("outcome.verdict", why))?;
    let reason = end.reason.map(|text| text.parse()).transpose();
    let reason = reason.map_err(|why: String| Malformed::new("outcome.reason", why))?;
    let status = u16::try_from(end.status)
        .map_err(|_| Malformed::new("outcome.status", end.status.to_string()))?;
    Ok(Outcome {
        verdict,
        reason,
        status,
        media: name(end.media),
        body: end.body,
        wait: end.wait_ms.map(Duration::from_millis),
        target: name(end.target),
        version: Version(end.version),
    })
}
