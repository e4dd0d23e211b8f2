//! The merge of events in causal order, its filters and its picture.

use {
    cowslip_decide::names::{Incarnation, Name},
    cowslipcross::events::{self, About, Events, Origin, Stamp},
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

fn process(index: usize) -> Events {
    let origin = Origin {
        process: format!("entry-{index}").into(),
        data_centre: format!("hk-{}", index % 2).into(),
        incarnation: Incarnation(1),
    };
    Events::new(origin, 10_000, None)
}

fn pages(processes: &[Events]) -> BTreeMap<Name, EventPage> {
    let page = |events: &Events| {
        let json = serde_json::to_string(&events.page(0)).expect("JSON");
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
        let now = processes[0].clock();
        processes[0].witness(Stamp {
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
                processes[to].witness(processes[from].clock());
                let more = known[from].clone();
                known[to].extend(more);
            }
            causes.push(known[from].clone());
            known[from].push(number);
            let detail = Some(number.to_string());
            processes[from].note(
                events::STORE_DOWN,
                About {
                    detail,
                    ..About::default()
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
        About {
            request: some("entry-0-1-7"),
            target: some("board-1"),
            ..About::default()
        },
        About {
            request: some("entry-0-1-7.2"),
            target: some("board-2"),
            ..About::default()
        },
        About {
            request: some("entry-0-1-71"),
            key: some("site-4"),
            ..About::default()
        },
        About {
            instance: some("entry-9"),
            ..About::default()
        },
    ];
    for (index, about) in about.into_iter().enumerate() {
        processes[index % 2].note(events::STORE_UP, about);
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
    (0..9).for_each(|index| processes[index % 3].note(events::LEADER_LOST, About::default()));
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
