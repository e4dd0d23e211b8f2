//! What every record of the planner must keep, judged without the planner's own code.

use {
    super::world::{DIVIDED, World, width, with_ends},
    cowslip_decide::{
        assign::{Assignment, KeyRange},
        names::Name,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks the step from the current assignment of `world` to `next`.
pub fn check(world: &World, next: &Assignment) {
    assert_eq!(next.version, world.current.version.next());
    members(world, next);
    holdings(world, next);
    owners(world, next);
    let old = world.current.ranges.get(DIVIDED);
    let new = &next.ranges[DIVIDED];
    let first = vec![KeyRange {
        start: 0,
        owner: "".into(),
        standby: None,
        fence: Default::default(),
        since: Default::default(),
    }];
    changes(world, old.unwrap_or(&first), new, next);
}

fn members(world: &World, next: &Assignment) {
    let old = &world.current.members;
    let changed = old.symmetric_difference(&next.members).count();
    assert!(!next.members.is_empty());
    assert!(
        old.is_empty() || changed <= 1,
        "{changed} members changed at once"
    );
    assert!(
        changed == 0 || old.is_empty() || world.settled,
        "members changed unsettled"
    );
    for name in old.difference(&next.members) {
        let leaving = world.instances.get(name).is_some_and(|i| i.leaving);
        assert!(
            leaving || world.losses.instances.contains(name),
            "{name} removed"
        );
    }
}

fn holdings(world: &World, next: &Assignment) {
    let lost = &world.losses.instances;
    for service in world.topology.services.values() {
        for (target, config) in &service.targets {
            let holding = next.holdings.get(target);
            if world.topology.withdrawn.contains(&config.data_centre) {
                assert!(holding.is_none(), "withdrawn {target} has a holder");
                continue;
            }
            let holding = holding.unwrap_or_else(|| panic!("{target} has no holder"));
            let holder = &holding.holder;
            assert!(next.members.contains(holder), "{holder} is no member");
            assert!(!lost.contains(holder), "{holder} is lost");
            assert_ne!(holding.standby.as_ref(), Some(holder));
            let able = next.members.iter().filter(|name| !lost.contains(*name));
            let staying = |name: &&Name| world.instances.get(*name).is_some_and(|i| !i.leaving);
            let able = able.filter(staying).count();
            assert!(
                able < 2 || holding.standby.is_some(),
                "{target}: holder without standby"
            );
            let old = world.current.holdings.get(target);
            let kept = old.filter(|old| old.holder == *holder);
            let since = kept.map_or(next.version, |old| old.since);
            assert_eq!(holding.since, since, "since of the holding of {target}");
        }
    }
    let mut pools = BTreeMap::<&Name, (BTreeSet<&Name>, usize)>::new();
    for holding in next.holdings.values() {
        let Some(pool) = &holding.pool else { continue };
        let (holders, size) = pools.entry(pool).or_default();
        holders.insert(&holding.holder);
        *size += 1;
    }
    for (pool, (holders, _)) in pools {
        assert_eq!(holders.len(), 1, "holders of {pool}");
    }
}

/// Every range has an eligible owner where there is one, and an eligible standby beside it.
fn owners(world: &World, next: &Assignment) {
    let targets = world.targets(DIVIDED);
    let eligible = targets
        .iter()
        .filter(|target| world.eligible(target))
        .count();
    let ranges = &next.ranges[DIVIDED];
    assert_eq!(ranges[0].start, 0);
    assert!(ranges.windows(2).all(|pair| pair[0].start < pair[1].start));
    for range in ranges {
        match eligible {
            0 => assert_eq!(&*range.owner, "", "owner without an eligible target"),
            _ => assert!(world.eligible(&range.owner), "owner {:?}", range.owner),
        }
        let standby = range.standby.as_ref();
        assert!(eligible < 2 || standby.is_some(), "no standby");
        assert!(
            standby.is_none_or(|standby| world.eligible(standby)),
            "{standby:?}"
        );
        assert_ne!(standby, Some(&range.owner));
    }
}

/// Fences only grow, `since` tells the changes, and calm moves are few and paced.
fn changes(world: &World, old: &[KeyRange], new: &[KeyRange], next: &Assignment) {
    let mut calm = 0.0;
    let mut gained = BTreeMap::<&Name, f64>::new();
    let mut owned = BTreeMap::<&Name, f64>::new();
    for (before, after, width) in overlaps(old, new) {
        let lost = world.losses.targets.contains(&before.owner);
        let failover = lost && before.standby.as_ref() == Some(&after.owner);
        let same = before.owner == after.owner && before.fence == after.fence;
        let least = match (same, failover) {
            (true, _) => before.fence.0,
            (_, true) => before.fence.0 + 1,
            _ => before.fence.0 + 2,
        };
        assert!(
            after.fence.0 >= least,
            "fence {} after {}",
            after.fence,
            before.fence
        );
        // Where ranges were merged, `since` may be the later one of both.
        let fresh = after.since == next.version;
        assert!(fresh != same, "since {} at {}", after.since, next.version);
        assert!(after.since >= before.since);
        *owned.entry(&after.owner).or_default() += width;
        if before.owner != after.owner {
            *gained.entry(&after.owner).or_default() += width;
            if world.eligible(&before.owner) {
                assert!(world.settled, "calm move while unsettled");
                calm += width;
            }
        }
    }
    let targets = world.targets(DIVIDED);
    let answers = |t: &Name| world.loads.contains_key(t) && !world.silent.contains(t);
    let sharing = |t: &&Name| world.eligible(t) && (answers(t) || owned.contains_key(*t));
    let fair = 1.0 / targets.iter().filter(sharing).count().max(1) as f64;
    // Targets that own next to nothing are filled; all other calm moves are for balance.
    let filled = |(target, width): &(&&Name, &f64)| owned[**target] - **width < fair * 0.501;
    let filled = gained.iter().filter(filled).count() as f64;
    let widest = with_ends(old).map(|(range, end)| width(range.start, end));
    let widest = widest.fold(0.0, f64::max);
    let most = 0.05 + widest + filled * 1.2 * fair;
    assert!(calm <= most, "{calm} over {most} of all keys moved in calm");
    pace(world, &gained, &owned, targets.len() as f64);
}

/// A cold target gets more only up to its bound, unless no warm target is left.
fn pace(world: &World, gained: &BTreeMap<&Name, f64>, owned: &BTreeMap<&Name, f64>, count: f64) {
    let warm = |load: &cowslip_decide::duty::Load| load.limit >= super::world::SLOTS;
    let bears = |target: &Name| {
        let answers = world.loads.get(target).is_some_and(warm);
        answers && world.eligible(target) && !world.silent.contains(target)
    };
    if !world.targets(DIVIDED).iter().any(bears) {
        return;
    }
    for (target, _) in gained.iter().filter(|(_, width)| **width > 0.0) {
        let failed_over = world.current.ranges.get(DIVIDED).is_some_and(|ranges| {
            let by_standby = |range: &KeyRange| {
                world.losses.targets.contains(&range.owner)
                    && range.standby.as_ref() == Some(*target)
            };
            ranges.iter().any(by_standby)
        });
        let Some(load) = world.loads.get(*target).filter(|load| !warm(load)) else {
            continue;
        };
        let bound = (1_u64 << (load.served / 32).min(20)) as f64 / (16.0 * count);
        let width = owned[*target];
        assert!(
            failed_over || width <= bound * 1.02,
            "cold {target}: {width} over {bound}"
        );
    }
}

/// Returns each part of the hash space with its range before and after.
fn overlaps<'a>(
    old: &'a [KeyRange],
    new: &'a [KeyRange],
) -> impl Iterator<Item = (&'a KeyRange, &'a KeyRange, f64)> {
    with_ends(new).flat_map(move |(after, end)| {
        let first = old.partition_point(|range| range.start <= after.start) - 1;
        with_ends(old)
            .skip(first)
            .take_while(move |(before, _)| before.start <= end)
            .map(move |(before, old_end)| {
                let start = before.start.max(after.start);
                (before, after, width(start, old_end.min(end)))
            })
    })
}
