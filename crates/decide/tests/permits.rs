//! Permits: slots are counted, ranks are kept, and what can't be served in time is refused at once.

use {
    cowslip_decide::{
        names::Name,
        permits::{PermitOutcome, PermitReply, PermitRequest, PermitRequestId, Pool, PoolTarget},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

const SLOTS: u32 = 2;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn members(names: &[(&str, Option<f64>)]) -> BTreeMap<Name, PoolTarget> {
    let member = |cold_rate: Option<f64>| PoolTarget {
        slots: SLOTS,
        data_centre: "west".into(),
        cold_rate,
    };
    names
        .iter()
        .map(|(name, cold)| (Name::from(*name), member(*cold)))
        .collect()
}

fn ask(rank: u8, now: Instant, goal: u64, deadline: u64) -> PermitRequest {
    PermitRequest {
        priority: rank,
        latency_goal: now + millis(goal),
        deadline: now + millis(deadline),
        data_centre: "west".into(),
        excluded: Vec::new(),
    }
}

fn granted(reply: &PermitReply) -> bool {
    matches!(reply, PermitReply::Granted(_))
}

#[test]
fn a_target_gets_its_slots_and_one_ahead_while_others_wait() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), now);
    let replies: Vec<PermitReply> = (0..6)
        .map(|at| pool.request_permit((0, at), ask(1, now, 500, 4000), now))
        .collect();
    assert_eq!(replies.iter().filter(|it| granted(it)).count(), 2);
    assert_eq!(pool.process_queue(now).len(), 1);
    assert!(pool.process_queue(now).is_empty());
    pool.finish_request(&(0, 0), PermitOutcome::Served, None, now + millis(50));
    assert_eq!(pool.process_queue(now + millis(50)).len(), 1);
    assert_eq!(pool.queue_length(), 2);
}

#[test]
fn a_repeated_question_gets_the_same_reply_and_takes_no_second_slot() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), now);
    for _ in 0..3 {
        assert!(granted(&pool.request_permit(
            (1, 1),
            ask(1, now, 500, 4000),
            now
        )));
    }
    assert!(granted(&pool.request_permit(
        (1, 2),
        ask(1, now, 500, 4000),
        now
    )));
    for _ in 0..3 {
        let reply = pool.request_permit((1, 3), ask(1, now, 500, 4000), now);
        assert_eq!(reply, PermitReply::Queued);
    }
    assert_eq!(pool.queue_length(), 1);
}

#[test]
fn higher_ranks_go_first_and_within_a_rank_those_that_can_reach_their_goal() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), now);
    for at in 0..3 {
        pool.request_permit((0, at), ask(0, now, 500, 9000), now);
    }
    pool.process_queue(now);
    let waiting = [
        (10, ask(2, now, 300, 9000)),
        (11, ask(1, now, 0, 9000)),
        (12, ask(1, now, 900, 9000)),
    ];
    for (at, ask) in waiting {
        assert_eq!(pool.request_permit((0, at), ask, now), PermitReply::Queued);
    }
    let mut order = Vec::new();
    for done in [0, 1, 2] {
        pool.finish_request(&(0, done), PermitOutcome::Served, None, now + millis(100));
        order.extend(
            pool.process_queue(now + millis(100))
                .into_iter()
                .map(|((_, at), _)| at),
        );
    }
    assert_eq!(order, [12, 11, 10]);
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), now);
    // Answers take 100 ms in two slots: the twentieth waits a second.
    let replies: Vec<PermitReply> = (0..40)
        .map(|at| pool.request_permit((0, at), ask(1, now, 400, 800), now))
        .collect();
    let refused = replies
        .iter()
        .filter(|it| matches!(it, PermitReply::Refused(_)));
    assert!(refused.count() >= 20, "{replies:?}");
    let Some(PermitReply::Refused(wait)) = replies.last() else {
        panic!("{replies:?}");
    };
    assert!(*wait >= millis(100) && *wait < millis(1000));
}

#[test]
fn permits_that_never_come_back_are_void_after_their_deadline() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), now);
    for at in 0..2 {
        assert!(granted(&pool.request_permit(
            (0, at),
            ask(1, now, 100, 200),
            now
        )));
    }
    assert_eq!(
        pool.request_permit((0, 9), ask(1, now, 500, 4000), now),
        PermitReply::Queued
    );
    pool.process_queue(now);
    let later = now + millis(600);
    pool.process_queue(later);
    assert!(granted(&pool.request_permit(
        (0, 10),
        ask(1, later, 500, 4000),
        later
    )));
}

#[test]
fn a_cold_target_gets_its_rate_and_only_where_no_warm_one_is() {
    let start = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", Some(3.0)), ("b", None)]), start);
    assert_eq!(
        pool.request_permit((0, 0), ask(1, start, 500, 4000), start),
        PermitReply::Granted("b".into())
    );
    pool.update_targets(&members(&[("a", Some(3.0))]), start);
    let mut sent = 0;
    for tick in 0..200u64 {
        let now = start + millis(10 * tick);
        pool.update_targets(&members(&[("a", Some(3.0))]), now);
        let asker = (1, tick);
        if granted(&pool.request_permit(asker, ask(1, now, 50, 60), now)) {
            sent += 1;
            pool.finish_request(&asker, PermitOutcome::Served, None, now);
        }
        pool.finish_request(&asker, PermitOutcome::Unused, None, now);
    }
    assert!((5..=8).contains(&sent), "{sent} in two seconds");
}

#[test]
fn targets_that_shed_or_take_no_connection_are_passed_over() {
    let now = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None), ("b", None)]), now);
    let PermitReply::Granted(first) = pool.request_permit((0, 0), ask(1, now, 500, 4000), now)
    else {
        panic!("a free pool");
    };
    pool.finish_request(&(0, 0), PermitOutcome::NotConnected, None, now);
    for at in 1..3 {
        let PermitReply::Granted(next) = pool.request_permit((0, at), ask(1, now, 500, 4000), now)
        else {
            panic!("a free target");
        };
        assert_ne!(next, first);
    }
}

/// Plays a burst on one owner; returns the share served within the goal, by rank.
fn burst(ordered: bool) -> [f64; 3] {
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let mut pool: Pool<u8> = Pool::default();
    pool.update_targets(&members(&[("a", None)]), start);
    let mut running: Vec<(Instant, PermitRequestId<u8>)> = Vec::new();
    let mut asked: BTreeMap<PermitRequestId<u8>, (u8, Instant)> = BTreeMap::new();
    let (mut all, mut good) = ([0u32; 3], [0u32; 3]);
    let mut queue: Vec<PermitRequestId<u8>> = Vec::new();
    for tick in 0..4000u64 {
        let now = start + millis(5 * tick);
        running.sort();
        while running.first().is_some_and(|(end, _)| *end <= now) {
            let (_, asker) = running.remove(0);
            let (rank, goal) = asked[&asker];
            good[usize::from(rank)] += u32::from(now <= goal);
            pool.finish_request(&asker, PermitOutcome::Served, None, now);
        }
        // Thirty requests a second on two slots of 100 ms: half as many again as they bear.
        if rng.random_bool(0.15) {
            let rank = rng.random_range(0..3u8);
            let asker = (0, tick);
            all[usize::from(rank)] += 1;
            asked.insert(asker, (rank, now + millis(600)));
            let reply = pool.request_permit(
                asker,
                ask(if ordered { rank } else { 0 }, now, 600, 2000),
                now,
            );
            match reply {
                PermitReply::Granted(_) => running.push((now + millis(100), asker)),
                PermitReply::Queued => queue.push(asker),
                PermitReply::Refused(_) => {}
            }
        }
        for (asker, reply) in pool.process_queue(now) {
            if granted(&reply) {
                let before = running.len().saturating_sub(SLOTS as usize - 1) as u64;
                running.push((now + millis(100 * (before / 2 + 1)), asker));
            }
        }
    }
    std::array::from_fn(|rank| f64::from(good[rank]) / f64::from(all[rank]))
}

#[test]
fn under_a_burst_the_highest_rank_is_served_and_the_sum_is_not_less() {
    let (by_rank, alike) = (burst(true), burst(false));
    assert!(by_rank[0] > 0.95, "{by_rank:?}");
    assert!(by_rank[0] > by_rank[2], "{by_rank:?}");
    let (sum, other): (f64, f64) = (by_rank.iter().sum(), alike.iter().sum());
    assert!(sum > 0.9 * other, "{by_rank:?} {alike:?}");
}
