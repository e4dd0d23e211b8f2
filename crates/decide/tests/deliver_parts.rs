//! Retries, slots and counters of the delivery, each against a simple oracle.

use {
    cowslip_decide::{
        deliver::{
            choice::{Candidate, Demand, pick},
            hot::Hottest,
            retry::{Budget, Ended, Next, Request, after},
            slots::{Chill, Profile, Slots, Source},
        },
        verdict::{Priority, Reason, Verdict},
    },
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

const VERDICTS: [Verdict; 3] = [Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun];

const REASONS: [Reason; 4] = [
    Reason::Shed,
    Reason::Broken,
    Reason::Duplicate,
    Reason::Deadline,
];

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_retry_needs_a_verdict_a_budget_and_time() {
    let mut random = Gen::from_size_and_seed(100, 7);
    let mut budget = Budget::default();
    let (mut successes, mut retries) = (0u32, 0u32);
    let now = Instant::now();
    for _ in 0..20_000 {
        let ended = Ended {
            verdict: *random.choose(&VERDICTS).unwrap(),
            reason: random.choose(&REASONS).copied(),
            wait: bool::arbitrary(&mut random).then(|| millis(u64::arbitrary(&mut random) % 50)),
        };
        let request = Request {
            repeatable: bool::arbitrary(&mut random),
            deadline: now + millis(u64::arbitrary(&mut random) % 100),
            attempts: 1 + u32::arbitrary(&mut random) % 9,
        };
        successes += u32::from(ended.verdict == Verdict::Ran);
        let Next::Again { at } = after(&ended, &request, &mut budget, now) else {
            continue;
        };
        retries += 1;
        assert!(ended.verdict == Verdict::NotRun || request.repeatable);
        assert_ne!(ended.verdict, Verdict::Ran);
        assert!(!matches!(
            ended.reason,
            Some(Reason::Duplicate | Reason::Deadline)
        ));
        assert!(at > now && at < request.deadline);
        assert!(at >= now + ended.wait.unwrap_or_default());
        assert!(request.attempts < 8);
        assert!(retries <= 100 + successes / 10, "{retries} for {successes}");
    }
    assert!(retries > 500, "{retries}");
}

#[test]
fn a_late_answer_of_an_earlier_run_says_nothing() {
    let now = Instant::now();
    let at = |ms| now + millis(ms);
    let mut slots = Slots::new(Profile { slots: 3, cold: 1 }, None);
    let from = |link, begun| Source {
        link,
        begun: at(begun),
    };
    assert_eq!(slots.seen(Some("a"), from(5, 0), at(1)), None);
    assert_eq!(
        slots.seen(Some("b"), from(9, 2), at(3)),
        Some(Chill::Restarted)
    );
    assert_eq!(slots.seen(Some("a"), from(5, 1), at(4)), None);
    assert_eq!(slots.seen(Some("b"), from(8, 2), at(5)), None);
    assert_eq!(
        slots.seen(Some("c"), from(9, 6), at(7)),
        Some(Chill::Restarted)
    );
}

/// Passes on as many successes as the limit takes to reach the slots.
fn succeed(slots: &mut Slots) {
    for _ in 0..100 {
        slots.succeeded(millis(5), Priority::Low, Instant::now());
    }
}

#[test]
fn a_break_holds_the_limit_down_until_the_same_run_is_seen() {
    let mut now = Instant::now();
    let mut slots = Slots::new(Profile { slots: 3, cold: 1 }, None);
    let mut see = |slots: &mut Slots, start, link| {
        now += millis(1);
        slots.seen(start, Source { link, begun: now }, now)
    };
    see(&mut slots, Some("a"), 3);
    succeed(&mut slots);
    let limit = |slots: &Slots| slots.limit(Instant::now());
    assert_eq!(limit(&slots), 3);
    slots.doubt(4);
    assert_eq!(limit(&slots), 1, "a break");
    see(&mut slots, Some("a"), 3);
    assert_eq!(limit(&slots), 1, "an answer on an old connection");
    see(&mut slots, Some("a"), 4);
    assert_eq!(limit(&slots), 3, "the same run on a new connection");
    slots.doubt(5);
    slots.confirm("b");
    assert_eq!(limit(&slots), 1, "another run");
    slots.confirm("a");
    assert_eq!(limit(&slots), 3, "the same run to a probe");
    slots.doubt(5);
    assert_eq!(see(&mut slots, Some("b"), 5), Some(Chill::Restarted));
    assert_eq!(limit(&slots), 1);
    succeed(&mut slots);
    slots.doubt(6);
    assert_eq!(
        see(&mut slots, None, 6),
        Some(Chill::Doubted),
        "no start id"
    );
    assert_eq!(limit(&slots), 1);
}

#[test]
fn the_limit_grows_by_successes_and_falls_by_what_is_seen() {
    let mut now = Instant::now();
    let mut slots = Slots::new(Profile { slots: 3, cold: 1 }, None);
    let grow = |slots: &mut Slots, now: &mut Instant| {
        for _ in 0..100 {
            *now += millis(1);
            slots.succeeded(millis(5), Priority::Low, *now);
        }
    };
    assert_eq!(
        slots.limit(now + millis(60_000)),
        1,
        "time alone grows nothing"
    );
    grow(&mut slots, &mut now);
    assert_eq!(slots.limit(now), 3);
    assert_eq!(slots.shed(now), Chill::Shed);
    assert_eq!(slots.limit(now), 1);
    slots.shed(now);
    assert_eq!(
        slots.limit(now),
        0,
        "a pause after a shed at the cold limit"
    );
    grow(&mut slots, &mut now);
    let jump =
        (0..8).any(|_| slots.succeeded(millis(200), Priority::Low, now) == Some(Chill::Slowed));
    assert!(jump, "a jump of the latency");
    assert_eq!(slots.limit(now), 1);
    slots.reported(true);
    grow(&mut slots, &mut now);
    assert_eq!(slots.limit(now), 1, "it says that it is cold");
}

#[test]
fn a_target_taken_over_bears_the_requests_of_its_earlier_holder() {
    let now = Instant::now();
    let profile = Profile { slots: 3, cold: 1 };
    let mut slots = Slots::new(profile, Some(now + millis(500)));
    assert_eq!(slots.limit(now), 0, "unknown");
    slots.reported(true);
    assert_eq!(slots.limit(now), 0, "cold");
    assert_eq!(slots.wake(now), Some(now + millis(500)));
    slots.reported(false);
    for _ in 0..100 {
        slots.succeeded(millis(5), Priority::Low, now);
    }
    assert_eq!(slots.limit(now), 1, "warm");
    assert_eq!(slots.limit(now + millis(500)), 1);
}

#[test]
fn fast_errors_and_slow_answers_draw_no_load() {
    let candidate = |latency, oldest, errors| Candidate {
        latency: Some(millis(latency)),
        oldest: Some(millis(oldest)),
        free: true,
        running: 0,
        limit: 3,
        errors,
        untried: Duration::ZERO,
    };
    let demand = Demand {
        queued: 1,
        repeatable: true,
        median: millis(10),
    };
    let good = candidate(10, 0, 0.0);
    assert_eq!(
        pick(&[candidate(10, 0, 0.9), good], &demand),
        Some(1),
        "errors"
    );
    assert_eq!(
        pick(&[candidate(100, 0, 0.0), good], &demand),
        Some(1),
        "slow"
    );
    assert_eq!(
        pick(&[candidate(10, 80, 0.0), good], &demand),
        Some(1),
        "overdue"
    );
    let busy = Candidate {
        free: false,
        ..good
    };
    let slow = candidate(100, 0, 0.0);
    assert_eq!(
        pick(&[slow, busy], &demand),
        None,
        "it waits for the fast one"
    );
    let long = Demand {
        queued: 50,
        ..demand
    };
    assert_eq!(
        pick(&[slow, busy], &long),
        Some(0),
        "the queue is too long to wait"
    );
    let untried = Candidate {
        untried: millis(150),
        ..slow
    };
    assert_eq!(pick(&[untried, good], &demand), Some(0), "a trial");
    let once = Demand {
        repeatable: false,
        ..demand
    };
    assert_eq!(
        pick(&[untried, good], &once),
        Some(1),
        "no trial of an order"
    );
}

#[test]
fn the_hottest_hashes_are_found_in_bounded_space() {
    let mut random = Gen::from_size_and_seed(100, 3);
    let mut hottest = Hottest::default();
    let mut exact = BTreeMap::new();
    for _ in 0..4000 {
        let hash = match u8::arbitrary(&mut random) {
            0..77 => 1,
            77..103 => 2,
            _ => u64::arbitrary(&mut random),
        };
        hottest.count(hash);
        *exact.entry(hash).or_insert(0u32) += 1;
    }
    let top = hottest.top();
    assert_eq!([top[0].0, top[1].0], [1, 2]);
    for (hash, share) in &top[..2] {
        let true_share = exact[hash] * 1000 / 4000;
        assert!(
            (true_share..=true_share + 42).contains(share),
            "{share} {true_share}"
        );
    }
}
