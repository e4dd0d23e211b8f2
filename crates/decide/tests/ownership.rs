//! One owner a key and one sender a target, under faults of every kind and in any mix.

mod world;

use {
    cowslip_decide::names::Name,
    quickcheck::{Arbitrary, Gen},
    world::{MS, SECOND, World, ops::Op},
};

/// Fixed seeds; `COWSLIP_FUZZ_SEEDS=n` runs n random ones instead.
const SEEDS: u64 = 60;
const OPS: usize = 60;
const CALM: u64 = 8 * SECOND;

fn seeds() -> Vec<u64> {
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

#[test]
fn served_again_within_a_second() {
    for seed in 0..40 {
        let mut world = calm(seed, 5, 6);
        world.table_up = seed % 2 == 0;
        world.run(seed % 7 * 13 * MS);
        match seed % 4 / 2 {
            0 => world.kill((seed / 4) as usize % 5),
            _ => {
                let name: Name = format!("t{}", seed / 4 % 6).into();
                world.targets.get_mut(&name).expect("a target").frozen = true;
            }
        }
        let outage = world.outage(3 * SECOND);
        assert_eq!(world.fault, None, "seed {seed}");
        assert!(outage < SECOND, "seed {seed}: not served for {outage} us");
    }
}
