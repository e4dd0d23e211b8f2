//! Ownership of keys: no two targets hold one key, whatever is lost, late or slow.

mod owners_world;
mod seeds;

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::{
            Assignment, AssignmentManager, AssignmentTable, Candidate, Command, CommandOutcome,
            KeyLoads, PreviousLeaders, StoreTimeBound, TargetCapacities, TargetIncarnation,
            TargetsByLoad, rebalance,
        },
    },
    owners_world::{TIMING, World},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

fn life(id: &str) -> TargetIncarnation {
    TargetIncarnation {
        id: id.into(),
        incarnation: 1,
    }
}

fn owned(id: &str) -> AssignmentTable {
    AssignmentTable {
        assignments: vec![Assignment {
            first: 0,
            last: u16::MAX,
            owner: Some(life(id)),
            fence: Fence(1),
            expires_at: None,
        }],
        highest_fence: Fence(1),
    }
}

fn candidates(targets: &[(&str, bool)]) -> BTreeMap<Name, Candidate> {
    let candidate = |can_own: &bool| Candidate {
        incarnation: 1,
        can_own: *can_own,
    };
    targets
        .iter()
        .map(|(id, can_own)| (Name::from(*id), candidate(can_own)))
        .collect()
}

#[test]
fn worlds_of_losses_never_give_a_key_to_two() {
    for seed in 0..seeds::count(150) {
        World::new(seed).play();
    }
}

#[test]
fn a_release_frees_keys_only_after_its_answer() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(
        &AssignmentTable::default(),
        TIMING,
        PreviousLeaders::default(),
        now,
    );
    keeper.review_owners(&candidates(&[("a", true)]), now);
    let table = keeper
        .propose_table(None, |_, _| Some(life("a")))
        .expect("free keys");
    keeper.apply_recorded(&table, now);
    let grants = keeper.next_commands(false, now);
    assert!(matches!(grants.as_slice(), [Command::Grant { .. }]));
    keeper.handle_outcome(&grants[0], CommandOutcome::Accepted, now, now);
    keeper.review_owners(&candidates(&[("a", false), ("b", true)]), now);
    let releases = keeper.next_commands(false, now);
    assert!(matches!(releases.as_slice(), [Command::Release { .. }]));
    assert!(!keeper.needs_recording(now));
    keeper.handle_outcome(
        &releases[0],
        CommandOutcome::Released(Some("h".into())),
        now,
        now,
    );
    assert!(keeper.needs_recording(now));
    let table = keeper
        .propose_table(None, |_, _| Some(life("b")))
        .expect("free keys");
    keeper.apply_recorded(&table, now);
    let grants = keeper.next_commands(false, now);
    let Command::Grant {
        assignment,
        handover,
        ..
    } = &grants[0]
    else {
        panic!("{grants:?}");
    };
    assert_eq!(
        (assignment.fence, handover.as_deref()),
        (Fence(2), Some("h"))
    );
}

#[test]
fn a_silent_owner_keeps_its_keys_until_its_hold_has_run_out() {
    let start = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let none = candidates(&[("a", false), ("b", true)]);
    let mut now = start;
    while now < start + TIMING.max_ttl {
        keeper.review_owners(&none, now);
        for order in keeper.next_commands(false, now) {
            assert!(matches!(order, Command::Release { .. }), "{order:?}");
            keeper.handle_outcome(&order, CommandOutcome::Unknown, now, now);
        }
        let table = keeper.propose_table(None, |_, _| Some(life("b")));
        assert_eq!(table, None, "after {:?}", now - start);
        now += Duration::from_millis(100);
    }
    now = start + TIMING.max_ttl * 2;
    keeper.next_commands(false, now);
    assert!(keeper.needs_recording(now));
    let table = keeper.propose_table(None, |_, _| Some(life("b")));
    assert_eq!(
        table.expect("free keys").assignments[0].owner,
        Some(life("b"))
    );
}

#[test]
fn an_inherited_owner_takes_a_higher_fence_before_its_release_counts() {
    // A grant of the former leader may still be on its way, and the owner would take it.
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let all = candidates(&[("a", false), ("b", true)]);
    keeper.review_owners(&all, now);
    let release = keeper.next_commands(false, now);
    keeper.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = keeper
        .propose_table(None, |_, _| panic!("not free yet"))
        .expect("a higher fence");
    assert_eq!(table.assignments[0].owner, Some(life("a")));
    keeper.apply_recorded(&table, now);
    let grant = keeper.next_commands(false, now);
    assert!(
        matches!(grant.as_slice(), [Command::Grant { .. }]),
        "{grant:?}"
    );
    keeper.handle_outcome(&grant[0], CommandOutcome::Accepted, now, now);
    let release = keeper.next_commands(false, now);
    keeper.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = keeper
        .propose_table(None, |_, _| Some(life("b")))
        .expect("free keys");
    assert_eq!(table.assignments[0].fence, Fence(3));
}

#[test]
fn keys_of_a_target_whose_address_is_another_ones_are_free_at_once() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    keeper.review_owners(&candidates(&[("a", true)]), now);
    let grant = keeper.next_commands(false, now);
    keeper.handle_outcome(&grant[0], CommandOutcome::TargetEnded, now, now);
    assert!(keeper.needs_recording(now));
    assert!(keeper.ended_incarnations().contains(&life("a")));
}

/// An owner that nobody reaches must not cost its keys a whole hold at each change of the leader.
#[test]
fn the_end_of_a_lost_owners_hold_is_recorded_for_the_next_leader() {
    let start = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let all = candidates(&[("a", false), ("b", true)]);
    let mut now = start;
    while !keeper.needs_recording(now) {
        keeper.review_owners(&all, now);
        for order in keeper.next_commands(false, now) {
            keeper.handle_outcome(&order, CommandOutcome::Unsent, now, now);
        }
        now += Duration::from_millis(50);
        assert!(now < start + Duration::from_secs(1), "no record");
    }
    let store = |at: Instant| Duration::from_secs(500) + (at - start);
    let present = StoreTimeBound {
        local: now,
        latest: store(now),
    };
    let none = |_: &Assignment, _: Option<&Name>| panic!("not free yet");
    let table = keeper.propose_table(Some(present), none).expect("a record");
    assert!(
        table.changes_since(&owned("a")).is_empty(),
        "owner and fence stay"
    );
    keeper.apply_recorded(&table, now);
    assert!(!keeper.needs_recording(now), "once is enough");

    // The target is back, but the next leader must not renew a hold that is recorded to end.
    let former = |at: Instant| PreviousLeaders {
        grants_expire: None,
        earliest_now: Some(store(at)),
    };
    let back = candidates(&[("a", true), ("b", true)]);
    now = start + Duration::from_secs(5);
    let mut second = AssignmentManager::new(&table, TIMING, former(now), now);
    second.review_owners(&back, now);
    let orders = second.next_commands(false, now);
    assert!(
        matches!(orders.as_slice(), [Command::Release { .. }]),
        "{orders:?}"
    );
    assert!(!second.needs_recording(now));

    // One that takes over later frees the keys at once.
    now = start + TIMING.max_ttl * 2;
    let mut third = AssignmentManager::new(&table, TIMING, former(now), now);
    third.review_owners(&all, now);
    third.next_commands(false, now);
    assert!(third.needs_recording(now));
    let table = third
        .propose_table(None, |_, _| Some(life("b")))
        .expect("keys");
    let assignment = &table.assignments[0];
    assert_eq!(
        (&assignment.owner, assignment.fence, assignment.expires_at),
        (&Some(life("b")), Fence(2), None)
    );
}

/// Such an end must not be recorded while a grant may still prolong the hold.
#[test]
fn no_end_is_recorded_while_a_grant_is_under_way() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let later = |times: u32| now + Duration::from_millis(300) * times;
    keeper.review_owners(&candidates(&[("a", true)]), now);
    for times in 0..2 {
        let grant = keeper.next_commands(false, later(times));
        keeper.handle_outcome(
            &grant[0],
            CommandOutcome::Unsent,
            later(times),
            later(times),
        );
    }
    let grant = keeper.next_commands(false, later(3));
    assert!(matches!(grant.as_slice(), [Command::Grant { .. }]));
    keeper.review_owners(&candidates(&[("a", false)]), later(3));
    assert!(!keeper.needs_recording(later(3)), "the grant is under way");
    keeper.handle_outcome(&grant[0], CommandOutcome::Unsent, later(3), later(3));
    assert!(keeper.needs_recording(later(4)));
}

#[test]
fn no_end_is_recorded_while_the_owner_has_yet_to_take_a_higher_fence() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    keeper.review_owners(&candidates(&[("a", false)]), now);
    let release = keeper.next_commands(false, now);
    keeper.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = keeper
        .propose_table(None, |_, _| None)
        .expect("a higher fence");
    keeper.apply_recorded(&table, now);
    for times in 0..4 {
        let at = now + Duration::from_secs(1) * times;
        for order in keeper.next_commands(false, at) {
            assert!(matches!(order, Command::Grant { .. }), "{order:?}");
            keeper.handle_outcome(&order, CommandOutcome::Unsent, at, at);
        }
        assert!(!keeper.needs_recording(at), "after {times} s");
    }
}

/// A target's clock that runs 2% slow ends its hold that much later.
#[test]
fn keys_are_not_free_before_the_slowest_clock_has_ended_the_hold() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let start = now + TIMING.max_ttl * 2;
    keeper.review_owners(&candidates(&[("a", true)]), start);
    for order in keeper.next_commands(false, start) {
        keeper.handle_outcome(&order, CommandOutcome::Accepted, start, start);
    }
    keeper.review_owners(&candidates(&[("a", false)]), start);
    let free_at = |keeper: &mut AssignmentManager, at: Instant| {
        for order in keeper.next_commands(false, at) {
            keeper.handle_outcome(&order, CommandOutcome::Unsent, at, at);
        }
        keeper.next_commands(false, at);
        keeper.propose_table(None, |_, _| Some(life("b"))).is_some()
    };
    assert!(!free_at(&mut keeper, start));
    let end = start + TIMING.ttl.mul_f64(1.02);
    assert!(!free_at(&mut keeper, end));
    assert!(free_at(&mut keeper, end + Duration::from_secs(1)));
}

#[test]
fn orders_that_fail_again_and_again_are_sent_less_often() {
    let start = Instant::now();
    let mut keeper = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let all = candidates(&[("a", false), ("b", true)]);
    let mut sent = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(50) * step;
        keeper.review_owners(&all, now);
        for order in keeper.next_commands(false, now) {
            sent += 1;
            keeper.handle_outcome(&order, CommandOutcome::Unsent, now, now);
        }
    }
    assert!((4..=8).contains(&sent), "{sent} orders in 5 s");
}

#[test]
fn changes_put_an_earlier_table_right() {
    let mut later = owned("a");
    later.split_around(100, 200);
    later.assignments[1].owner = Some(life("b"));
    later.assignments[1].fence = later.advance_fence();
    let mut earlier = owned("a");
    earlier.apply_changes(&later.changes_since(&earlier));
    assert_eq!(earlier, later);
    assert!(earlier.is_complete());
}

#[test]
fn a_hot_range_is_divided_among_targets_within_a_few_rounds() {
    let names: Vec<Name> = (0..10).map(|at| Name::from(format!("t{at}"))).collect();
    let capacity: TargetCapacities = names.iter().map(|name| (name.clone(), 1.0)).collect();
    let mut table = AssignmentTable::default();
    for at in 1..10u16 {
        table.split_around(at * 6553, u16::MAX);
    }
    for (assignment, name) in table.assignments.iter_mut().zip(&names) {
        assignment.owner = Some(life(name));
    }
    let mut loads = KeyLoads::default();
    for key in 0..u16::MAX / 64 {
        loads.add_requests(key * 64, 0.5);
    }
    for key in 20_000..20_200 {
        loads.add_requests(key, 3.0);
    }
    for _ in 0..6 {
        for transfer in rebalance(&table, &loads, &capacity, 6, |_| false) {
            table.split_around(transfer.first, transfer.last);
            for assignment in &mut table.assignments {
                if transfer.first <= assignment.first && assignment.last <= transfer.last {
                    assignment.owner = Some(life(&transfer.new_owner));
                }
            }
        }
    }
    let load = |name: &Name| -> f64 {
        let own = table
            .assignments
            .iter()
            .filter(|it| it.owner == Some(life(name)));
        own.map(|assignment| loads.range_load(assignment.first, assignment.last))
            .sum()
    };
    let most = names.iter().map(load).fold(0.0, f64::max);
    let mean = names.iter().map(load).sum::<f64>() / 10.0;
    assert!(most < 1.6 * mean, "most {most}, mean {mean}");
}

/// A record whose answer is late must not take keys from their owner that were cut off meanwhile.
#[test]
fn a_late_record_frees_only_what_was_released() {
    let now = Instant::now();
    let mut keeper = AssignmentManager::new(
        &divided(&["a", "b"]),
        TIMING,
        PreviousLeaders::default(),
        now,
    );
    let later = now + Duration::from_secs(20);
    let held = |keeper: &mut AssignmentManager| {
        for order in keeper.next_commands(false, later) {
            keeper.handle_outcome(&order, CommandOutcome::Accepted, later, later);
        }
    };
    held(&mut keeper);
    // Keys of b wait for their record; its answer is lost.
    keeper.start_transfer(60_000, 60_009, &"a".into(), later);
    for order in keeper.next_commands(false, later) {
        keeper.handle_outcome(&order, CommandOutcome::Released(None), later, later);
    }
    let pending = keeper
        .propose_table(None, |_, _| Some(life("a")))
        .expect("a record");
    // Meanwhile a releases a part of its piece.
    keeper.start_transfer(0, 99, &"b".into(), later);
    for order in keeper.next_commands(false, later) {
        assert!(matches!(order, Command::Release { .. }), "{order:?}");
        keeper.handle_outcome(&order, CommandOutcome::Released(None), later, later);
    }
    keeper.apply_recorded(&pending, later);
    let next = keeper
        .propose_table(None, |_, _| Some(life("b")))
        .expect("a record");
    assert_eq!(next.assignment(50).owner, Some(life("b")));
    for key in [100, 20_000, 32_767] {
        assert_eq!(next.assignment(key).owner, Some(life("a")), "key {key}");
    }
    assert_eq!(next.assignment(60_005).owner, Some(life("a")));
}

/// Returns a table of equal pieces, one for each target.
fn divided(names: &[&str]) -> AssignmentTable {
    let size = 65_536 / names.len() as u32;
    let assignments = names.iter().zip(0u32..).map(|(name, at)| Assignment {
        first: (at * size) as u16,
        last: match at as usize + 1 == names.len() {
            true => u16::MAX,
            false => ((at + 1) * size - 1) as u16,
        },
        owner: Some(life(name)),
        fence: Fence(u64::from(at) + 1),
        expires_at: None,
    });
    AssignmentTable {
        assignments: assignments.collect(),
        highest_fence: Fence(names.len() as u64),
    }
}

fn even(names: &[&str]) -> TargetCapacities {
    names.iter().map(|name| (Name::from(*name), 1.0)).collect()
}

/// A single key that cannot be divided must not keep other targets overloaded.
#[test]
fn a_hot_key_does_not_keep_other_loads_uneven() {
    let names = ["a", "b", "c", "d"];
    let mut loads = KeyLoads::default();
    loads.add_requests(3, 400.0);
    for key in (16_384..32_768).step_by(100) {
        loads.add_requests(key as u16, 1.0);
    }
    let transfers = rebalance(&divided(&names), &loads, &even(&names), 6, |_| false);
    assert!(
        transfers.iter().any(|it| it.first >= 16_384),
        "{transfers:?}"
    );
}

#[test]
fn targets_without_a_key_get_some_also_without_traffic() {
    let names = ["a", "b", "c", "d"];
    let table = divided(&names[..2]);
    let transfers = rebalance(&table, &KeyLoads::default(), &even(&names), 6, |_| false);
    for empty in &names[2..] {
        let keys = transfers.iter().filter(|it| &*it.new_owner == *empty);
        let keys: u32 = keys.map(|it| u32::from(it.last - it.first) + 1).sum();
        assert!(keys > 10_000, "{empty}: {transfers:?}");
    }
    // Nothing is moved twice.
    for (at, one) in transfers.iter().enumerate() {
        let others = &transfers[at + 1..];
        assert!(
            others
                .iter()
                .all(|it| it.last < one.first || one.last < it.first)
        );
    }
}

/// A leader of a large deployment gives all keys out in steps that it can bear.
#[test]
fn thousands_of_targets_get_their_keys() {
    let now = Instant::now();
    let names: Vec<String> = (0..3000).map(|at| format!("t{at:04}")).collect();
    let targets: Vec<(&str, bool)> = names.iter().map(|it| (it.as_str(), true)).collect();
    let (all, capacity) = (
        candidates(&targets),
        even(&targets.iter().map(|it| it.0).collect::<Vec<_>>()),
    );
    let mut keeper = AssignmentManager::new(
        &AssignmentTable::default(),
        TIMING,
        PreviousLeaders::default(),
        now,
    );
    keeper.review_owners(&all, now);
    keeper.split_evenly(3000);
    assert!(
        rebalance(&keeper.table(), &KeyLoads::default(), &capacity, 6, |_| {
            false
        })
        .is_empty()
    );
    let mut least = TargetsByLoad::new(capacity.iter(), &BTreeMap::new());
    let place = |assignment: &Assignment, _: Option<&Name>| {
        let name = least.least_loaded().cloned()?;
        least.add_load(&name, f64::from(assignment.len()));
        Some(life(&name))
    };
    let table = keeper.propose_table(None, place).expect("free keys");
    let owners: BTreeSet<&TargetIncarnation> = table
        .assignments
        .iter()
        .filter_map(|it| it.owner.as_ref())
        .collect();
    assert_eq!(owners.len(), 3000);
    keeper.apply_recorded(&table, now);
    let mut granted = 0;
    loop {
        let orders = keeper.next_commands(false, now);
        if orders.is_empty() {
            break;
        }
        assert!(orders.len() <= 200, "{} at a time", orders.len());
        for order in &orders {
            let Command::Grant { ttl, .. } = order else {
                panic!("{order:?}");
            };
            assert!(*ttl <= TIMING.max_ttl);
            keeper.handle_outcome(order, CommandOutcome::Accepted, now, now);
        }
        granted += orders.len();
    }
    assert_eq!(granted, 3000);
    // Renewals are due before the holds end, and not all the time.
    assert!(
        keeper
            .next_commands(false, now + Duration::from_secs(2))
            .is_empty()
    );
    assert!(
        !keeper
            .next_commands(false, now + Duration::from_secs(6))
            .is_empty()
    );
}
