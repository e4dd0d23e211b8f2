//! Each check of the soak test reports violations of its guarantee and accepts what is allowed.

use {
    cowslip_adapter_standins::observer::{Arrival, Notice, TargetObserver},
    cowslip_soak::{
        guarantees::find_violations,
        history::{Event, EventKind, HistoryData, Outcome, RequestKind, RequestRecord},
        organisations::check_organisations,
    },
    std::time::Duration,
    tokio::time::Instant,
};

fn millis_after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn new_request(start: Instant, sent_ms: u64, kind: RequestKind, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: "r1".into(),
        kind,
        instance: "i0".into(),
        sent_at: millis_after(start, sent_ms),
        ended_at: millis_after(start, sent_ms + 50),
        outcome,
    }
}

fn new_arrival(start: Instant, arrived_ms: u64, was_executed: bool) -> Arrival {
    Arrival {
        request_id: "r1".into(),
        target_id: "boards-0".into(),
        service: "boards".into(),
        incarnation: 1,
        data_centre: "west".into(),
        arrived_at: millis_after(start, arrived_ms),
        was_executed,
        notice: None,
    }
}

fn new_event(start: Instant, start_ms: u64, end_ms: Option<u64>, event_kind: EventKind) -> Event {
    Event {
        event_kind,
        started_at: millis_after(start, start_ms),
        ended_at: end_ms.map(|it| millis_after(start, it)),
    }
}

/// Returns the prefixes of the violations that the checks report.
fn violation_prefixes(
    requests: Vec<RequestRecord>,
    events: Vec<Event>,
    arrivals: &[Arrival],
) -> Vec<String> {
    let lines = find_violations(&HistoryData { requests, events }, arrivals);
    let prefix = |line: String| line.split(':').next().unwrap_or_default().to_owned();
    lines.into_iter().map(prefix).collect()
}

#[test]
fn repeated_refused_mixed_and_lost_requests_are_reported() {
    let start = Instant::now();
    let ran = [new_arrival(start, 10, true)];
    let twice = [new_arrival(start, 10, true), new_arrival(start, 20, true)];
    let one_request = |kind, outcome| vec![new_request(start, 0, kind, outcome)];
    let ok = Outcome::Response(200, true);
    assert_eq!(
        violation_prefixes(one_request(RequestKind::Removal, ok), vec![], &twice),
        ["TWICE"]
    );
    assert!(violation_prefixes(one_request(RequestKind::Lookup, ok), vec![], &twice).is_empty());
    let refused = Outcome::Response(503, false);
    assert_eq!(
        violation_prefixes(one_request(RequestKind::Removal, refused), vec![], &ran),
        ["REFUSED"]
    );
    assert!(
        violation_prefixes(
            one_request(RequestKind::Removal, refused),
            vec![],
            &[new_arrival(start, 10, false)]
        )
        .is_empty()
    );
    let mixed = Outcome::Response(200, false);
    assert_eq!(
        violation_prefixes(one_request(RequestKind::Booking, mixed), vec![], &ran),
        ["MIXED"]
    );
    assert_eq!(
        violation_prefixes(
            one_request(RequestKind::Removal, Outcome::ConnectionClosed),
            vec![],
            &ran
        ),
        ["LOST"]
    );
    // Not lost: sent just before its connection closed, and reached no target. Lost: sent over
    // 200 ms before the close, or reached a target, even if it was not run there.
    assert!(
        violation_prefixes(
            one_request(RequestKind::Removal, Outcome::ConnectionClosed),
            vec![],
            &[]
        )
        .is_empty()
    );
    let long = RequestRecord {
        ended_at: millis_after(start, 201),
        ..new_request(start, 0, RequestKind::Removal, Outcome::ConnectionClosed)
    };
    assert_eq!(violation_prefixes(vec![long], vec![], &[]), ["LOST"]);
    let not_executed = [new_arrival(start, 10, false)];
    assert_eq!(
        violation_prefixes(
            one_request(RequestKind::Removal, Outcome::ConnectionClosed),
            vec![],
            &not_executed
        ),
        ["LOST"]
    );
    let stopped = new_event(start, 0, Some(500), EventKind::InstanceStop("i0".into()));
    assert_eq!(
        violation_prefixes(
            one_request(RequestKind::Removal, Outcome::ConnectionClosed),
            vec![stopped],
            &ran
        ),
        ["LOST"]
    );
    let killed = new_event(start, 0, Some(500), EventKind::InstanceKill("i0".into()));
    assert!(
        violation_prefixes(
            one_request(RequestKind::Removal, Outcome::ConnectionClosed),
            vec![killed],
            &ran
        )
        .is_empty()
    );
}

#[test]
fn requests_to_draining_and_withdrawn_targets_are_reported() {
    let start = millis_after(Instant::now(), 10_000);
    let drain = new_event(start, 0, None, EventKind::TargetDrain("boards-0".into()));
    // The limit is 2000 ms, with 300 ms of slack.
    let late = [new_arrival(start, 2400, true)];
    assert_eq!(
        violation_prefixes(vec![], vec![drain.clone()], &late),
        ["DRAIN"]
    );
    assert!(
        violation_prefixes(
            vec![],
            vec![drain.clone()],
            &[new_arrival(start, 2200, true)]
        )
        .is_empty()
    );
    let store = new_event(start, 100, Some(300), EventKind::StoreFault);
    assert!(violation_prefixes(vec![], vec![drain, store], &late).is_empty());
    let withdrawn = new_event(start, 0, None, EventKind::Withdrawal("west".into()));
    let late = [new_arrival(start, 5400, true)];
    assert_eq!(violation_prefixes(vec![], vec![withdrawn], &late), ["EVAC"]);
}

#[test]
fn overload_of_a_cold_target_is_reported() {
    let start = millis_after(Instant::now(), 10_000);
    let cold = vec![new_event(
        start,
        0,
        Some(1),
        EventKind::ColdStart("boards-0".into()),
    )];
    let evenly_spaced = |from: u64, count: u64, interval_ms: u64| -> Vec<Arrival> {
        let times = (0..count).map(|it| from + it * interval_ms);
        times.map(|at| new_arrival(start, at, true)).collect()
    };
    let excessive = evenly_spaced(1500, 10, 100);
    assert_eq!(
        violation_prefixes(vec![], cold.clone(), &excessive),
        ["FAILBACK"]
    );
    // Nine requests a second are allowed for any time, and more at a warm target.
    assert!(violation_prefixes(vec![], cold.clone(), &evenly_spaced(0, 27, 112)).is_empty());
    assert!(violation_prefixes(vec![], cold, &evenly_spaced(3000, 30, 10)).is_empty());
}

#[test]
fn late_configuration_change_is_reported() {
    let start = millis_after(Instant::now(), 10_000);
    let events = vec![new_event(
        start,
        0,
        None,
        EventKind::LookupService("crews".into()),
    )];
    let lookup = |at| {
        vec![new_request(
            start,
            at,
            RequestKind::Lookup,
            Outcome::Response(200, true),
        )]
    };
    let ran = |at| [new_arrival(start, at, true)];
    assert_eq!(
        violation_prefixes(lookup(2400), events.clone(), &ran(2410)),
        ["CONFIG"]
    );
    assert!(violation_prefixes(lookup(1900), events, &ran(1910)).is_empty());
}

#[test]
fn two_owners_and_fences_that_do_not_increase_are_reported() {
    let observer = TargetObserver::default();
    let now = Instant::now();
    let (a, b) = (("a".to_owned(), 1), ("b".to_owned(), 1));
    // Service and target, first and last key, fence, end of the grant.
    observer.record_grant(("boards", &a), (0, 99), 5, millis_after(now, 60_000));
    observer.record_grant(("boards", &b), (100, 199), 6, millis_after(now, 60_000));
    assert!(observer.violations().is_empty());
    observer.record_grant(("boards", &b), (50, 60), 7, millis_after(now, 60_000));
    assert!(observer.violations()[0].starts_with("OWNER"));
    observer.record_release("boards", &a, (0, 49));
    observer.record_grant(("boards", &b), (0, 49), 5, millis_after(now, 60_000));
    assert!(observer.violations()[1].starts_with("FENCE"));
    observer.record_end("boards", &a);
    observer.record_grant(("boards", &b), (61, 99), 8, millis_after(now, 60_000));
    assert_eq!(observer.violations().len(), 2);
}

#[test]
fn renewal_for_the_previous_incarnation_is_allowed_only_after_a_recorded_start() {
    let observer = TargetObserver::default();
    let now = Instant::now();
    let [first, second, third] = [1, 2, 3].map(|incarnation| ("a".to_owned(), incarnation));
    observer.record_grant(("boards", &first), (0, 99), 5, millis_after(now, 100));
    observer.record_end("boards", &first);
    observer.record_start(second.clone());
    observer.record_grant(("boards", &second), (0, 99), 5, millis_after(now, 100));
    assert!(observer.violations().is_empty());
    observer.record_end("boards", &second);
    // No start of this incarnation was recorded, so the renewal is a violation.
    observer.record_grant(("boards", &third), (0, 99), 5, millis_after(now, 100));
    assert!(observer.violations()[0].starts_with("FENCE"));
}

#[test]
fn requests_after_an_announcement_or_in_a_quiet_period_are_reported() {
    let start = Instant::now();
    let ok = Outcome::Response(200, true);
    // Requests by one instance with the time at which each was sent; the first gets the notice.
    let check = |notice, times: &[u64], events| {
        let requests = times
            .iter()
            .enumerate()
            .map(|(number, sent)| RequestRecord {
                id: format!("r{number}"),
                ..new_request(start, *sent, RequestKind::Lookup, ok)
            });
        let arrivals = times.iter().enumerate().map(|(number, sent)| Arrival {
            request_id: format!("r{number}"),
            notice: (number == 0).then_some(notice),
            ..new_arrival(start, sent + 5, true)
        });
        let arrivals: Vec<Arrival> = arrivals.collect();
        violation_prefixes(requests.collect(), events, &arrivals)
    };
    let restart = || {
        vec![new_event(
            start,
            100,
            Some(900),
            EventKind::InstanceKill("i0".into()),
        )]
    };
    assert!(check(Notice::Leaving, &[0, 2000], vec![]).is_empty());
    assert_eq!(check(Notice::Leaving, &[0, 2400], vec![]), ["DRAIN"]);
    assert!(check(Notice::Leaving, &[0, 2400], restart()).is_empty());
    let quiet = Notice::Quiet(Duration::from_secs(2));
    assert!(check(quiet, &[0, 300, 400, 500], vec![]).is_empty());
    assert!(check(quiet, &[0, 900, 1000, 2100], vec![]).is_empty());
    assert_eq!(check(quiet, &[0, 900, 1000, 1100], vec![]), ["BUDGET"]);
    assert!(check(quiet, &[0, 900, 1000, 1100], restart()).is_empty());
}

#[test]
fn more_requests_than_a_named_limit_allows_are_reported() {
    let start = Instant::now();
    let ok = Outcome::Response(200, true);
    // Requests of two instances in turn, one each 100 ms; the target names a limit of 1 a second until
    // `named_until` in milliseconds.
    let check = |count: u64, named_until: u64, events| {
        let instance = |number: u64| format!("i{}", number % 2);
        let requests = (0..count).map(|number| RequestRecord {
            id: format!("r{number}"),
            instance: instance(number),
            ..new_request(start, 100 * number, RequestKind::Lookup, ok)
        });
        let arrivals = (0..count).map(|number| Arrival {
            request_id: format!("r{number}"),
            notice: (100 * number < named_until).then_some(Notice::Limit(1)),
            ..new_arrival(start, 100 * number + 5, true)
        });
        let arrivals: Vec<Arrival> = arrivals.collect();
        violation_prefixes(requests.collect(), events, &arrivals)
    };
    // Of 44 requests, 11 arrive after the time until which the limit need not be kept.
    assert!(check(44, 9000, vec![]).is_empty());
    assert_eq!(check(46, 9000, vec![]), ["LIMIT"]);
    assert!(check(46, 4000, vec![]).is_empty());
    // An instance that was killed has told no one since.
    let killed = EventKind::InstanceKill("i0".into());
    let restart = vec![new_event(start, 3000, Some(4500), killed)];
    assert!(check(46, 9000, restart).is_empty());
}

#[test]
fn an_organisation_that_gets_more_than_its_allotment_is_reported() {
    let start = Instant::now();
    // Callers 0 and 1: one of the limited organisation, and one without a limit.
    let arrivals = |caller: u64, count: u64| -> Vec<Arrival> {
        let arrive = |number: u64| Arrival {
            request_id: format!("{caller}-{number}"),
            ..new_arrival(start, 50 * number, true)
        };
        (0..count).map(arrive).collect()
    };
    let history = HistoryData::default();
    assert_eq!(check_organisations(&history, &arrivals(0, 86)), [""; 0]);
    assert_eq!(check_organisations(&history, &arrivals(1, 100)), [""; 0]);
    let violations = check_organisations(&history, &arrivals(0, 87));
    assert!(violations[0].starts_with("QUOTA: 87"), "{violations:?}");
    let denied = new_request(start, 0, RequestKind::Lookup, Outcome::Response(401, true));
    let history = HistoryData {
        requests: vec![denied],
        ..HistoryData::default()
    };
    let violations = check_organisations(&history, &[]);
    assert!(violations[0].starts_with("DENIED: 1"), "{violations:?}");
}
