//! Stateful fuzzing of a lane against targets that keep their own record.

mod delivery;

use {
    cowslip_decide::{
        deliver::{
            lane::{Lane, Next, Offer},
            queue::Entry,
            server::Ending,
            slots::Profile,
        },
        verdict::{Priority, Reason},
    },
    delivery::{Random, World},
    quickcheck::Gen,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Seeds that every run tries; `COWSLIP_FUZZ_SEEDS` adds as many random ones.
fn seeds() -> Vec<u64> {
    let more = std::env::var("COWSLIP_FUZZ_SEEDS").ok();
    let more = more.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut random = Random(Gen::new(100));
    let random: Vec<u64> = (0..more).map(|_| random.below(u64::MAX)).collect();
    (0..60).chain(random).collect()
}

#[test]
fn a_lane_keeps_its_promises() {
    let mut hedges = 0;
    for seed in seeds() {
        println!("seed {seed}");
        let mut world = World::new(seed, 1 + seed % 4);
        for _ in 0..if world.rough { 1500 } else { 4000 } {
            world.step();
        }
        hedges += world.hedges;
        assert!(world.sends > 50, "seed {seed} sent {}", world.sends);
        world.drain();
    }
    assert!(hedges > 50, "{hedges} hedges");
}

/// A lane with one target of one slot, and the means to serve it.
struct Single {
    lane: Lane,
    now: Instant,
}

impl Single {
    fn new() -> Self {
        let now = Instant::now();
        let mut lane = Lane::default();
        lane.hold(&"t".into(), Profile { slots: 1, cold: 1 }, None, now);
        lane.server_mut("t").unwrap().ready(0);
        Self { lane, now }
    }

    fn offer(&mut self, id: u64, priority: Priority, left: u64) -> Offer {
        let entry = Entry {
            id,
            priority,
            deadline: self.now + Duration::from_millis(left),
            repeatable: false,
        };
        self.lane.offer(entry, self.now)
    }

    fn serve(&mut self, millis: u64) -> Option<u64> {
        let Next::Send(dispatch) = self.lane.next(self.now) else {
            return None;
        };
        self.now += Duration::from_millis(millis);
        let ending = Ending::Whole { error: false };
        self.lane.ended(dispatch.id, "t", ending, self.now);
        self.lane.server_mut("t").unwrap().ready(0);
        Some(dispatch.id)
    }
}

#[test]
fn low_priority_that_may_wait_is_served_under_a_flood_of_high() {
    let mut single = Single::new();
    let rank = |id: u64| match id % 10 {
        0 => Priority::Low,
        1 => Priority::Middle,
        _ => Priority::High,
    };
    let mut served = BTreeMap::new();
    for id in 0..4000u64 {
        single.offer(id, rank(id), 10_000);
        if id % 2 == 0 {
            continue;
        }
        if let Some(id) = single.serve(1) {
            *served.entry(rank(id)).or_insert(0) += 1;
        }
    }
    assert!(served[&Priority::Low] >= 110, "{served:?}");
    assert!(served[&Priority::Middle] >= 110, "{served:?}");
    assert!(served[&Priority::High] >= 1600, "{served:?}");
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once_with_a_wait() {
    let mut single = Single::new();
    for id in 0..20 {
        assert_eq!(single.offer(id, Priority::High, 1000), Offer::Queued);
        assert_eq!(single.serve(10), Some(id));
    }
    for id in 20..26 {
        assert_eq!(single.offer(id, Priority::High, 1000), Offer::Queued);
    }
    assert!(matches!(single.lane.next(single.now), Next::Send(_)));
    let refused = |offer: Offer| match offer {
        Offer::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    };
    let refusal = refused(single.offer(26, Priority::High, 8));
    assert_eq!(refusal.reason, Reason::Deadline);
    let refusal = refused(single.offer(27, Priority::Middle, 45));
    assert_eq!(refusal.reason, Reason::Deadline);
    let bounds = Duration::from_millis(10)..Duration::from_millis(60);
    assert!(bounds.contains(&refusal.wait), "{:?}", refusal.wait);
    assert_eq!(single.offer(28, Priority::High, 45), Offer::Queued);
}
