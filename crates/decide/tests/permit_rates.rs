//! Permits for targets that take only so many requests a second: cold ones, and those that have named a
//! limit.

mod pool_fixtures;

use {
    cowslip_decide::{
        limits::RateLimit,
        names::Name,
        permits::{PermitOutcome, PermitReply, Pool, PoolTarget},
    },
    pool_fixtures::{is_granted, millis, permit_request, pool_targets, report},
    std::collections::BTreeMap,
    tokio::time::Instant,
};

#[test]
fn a_cold_target_gets_its_rate_and_only_if_no_target_is_warm() {
    let start = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&pool_targets(&[("a", Some(3.0)), ("b", None)]), start);
    assert_eq!(
        pool.request_permit((0, 0), permit_request(1, start, 500, 4000), start),
        PermitReply::Granted("b".into())
    );
    pool.update_targets(&pool_targets(&[("a", Some(3.0))]), start);
    let mut sent = 0;
    for tick in 0..200u64 {
        let now = start + millis(10 * tick);
        pool.update_targets(&pool_targets(&[("a", Some(3.0))]), now);
        let id = (1, tick);
        if is_granted(&pool.request_permit(id, permit_request(1, now, 50, 60), now)) {
            sent += 1;
            pool.finish_request(&id, report(PermitOutcome::Served), now);
        }
        pool.finish_request(&id, report(PermitOutcome::Unused), now);
    }
    assert!(
        (5..=8).contains(&sent),
        "{sent} requests sent in two seconds"
    );
}

/// Returns targets of which the first one has named a limit of so many requests a second.
fn limited_targets(names: &[(&str, Option<f64>)], limit: f64) -> BTreeMap<Name, PoolTarget> {
    let mut targets = pool_targets(names);
    let first = targets.get_mut(names[0].0).expect("a target");
    first.rate_limit = RateLimit::from_rate(limit);
    targets
}

/// Presses two coordinators of these targets, between which every caller changes after `turn` ticks
/// of 10 ms, for 20 s; returns the most permits within `span` ticks.
fn peak_permits(targets: &BTreeMap<Name, PoolTarget>, turn: u64, span: u64) -> usize {
    let start = Instant::now();
    let mut pools: [Pool<u8>; 2] = Default::default();
    let mut granted_at = Vec::new();
    for tick in 0..2000 {
        let now = start + millis(10 * tick);
        for (index, pool) in pools.iter_mut().enumerate() {
            pool.update_targets(targets, now);
            let is_asked = tick / turn % 2 == index as u64;
            let mut replies = pool.process_queue(now);
            if is_asked {
                let id = (0, tick);
                let reply = pool.request_permit(id, permit_request(1, now, 500, 900), now);
                replies.push((id, reply));
            }
            for (id, _) in replies.iter().filter(|(_, reply)| is_granted(reply)) {
                granted_at.push(tick);
                // Each request ends at once, so that only the limit holds others back.
                pool.finish_request(id, report(PermitOutcome::Served), now);
            }
        }
    }
    let count = |from: u64| {
        let span = from..from + span;
        granted_at.iter().filter(|it| span.contains(it)).count()
    };
    (0..2000 - span).map(count).max().unwrap_or(0)
}

#[test]
fn a_target_gets_no_more_than_its_limit_while_its_coordinator_changes() {
    for limit in [0.0, 0.3, 1.0, 1.9, 10.0, 40.0] {
        // What the users allow: one and a half times the limit, and 5 requests.
        let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
        for turn in [1, 50, 4000] {
            let peak = peak_permits(&limited_targets(&[("a", None)], limit), turn, 400);
            assert!(
                (1..=allowed).contains(&peak),
                "{peak} of {allowed}, turns of {turn}"
            );
        }
    }
}

#[test]
fn a_cold_target_gets_no_more_than_it_bears_while_its_coordinator_changes() {
    for rate in [0.5, 3.1, 5.0, 11.0, 50.0] {
        // What the users allow: one and a half times the rate, and 5 requests.
        let allowed = (1.5 * rate + 5.0) as usize;
        for turn in [1, 50, 4000] {
            let peak = peak_permits(&pool_targets(&[("a", Some(rate))]), turn, 100);
            assert!(
                (1..=allowed).contains(&peak),
                "{peak} of {allowed}, turns of {turn}"
            );
        }
    }
}

#[test]
fn requests_beyond_a_limit_are_refused_at_once_until_they_can_be_served() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&limited_targets(&[("a", None)], 2.0), now);
    let replies: Vec<PermitReply> = (0..30)
        .map(|number| pool.request_permit((0, number), permit_request(1, now, 600, 2000), now))
        .collect();
    let queued = replies.iter().filter(|it| **it == PermitReply::Queued);
    assert!((1..=3).contains(&queued.count()), "{replies:?}");
    let Some(PermitReply::Refused(wait)) = replies.last() else {
        panic!("{replies:?}");
    };
    // The requests before it need that long.
    assert!(*wait >= millis(1000) && *wait <= millis(4000), "{wait:?}");
}

#[test]
fn requests_for_a_cold_target_without_a_rate_are_refused_with_a_finite_wait() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&pool_targets(&[("a", Some(0.0))]), now);
    let ask = |pool: &mut Pool<u8>, number| {
        pool.request_permit((0, number), permit_request(1, now, 500, 4000), now)
    };
    // The token that the target starts with.
    assert!(is_granted(&ask(&mut pool, 0)));
    for number in 1..4 {
        let reply = ask(&mut pool, number);
        assert!(matches!(reply, PermitReply::Refused(_)), "{reply:?}");
    }
}

#[test]
fn requests_go_to_targets_without_a_limit_rather_than_wait() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    let targets = limited_targets(&[("a", None), ("b", None), ("c", None)], 1.0);
    pool.update_targets(&targets, now);
    let mut chosen = Vec::new();
    for number in 0..20 {
        let reply = pool.request_permit((0, number), permit_request(1, now, 600, 4000), now);
        let PermitReply::Granted(target) = reply else {
            panic!("{reply:?}");
        };
        pool.finish_request(&(0, number), report(PermitOutcome::Served), now + millis(5));
        chosen.push(target);
    }
    assert!(
        chosen.iter().filter(|it| ***it == *"a").count() <= 1,
        "{chosen:?}"
    );
}
