//! Ownership of keys: no two targets hold one key, even with lost, late or slow commands.

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
    owners_world::{Simulation, TIMING},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

fn target(id: &str) -> TargetIncarnation {
    TargetIncarnation {
        id: id.into(),
        incarnation: 1,
    }
}

/// Returns a table in which one target owns all keys.
fn owned(id: &str) -> AssignmentTable {
    AssignmentTable {
        assignments: vec![Assignment {
            first: 0,
            last: u16::MAX,
            owner: Some(target(id)),
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
fn simulated_failures_never_give_a_key_two_owners() {
    for seed in 0..seeds::count(150) {
        Simulation::new(seed).run();
    }
}

#[test]
fn restorations_of_the_store_never_give_a_key_two_owners() {
    for seed in 0..seeds::count(100) {
        Simulation::with_restorations(seed).run();
    }
}

#[test]
fn keys_without_a_record_are_free_only_when_unknown_grants_have_expired() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let previous = PreviousLeaders {
        grants_expire: None,
        earliest_now: Some(100 * second),
        unknown_until: Some(105 * second),
    };
    let mut leader = AssignmentManager::new(&AssignmentTable::default(), TIMING, previous, now);
    let all = candidates(&[("a", true), ("b", true)]);
    leader.split_evenly(2);
    leader.review_owners(&all, now + 5 * second - Duration::from_millis(1));
    assert!(!leader.needs_recording(now));
    leader.review_owners(&all, now + 5 * second);
    assert!(leader.needs_recording(now));
}

#[test]
fn a_release_frees_keys_only_after_its_response() {
    let now = Instant::now();
    let mut leader = AssignmentManager::new(
        &AssignmentTable::default(),
        TIMING,
        PreviousLeaders::default(),
        now,
    );
    leader.review_owners(&candidates(&[("a", true)]), now);
    let table = leader
        .propose_table(None, |_, _| Some(target("a")))
        .expect("free keys");
    leader.apply_recorded(&table, now);
    let grants = leader.next_commands(false, now);
    assert!(matches!(grants.as_slice(), [Command::Grant { .. }]));
    leader.handle_outcome(&grants[0], CommandOutcome::Accepted, now, now);
    leader.review_owners(&candidates(&[("a", false), ("b", true)]), now);
    let release = leader.next_commands(false, now);
    assert!(matches!(release.as_slice(), [Command::Release { .. }]));
    assert!(!leader.needs_recording(now));
    leader.handle_outcome(
        &release[0],
        CommandOutcome::Released(Some("h".into())),
        now,
        now,
    );
    assert!(leader.needs_recording(now));
    let table = leader
        .propose_table(None, |_, _| Some(target("b")))
        .expect("free keys");
    leader.apply_recorded(&table, now);
    let grants = leader.next_commands(false, now);
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
fn an_unanswered_owner_keeps_its_keys_until_its_grant_expires() {
    let start = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let all = candidates(&[("a", false), ("b", true)]);
    let mut now = start;
    while now < start + TIMING.max_ttl {
        leader.review_owners(&all, now);
        for command in leader.next_commands(false, now) {
            assert!(matches!(command, Command::Release { .. }), "{command:?}");
            leader.handle_outcome(&command, CommandOutcome::Unknown, now, now);
        }
        let table = leader.propose_table(None, |_, _| Some(target("b")));
        assert_eq!(table, None, "after {:?}", now - start);
        now += Duration::from_millis(100);
    }
    now = start + TIMING.max_ttl * 2;
    leader.next_commands(false, now);
    assert!(leader.needs_recording(now));
    let table = leader.propose_table(None, |_, _| Some(target("b")));
    assert_eq!(table.expect("keys").assignments[0].owner, Some(target("b")));
}

#[test]
fn after_a_leader_change_a_release_frees_keys_only_under_a_higher_fence() {
    // A grant of the previous leader may still be in flight, and the owner would accept it.
    let now = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let all = candidates(&[("a", false), ("b", true)]);
    leader.review_owners(&all, now);
    let release = leader.next_commands(false, now);
    leader.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = leader
        .propose_table(None, |_, _| panic!("not free yet"))
        .expect("a higher fence");
    assert_eq!(table.assignments[0].owner, Some(target("a")));
    leader.apply_recorded(&table, now);
    let grant = leader.next_commands(false, now);
    assert!(
        matches!(grant.as_slice(), [Command::Grant { .. }]),
        "{grant:?}"
    );
    leader.handle_outcome(&grant[0], CommandOutcome::Accepted, now, now);
    let release = leader.next_commands(false, now);
    leader.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = leader
        .propose_table(None, |_, _| Some(target("b")))
        .expect("free keys");
    assert_eq!(table.assignments[0].fence, Fence(3));
}

#[test]
fn keys_are_free_at_once_if_another_target_answers_at_the_address() {
    let now = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    leader.review_owners(&candidates(&[("a", true)]), now);
    let grant = leader.next_commands(false, now);
    leader.handle_outcome(&grant[0], CommandOutcome::TargetEnded, now, now);
    assert!(leader.needs_recording(now));
    assert!(leader.ended_incarnations().contains(&target("a")));
}

/// Otherwise each change of the leader would block the keys for the longest TTL.
#[test]
fn the_grant_expiry_of_an_unreachable_owner_is_recorded() {
    let start = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let all = candidates(&[("a", false), ("b", true)]);
    let mut now = start;
    while !leader.needs_recording(now) {
        leader.review_owners(&all, now);
        for command in leader.next_commands(false, now) {
            leader.handle_outcome(&command, CommandOutcome::Unsent, now, now);
        }
        now += Duration::from_millis(50);
        assert!(now < start + Duration::from_secs(1), "no record");
    }
    let store_time = |at: Instant| Duration::from_secs(500) + (at - start);
    let bound = StoreTimeBound {
        local: now,
        latest: store_time(now),
    };
    let no_owner = |_: &Assignment, _: Option<&Name>| panic!("not free yet");
    let table = leader.propose_table(Some(bound), no_owner).expect("record");
    assert!(table.changes_since(&owned("a")).is_empty(), "owners differ");
    leader.apply_recorded(&table, now);
    assert!(!leader.needs_recording(now), "recorded only once");

    // The target is back, but the next leader must not renew a grant whose expiry is recorded.
    let previous = |at: Instant| PreviousLeaders {
        grants_expire: None,
        earliest_now: Some(store_time(at)),
        unknown_until: None,
    };
    let back = candidates(&[("a", true), ("b", true)]);
    now = start + Duration::from_secs(5);
    let mut second = AssignmentManager::new(&table, TIMING, previous(now), now);
    second.review_owners(&back, now);
    let commands = second.next_commands(false, now);
    assert!(
        matches!(commands.as_slice(), [Command::Release { .. }]),
        "{commands:?}"
    );
    assert!(!second.needs_recording(now));

    // A leader elected after the expiry frees the keys at once.
    now = start + TIMING.max_ttl * 2;
    let mut third = AssignmentManager::new(&table, TIMING, previous(now), now);
    third.review_owners(&all, now);
    third.next_commands(false, now);
    assert!(third.needs_recording(now));
    let table = third
        .propose_table(None, |_, _| Some(target("b")))
        .expect("keys");
    let assignment = &table.assignments[0];
    assert_eq!(
        (&assignment.owner, assignment.fence, assignment.expires_at),
        (&Some(target("b")), Fence(2), None)
    );
}

/// The grant in flight may still extend the time for which the owner holds the keys.
#[test]
fn no_expiry_is_recorded_while_a_grant_is_in_flight() {
    let now = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let later = |step: u32| now + Duration::from_millis(300) * step;
    leader.review_owners(&candidates(&[("a", true)]), now);
    for step in 0..2 {
        let grant = leader.next_commands(false, later(step));
        leader.handle_outcome(&grant[0], CommandOutcome::Unsent, later(step), later(step));
    }
    let grant = leader.next_commands(false, later(3));
    assert!(matches!(grant.as_slice(), [Command::Grant { .. }]));
    leader.review_owners(&candidates(&[("a", false)]), later(3));
    assert!(!leader.needs_recording(later(3)), "the grant is in flight");
    leader.handle_outcome(&grant[0], CommandOutcome::Unsent, later(3), later(3));
    assert!(leader.needs_recording(later(4)));
}

#[test]
fn no_expiry_is_recorded_before_the_owner_accepts_a_higher_fence() {
    let now = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    leader.review_owners(&candidates(&[("a", false)]), now);
    let release = leader.next_commands(false, now);
    leader.handle_outcome(&release[0], CommandOutcome::Released(None), now, now);
    let table = leader.propose_table(None, |_, _| None).expect("new fence");
    leader.apply_recorded(&table, now);
    for seconds in 0..4 {
        let at = now + Duration::from_secs(1) * seconds;
        for command in leader.next_commands(false, at) {
            assert!(matches!(command, Command::Grant { .. }), "{command:?}");
            leader.handle_outcome(&command, CommandOutcome::Unsent, at, at);
        }
        assert!(!leader.needs_recording(at), "after {seconds} s");
    }
}

/// On a target's clock that runs 2% slow, a grant expires 2% later.
#[test]
fn keys_are_not_free_before_the_grant_expires_on_a_slow_clock() {
    let now = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), now);
    let start = now + TIMING.max_ttl * 2;
    leader.review_owners(&candidates(&[("a", true)]), start);
    for command in leader.next_commands(false, start) {
        leader.handle_outcome(&command, CommandOutcome::Accepted, start, start);
    }
    leader.review_owners(&candidates(&[("a", false)]), start);
    let free_at = |leader: &mut AssignmentManager, at: Instant| {
        for command in leader.next_commands(false, at) {
            leader.handle_outcome(&command, CommandOutcome::Unsent, at, at);
        }
        leader.next_commands(false, at);
        leader
            .propose_table(None, |_, _| Some(target("b")))
            .is_some()
    };
    assert!(!free_at(&mut leader, start));
    let end = start + TIMING.ttl.mul_f64(1.02);
    assert!(!free_at(&mut leader, end));
    assert!(free_at(&mut leader, end + Duration::from_secs(1)));
}

#[test]
fn commands_that_keep_failing_are_retried_less_often() {
    let start = Instant::now();
    let mut leader = AssignmentManager::new(&owned("a"), TIMING, PreviousLeaders::default(), start);
    let all = candidates(&[("a", false), ("b", true)]);
    let mut sent = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(50) * step;
        leader.review_owners(&all, now);
        for command in leader.next_commands(false, now) {
            sent += 1;
            leader.handle_outcome(&command, CommandOutcome::Unsent, now, now);
        }
    }
    assert!((4..=8).contains(&sent), "{sent} commands in 5 s");
}

#[test]
fn changes_bring_an_earlier_table_up_to_date() {
    let mut later = owned("a");
    later.split_around(100, 200);
    later.assignments[1].owner = Some(target("b"));
    later.assignments[1].fence = later.advance_fence();
    let mut earlier = owned("a");
    earlier.apply_changes(&later.changes_since(&earlier));
    assert_eq!(earlier, later);
    assert!(earlier.is_complete());
}

#[test]
fn a_hot_range_is_spread_over_targets_within_a_few_rounds() {
    let names: Vec<Name> = (0..10).map(|i| Name::from(format!("t{i}"))).collect();
    let capacity: TargetCapacities = names.iter().map(|name| (name.clone(), 1.0)).collect();
    let mut table = AssignmentTable::default();
    for index in 1..10u16 {
        table.split_around(index * 6553, u16::MAX);
    }
    for (assignment, name) in table.assignments.iter_mut().zip(&names) {
        assignment.owner = Some(target(name));
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
                    assignment.owner = Some(target(&transfer.new_owner));
                }
            }
        }
    }
    let load = |name: &Name| -> f64 {
        let own = table
            .assignments
            .iter()
            .filter(|it| it.owner == Some(target(name)));
        own.map(|range| loads.range_load(range.first, range.last))
            .sum()
    };
    let most = names.iter().map(load).fold(0.0, f64::max);
    let mean = names.iter().map(load).sum::<f64>() / 10.0;
    assert!(most < 1.6 * mean, "most {most}, mean {mean}");
}

/// A late response to a record must not free keys that were split from released ones meanwhile.
#[test]
fn a_late_response_to_a_record_frees_only_released_keys() {
    let now = Instant::now();
    let mut leader =
        AssignmentManager::new(&split(&["a", "b"]), TIMING, PreviousLeaders::default(), now);
    let later = now + Duration::from_secs(20);
    let accept_all = |leader: &mut AssignmentManager| {
        for command in leader.next_commands(false, later) {
            leader.handle_outcome(&command, CommandOutcome::Accepted, later, later);
        }
    };
    accept_all(&mut leader);
    // The write that records a new owner for keys of b gets no response.
    leader.start_transfer(60_000, 60_009, &"a".into(), later);
    for command in leader.next_commands(false, later) {
        leader.handle_outcome(&command, CommandOutcome::Released(None), later, later);
    }
    let pending = leader
        .propose_table(None, |_, _| Some(target("a")))
        .expect("a record");
    // Meanwhile a releases a part of its assignment.
    leader.start_transfer(0, 99, &"b".into(), later);
    for command in leader.next_commands(false, later) {
        assert!(matches!(command, Command::Release { .. }), "{command:?}");
        leader.handle_outcome(&command, CommandOutcome::Released(None), later, later);
    }
    leader.apply_recorded(&pending, later);
    let next = leader
        .propose_table(None, |_, _| Some(target("b")))
        .expect("a record");
    assert_eq!(next.assignment(50).owner, Some(target("b")));
    for key in [100, 20_000, 32_767] {
        assert_eq!(next.assignment(key).owner, Some(target("a")), "key {key}");
    }
    assert_eq!(next.assignment(60_005).owner, Some(target("a")));
}

/// Returns a table of equal assignments, one for each target.
fn split(names: &[&str]) -> AssignmentTable {
    let size = 65_536 / names.len() as u32;
    let assignments = names.iter().zip(0u32..).map(|(name, index)| Assignment {
        first: (index * size) as u16,
        last: match index as usize + 1 == names.len() {
            true => u16::MAX,
            false => ((index + 1) * size - 1) as u16,
        },
        owner: Some(target(name)),
        fence: Fence(u64::from(index) + 1),
        expires_at: None,
    });
    AssignmentTable {
        assignments: assignments.collect(),
        highest_fence: Fence(names.len() as u64),
    }
}

fn uniform(names: &[&str]) -> TargetCapacities {
    names.iter().map(|name| (Name::from(*name), 1.0)).collect()
}

/// A hot key, which cannot be split, must not stop the rebalancing of other targets.
#[test]
fn a_hot_key_does_not_keep_other_loads_uneven() {
    let names = ["a", "b", "c", "d"];
    let mut loads = KeyLoads::default();
    loads.add_requests(3, 400.0);
    for key in (16_384..32_768).step_by(100) {
        loads.add_requests(key as u16, 1.0);
    }
    let moved = rebalance(&split(&names), &loads, &uniform(&names), 6, |_| false);
    assert!(moved.iter().any(|it| it.first >= 16_384), "{moved:?}");
}

#[test]
fn targets_without_keys_get_some_even_without_traffic() {
    let names = ["a", "b", "c", "d"];
    let table = split(&names[..2]);
    let transfers = rebalance(&table, &KeyLoads::default(), &uniform(&names), 6, |_| false);
    for empty in &names[2..] {
        let keys = transfers.iter().filter(|it| &*it.new_owner == *empty);
        let keys: u32 = keys.map(|it| u32::from(it.last - it.first) + 1).sum();
        assert!(keys > 10_000, "{empty}: {transfers:?}");
    }
    // No key is moved twice.
    for (index, a) in transfers.iter().enumerate() {
        let rest = &transfers[index + 1..];
        assert!(rest.iter().all(|b| b.last < a.first || a.last < b.first));
    }
}

/// In a large deployment, the leader sends its grants in batches.
#[test]
fn thousands_of_targets_get_their_keys() {
    let now = Instant::now();
    let names: Vec<String> = (0..3000).map(|i| format!("t{i:04}")).collect();
    let targets: Vec<(&str, bool)> = names.iter().map(|it| (it.as_str(), true)).collect();
    let (all, capacity) = (
        candidates(&targets),
        uniform(&targets.iter().map(|it| it.0).collect::<Vec<_>>()),
    );
    let mut leader = AssignmentManager::new(
        &AssignmentTable::default(),
        TIMING,
        PreviousLeaders::default(),
        now,
    );
    leader.review_owners(&all, now);
    leader.split_evenly(3000);
    assert!(
        rebalance(&leader.table(), &KeyLoads::default(), &capacity, 6, |_| {
            false
        })
        .is_empty()
    );
    let mut by_load = TargetsByLoad::new(capacity.iter(), &BTreeMap::new());
    let choose_owner = |assignment: &Assignment, _: Option<&Name>| {
        let name = by_load.least_loaded().cloned()?;
        by_load.add_load(&name, f64::from(assignment.len()));
        Some(target(&name))
    };
    let table = leader.propose_table(None, choose_owner).expect("free keys");
    let owners: BTreeSet<&TargetIncarnation> = table
        .assignments
        .iter()
        .filter_map(|it| it.owner.as_ref())
        .collect();
    assert_eq!(owners.len(), 3000);
    leader.apply_recorded(&table, now);
    let mut granted = 0;
    loop {
        let commands = leader.next_commands(false, now);
        if commands.is_empty() {
            break;
        }
        assert!(commands.len() <= 200, "{} at a time", commands.len());
        for command in &commands {
            let Command::Grant { ttl, .. } = command else {
                panic!("{command:?}");
            };
            assert!(*ttl <= TIMING.max_ttl);
            leader.handle_outcome(command, CommandOutcome::Accepted, now, now);
        }
        granted += commands.len();
    }
    assert_eq!(granted, 3000);
    // Renewals are due before the grants expire, but not within 2 s.
    assert!(
        leader
            .next_commands(false, now + Duration::from_secs(2))
            .is_empty()
    );
    assert!(
        !leader
            .next_commands(false, now + Duration::from_secs(6))
            .is_empty()
    );
}
