//! The target of the next attempt.

use {
    crate::{
        context::Context,
        serve::{line::Line, request::Request},
        views::target_snapshot::{TargetSnapshot, TargetView},
    },
    cowslip_adapter::config::Service,
    cowslip_decide::{
        names::Name,
        service_time::{self, TargetEstimate},
    },
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time for which the owner of a key takes requests after it is known to leave.
const OWNER_LEAVING: Duration = Duration::from_millis(500);
/// Part of the bound of a withdrawal for which owners in the data centre take requests.
const OWNER_WITHDRAWN: f64 = 0.4;
/// Age at which a reported load says nothing any more.
const LOAD_AGE: Duration = Duration::from_millis(400);
/// Slots of a target that has told none.
const UNKNOWN_SLOTS: u32 = 2;
/// Factor that spreads requests over equal targets.
const LUCK: RangeInclusive<f64> = 0.9..=1.1;
/// Time between two looks at something that should change soon.
const LOOK: Duration = Duration::from_millis(150);
/// Part of a cold target's rate that all instances use together.
const COLD_SHARE: f64 = 0.9;

/// What follows for a request.
pub enum Choice {
    /// Send it to the owner of its key.
    Owner(Rc<Line>, Name),
    /// Send it to any target of its service.
    Any,
    /// Wait for a change, but not longer than this.
    Wait(Duration),
    /// No target can take it before this time has passed.
    Refuse(Duration),
}

/// Returns where the next attempt may go.
pub fn choose(context: &Context, request: &Request) -> Choice {
    let now = Instant::now();
    let config = context.config.borrow().clone();
    let service = config
        .as_ref()
        .and_then(|it| it.services.get(&request.service));
    let Some(service) = service else {
        return Choice::Refuse(LOOK);
    };
    let targets = context.targets.borrow().clone();
    match request.key {
        Some(key) => owner(context, request, (&targets, key), now),
        None if service.sharded => Choice::Refuse(LOOK),
        None => Choice::Any,
    }
}

/// Chooses the owner of a key.
fn owner(
    context: &Context,
    request: &Request,
    (targets, key): (&TargetSnapshot, u16),
    now: Instant,
) -> Choice {
    let owners = context.owners.borrow();
    let Some(owners) = owners.get(&request.service) else {
        return Choice::Wait(LOOK);
    };
    let piece = owners.table.assignment(key);
    if let Some(wait) = context
        .blocked_keys
        .borrow()
        .wait(&request.service, piece, now)
    {
        return Choice::Wait(wait);
    }
    let Some(life) = piece.owner.as_ref() else {
        return Choice::Wait(LOOK);
    };
    let Some(seen) = targets
        .get(&life.id)
        .filter(|it| it.report.incarnation == life.incarnation)
    else {
        return Choice::Wait(LOOK);
    };
    let left = |since: Instant| now - since > OWNER_LEAVING;
    if seen.draining_since.is_some_and(left) || is_withdrawn(context, seen, now, OWNER_WITHDRAWN) {
        return Choice::Wait(LOOK);
    }
    Choice::Owner(line(context, seen, now), seen.report.id.clone())
}

/// Returns the connections to a target of an undivided service, if this instance may send to it.
///
/// The holder that chose it may know less than this instance of who leaves.
pub fn line_to(context: &Context, target: &Name) -> Option<Rc<Line>> {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let seen = targets
        .get(target)
        .filter(|seen| is_open(context, seen, now))?;
    Some(line(context, seen, now))
}

/// Returns whether a target of an undivided service may get new work.
fn is_open(context: &Context, seen: &TargetView, now: Instant) -> bool {
    seen.draining_since.is_none() && !is_withdrawn(context, seen, now, 0.0)
}

/// Takes the part of a cold target's rate that is this instance's without a permit.
///
/// # Errors
/// Returns when to come back.
pub fn cold_share(context: &Context, request: &Request, target: &Name) -> Result<(), Duration> {
    let now = Instant::now();
    let config = context.config.borrow();
    let service = config
        .as_ref()
        .and_then(|it| it.services.get(&request.service));
    let targets = context.targets.borrow();
    let cold = targets.get(target).filter(|seen| seen.is_cold(now));
    match (service, cold) {
        (Some(service), Some(seen)) => cold_token(context, service, &line(context, seen, now), now),
        _ => Ok(()),
    }
}

/// Chooses among the targets of an undivided service without a permit; `tried` did not serve it.
///
/// # Errors
/// Returns when to come back.
pub fn alone(
    context: &Context,
    request: &Request,
    tried: &[Name],
) -> Result<(Rc<Line>, Name), Duration> {
    let now = Instant::now();
    let targets = context.targets.borrow().clone();
    let open: Vec<&TargetView> = targets
        .for_service(&request.service)
        .filter(|seen| is_open(context, seen, now))
        .filter(|seen| !tried.contains(&seen.report.id))
        .collect();
    let warm = open.iter().filter(|seen| !seen.is_cold(now));
    let best = warm
        .map(|seen| {
            let line = line(context, seen, now);
            let near = seen.report.data_centre == context.settings.data_centre;
            let cost = (line.is_avoided(now), time(&line, near, now));
            (line, seen, cost)
        })
        .min_by(|(_, _, a), (_, _, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    if let Some((line, seen, _)) = best {
        return Ok((line, seen.report.id.clone()));
    }
    let mut wait = LOOK;
    for seen in open {
        match cold_share(context, request, &seen.report.id) {
            Ok(()) => return Ok((line(context, seen, now), seen.report.id.clone())),
            Err(time) => wait = time,
        }
    }
    Err(wait)
}

/// Returns the time that a request would likely take at a target, in seconds.
fn time(line: &Line, near: bool, now: Instant) -> f64 {
    let told = line.load.get().map(|(load, at)| {
        let age = (now - at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        let requests = f64::from(load.running + load.waiting) * (-age).exp();
        (requests, load.slots)
    });
    let (requests, slots) = told.unwrap_or((0.0, UNKNOWN_SLOTS));
    let outlook = TargetEstimate {
        service_time: line
            .pace
            .get()
            .seconds()
            .unwrap_or(service_time::DEFAULT_SERVICE_TIME_S),
        in_flight: requests.max(f64::from(line.running.get())),
        slots,
        slowdown: 1.0,
        is_local: near,
    };
    // Equal targets get equal parts.
    outlook.response_time() * rand::random_range(LUCK)
}

/// Takes this instance's part of the rate that a cold target bears.
fn cold_token(
    context: &Context,
    service: &Service,
    line: &Line,
    now: Instant,
) -> Result<(), Duration> {
    let rate = service.cold_rate * COLD_SHARE / f64::from(context.instance_count.get().max(1));
    line.tokens.borrow_mut().try_take(rate, now)
}

/// Returns whether the target's data centre is withdrawn for longer than a part of the bound.
fn is_withdrawn(context: &Context, seen: &TargetView, now: Instant, part: f64) -> bool {
    let withdrawn = context.withdrawn.borrow();
    let limit = context.bounds.borrow().withdrawal.mul_f64(part);
    let since = withdrawn.get(&seen.report.data_centre);
    since.is_some_and(|since| now - *since >= limit)
}

/// Returns the connections to the present run of a target.
fn line(context: &Context, seen: &TargetView, now: Instant) -> Rc<Line> {
    let mut lines = context.connections.borrow_mut();
    let id = &seen.report.id;
    if let Some(line) = lines.get(id).filter(|line| line.is_to(&seen.report)) {
        return line.clone();
    }
    let line = Rc::new(Line::new(&seen.report, now));
    lines.insert(id.clone(), line.clone());
    line
}
