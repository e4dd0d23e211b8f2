//! Hot keys: a key with more requests than its owner serves gets the fastest target.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::{
            Assignment, AssignmentTable, HotKeyPlacer, KeyLoads, TargetCapacities,
            TargetIncarnation, Transfer, rebalance,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Interval at which the leader chooses transfers.
const ROUND: Duration = Duration::from_millis(500);
/// Mean service time of the targets.
const SERVICE_TIME: Duration = Duration::from_millis(200);
const SLOTS: f64 = 3.0;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns targets `t00` and so on with speeds of 0.7, 0.7 and 1.6 in turn, and their keys.
fn targets(count: usize) -> (TargetCapacities, AssignmentTable) {
    let name = |index: usize| Name::from(format!("t{index:02}"));
    let speed = |index: usize| [0.7, 0.7, 1.6][index % 3];
    let capacities = (0..count).map(|index| (name(index), SLOTS * speed(index)));
    let size = 65_536 / count;
    let assignments = (0..count).map(|index| Assignment {
        first: (index * size) as u16,
        last: if index + 1 == count {
            u16::MAX
        } else {
            ((index + 1) * size - 1) as u16
        },
        owner: Some(TargetIncarnation {
            id: name(index),
            incarnation: 1,
        }),
        fence: Fence(1),
        expires_at: None,
    });
    let table = AssignmentTable {
        assignments: assignments.collect(),
        highest_fence: Fence(1),
    };
    (capacities.collect(), table)
}

fn apply(table: &mut AssignmentTable, transfers: &[Transfer]) {
    for transfer in transfers {
        table.split_around(transfer.first, transfer.last);
        let moved = table
            .assignments
            .iter_mut()
            .filter(|it| transfer.first <= it.first && it.last <= transfer.last);
        for assignment in moved {
            assignment.owner = Some(TargetIncarnation {
                id: transfer.new_owner.clone(),
                incarnation: 1,
            });
        }
    }
}

/// Plays eight seconds with random keys, in which one key gets 38 requests a second, more than any target
/// serves, beside 70 for all keys; returns
/// the share of all requests that targets have capacity for after the first two seconds.
fn simulate_hot_key(seed: u64, places_hot_keys: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let (capacities, mut table) = targets(21);
    let (start, mut loads, mut placer) =
        (Instant::now(), KeyLoads::default(), HotKeyPlacer::default());
    let (mut total, mut served) = (0.0, 0.0);
    for round in 0..16u32 {
        let now = start + round * ROUND;
        let mut by_owner: BTreeMap<Name, f64> = BTreeMap::new();
        for number in 0..54 {
            let key = if number < 19 { 100 } else { rng.random() };
            loads.add_requests(key, 1.0);
            let owner = table.assignment(key).owner.as_ref().expect("an owner");
            *by_owner.entry(owner.id.clone()).or_default() += 1.0;
        }
        if round >= 4 {
            for (owner, requests) in by_owner {
                let limit = capacities[&owner] / SERVICE_TIME.as_secs_f64() * ROUND.as_secs_f64();
                total += requests;
                served += requests.min(limit);
            }
        }
        loads.decay(now);
        if places_hot_keys {
            let targets = (&capacities, SERVICE_TIME);
            let transfers = placer.choose_transfers(&table, &loads, targets, |_| false, now);
            apply(&mut table, &transfers);
        }
        let transfers = rebalance(&table, &loads, &capacities, 8, |_| false);
        apply(&mut table, &transfers);
    }
    served / total
}

#[test]
fn a_hot_key_is_served_by_the_fastest_target() {
    let mean = |places| {
        (0..20)
            .map(|seed| simulate_hot_key(seed, places))
            .sum::<f64>()
            / 20.0
    };
    let (placed, left) = (mean(true), mean(false));
    // The fastest target serves 24 a second of that key.
    let possible = (24.0 + 70.0) / 108.0;
    assert!(placed > 0.98 * possible, "{placed:.3} of the requests");
    assert!(left < placed - 0.02, "{left:.3} without the placement");
}

#[test]
fn a_key_is_moved_only_if_that_pays_and_not_at_once_again() {
    let (capacities, table) = targets(3);
    let now = Instant::now();
    let targets = (&capacities, SERVICE_TIME);
    // The owner of key 0 serves 10.5 requests a second.
    let loads = |rate: f64| {
        let mut loads = KeyLoads::default();
        loads.add_requests(0, 3.0 * rate);
        loads
    };
    let mut placer = HotKeyPlacer::default();
    let choose = |placer: &mut HotKeyPlacer, table: &AssignmentTable, rate, now| {
        placer.choose_transfers(table, &loads(rate), targets, |_| false, now)
    };
    assert!(choose(&mut placer, &table, 9.0, now).is_empty());
    let moved = choose(&mut placer, &table, 12.0, now);
    assert_eq!(moved.len(), 1);
    assert_eq!((moved[0].first, moved[0].last), (0, 0));
    assert_eq!(&*moved[0].new_owner, "t02");
    // As if the move had failed: the key rests, then it is tried again.
    assert!(choose(&mut placer, &table, 12.0, now + millis(3900)).is_empty());
    assert_eq!(
        choose(&mut placer, &table, 12.0, now + millis(4100)).len(),
        1
    );
    // No target is much faster than the new owner.
    let mut fast = table;
    apply(&mut fast, &moved);
    assert!(choose(&mut placer, &fast, 99.0, now + millis(9000)).is_empty());
}

#[test]
fn two_hot_keys_get_targets_of_their_own() {
    let (capacities, table) = targets(6);
    let mut loads = KeyLoads::default();
    // Both belong to a slow target, and two targets are fast.
    loads.add_requests(5, 90.0);
    loads.add_requests(6, 60.0);
    let mut placer = HotKeyPlacer::default();
    let targets = (&capacities, SERVICE_TIME);
    let moves = placer.choose_transfers(&table, &loads, targets, |_| false, Instant::now());
    let owners: Vec<(u16, &str)> = moves.iter().map(|it| (it.first, &*it.new_owner)).collect();
    assert_eq!(owners.len(), 2);
    assert_ne!(owners[0].1, owners[1].1);
    assert!(
        owners
            .iter()
            .all(|(_, owner)| ["t02", "t05"].contains(owner))
    );
}
