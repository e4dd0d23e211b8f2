//! An instance's own reach, and the choice of instances that reach targets for it.

use {
    cowslip_decide::{
        names::Name,
        reach::{Reach, ReachChange},
        relays::Relays,
    },
    std::time::Duration,
    tokio::time::Instant,
};

const KNOWN: usize = 30;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn lost(now: Instant) -> Reach {
    let mut reach = Reach::default();
    for target in ["a", "b", "c"] {
        reach.record_bypassed(&name(target), KNOWN, now);
    }
    assert!(reach.is_lost());
    reach
}

#[test]
fn one_target_that_only_others_reach_is_no_cut() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for _ in 0..5 {
        let change = reach.record_bypassed(&name("a"), KNOWN, now);
        assert_eq!(change, ReachChange::None);
    }
    assert!(!reach.is_lost());
}

#[test]
fn targets_that_were_bypassed_long_ago_or_before_an_own_connection_do_not_count() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.record_bypassed(&name("a"), KNOWN, now);
    reach.record_bypassed(&name("b"), KNOWN, now);
    reach.record_bypassed(&name("c"), KNOWN, now + Duration::from_secs(3));
    assert!(!reach.is_lost());
    reach.record_bypassed(&name("d"), KNOWN, now + Duration::from_secs(3));
    reach.record_opened();
    reach.record_bypassed(&name("e"), KNOWN, now + Duration::from_secs(3));
    assert!(!reach.is_lost());
}

#[test]
fn an_instance_that_knows_few_targets_is_cut_off_once_it_reaches_none() {
    let now = Instant::now();
    let mut reach = Reach::default();
    assert_eq!(reach.record_bypassed(&name("a"), 2, now), ReachChange::None);
    assert_eq!(reach.record_bypassed(&name("b"), 2, now), ReachChange::Lost);
}

#[test]
fn one_own_connection_ends_a_cut() {
    let mut reach = lost(Instant::now());
    assert_eq!(reach.record_opened(), ReachChange::Regained);
    assert_eq!(reach.record_opened(), ReachChange::None);
    assert!(!reach.is_lost());
}

#[test]
fn open_connections_are_kept_in_a_cut_until_one_of_them_breaks() {
    let now = Instant::now();
    let mut reach = lost(now);
    assert!(reach.keeps_connections(now));
    reach.record_broken(now);
    assert!(!reach.keeps_connections(now));
    reach.record_opened();
    assert!(reach.keeps_connections(now));
}

#[test]
fn instances_that_work_near_the_target_are_asked_first_and_those_that_fail_last() {
    let now = Instant::now();
    let mut relays = Relays::default();
    relays.record_success(&1, Some(name("east")), now);
    relays.record_success(&2, Some(name("west")), now);
    // The data centre stays known.
    relays.record_success(&2, None, now);
    relays.record_failure(&3, now);
    let (own, near) = (name("south"), name("west"));
    let candidates = |relays: &Relays<u8>, now| {
        relays.candidates([1, 2, 3, 4].into_iter(), &[&own, &near], now, |it| *it)
    };
    assert_eq!(candidates(&relays, now), [2, 1, 4, 3]);
    // What is known becomes outdated.
    let later = now + Duration::from_secs(10);
    assert_eq!(candidates(&relays, later), [1, 2, 3, 4]);
    relays.record_failure(&2, now);
    assert_eq!(candidates(&relays, now), [1, 4, 2, 3]);
    relays.retain(|it| *it != 3);
    assert_eq!(candidates(&relays, now), [1, 3, 4, 2]);
}
