//! Limits that all instances keep together, and traffic splits by weight.

use {
    cowslip_decide::{
        limits::{RetryBudget, RetryWindow, TokenBucket},
        traffic_split::TrafficSplitter,
    },
    quickcheck::quickcheck,
    std::time::Duration,
    tokio::time::Instant,
};

const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 62.0,
    window: Duration::from_secs(10),
};

/// Simulates `instances` that retry whenever they may and each get `requests` in a window of 1,000
/// ticks; returns the greatest number of retries beyond the budget in any window.
fn max_excess(instances: usize, requests: u64) -> f64 {
    let start = Instant::now();
    let mut windows: Vec<RetryWindow> = (0..instances).map(|_| RetryWindow::new(start)).collect();
    let (mut retry_ticks, mut request_ticks) = (Vec::new(), Vec::new());
    for tick in 0..3000u64 {
        let now = start + Duration::from_millis(10 * tick);
        for window in &mut windows {
            if tick % (1000 / requests) == 0 {
                window.add_request(&BUDGET, now);
                request_ticks.push(tick);
            }
            while window.try_add_retry(&BUDGET, instances as u32, now) {
                retry_ticks.push(tick);
            }
        }
    }
    let count_from = |ticks: &[u64], from: u64| {
        ticks
            .iter()
            .filter(|tick| (from..from + 1000).contains(tick))
            .count() as f64
    };
    let excess = |from: u64| {
        count_from(&retry_ticks, from)
            - BUDGET.ratio * count_from(&request_ticks, from)
            - BUDGET.slack
    };
    (0..2000).step_by(50).map(excess).fold(f64::MIN, f64::max)
}

#[test]
fn all_instances_together_stay_within_the_retry_budget_in_every_window() {
    for instances in [1, 3, 11] {
        for requests in [1, 10, 50] {
            let excess = max_excess(instances, requests);
            assert!(
                excess <= 0.0,
                "{instances} instances, {requests} requests each: {excess} retries too many"
            );
        }
    }
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let start = Instant::now();
    let mut retry_window = RetryWindow::new(start);
    while retry_window.try_add_retry(&BUDGET, 1, start) {}
    // Two slices after the end of the window.
    let later = start + BUDGET.window + BUDGET.window / 5;
    assert!(retry_window.try_add_retry(&BUDGET, 1, later));
}

#[test]
fn tokens_are_available_at_the_rate() {
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
fn a_split_follows_its_weights_over_100_requests() {
    let weights = [90.0, 10.0];
    let mut splitter = TrafficSplitter::new(0.3);
    let indices = (0..100).filter_map(|_| splitter.next_index(weights.iter().copied()));
    let second = indices.filter(|index| *index == 1).count();
    assert!((9..=11).contains(&second), "{second}");
    assert_eq!(
        TrafficSplitter::new(0.0).next_index([0.0, 0.0].into_iter()),
        None
    );
}

quickcheck! {
    fn a_part_with_weight_0_gets_nothing(position: f64, weights: Vec<u8>) -> bool {
        let mut splitter = TrafficSplitter::new(position.abs().fract());
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        (0..50).all(|_| match splitter.next_index(weights.iter().copied()) {
            Some(index) => weights[index] > 0.0,
            None => weights.iter().all(|it| *it == 0.0),
        })
    }
}
