//! The merge of events in causal order, its filters and its picture.

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

const PROCESSES: usize = 4;

fn process(index: usize) -> EventLog {
    let origin = Origin {
        process: format!("entry-{index}").into(),
        data_centre: format!("hk-{}", index % 2).into(),
        incarnation: Incarnation(1),
    };
    EventLog::new(origin, 10_000, None)
}

fn pages(processes: &[EventLog]) -> BTreeMap<Name, EventPage> {
    let page = |events: &EventLog| {
        let json = serde_json::to_string(&events.events_after(0)).expect("JSON");
        serde_json::from_str(&json).expect("a page")
    };
    let named = processes.iter().enumerate();
    named
        .map(|(index, events)| (format!("entry-{index}").into(), page(events)))
        .collect()
}

/// Events carry the set of all events that can have caused them; the merge puts those before.
#[test]
fn a_cause_stands_before_its_effect() {
    for seed in 0..50 {
        let mut random = Gen::from_size_and_seed(10, seed);
        let processes: Vec<_> = (0..PROCESSES).map(process).collect();
        // One clock is hours ahead.
        let now = processes[0].next_timestamp();
        processes[0].observe_timestamp(HybridTimestamp {
            wall: now.wall + 10_000_000,
            ..now
        });
        // For each process the numbers of the events that it knows of; messages carry them.
        let mut known: Vec<Vec<usize>> = vec![Vec::new(); PROCESSES];
        let mut causes: Vec<Vec<usize>> = Vec::new();
        for number in 0..200 {
            let (from, to) = (
                usize::arbitrary(&mut random) % PROCESSES,
                usize::arbitrary(&mut random) % PROCESSES,
            );
            if bool::arbitrary(&mut random) {
                processes[to].observe_timestamp(processes[from].next_timestamp());
                let more = known[from].clone();
                known[to].extend(more);
            }
            causes.push(known[from].clone());
            known[from].push(number);
            let detail = Some(number.to_string());
            processes[from].record(
                events::STORE_UNAVAILABLE,
                EventFields {
                    detail,
                    ..EventFields::default()
                },
            );
            // A frequent kind would be sampled; this one is not.
            known.iter_mut().for_each(|it| {
                it.sort_unstable();
                it.dedup();
            });
        }
        // Numbers follow the events in the order of noting, not of the merge.
        let merged = merge_events(&pages(&processes), &EventFilter::default());
        assert_eq!(merged.len(), 200);
        let number = |event: &Event| {
            event
                .text
                .rsplit(' ')
                .next()
                .and_then(|it| it.parse::<usize>().ok())
        };
        let places: BTreeMap<_, _> = merged.iter().filter_map(number).zip(0..).collect();
        for (effect, causes) in causes.iter().enumerate() {
            for cause in causes {
                assert!(
                    places[cause] < places[&effect],
                    "seed {seed}: {cause} after {effect}"
                );
            }
        }
    }
}

#[test]
fn filters_keep_what_they_name() {
    let processes: Vec<_> = (0..2).map(process).collect();
    let some = |text: &str| Some(Name::from(text));
    let about = [
        EventFields {
            request: some("entry-0-1-7"),
            target: some("board-1"),
            ..EventFields::default()
        },
        EventFields {
            request: some("entry-0-1-7.2"),
            target: some("board-2"),
            ..EventFields::default()
        },
        EventFields {
            request: some("entry-0-1-71"),
            key: some("site-4"),
            ..EventFields::default()
        },
        EventFields {
            instance: some("entry-9"),
            ..EventFields::default()
        },
    ];
    for (index, about) in about.into_iter().enumerate() {
        processes[index % 2].record(events::STORE_RECOVERED, about);
    }
    let count = |filter: EventFilter| merge_events(&pages(&processes), &filter).len();
    let all = EventFilter::default;
    assert_eq!(count(all()), 4);
    assert_eq!(
        count(EventFilter {
            request: some("entry-0-1-7"),
            ..all()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            target: some("board-2"),
            ..all()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            key: some("site-4"),
            ..all()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            instance: some("entry-9"),
            ..all()
        }),
        1
    );
    assert_eq!(
        count(EventFilter {
            instance: some("entry-0"),
            ..all()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            data_centre: some("hk-1"),
            ..all()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            data_centre: some("hk-1"),
            target: some("board-1"),
            ..all()
        }),
        0
    );
}

#[test]
fn the_picture_has_a_point_for_each_event() {
    let processes: Vec<_> = (0..3).map(process).collect();
    (0..9).for_each(|index| {
        processes[index % 3].record(events::LEADERSHIP_LOST, EventFields::default())
    });
    let svg = diagram::render_svg(&merge_events(&pages(&processes), &EventFilter::default()))
        .expect("a picture");
    assert_eq!(svg.matches("<circle").count(), 9);
    assert_eq!(svg.matches("CC0609").count(), 9);
    (0..3).for_each(|index| assert_eq!(svg.matches(&format!("entry-{index}")).count(), 1, "{svg}"));
    assert!(
        diagram::render_svg(&[])
            .expect("an empty picture")
            .starts_with("<svg")
    );
}
