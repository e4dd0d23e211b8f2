//! Rates smoothed from the counters that holders report.

use {
    cowslip_decide::{duty::Load, names::Name, plan::Rates},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

const STEP: Duration = Duration::from_millis(500);

fn loads(served: u64) -> BTreeMap<Name, Load> {
    let load = Load {
        served,
        ..Load::default()
    };
    BTreeMap::from([("a".into(), load)])
}

/// Reports `per_step` answers at each of `steps` steps.
fn feed(rates: &mut Rates, now: &mut Instant, served: &mut u64, steps: usize, per_step: u64) {
    for _ in 0..steps {
        *now += STEP;
        *served += per_step;
        rates.report(&loads(*served), *now);
    }
}

#[test]
fn a_rate_is_known_after_a_while_and_follows_the_counter() {
    let (mut rates, mut now, mut served) = (Rates::default(), Instant::now(), 5_000);
    rates.report(&loads(served), now);
    feed(&mut rates, &mut now, &mut served, 9, 50);
    assert!(rates.known(now).is_empty(), "too early");
    feed(&mut rates, &mut now, &mut served, 1, 50);
    assert!((rates.known(now)["a"] - 100.0).abs() < 1.0);

    // A new holder counts from nothing again.
    served = 0;
    feed(&mut rates, &mut now, &mut served, 10, 50);
    assert!((rates.known(now)["a"] - 100.0).abs() < 1.0);
    feed(&mut rates, &mut now, &mut served, 60, 200);
    assert!((rates.known(now)["a"] - 400.0).abs() < 10.0);
}

#[test]
fn idle_targets_and_forgotten_rates_are_not_known() {
    let (mut rates, mut now, mut served) = (Rates::default(), Instant::now(), 0);
    feed(&mut rates, &mut now, &mut served, 100, 1);
    assert!(rates.known(now).is_empty(), "too few answers to tell");
    feed(&mut rates, &mut now, &mut served, 100, 50);
    assert_eq!(rates.known(now).len(), 1);
    rates.report(&BTreeMap::new(), now);
    feed(&mut rates, &mut now, &mut served, 5, 50);
    assert!(
        rates.known(now).is_empty(),
        "a target that was away is watched anew"
    );
    feed(&mut rates, &mut now, &mut served, 100, 50);
    assert_eq!(rates.known(now).len(), 1);
    rates.forget();
    feed(&mut rates, &mut now, &mut served, 5, 50);
    assert!(rates.known(now).is_empty());
}
