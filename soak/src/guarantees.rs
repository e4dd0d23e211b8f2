//! The promises, checked against the history of a run.

use {
    crate::{
        history::{Event, EventKind, HistoryData, RequestKind, RequestOutcome},
        targets::COLD_TIME,
    },
    cowslip_adapter_standins::observer::Arrival,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after a target's report that it leaves at which it gets nothing new.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time after which a withdrawn data centre gets nothing.
const WITHDRAWAL: Duration = Duration::from_millis(5000);
/// Time after which a configuration is in force.
const APPLY: Duration = Duration::from_millis(2000);
/// Time after which a request whose connection ends has been read.
const LOSS: Duration = Duration::from_millis(200);
/// Most requests to a cold target in a second: 1.5 times its rate of 3.1, and 5.
const MOST_COLD: usize = 9;
const SECOND: Duration = Duration::from_secs(1);
/// Allowance for the processes of this machine, which share its cores.
const SLACK: Duration = Duration::from_millis(300);
/// Time after a disturbance in which the times above do not hold.
const AFTER: Duration = Duration::from_millis(3000);

/// Returns the promises that were broken, each with what shows it.
pub fn find_violations(record: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|it| it.was_executed) {
        *runs.entry(&arrival.request_id).or_default() += 1;
    }
    let reached: BTreeSet<&str> = arrivals.iter().map(|it| it.request_id.as_str()).collect();
    let mut found = requests(record, &runs, &reached);
    found.extend(leaving(record, arrivals));
    found.extend(withdrawn(record, arrivals));
    found.extend(configured(record, arrivals));
    found.extend(overheated(record, arrivals));
    found
}

/// Each request: run at most once if it may not be repeated, refused truly, answered with its own.
fn requests(
    record: &HistoryData,
    runs: &BTreeMap<&str, u32>,
    reached: &BTreeSet<&str>,
) -> Vec<String> {
    let mut found = Vec::new();
    for sent in &record.requests {
        let ran = runs.get(sent.id.as_str()).copied().unwrap_or_default();
        let took = (sent.ended_at - sent.sent_at).as_millis();
        let said = format!(
            "{} {:?} at {}: {:?} after {took} ms, ran {ran} times",
            sent.id, sent.kind, sent.instance, sent.outcome
        );
        if sent.kind != RequestKind::Lookup && ran > 1 {
            found.push(format!("TWICE: {said}"));
        }
        match sent.outcome {
            RequestOutcome::Response(400..=499 | 503, _) if ran > 0 => {
                found.push(format!("REFUSED: {said}"));
            }
            RequestOutcome::Response(200, false) => found.push(format!("MIXED: {said}")),
            RequestOutcome::ConnectionClosed
                if !harmed(record, &sent.instance, sent.sent_at, sent.ended_at) =>
            {
                // One that only crosses the close of its connection has not been read.
                let read =
                    sent.ended_at - sent.sent_at > LOSS || reached.contains(sent.id.as_str());
                found.extend(read.then(|| format!("LOST: {said}")));
            }
            _ => {}
        }
    }
    found
}

/// Returns whether an instance was killed or paused between two moments.
fn harmed(record: &HistoryData, instance: &str, from: Instant, until: Instant) -> bool {
    record.events.iter().any(|event| {
        let own = matches!(&event.kind, EventKind::InstanceKill(it) | EventKind::InstancePause(it) if it == instance);
        own && overlaps(event, from, until)
    })
}

/// A leaving target gets nothing new.
fn leaving(record: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let late = record.events.iter().filter_map(|event| match &event.kind {
        EventKind::TargetDrain(target) => {
            let (late, after) = late(record, arrivals, event, DRAIN, |it| it.target_id == *target)?;
            let request = &late.request_id;
            Some(format!("DRAIN: {request} at {target} after {after} ms"))
        }
        _ => None,
    });
    late.collect()
}

/// A withdrawn data centre gets nothing.
fn withdrawn(record: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let late = record.events.iter().filter_map(|event| match &event.kind {
        EventKind::Withdrawal(place) => {
            let inside = |it: &Arrival| it.data_centre == *place;
            let (late, after) = late(record, arrivals, event, WITHDRAWAL, inside)?;
            let request = &late.request_id;
            Some(format!("EVAC: {request} in {place} after {after} ms"))
        }
        _ => None,
    });
    late.collect()
}

/// Returns the first request that ran too late after the beginning of an event and before its end,
/// and the milliseconds since, unless something else was harmed meanwhile.
fn late<'a>(
    record: &HistoryData,
    arrivals: &'a [Arrival],
    event: &Event,
    limit: Duration,
    concerned: impl Fn(&Arrival) -> bool,
) -> Option<(&'a Arrival, u128)> {
    let due = event.started_at + limit + SLACK;
    let late = arrivals.iter().find(|it| {
        let inside = it.arrived_at > due && event.ended_at.is_none_or(|end| it.arrived_at < end);
        concerned(it) && it.was_executed && inside
    })?;
    let calm = is_calm(record, event.started_at, late.arrived_at);
    calm.then(|| (late, (late.arrived_at - event.started_at).as_millis()))
}

/// A configuration is in force everywhere within its time, and never goes back.
fn configured(record: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let mut found = Vec::new();
    let at: BTreeMap<&str, &Arrival> = arrivals
        .iter()
        .filter(|it| it.was_executed)
        .map(|it| (it.request_id.as_str(), it))
        .collect();
    for event in &record.events {
        let EventKind::LookupService(service) = &event.kind else {
            continue;
        };
        for sent in record
            .requests
            .iter()
            .filter(|it| it.kind == RequestKind::Lookup)
        {
            let inside = sent.sent_at > event.started_at + APPLY + SLACK
                && event.ended_at.is_none_or(|until| sent.ended_at < until);
            let Some(arrival) = at.get(sent.id.as_str()).filter(|_| inside) else {
                continue;
            };
            if arrival.service != *service && is_calm(record, event.started_at, sent.sent_at) {
                found.push(format!("CONFIG: {} went to {}", sent.id, arrival.service));
                break;
            }
        }
    }
    found
}

/// A cold target gets few requests, whatever else happens.
fn overheated(record: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let colds = record.events.iter().filter_map(|event| match &event.kind {
        EventKind::ColdStart(target) => Some((target, event.started_at)),
        _ => None,
    });
    let found = colds.filter_map(|(target, from)| {
        let own = arrivals
            .iter()
            .filter(|it| it.was_executed && it.target_id == *target);
        let inside = own.filter(|it| it.arrived_at >= from && it.arrived_at < from + COLD_TIME);
        let mut times: Vec<Instant> = inside.map(|it| it.arrived_at).collect();
        times.sort_unstable();
        let mut spans = times.windows(MOST_COLD + 1);
        let dense = spans.any(|span| span[MOST_COLD] - span[0] < SECOND);
        dense.then(|| format!("FAILBACK: over {MOST_COLD} requests in a second at {target}"))
    });
    found.collect()
}

/// Returns whether neither the store nor an instance was harmed about a span of time.
fn is_calm(record: &HistoryData, from: Instant, until: Instant) -> bool {
    !record.events.iter().any(|event| {
        let harm = matches!(
            event.kind,
            EventKind::StoreFault
                | EventKind::InstancePause(_)
                | EventKind::InstanceKill(_)
                | EventKind::InstanceStop(_)
        );
        harm && overlaps(event, from - AFTER, until)
    })
}

fn overlaps(event: &Event, from: Instant, until: Instant) -> bool {
    event.started_at <= until && event.ended_at.is_none_or(|end| end >= from)
}
