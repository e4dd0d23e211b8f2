//! Tests of events: ring buffer, clock, rate limits, texts and the page of events.

use {
    cowslip_decide::names::Incarnation,
    cowslipcross::events::{
        self, CATALOGUE, EventCode, EventFields, EventLog, HybridTimestamp, Level, Origin,
    },
    std::{collections::BTreeSet, time::Duration},
};

fn event_log(capacity: usize) -> EventLog {
    let origin = Origin {
        process: "entry-1".into(),
        data_centre: "hk-1".into(),
        incarnation: Incarnation(7),
    };
    EventLog::new(origin, capacity, None)
}

#[test]
fn a_full_ring_drops_the_oldest_and_counts_them() {
    let events = event_log(3);
    (0..5).for_each(|_| events.record(events::INSTANCE_STARTED, EventFields::default()));
    let page = events.events_after(0);
    let seqs: Vec<_> = page.events.iter().map(|event| event.seq).collect();
    assert_eq!((seqs, page.dropped), (vec![3, 4, 5], 2));
    assert_eq!(events.events_after(4).events.len(), 1);
    assert_eq!(events.events_after(9).events.len(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_frequent_kind_is_limited_to_its_rate_per_second() {
    let events = event_log(1000);
    (0..60).for_each(|_| events.record(events::UNSERVED, EventFields::default()));
    assert_eq!(events.events_after(0).events.len(), 50);
    assert_eq!(events.events_after(0).skipped["CC0701"], 10);
    tokio::time::advance(Duration::from_secs(1)).await;
    events.record(events::UNSERVED, EventFields::default());
    assert_eq!(events.events_after(0).events.len(), 51);
}

#[tokio::test(start_paused = true)]
async fn timestamps_follow_causality_across_processes() {
    // Covers equal and later milliseconds, and counters at and below their overflow.
    let (left, right) = (event_log(10), event_log(10));
    let mut last = left.next_timestamp();
    for step in 0..100 {
        let ahead = HybridTimestamp {
            wall: last.wall + step % 3,
            count: u32::MAX - (step as u32 % 2),
        };
        right.observe_timestamp(ahead);
        let reply = right.next_timestamp();
        assert!(reply > ahead, "{reply:?} after {ahead:?}");
        left.observe_timestamp(reply);
        let timestamp = left.next_timestamp();
        assert!(
            timestamp > reply && timestamp > last,
            "{timestamp:?} after {reply:?}"
        );
        last = timestamp;
        if step % 7 == 0 {
            tokio::time::advance(Duration::from_millis(step)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_clock_advances_with_the_runtime_clock() {
    let events = event_log(10);
    let before = events.next_timestamp();
    tokio::time::advance(Duration::from_millis(1500)).await;
    assert_eq!(events.next_timestamp().wall - before.wall, 1500);
}

#[test]
fn an_event_contains_its_fields_and_origin() {
    let events = event_log(10);
    let fields = EventFields {
        target: Some("board-3".into()),
        detail: Some("300 ms".to_owned()),
        ..EventFields::default()
    };
    events.record(events::TARGET_ADDED, fields);
    events.record(EventCode(7), EventFields::default());
    let page = events.events_after(0);
    let event = &page.events[0];
    assert_eq!(event.text, "target board-3 added: 300 ms");
    assert_eq!((event.code.as_str(), event.level), ("CC0611", Level::Info));
    let json = serde_json::to_value(event).expect("JSON");
    assert_eq!(json["process"], "entry-1");
    assert_eq!(json["data_centre"], "hk-1");
    assert_eq!(json["incarnation"], 7);
    assert_eq!(json["wall"], event.stamp.wall);
    assert!(json.get("key").is_none());
    assert_eq!(page.events[1].code, "CC0999");
}

#[test]
fn the_catalogue_is_sorted_and_its_placeholders_are_known() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].code < pair[1].code));
    let known = BTreeSet::from(["request", "key", "target", "instance", "detail"]);
    for kind in CATALOGUE {
        let placeholders = kind.template.split('{').skip(1);
        let placeholders: Vec<_> = placeholders.filter_map(|it| it.split('}').next()).collect();
        assert!(
            placeholders.iter().all(|name| known.contains(name)),
            "{}",
            kind.template
        );
        assert!(
            !kind.meaning.is_empty() && !kind.action.is_empty(),
            "{}",
            kind.code
        );
    }
}

#[test]
fn the_page_lists_exactly_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    let rows: Vec<_> = page
        .lines()
        .filter(|line| line.starts_with("| `CC"))
        .collect();
    let expected: Vec<_> = CATALOGUE.iter().map(|kind| kind.doc_row()).collect();
    assert_eq!(rows, expected);
}

#[test]
fn a_timestamp_survives_encoding_as_a_number() {
    for (wall, count) in [
        (0, 0),
        (1_790_000_000_123, 7),
        (1_790_000_000_123, 1_048_575),
    ] {
        let timestamp = HybridTimestamp { wall, count };
        assert_eq!(HybridTimestamp::from(u64::from(timestamp)), timestamp);
    }
}
