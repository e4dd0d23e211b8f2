//! One owner a key and one sender a target, under faults of every kind and in any mix.

mod rules;
mod world;

use {
    cowslip_decide::names::Name,
    quickcheck::{Arbitrary, Gen},
    world::{MS, Node, SECOND, World, ops::Op},
};

/// Fixed seeds; `COWSLIP_FUZZ_SEEDS=n` runs n random ones instead, `COWSLIP_FUZZ_SEED=s` one.
const SEEDS: u64 = 30;
const OPS: usize = 60;
const CALM: u64 = 8 * SECOND;

fn seeds() -> Vec<u64> {
    if let Ok(seed) = std::env::var("COWSLIP_FUZZ_SEED") {
        return vec![seed.parse().expect("COWSLIP_FUZZ_SEED is a number")];
    }
    match std::env::var("COWSLIP_FUZZ_SEEDS") {
        Ok(count) => {
            let mut random = Gen::new(64);
            let count: u64 = count.parse().expect("COWSLIP_FUZZ_SEEDS is a number");
            (0..count).map(|_| u64::arbitrary(&mut random)).collect()
        }
        Err(_) => (0..SEEDS).collect(),
    }
}

fn calm(seed: u64, nodes: usize, targets: usize) -> World {
    let mut world = World::new(seed, nodes, targets);
    world.run(5 * SECOND);
    assert_eq!(world.fault, None, "seed {seed}");
    assert!(world.is_served(), "seed {seed}: not served in calm");
    world
}

fn fuzz(seed: u64) {
    let mut random = Gen::from_size_and_seed(64, seed);
    let nodes = 3 + (seed % 5) as usize;
    let mut world = calm(seed, nodes, 4);
    world.lossy = true;
    for _ in 0..OPS {
        world.apply(&Op::arbitrary(&mut random));
        assert_eq!(world.fault, None, "seed {seed}");
    }
    world.mend();
    world.run(CALM);
    assert_eq!(world.fault, None, "seed {seed}");
    let good = world.is_served() && world.is_routed();
    assert!(
        good,
        "seed {seed}: not served in the end\n{}",
        world.describe()
    );
}

#[test]
fn one_owner_and_one_sender_under_faults() {
    for seed in seeds() {
        fuzz(seed);
    }
}

/// Brings about one of the losses that must not keep a key waiting for a second.
fn lose(world: &mut World, fault: u64, which: usize) {
    let node = which % world.nodes.len();
    let others = (0..world.nodes.len()).filter(|other| *other != node);
    match fault {
        0 => world.kill(node),
        1 => world.nodes[node].paused = true,
        2 => world
            .cuts
            .extend(others.flat_map(|other| [(node, other), (other, node)])),
        3 => world.cuts.extend(others.map(|other| (other, node))),
        4 => world.cuts.extend(others.map(|other| (node, other))),
        _ => {
            let name: Name = format!("t{}", which % world.targets.len()).into();
            world.targets.get_mut(&name).expect("a target").frozen = true;
        }
    }
}

#[test]
fn served_again_within_a_second() {
    let mut worst = [[0; 2]; 6];
    for seed in 0..96 {
        let (fault, up) = (seed % 6, seed / 6 % 2);
        let mut world = calm(seed, 5, 6);
        world.table_up = up == 1;
        world.run(seed % 7 * 13 * MS);
        lose(&mut world, fault, seed as usize / 12);
        let outage = world.outage(3 * SECOND);
        assert_eq!(world.fault, None, "seed {seed}");
        assert!(
            outage < SECOND,
            "seed {seed}: {outage} us\n{}",
            world.describe()
        );
        let worst = &mut worst[fault as usize][up as usize];
        *worst = outage.max(*worst);
    }
    println!("longest outage in us by fault, table down and up: {worst:?}");
}

#[test]
fn a_cut_between_one_pair_loses_nobody() {
    for seed in 0..10 {
        let mut world = calm(seed, 3 + seed as usize % 5, 4);
        world.cuts.extend([(0, 1), (1, 0)]);
        let outage = world.outage(3 * SECOND);
        assert_eq!(outage, 0, "seed {seed}");
        let doubts = |node: &Node| node.member.status(node.clock.at(world.time)).doubts;
        assert!(
            world.nodes.iter().all(|node| doubts(node).is_empty()),
            "seed {seed}"
        );
    }
}
