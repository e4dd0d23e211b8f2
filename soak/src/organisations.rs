//! Organisations of the callers, and the check that all instances together keep their allotments.

use {
    crate::history::{HistoryData, Outcome},
    cowslip_adapter_standins::{
        config::{SampleOrganisation, with_organisations},
        observer::Arrival,
    },
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

/// API keys of the two organisations.
const LARGE_KEY: &str = "key-of-the-large-one";
const LIMITED_KEY: &str = "key-of-the-limited-one";
/// Requests per second, and burst, of the limited organisation; its callers send some three times that.
const RATE: u32 = 10;
/// One of so many callers belongs to the limited organisation.
const LIMITED_CALLERS: u64 = 4;
/// Window in which requests are counted, and the most that the limited organisation may send in it: a tenth
/// and 20 requests over its allotment.
const WINDOW: Duration = Duration::from_secs(5);
const MAX_REQUESTS: f64 = (RATE as f64 * 5.0 + RATE as f64) * 1.1 + 20.0;

/// Returns the API key that a caller sends.
pub fn api_key(caller: u64) -> &'static str {
    match caller.is_multiple_of(LIMITED_CALLERS) {
        true => LIMITED_KEY,
        false => LARGE_KEY,
    }
}

/// Returns the API key of requests that have no limit.
pub fn unlimited_key() -> &'static str {
    LARGE_KEY
}

/// Adds the organisations to a configuration.
pub fn add_organisations(config: &str) -> String {
    let organisations: [SampleOrganisation<'_>; 2] = [
        ("large", &[LARGE_KEY], 1, 0, 0),
        ("limited", &[LIMITED_KEY], 0, RATE, RATE),
    ];
    with_organisations(config, &organisations, false)
}

/// Checks that the limited organisation gets no more than its allotment, whatever happens to instances, and
/// that nobody is refused for an unknown key.
pub fn check_organisations(history: &HistoryData, arrivals: &[Arrival]) -> Vec<String> {
    let caller = |id: &str| -> Option<u64> { id.split_once('-')?.0.parse().ok() };
    let is_limited = |it: &&Arrival| {
        it.was_executed && caller(&it.request_id).is_some_and(|it| api_key(it) == LIMITED_KEY)
    };
    let mut seen = BTreeSet::new();
    // A request that runs again counts once.
    let first = arrivals.iter().filter(is_limited);
    let first = first.filter(|it| seen.insert(it.request_id.as_str()));
    let mut times: Vec<Instant> = first.map(|it| it.arrived_at).collect();
    times.sort_unstable();
    let count = |from: &Instant| {
        let in_window = times
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(at));
        in_window.count()
    };
    let most = times.iter().map(count).max().unwrap_or(0);
    let mut violations = Vec::new();
    if most as f64 > MAX_REQUESTS {
        violations.push(format!(
            "QUOTA: {most} requests in {WINDOW:?}, {MAX_REQUESTS} allowed"
        ));
    }
    let denied = history
        .requests
        .iter()
        .filter(|it| matches!(it.outcome, Outcome::Response(401, _)));
    let denied = denied.count();
    if denied > 0 {
        violations.push(format!("DENIED: {denied} requests with a valid key"));
    }
    violations
}
