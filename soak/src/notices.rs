//! Checks of what instances do after a target has told them something about itself in a response.

use {
    crate::{
        guarantees::{DRAIN_LIMIT, SCHEDULING_SLACK, was_killed_or_paused},
        history::{EventKind, HistoryData, Outcome, RequestRecord},
        limits,
    },
    cowslip_adapter_standins::observer::{Arrival, Notice},
    std::{collections::BTreeMap, time::Duration},
};

/// Time after a refusal within which requests may still reach a target that asked for quiet.
const QUIET_LIMIT: Duration = Duration::from_millis(500);
/// Requests that may reach it later in its quiet period.
const MAX_QUIET_REQUESTS: usize = 2;

/// An arrival with the request that caused it.
pub type Delivery<'a> = (&'a Arrival, &'a RequestRecord);

/// Returns the violations, each with its evidence.
pub fn check_notices(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let requests: BTreeMap<&str, &RequestRecord> = history
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    let deliveries: Vec<Delivery<'_>> = arrivals
        .iter()
        .filter_map(|it| Some((it, *requests.get(it.request_id.as_str())?)))
        .collect();
    let found = deliveries
        .iter()
        .filter_map(|delivery| match delivery.0.notice? {
            Notice::Leaving => check_leaving(history, &deliveries, delivery),
            Notice::Quiet(period) => check_quiet(history, &deliveries, delivery, period),
            Notice::Limit(_) => None,
        });
    let mut found: Vec<String> = found.collect();
    found.extend(limits::check_limits(history, &deliveries));
    found
}

/// Checks that an instance that has passed on the announcement of a stop sends the target nothing
/// that callers sent later than the limit.
fn check_leaving(
    history: &HistoryData,
    deliveries: &[Delivery<'_>],
    (announced, passed_on): &Delivery<'_>,
) -> Option<String> {
    if !matches!(passed_on.outcome, Outcome::Response(200, _)) {
        return None;
    }
    let limit = passed_on.ended_at + DRAIN_LIMIT + SCHEDULING_SLACK;
    let late = deliveries.iter().find(|(arrival, request)| {
        arrival.target_id == announced.target_id
            && arrival.incarnation == announced.incarnation
            && request.instance == passed_on.instance
            && request.sent_at > limit
            && !is_excused(history, request, passed_on)
    });
    late.map(|(arrival, request)| {
        let elapsed = (request.sent_at - passed_on.ended_at).as_millis();
        format!(
            "DRAIN: {} reached {} by {} {elapsed} ms after its announcement",
            arrival.request_id, arrival.target_id, request.instance
        )
    })
}

/// Checks that a target that has asked an instance for quiet gets hardly any request from it.
fn check_quiet(
    history: &HistoryData,
    deliveries: &[Delivery<'_>],
    (asked, refused): &Delivery<'_>,
    period: Duration,
) -> Option<String> {
    let from = asked.arrived_at + QUIET_LIMIT + SCHEDULING_SLACK;
    let until = asked.arrived_at + period;
    let late = deliveries.iter().filter(|(arrival, request)| {
        arrival.target_id == asked.target_id
            && arrival.incarnation == asked.incarnation
            && request.instance == refused.instance
            && (from..until).contains(&arrival.arrived_at)
            && !is_excused(history, request, refused)
    });
    let count = late.count();
    (count > MAX_QUIET_REQUESTS).then(|| {
        format!(
            "BUDGET: {count} requests by {} in the quiet period of {} after {}",
            refused.instance, asked.target_id, asked.request_id
        )
    })
}

/// Returns whether the instance was killed, paused or restarted between two requests.
pub fn is_excused(history: &HistoryData, later: &RequestRecord, earlier: &RequestRecord) -> bool {
    let has_stopped = history.events.iter().any(|event| {
        event.event_kind == EventKind::InstanceStop(later.instance.clone())
            && event.started_at <= later.ended_at
            && event.ended_at.is_none_or(|end| end >= earlier.sent_at)
    });
    let (from, until) = (earlier.sent_at, later.ended_at);
    has_stopped || was_killed_or_paused(history, &later.instance, from, until)
}
