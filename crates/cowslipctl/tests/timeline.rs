//! Merging of events in causal order, filters and the SVG diagram.

use {
    cowslip_decide::names::{Incarnation, Name},
    cowslipcross::events::{self, EventFields, EventLog, HybridTimestamp, Origin},
    cowslipctl::timeline::{
        diagram,
        event::{Event, EventPage},
        filter::EventFilter,
        merge_events,
    },
    quickcheck::{Arbitrary, Gen},
    std::collections::BTreeMap,
};

const PROCESS_COUNT: usize = 4;

fn create_process(index: usize) -> EventLog {
    let origin = Origin {
        process: format!("entry-{index}").into(),
        data_centre: format!("hk-{}", index % 2).into(),
        incarnation: Incarnation(1),
    };
    EventLog::new(origin, 10_000, None)
}

fn collect_pages(processes: &[EventLog]) -> BTreeMap<Name, EventPage> {
    let page = |events: &EventLog| {
        let json = serde_json::to_string(&events.events_after(0)).expect("JSON");
        serde_json::from_str(&json).expect("events page")
    };
    let named = processes.iter().enumerate();
    named
        .map(|(index, events)| (format!("entry-{index}").into(), page(events)))
        .collect()
}

/// Checks random message exchanges: the merge puts all possible causes of an event before it,
/// although one process has a clock that is hours ahead.
#[test]
fn merge_puts_causes_before_effects() {
    for seed in 0..50 {
        let mut random = Gen::from_size_and_seed(10, seed);
        let processes: Vec<_> = (0..PROCESS_COUNT).map(create_process).collect();
        // This clock is hours ahead of the others.
        let now = processes[0].next_timestamp();
        processes[0].observe_timestamp(HybridTimestamp {
            wall: now.wall + 10_000_000,
            ..now
        });
        // Numbers of the events that each process knows of; messages pass them on.
        let mut known: Vec<Vec<usize>> = vec![Vec::new(); PROCESS_COUNT];
        let mut causes: Vec<Vec<usize>> = Vec::new();
        for number in 0..200 {
            let (from, to) = (
                usize::arbitrary(&mut random) % PROCESS_COUNT,
                usize::arbitrary(&mut random) % PROCESS_COUNT,
            );
            if bool::arbitrary(&mut random) {
                processes[to].observe_timestamp(processes[from].next_timestamp());
                let received = known[from].clone();
                known[to].extend(received);
            }
            causes.push(known[from].clone());
            known[from].push(number);
            // STORE_UNAVAILABLE events are not sampled, so none is missing from the pages.
            let detail = Some(number.to_string());
            processes[from].record(
                events::STORE_UNAVAILABLE,
                EventFields {
                    detail,
                    ..EventFields::default()
                },
            );
            known.iter_mut().for_each(|it| {
                it.sort_unstable();
                it.dedup();
            });
        }
        // Events are numbered in the order in which they were recorded, not merged.
        let merged = merge_events(&collect_pages(&processes), &EventFilter::default());
        assert_eq!(merged.len(), 200);
        let parse_number = |event: &Event| {
            event
                .text
                .rsplit(' ')
                .next()
                .and_then(|it| it.parse::<usize>().ok())
        };
        let positions: BTreeMap<_, _> = merged.iter().filter_map(parse_number).zip(0..).collect();
        for (effect, causes) in causes.iter().enumerate() {
            for cause in causes {
                assert!(
                    positions[cause] < positions[&effect],
                    "seed {seed}: {cause} after {effect}"
                );
            }
        }
    }
}

#[test]
fn filters_select_matching_events() {
    let processes: Vec<_> = (0..2).map(create_process).collect();
    let name = |text: &str| Some(Name::from(text));
    let details = [
        EventFields {
            request: name("entry-0-1-7"),
            target: name("board-1"),
            ..EventFields::default()
        },
        EventFields {
            request: name("entry-0-1-7.2"),
            target: name("board-2"),
            ..EventFields::default()
        },
        EventFields {
            request: name("entry-0-1-71"),
            key: name("site-4"),
            ..EventFields::default()
        },
        EventFields {
            instance: name("entry-9"),
            ..EventFields::default()
        },
    ];
    for (index, detail) in details.into_iter().enumerate() {
        processes[index % 2].record(events::STORE_RECOVERED, detail);
    }
    let count = |filter: EventFilter| merge_events(&collect_pages(&processes), &filter).len();
    let no_filter = EventFilter::default;
    assert_eq!(count(no_filter()), 4);
    assert_eq!(
        count(EventFilter {
            request: name("entry-0-1-7"),
            ..no_filter()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            target: name("board-2"),
            ..no_filter()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            key: name("site-4"),
            ..no_filter()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            instance: name("entry-9"),
            ..no_filter()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            instance: name("entry-0"),
            ..no_filter()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            data_centre: name("hk-1"),
            ..no_filter()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            data_centre: name("hk-1"),
            target: name("board-1"),
            ..no_filter()
        }),
        0
    );
}

#[test]
fn diagram_has_a_point_for_each_event() {
    let processes: Vec<_> = (0..3).map(create_process).collect();
    (0..9).for_each(|index| {
        processes[index % 3].record(events::LEADERSHIP_LOST, EventFields::default())
    });
    let svg = diagram::render_svg(&merge_events(
        &collect_pages(&processes),
        &EventFilter::default(),
    ))
    .expect("diagram");
    assert_eq!(svg.matches("<circle").count(), 9);
    assert_eq!(svg.matches("CC0609").count(), 9);
    (0..3).for_each(|index| assert_eq!(svg.matches(&format!("entry-{index}")).count(), 1, "{svg}"));
    assert!(
        diagram::render_svg(&[])
            .expect("empty diagram")
            .starts_with("<svg")
    );
}
