//! Checks of the router's guarantees against the history of a run.

use {
    crate::{
        history::{Event, EventKind, HistoryData, Outcome, RequestKind},
        notices,
        targets::COLD_TIME,
    },
    cowslip_adapter_standins::observer::Arrival,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Longest time for which a target still gets requests after it has reported that it is draining.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(2000);
/// Longest time for which a data centre still gets requests after its withdrawal.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(5000);
/// Longest time until all instances apply a new configuration.
const CONFIG_LIMIT: Duration = Duration::from_millis(2000);
/// An instance may not have read a request whose connection closes within this time.
const READ_LIMIT: Duration = Duration::from_millis(200);
/// Highest number of requests a second to a cold target: 1.5 times its rate of 3.1, plus 5,
/// rounded down.
const MAX_COLD_REQUESTS: usize = 9;
const ONE_SECOND: Duration = Duration::from_secs(1);
/// Allowance for scheduling delays, as all processes share the cores of one machine.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(300);
/// Time after a fault of the store or of an instance in which the time limits are not checked.
const RECOVERY_TIME: Duration = Duration::from_millis(3000);

/// Returns the violations of the guarantees, each with its evidence.
pub fn find_violations(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|it| it.was_executed) {
        *executions.entry(&arrival.request_id).or_default() += 1;
    }
    let arrived_ids: BTreeSet<&str> = arrivals.iter().map(|it| it.request_id.as_str()).collect();
    let mut violations = check_requests(history, &executions, &arrived_ids);
    violations.extend(check_draining(history, arrivals));
    violations.extend(check_withdrawal(history, arrivals));
    violations.extend(check_config(history, arrivals));
    violations.extend(check_cold_targets(history, arrivals));
    violations.extend(notices::check_notices(history, arrivals));
    violations
}

/// Checks that requests that are not idempotent run at most once, that refused requests (4xx or
/// 503) did not run, that each response belongs to its request, and that no request is lost.
fn check_requests(
    history: &HistoryData,
    executions: &BTreeMap<&str, u32>,
    arrived_ids: &BTreeSet<&str>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let executed = executions
            .get(request.id.as_str())
            .copied()
            .unwrap_or_default();
        let elapsed_ms = (request.ended_at - request.sent_at).as_millis();
        let evidence = format!(
            "{} {:?} at {}: {:?} after {elapsed_ms} ms, ran {executed} times",
            request.id, request.kind, request.instance, request.outcome
        );
        if request.kind != RequestKind::Lookup && executed > 1 {
            violations.push(format!("TWICE: {evidence}"));
        }
        match request.outcome {
            Outcome::Response(400..=499 | 503, _) if executed > 0 => {
                violations.push(format!("REFUSED: {evidence}"));
            }
            Outcome::Response(200, false) => violations.push(format!("MIXED: {evidence}")),
            Outcome::ConnectionClosed
                if !was_killed_or_paused(
                    history,
                    &request.instance,
                    request.sent_at,
                    request.ended_at,
                ) =>
            {
                // A request that arrives while its connection closes was not read, thus not lost.
                let was_read = request.ended_at - request.sent_at > READ_LIMIT
                    || arrived_ids.contains(request.id.as_str());
                violations.extend(was_read.then(|| format!("LOST: {evidence}")));
            }
            _ => {}
        }
    }
    violations
}

/// Returns whether an instance was killed or paused within a time span.
pub fn was_killed_or_paused(
    history: &HistoryData,
    instance: &str,
    from: Instant,
    until: Instant,
) -> bool {
    history.events.iter().any(|event| {
        let is_match = matches!(
            &event.event_kind,
            EventKind::InstanceKill(it) | EventKind::InstancePause(it) if it == instance
        );
        is_match && overlaps(event, from, until)
    })
}

/// Checks that a draining target gets no new requests.
fn check_draining(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let late = history
        .events
        .iter()
        .filter_map(|event| match &event.event_kind {
            EventKind::TargetDrain(target) => {
                let (late, elapsed_ms) =
                    find_late_request(history, arrivals, event, DRAIN_LIMIT, |it| {
                        it.target_id == *target
                    })?;
                let request = &late.request_id;
                Some(format!(
                    "DRAIN: {request} at {target}, {elapsed_ms} ms after it began to drain"
                ))
            }
            _ => None,
        });
    late.collect()
}

/// Checks that a withdrawn data centre gets no requests.
fn check_withdrawal(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let late = history
        .events
        .iter()
        .filter_map(|event| match &event.event_kind {
            EventKind::Withdrawal(withdrawn) => {
                let is_affected = |it: &Arrival| it.data_centre == *withdrawn;
                let (late, elapsed_ms) =
                    find_late_request(history, arrivals, event, WITHDRAWAL_LIMIT, is_affected)?;
                let request = &late.request_id;
                Some(format!(
                    "EVAC: {request} in {withdrawn}, {elapsed_ms} ms after its withdrawal"
                ))
            }
            _ => None,
        });
    late.collect()
}

/// Returns the first matching request that ran later than `limit` after the beginning of an event
/// and before its end, with the milliseconds since that beginning; `None` if there is none, or if
/// a fault of the store or of an instance overlaps.
fn find_late_request<'a>(
    history: &HistoryData,
    arrivals: &'a [Arrival],
    event: &Event,
    limit: Duration,
    is_affected: impl Fn(&Arrival) -> bool,
) -> Option<(&'a Arrival, u128)> {
    let deadline = event.started_at + limit + SCHEDULING_SLACK;
    let late = arrivals.iter().find(|it| {
        let is_inside =
            it.arrived_at > deadline && event.ended_at.is_none_or(|end| it.arrived_at < end);
        is_affected(it) && it.was_executed && is_inside
    })?;
    let is_undisrupted = had_no_disruption(history, event.started_at, late.arrived_at);
    is_undisrupted.then(|| (late, (late.arrived_at - event.started_at).as_millis()))
}

/// Checks that all instances apply a new configuration in time and none returns to an older one.
fn check_config(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let mut violations = Vec::new();
    let executed: BTreeMap<&str, &Arrival> = arrivals
        .iter()
        .filter(|it| it.was_executed)
        .map(|it| (it.request_id.as_str(), it))
        .collect();
    for event in &history.events {
        let EventKind::LookupService(service) = &event.event_kind else {
            continue;
        };
        for request in history
            .requests
            .iter()
            .filter(|it| it.kind == RequestKind::Lookup)
        {
            let is_checked = request.sent_at > event.started_at + CONFIG_LIMIT + SCHEDULING_SLACK
                && event.ended_at.is_none_or(|until| request.ended_at < until);
            let Some(arrival) = executed.get(request.id.as_str()).filter(|_| is_checked) else {
                continue;
            };
            if arrival.service != *service
                && had_no_disruption(history, event.started_at, request.sent_at)
            {
                violations.push(format!(
                    "CONFIG: {} went to service {}",
                    request.id, arrival.service
                ));
                break;
            }
        }
    }
    violations
}

/// Checks that a cold target gets few requests, also during faults that exempt from time limits.
fn check_cold_targets(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let cold_starts = history
        .events
        .iter()
        .filter_map(|event| match &event.event_kind {
            EventKind::ColdStart(target) => Some((target, event.started_at)),
            _ => None,
        });
    let violations = cold_starts.filter_map(|(target, from)| {
        let own_requests = arrivals
            .iter()
            .filter(|it| it.was_executed && it.target_id == *target);
        let cold_requests =
            own_requests.filter(|it| it.arrived_at >= from && it.arrived_at < from + COLD_TIME);
        let mut times: Vec<Instant> = cold_requests.map(|it| it.arrived_at).collect();
        times.sort_unstable();
        let mut spans = times.windows(MAX_COLD_REQUESTS + 1);
        let exceeded = spans.any(|span| span[MAX_COLD_REQUESTS] - span[0] < ONE_SECOND);
        exceeded.then(|| {
            format!(
                "FAILBACK: over {MAX_COLD_REQUESTS} requests in a second at cold target {target}"
            )
        })
    });
    violations.collect()
}

/// Returns whether the store and all instances were without faults in a time span and in the
/// recovery time before it.
fn had_no_disruption(history: &HistoryData, from: Instant, until: Instant) -> bool {
    !history.events.iter().any(|event| {
        let is_disruption = matches!(
            event.event_kind,
            EventKind::StoreFault
                | EventKind::InstancePause(_)
                | EventKind::InstanceKill(_)
                | EventKind::InstanceStop(_)
        );
        is_disruption && overlaps(event, from - RECOVERY_TIME, until)
    })
}

fn overlaps(event: &Event, from: Instant, until: Instant) -> bool {
    event.started_at <= until && event.ended_at.is_none_or(|end| end >= from)
}
