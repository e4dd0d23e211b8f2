//! Bounds that all instances keep together, and splits by weight.

use {
    cowslip_decide::{
        limits::{RetryBudget, RetryWindow, TokenBucket},
        traffic_split::TrafficSplitter,
    },
    quickcheck::quickcheck,
    std::time::Duration,
    tokio::time::Instant,
};

const BOUND: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 62.0,
    window: Duration::from_secs(10),
};

/// Plays `instances` that repeat whenever they may; returns the most repeats beyond the bound in
/// any window.
fn worst(instances: usize, requests: u64) -> f64 {
    let start = Instant::now();
    let mut shares: Vec<RetryWindow> = (0..instances).map(|_| RetryWindow::new(start)).collect();
    let (mut sent, mut asked) = (Vec::new(), Vec::new());
    for tick in 0..3000u64 {
        let now = start + Duration::from_millis(10 * tick);
        for share in &mut shares {
            if tick % (1000 / requests) == 0 {
                share.add_request(&BOUND, now);
                asked.push(tick);
            }
            while share.try_add_retry(&BOUND, instances as u32, now) {
                sent.push(tick);
            }
        }
    }
    let within = |ticks: &[u64], from: u64| {
        ticks
            .iter()
            .filter(|tick| (from..from + 1000).contains(tick))
            .count() as f64
    };
    let over = |from: u64| within(&sent, from) - BOUND.ratio * within(&asked, from) - BOUND.slack;
    (0..2000).step_by(50).map(over).fold(f64::MIN, f64::max)
}

#[test]
fn all_instances_together_keep_the_bound_on_repeats_in_every_window() {
    for instances in [1, 3, 11] {
        for requests in [1, 10, 50] {
            let over = worst(instances, requests);
            assert!(
                over <= 0.0,
                "{instances} instances, {requests}: {over} over"
            );
        }
    }
}

#[test]
fn repeats_are_allowed_again_when_the_window_has_passed() {
    let start = Instant::now();
    let mut share = RetryWindow::new(start);
    while share.try_add_retry(&BOUND, 1, start) {}
    let later = start + BOUND.window + BOUND.window / 5;
    assert!(share.try_add_retry(&BOUND, 1, later));
}

#[test]
fn tokens_are_taken_at_their_rate() {
    let start = Instant::now();
    let mut tokens = TokenBucket::new(0.0, start);
    let mut taken = 0;
    for tick in 0..1000u64 {
        let now = start + Duration::from_millis(10 * tick);
        taken += u32::from(tokens.try_take(2.0, now).is_ok());
    }
    assert!((19..=20).contains(&taken), "{taken}");
    assert!(TokenBucket::new(0.0, start).try_take(0.0, start).is_err());
}

#[test]
fn a_split_follows_its_weights_over_short_spans() {
    let weights = [90.0, 10.0];
    let mut dealer = TrafficSplitter::new(0.3);
    let dealt = (0..100).filter_map(|_| dealer.next_index(weights.iter().copied()));
    let second = dealt.filter(|at| *at == 1).count();
    assert!((9..=11).contains(&second), "{second}");
    assert_eq!(
        TrafficSplitter::new(0.0).next_index([0.0, 0.0].into_iter()),
        None
    );
}

quickcheck! {
    fn a_part_without_weight_gets_nothing(place: f64, weights: Vec<u8>) -> bool {
        let mut dealer = TrafficSplitter::new(place.abs().fract());
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        (0..50).all(|_| match dealer.next_index(weights.iter().copied()) {
            Some(at) => weights[at] > 0.0,
            None => weights.iter().all(|it| *it == 0.0),
        })
    }
}
