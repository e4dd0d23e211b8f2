//! Rebalancing of a large service under a steady load.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::{
            Assignment, AssignmentTable, KeyLoads, TargetCapacities, TargetIncarnation, Transfer,
            rebalance,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Interval at which the leader chooses transfers.
const ROUND: Duration = Duration::from_millis(500);
/// Targets, a third of each speed.
const TARGET_COUNT: usize = 474;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Requests to all targets in a round, evenly spread over the keys.
const REQUESTS_PER_ROUND: usize = 900;
/// Part of their capacity that the targets need for that.
const UTILISATION: f64 = 0.75;
const MAX_TRANSFERS: usize = 65;

fn target_name(index: usize) -> Name {
    Name::from(format!("t{index:03}"))
}

fn incarnation(id: Name) -> TargetIncarnation {
    TargetIncarnation { id, incarnation: 1 }
}

fn even_table() -> AssignmentTable {
    let size = 65_536 / TARGET_COUNT;
    let assignments = (0..TARGET_COUNT).map(|index| Assignment {
        first: (index * size) as u16,
        last: match index + 1 == TARGET_COUNT {
            true => u16::MAX,
            false => ((index + 1) * size - 1) as u16,
        },
        owner: Some(incarnation(target_name(index))),
        fence: Fence(1),
        expires_at: None,
    });
    AssignmentTable {
        assignments: assignments.collect(),
        highest_fence: Fence(1),
    }
}

fn apply(table: &mut AssignmentTable, transfer: &Transfer) {
    table.split_around(transfer.first, transfer.last);
    let moved = table.assignments.iter_mut();
    for assignment in moved.filter(|it| transfer.first <= it.first && it.last <= transfer.last) {
        assignment.owner = Some(incarnation(transfer.new_owner.clone()));
    }
}

/// Returns the part of the load that exceeds its target's capacity, for the true loads.
fn excess_share(table: &AssignmentTable, capacities: &TargetCapacities) -> f64 {
    let mut keys: BTreeMap<&Name, f64> = BTreeMap::new();
    for assignment in &table.assignments {
        let owner = assignment.owner.as_ref().expect("an owner");
        *keys.entry(&owner.id).or_default() += f64::from(assignment.len());
    }
    let total: f64 = capacities.values().sum();
    let excess = keys.iter().map(|(name, keys)| {
        let limit = capacities[*name] / total / UTILISATION;
        (keys / 65_536.0 - limit).max(0.0)
    });
    excess.sum()
}

/// Plays a steady load from an even division of the keys; returns the excess after 3 and 9 s, and
/// the part of the keys that was moved.
fn simulate(seed: u64) -> (f64, f64, f64) {
    let capacities: TargetCapacities = (0..TARGET_COUNT)
        .map(|index| (target_name(index), 2.0 * SPEEDS[index % 3]))
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut table, mut loads, start) = (even_table(), KeyLoads::default(), Instant::now());
    let (mut early, mut moved) = (0.0, 0.0);
    for round in 1..=18u32 {
        for _ in 0..REQUESTS_PER_ROUND {
            loads.add_requests(rng.random(), 1.0);
        }
        loads.decay(start + round * ROUND);
        for transfer in rebalance(&table, &loads, &capacities, MAX_TRANSFERS, |_| false) {
            moved += f64::from(transfer.last - transfer.first) / 65_536.0;
            apply(&mut table, &transfer);
        }
        if round == 6 {
            early = excess_share(&table, &capacities);
        }
    }
    (early, excess_share(&table, &capacities), moved)
}

#[test]
fn slow_targets_give_up_keys_within_seconds_although_each_gets_few_requests() {
    for seed in 0..3 {
        let (early, late, moved) = simulate(seed);
        assert!(early < 0.015, "{early:.3} of the load after 3 s");
        assert!(late < 0.004, "{late:.3} of the load after 9 s");
        assert!(moved < 0.3, "{moved:.2} of the keys moved");
    }
}
