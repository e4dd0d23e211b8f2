//! Each check of the soak finds what breaks its promise, and lets pass what does not.

use {
    cowslip_adapter_standins::observer::{Arrival, TargetObserver},
    cowslip_soak::{
        guarantees::find_violations,
        history::{Event, EventKind, HistoryData, RequestKind, RequestOutcome, RequestRecord},
    },
    std::time::Duration,
    tokio::time::Instant,
};

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn sent(start: Instant, at: u64, kind: RequestKind, end: RequestOutcome) -> RequestRecord {
    RequestRecord {
        id: "r1".into(),
        kind,
        instance: "i0".into(),
        sent_at: after(start, at),
        ended_at: after(start, at + 50),
        outcome: end,
    }
}

fn arrival(start: Instant, at: u64, ran: bool) -> Arrival {
    Arrival {
        request_id: "r1".into(),
        target_id: "boards-0".into(),
        service: "boards".into(),
        data_centre: "west".into(),
        arrived_at: after(start, at),
        was_executed: ran,
    }
}

fn event(start: Instant, from: u64, until: Option<u64>, what: EventKind) -> Event {
    Event {
        kind: what,
        started_at: after(start, from),
        ended_at: until.map(|it| after(start, it)),
    }
}

/// Returns the names of the promises that are broken.
fn found(sent: Vec<RequestRecord>, events: Vec<Event>, arrivals: &[Arrival]) -> Vec<String> {
    let lines = find_violations(
        &HistoryData {
            requests: sent,
            events,
        },
        arrivals,
    );
    let name = |line: String| line.split(':').next().unwrap_or_default().to_owned();
    lines.into_iter().map(name).collect()
}

#[test]
fn requests_that_break_a_promise_are_found() {
    let start = Instant::now();
    let ran = [arrival(start, 10, true)];
    let twice = [arrival(start, 10, true), arrival(start, 20, true)];
    let one = |kind, end| vec![sent(start, 0, kind, end)];
    let ok = RequestOutcome::Response(200, true);
    assert_eq!(
        found(one(RequestKind::Removal, ok), vec![], &twice),
        ["TWICE"]
    );
    assert!(found(one(RequestKind::Lookup, ok), vec![], &twice).is_empty());
    let refused = RequestOutcome::Response(503, false);
    assert_eq!(
        found(one(RequestKind::Removal, refused), vec![], &ran),
        ["REFUSED"]
    );
    assert!(
        found(
            one(RequestKind::Removal, refused),
            vec![],
            &[arrival(start, 10, false)]
        )
        .is_empty()
    );
    let mixed = RequestOutcome::Response(200, false);
    assert_eq!(
        found(one(RequestKind::Booking, mixed), vec![], &ran),
        ["MIXED"]
    );
    assert_eq!(
        found(
            one(RequestKind::Removal, RequestOutcome::ConnectionClosed),
            vec![],
            &ran
        ),
        ["LOST"]
    );
    // Not read: it crossed the close of its connection. Read, or passed on but not run: lost.
    assert!(
        found(
            one(RequestKind::Removal, RequestOutcome::ConnectionClosed),
            vec![],
            &[]
        )
        .is_empty()
    );
    let long = RequestRecord {
        ended_at: after(start, 201),
        ..sent(
            start,
            0,
            RequestKind::Removal,
            RequestOutcome::ConnectionClosed,
        )
    };
    assert_eq!(found(vec![long], vec![], &[]), ["LOST"]);
    let passed = [arrival(start, 10, false)];
    assert_eq!(
        found(
            one(RequestKind::Removal, RequestOutcome::ConnectionClosed),
            vec![],
            &passed
        ),
        ["LOST"]
    );
    let stopped = event(start, 0, Some(500), EventKind::InstanceStop("i0".into()));
    assert_eq!(
        found(
            one(RequestKind::Removal, RequestOutcome::ConnectionClosed),
            vec![stopped],
            &ran
        ),
        ["LOST"]
    );
    let killed = event(start, 0, Some(500), EventKind::InstanceKill("i0".into()));
    assert!(
        found(
            one(RequestKind::Removal, RequestOutcome::ConnectionClosed),
            vec![killed],
            &ran
        )
        .is_empty()
    );
}

#[test]
fn work_at_targets_that_should_get_none_is_found() {
    let start = after(Instant::now(), 10_000);
    let leave = event(start, 0, None, EventKind::TargetDrain("boards-0".into()));
    let late = [arrival(start, 2400, true)];
    assert_eq!(found(vec![], vec![leave.clone()], &late), ["DRAIN"]);
    assert!(found(vec![], vec![leave.clone()], &[arrival(start, 2200, true)]).is_empty());
    let store = event(start, 100, Some(300), EventKind::StoreFault);
    assert!(found(vec![], vec![leave, store], &late).is_empty());
    let withdrawn = event(start, 0, None, EventKind::Withdrawal("west".into()));
    let late = [arrival(start, 5400, true)];
    assert_eq!(found(vec![], vec![withdrawn], &late), ["EVAC"]);
}

#[test]
fn a_rush_at_a_cold_target_is_found() {
    let start = after(Instant::now(), 10_000);
    let cold = vec![event(
        start,
        0,
        Some(1),
        EventKind::ColdStart("boards-0".into()),
    )];
    let rush = |from: u64, count: u64, apart: u64| -> Vec<Arrival> {
        let times = (0..count).map(|it| from + it * apart);
        times.map(|at| arrival(start, at, true)).collect()
    };
    let dense = rush(1500, 10, 100);
    assert_eq!(found(vec![], cold.clone(), &dense), ["FAILBACK"]);
    // So many are borne, in any time, and by a warm target.
    assert!(found(vec![], cold.clone(), &rush(0, 27, 112)).is_empty());
    assert!(found(vec![], cold, &rush(3000, 30, 10)).is_empty());
}

#[test]
fn an_old_configuration_is_found() {
    let start = after(Instant::now(), 10_000);
    let events = vec![event(
        start,
        0,
        None,
        EventKind::LookupService("crews".into()),
    )];
    let lookup = |at| {
        vec![sent(
            start,
            at,
            RequestKind::Lookup,
            RequestOutcome::Response(200, true),
        )]
    };
    let ran = |at| [arrival(start, at, true)];
    assert_eq!(found(lookup(2400), events.clone(), &ran(2410)), ["CONFIG"]);
    assert!(found(lookup(1900), events, &ran(1910)).is_empty());
}

#[test]
fn two_owners_and_fences_that_do_not_rise_are_found() {
    let watch = TargetObserver::default();
    let now = Instant::now();
    let (a, b) = (("a".to_owned(), 1), ("b".to_owned(), 1));
    watch.record_grant(("boards", &a), (0, 99), 5, after(now, 60_000));
    watch.record_grant(("boards", &b), (100, 199), 6, after(now, 60_000));
    assert!(watch.violations().is_empty());
    watch.record_grant(("boards", &b), (50, 60), 7, after(now, 60_000));
    assert!(watch.violations()[0].starts_with("OWNER"));
    watch.record_release("boards", &a, (0, 49));
    watch.record_grant(("boards", &b), (0, 49), 5, after(now, 60_000));
    assert!(watch.violations()[1].starts_with("FENCE"));
    watch.record_end("boards", &a);
    watch.record_grant(("boards", &b), (61, 99), 8, after(now, 60_000));
    assert_eq!(watch.violations().len(), 2);
}

#[test]
fn the_next_run_of_a_target_takes_an_old_renewal_only_at_first() {
    let watch = TargetObserver::default();
    let now = Instant::now();
    let [first, second, third] = [1, 2, 3].map(|born| ("a".to_owned(), born));
    watch.record_grant(("boards", &first), (0, 99), 5, after(now, 100));
    watch.record_end("boards", &first);
    watch.record_start(second.clone());
    watch.record_grant(("boards", &second), (0, 99), 5, after(now, 100));
    assert!(watch.violations().is_empty());
    watch.record_end("boards", &second);
    // Its start is not known to be recent.
    watch.record_grant(("boards", &third), (0, 99), 5, after(now, 100));
    assert!(watch.violations()[0].starts_with("FENCE"));
}
