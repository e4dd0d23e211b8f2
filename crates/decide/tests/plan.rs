//! Plans of random worlds against the rules that every record must keep.

mod common;
#[path = "plan/rules.rs"]
mod rules;
#[path = "plan/world.rs"]
mod world;

use {
    common::{Dice, seeds},
    cowslip_decide::{assign::Assignment, duty::Load, key::key_hash, names::Name, plan::PlanStep},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    world::{DIVIDED, POOLED, World, name, warm, width, with_ends},
};

fn rested(targets: usize) -> World {
    let mut world = World::new(targets, 8, 12, 4);
    world.rest();
    world
}

fn moved(before: &[cowslip_decide::assign::KeyRange], world: &World) -> f64 {
    let after = with_ends(world.ranges());
    let parts = after.flat_map(|(after, end)| {
        with_ends(before)
            .filter(move |(b, b_end)| b.start <= end && *b_end >= after.start)
            .filter(|(b, _)| b.owner != after.owner)
            .map(move |(b, b_end)| width(b.start.max(after.start), b_end.min(end)))
    });
    parts.sum()
}

#[test]
fn random_worlds_keep_every_rule_and_come_to_rest() {
    seeds(60, |seed| {
        let dice = &mut Dice::new(seed);
        let mut world = World::new(3 + dice.below(20), 1 + dice.below(9), 3 + dice.below(8), 3);
        for _ in 0..120 {
            if dice.once_in(2) {
                world.shake(dice);
            }
            world.pass(dice);
            world.step();
        }
        // The faults end: everything is up again, and the planner finds an assignment to keep.
        world.rates.clear();
        world.rest();
    });
}

#[test]
fn the_first_division_is_even_and_its_standbys_are_spread() {
    for targets in [25, 30] {
        let world = rested(targets);
        let fair = 1.0 / targets as f64;
        assert!(
            world
                .widths()
                .values()
                .all(|width| (width / fair - 1.0).abs() < 0.01)
        );
        let mut pairs = BTreeMap::<(&Name, &Name), usize>::new();
        let services = &world.topology.services;
        let centre = |target: &Name| &services[DIVIDED].targets[target].data_centre;
        for range in world.ranges() {
            let standby = range.standby.as_ref().unwrap();
            assert_ne!(centre(&range.owner), centre(standby));
            *pairs.entry((&range.owner, standby)).or_default() += 1;
        }
        assert!(pairs.values().all(|count| *count <= 1), "{pairs:?}");
        let held = world
            .current
            .holdings
            .values()
            .map(|holding| &holding.holder);
        let mut held_by = BTreeMap::<&Name, usize>::new();
        held.for_each(|holder| *held_by.entry(holder).or_default() += 1);
        assert_eq!(held_by.len(), 12);
        assert!(held_by.values().all(|held| *held <= 4), "{held_by:?}");
    }
}

#[test]
fn a_loss_and_a_return_move_at_most_the_fair_share() {
    for targets in [25, 30] {
        let mut world = rested(targets);
        let bound = 1.2 / targets as f64;
        let lost = name("s007");
        let before = world.ranges().to_vec();
        world.lose_target(&lost);
        world.rest();
        assert!(moved(&before, &world) <= bound);
        assert!(!world.widths().contains_key(&lost));
        let most = world.widths().into_values().fold(0.0, f64::max);
        assert!(most * targets as f64 <= 1.1, "{most}");

        let before = world.ranges().to_vec();
        world.loads.insert(
            lost.clone(),
            Load {
                limit: 1,
                ..Load::default()
            },
        );
        let first = world.ranges().len() as f64;
        assert!(world.step());
        assert!(
            world.widths()[&lost] <= 1.1 / first,
            "cold targets get one range at first"
        );
        let mut grown = 0.0;
        for served in (0..2000).step_by(10) {
            let load = Load {
                limit: 1,
                served,
                ..Load::default()
            };
            world.loads.insert(lost.clone(), load);
            world.now += Duration::from_secs(1);
            world.step();
            assert!(world.widths()[&lost] >= grown);
            grown = world.widths()[&lost];
        }
        world.loads.insert(lost, warm());
        world.rest();
        assert!(
            moved(&before, &world) <= bound,
            "{}",
            moved(&before, &world)
        );
        assert!(grown * targets as f64 > 0.49, "{grown}");
    }
}

#[test]
fn losses_are_gathered_and_a_failover_keeps_its_fence() {
    let mut world = rested(25);
    let lost = name("s003");
    world.lose_target(&lost);
    assert!(matches!(world.plan(), PlanStep::Wait(until) if until > world.now));
    world.now += Duration::from_secs(1);
    let before = world.ranges().to_vec();
    assert!(world.step());
    for (old, new) in before.iter().zip(world.ranges()) {
        if old.owner == lost {
            assert_eq!(Some(&new.owner), old.standby.as_ref());
            assert_eq!(new.fence, old.fence.next());
            assert_eq!(new.since, world.current.version);
        } else {
            assert_eq!(
                (&new.owner, new.fence, new.since),
                (&old.owner, old.fence, old.since)
            );
        }
    }
}

#[test]
fn a_withdrawn_data_centre_is_left_at_once_also_while_unsettled() {
    let mut world = rested(25);
    world.settled = false;
    world.topology.withdrawn.insert(name("dc1"));
    assert!(world.step());
    let services = &world.topology.services;
    let inside = |service: &str, target: &Name| {
        let target = services[service].targets.get(target);
        target.is_some_and(|target| &*target.data_centre == "dc1")
    };
    let owners = world.ranges().iter().map(|range| &range.owner);
    assert!(owners.clone().all(|owner| !inside(DIVIDED, owner)));
    assert!(
        world
            .ranges()
            .iter()
            .all(|r| !inside(DIVIDED, r.standby.as_ref().unwrap()))
    );
    let held: BTreeSet<&Name> = world.current.holdings.keys().collect();
    assert!(
        held.iter()
            .all(|t| !inside(DIVIDED, t) && !inside(POOLED, t))
    );
    let widths = world.widths();
    let fair = 1.0 / widths.len() as f64;
    assert!(
        widths.values().all(|width| *width <= 1.1 * fair),
        "{widths:?}"
    );

    let all = ["dc0", "dc1", "dc2", "dc3"].map(name);
    world.topology.withdrawn = all.into_iter().collect();
    assert!(world.step());
    assert!(world.ranges().iter().all(|range| range.owner.is_empty()));
    assert!(!world.step(), "nothing is left to change");
    world.topology.withdrawn.clear();
    world.rest();
    assert!(world.ranges().iter().all(|range| !range.owner.is_empty()));
}

#[test]
fn a_service_that_is_removed_and_comes_back_keeps_its_fences() {
    let mut world = rested(25);
    let highest = world
        .ranges()
        .iter()
        .map(|range| range.fence)
        .max()
        .unwrap();
    let service = world.topology.services.remove(DIVIDED).unwrap();
    let PlanStep::Record(removed) = world.plan() else {
        panic!("not recorded");
    };
    assert!(
        removed.ranges[DIVIDED]
            .iter()
            .all(|range| range.owner.is_empty())
    );
    world.current = removed;
    world.topology.services.insert(name(DIVIDED), service);
    let PlanStep::Record(back) = world.plan() else {
        panic!("not recorded");
    };
    assert!(
        back.ranges[DIVIDED]
            .iter()
            .all(|range| range.fence > highest)
    );
}

#[test]
fn a_hot_key_is_cut_out_and_merged_back_when_it_has_cooled() {
    heat_and_cool(150.0, 400, false);
    heat_and_cool(130.0, 200, true);
}

/// Heats a key of a target with `load`; the key itself moves if it is all that is too much.
fn heat_and_cool(load: f64, share: u32, moves: bool) {
    let mut world = rested(25);
    let count = world.ranges().len();
    let hot = world.ranges()[40].start + 1234;
    let owner = world.ranges()[40].owner.clone();
    let rates = |world: &World, owner: &Name, rate| -> BTreeMap<Name, f64> {
        let targets = world.targets(DIVIDED);
        let rate = |target: &Name| if target == owner { rate } else { 100.0 };
        targets.iter().map(|t| (t.clone(), rate(t))).collect()
    };
    world.rates = rates(&world, &owner, load);
    let other = world.ranges()[41].owner.clone();
    world.rates.insert(other, if moves { 60.0 } else { 100.0 });
    world.loads.get_mut(&owner).unwrap().hottest = vec![(hot, share)];
    assert!(world.step());
    let single = world
        .ranges()
        .windows(2)
        .any(|pair| pair[0].start == hot && pair[1].start == hot + 1);
    assert!(single, "not cut out");
    let keeper = |world: &World| {
        let ranges = world.ranges();
        ranges[ranges.partition_point(|range| range.start <= hot) - 1]
            .owner
            .clone()
    };
    assert_eq!(keeper(&world) != owner, moves);
    world.rates.clear();
    world.loads.get_mut(&owner).unwrap().hottest.clear();
    world.rest();
    let keeps = keeper(&world);
    world.rates = rates(&world, &keeps, 100.0);
    world.rest();
    let singles = with_ends(world.ranges()).filter(|(range, end)| range.start == *end);
    assert_eq!(singles.count(), 0, "not merged back");
    assert!(
        world.ranges().len() <= count + 12,
        "{}",
        world.ranges().len()
    );
}

#[test]
fn holders_outlive_a_lost_instance_and_a_planned_stop() {
    let mut world = rested(25);
    let before: Assignment = world.current.clone();
    let lost = name("i02");
    world.lose_instance(&lost);
    world.now += Duration::from_secs(1);
    assert!(world.step());
    for (target, holding) in &world.current.holdings {
        let old = &before.holdings[target];
        let expected = if old.holder == lost {
            old.standby.clone()
        } else {
            Some(old.holder.clone())
        };
        assert_eq!(Some(&holding.holder), expected.as_ref());
    }
    assert!(!world.current.members.contains(&lost));
    world.rest();
    let stopping = name("i05");
    world.instances.get_mut(&stopping).unwrap().leaving = true;
    assert!(world.step());
    assert!(
        world
            .current
            .holdings
            .values()
            .all(|holding| holding.holder != stopping)
    );
    world.rest();
    assert!(!world.current.members.contains(&stopping));
}

#[test]
fn what_was_lost_and_is_back_is_taken_on_by_a_new_version() {
    let mut world = rested(25);
    let lost = name("s001");
    world.lose_target(&lost);
    world.rest();
    world.lose_target(&lost);
    world.now += Duration::from_secs(1);
    assert_eq!(
        world.plan(),
        PlanStep::Keep,
        "a known loss is not recorded again"
    );
    world.loads.insert(lost.clone(), warm());
    assert_eq!(world.plan(), PlanStep::Keep, "too early");
    world.now += Duration::from_secs(3);
    world.rest();
    assert!(world.widths()[&lost] > 0.9 / 25.0);
}

#[test]
fn load_is_evened_out_over_the_targets_that_are_left() {
    let mut world = rested(25);
    world.lose_target(&name("s007"));
    world.rest();
    let busy = world.ranges()[0].owner.clone();
    let alive = world.loads.keys().filter(|name| name.starts_with('s'));
    let rate = |name: &Name| if *name == busy { 130.0 } else { 100.0 };
    world.rates = alive.map(|name| (name.clone(), rate(name))).collect();
    let before = world.ranges().to_vec();
    assert!(world.step(), "a dead target made the others look busy");
    let (most, part) = (world.widths()[&busy], moved(&before, &world));
    assert!(
        part > 0.2 / 24.0 && part < 0.3 / 24.0,
        "{part} moved, {most} left"
    );
}

/// Gives every target the rate of its keys; returns the greatest rate over the mean.
fn measure(world: &mut World, keys: &[(u64, f64)]) -> f64 {
    let mut own = BTreeMap::<Name, Vec<(u64, f64)>>::new();
    for key in keys {
        let owner = world.current.owner(&world.losses, DIVIDED, key.0).unwrap();
        own.entry(owner.target).or_default().push(*key);
    }
    for target in world.targets(DIVIDED) {
        let mut keys = own.remove(&target).unwrap_or_default();
        let rate: f64 = keys.iter().map(|key| key.1).sum();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        let share = |key: &(u64, f64)| (key.0, (key.1 / rate * 1000.0) as u32);
        let Some(load) = world.loads.get_mut(&target) else {
            continue;
        };
        load.hottest = keys.iter().take(8).map(share).collect();
        world.rates.insert(target, rate);
    }
    world
        .rates
        .retain(|target, _| world.loads.contains_key(target));
    let most = world.rates.values().copied().fold(0.0, f64::max);
    most * world.rates.len() as f64 / world.rates.values().sum::<f64>()
}

#[test]
fn zipf_loads_come_to_rest_as_even_as_they_can_be() {
    for exponent in [0.6, 0.8, 0.9, 1.0] {
        let mut world = rested(25);
        let load = |rank: u32| f64::from(rank + 1).powf(-exponent);
        let key = |rank| (key_hash(&format!("key{rank}")), load(rank));
        let keys: Vec<(u64, f64)> = (0..20_000).map(key).collect();
        let total: f64 = keys.iter().map(|key| key.1).sum();
        // The hottest key alone may be above the mean.
        let bound = (keys[0].1 / total * 25.0 * 1.03).max(1.1);
        let rest = |world: &mut World| {
            let mut imbalance = measure(world, &keys);
            for _ in 0..30 {
                if !world.step() {
                    return imbalance;
                }
                imbalance = measure(world, &keys);
            }
            panic!("exponent {exponent}: never comes to rest");
        };
        let first = rest(&mut world);
        let lost = name("s007");
        world.lose_target(&lost);
        world.now += Duration::from_secs(1);
        rest(&mut world);
        world.loads.insert(lost, warm());
        world.rates.clear();
        world.rest();
        let last = rest(&mut world);
        for imbalance in [first, last] {
            assert!(
                imbalance <= bound,
                "exponent {exponent}: {imbalance}, {bound}"
            );
        }
        let widest = world.widths().into_values().fold(0.0, f64::max) * 25.0;
        assert!(
            widest <= 1.2,
            "exponent {exponent}: a loss would move {widest}"
        );
    }
}
