//! Checks that all instances together keep the limits that targets name.

use {
    crate::{
        guarantees::SCHEDULING_SLACK,
        history::{HistoryData, Outcome},
        notices::{Delivery, is_excused},
    },
    cowslip_adapter_standins::observer::Notice,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time after a limit was first named within which it need not be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after an instance has passed on a response with a limit from which its requests count.
const PASS_ON_TIME: Duration = Duration::from_millis(500);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Time for which an incarnation of a target names a limit in each of its responses.
struct LimitedTime<'a> {
    /// Arrivals from the first to the last one with the limit.
    deliveries: Vec<&'a Delivery<'a>>,
    rate: u32,
}

/// Returns the violations, each with its evidence.
pub fn check_limits(history: &HistoryData, deliveries: &[Delivery<'_>]) -> Vec<String> {
    let mut by_target: BTreeMap<(&str, u64), Vec<&Delivery<'_>>> = BTreeMap::new();
    for delivery in deliveries {
        let (arrival, _) = delivery;
        let target = (arrival.target_id.as_str(), arrival.incarnation);
        by_target.entry(target).or_default().push(delivery);
    }
    let limited = by_target.into_values().flat_map(find_limited_times);
    limited
        .filter_map(|limited| check_limited_time(history, &limited))
        .collect()
}

/// Returns the times for which a target named one limit; refused requests tell nothing.
fn find_limited_times<'a>(mut arrivals: Vec<&'a Delivery<'a>>) -> Vec<LimitedTime<'a>> {
    arrivals.sort_by_key(|(arrival, _)| arrival.arrived_at);
    let mut found: Vec<LimitedTime<'a>> = Vec::new();
    let mut named = None;
    for delivery in arrivals {
        let rate = match delivery.0.notice {
            Some(Notice::Limit(rate)) => Some(rate),
            _ if delivery.0.was_executed => None,
            _ => named,
        };
        if let Some(rate) = rate {
            match found.last_mut().filter(|_| named == Some(rate)) {
                Some(last) => last.deliveries.push(delivery),
                None => found.push(LimitedTime {
                    deliveries: vec![delivery],
                    rate,
                }),
            }
        }
        named = rate;
    }
    found
}

/// Checks that a target got no more than its limit allows in any span.
fn check_limited_time(history: &HistoryData, limited: &LimitedTime<'_>) -> Option<String> {
    let (first, _) = limited.deliveries.first()?;
    let from = first.arrived_at + CONTACT + SCHEDULING_SLACK;
    let counted: Vec<Instant> = limited
        .deliveries
        .iter()
        .filter(|it| it.0.arrived_at >= from && was_told(history, limited, it))
        .map(|(arrival, _)| arrival.arrived_at)
        .collect();
    let allowed = (1.5 * f64::from(limited.rate) * SPAN.as_secs_f64() + 5.0) as usize;
    let in_span = |start: &Instant| {
        let span = *start..*start + SPAN;
        counted.iter().filter(|it| span.contains(it)).count()
    };
    let peak = counted.iter().map(in_span).max()?;
    (peak > allowed).then(|| {
        format!(
            "LIMIT: {peak} requests in {SPAN:?} at {}, which takes {} a second",
            first.target_id, limited.rate
        )
    })
}

/// Returns whether the sender of a request had passed on the limit before, and was not stopped since.
fn was_told(history: &HistoryData, limited: &LimitedTime<'_>, delivery: &Delivery<'_>) -> bool {
    let (arrival, request) = delivery;
    let mut told = limited.deliveries.iter().filter(|(earlier, passed_on)| {
        matches!(earlier.notice, Some(Notice::Limit(_)))
            && matches!(passed_on.outcome, Outcome::Response(200, _))
            && passed_on.instance == request.instance
            && passed_on.ended_at + PASS_ON_TIME <= arrival.arrived_at
    });
    told.any(|(_, passed_on)| !is_excused(history, request, passed_on))
}
