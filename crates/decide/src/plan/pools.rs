//! Pools of undivided services: the targets that one holder serves from one queue.

use {
    super::{PlanInput, Service},
    crate::{assign::Assignment, names::Name},
    std::collections::{BTreeMap, BTreeSet},
};

/// Returns the pools of a service by name, `SERVICE/NUMBER`, without withdrawn targets.
///
/// A target stays in its pool; a new one joins the smallest. In calm one target of the largest
/// pool joins the smallest if their sizes differ by more than one.
pub(super) fn pools(
    input: &PlanInput,
    current: &Assignment,
    name: &Name,
    service: &Service,
) -> BTreeMap<Name, BTreeSet<Name>> {
    let kept = |target: &Name| current.holdings.get(target)?.pool.clone();
    let targets: Vec<&Name> = available(input, service).collect();
    let count = targets.len().div_ceil(input.topology.pool_size.max(1));
    let mut pools: BTreeMap<Name, BTreeSet<Name>> = (0..count)
        .map(|i| (format!("{name}/{i}").into(), BTreeSet::new()))
        .collect();
    let mut new = Vec::new();
    for target in targets {
        match kept(target).and_then(|pool| pools.get_mut(&pool)) {
            Some(pool) => drop(pool.insert(target.clone())),
            None => new.push(target),
        }
    }
    // By data centre, so that the targets of one are spread over the pools.
    new.sort_by_key(|target| &service.targets[*target].data_centre);
    for target in new {
        if let Some(pool) = pools.values_mut().min_by_key(|pool| pool.len()) {
            pool.insert(target.clone());
        }
    }
    if input.settled {
        level(&mut pools);
    }
    pools
}

fn available<'a>(input: &PlanInput, service: &'a Service) -> impl Iterator<Item = &'a Name> {
    let withdrawn = &input.topology.withdrawn;
    let stays = move |target: &super::Target| !withdrawn.contains(&target.data_centre);
    let targets = service.targets.iter();
    targets
        .filter(move |(_, target)| stays(target))
        .map(|(name, _)| name)
}

fn level(pools: &mut BTreeMap<Name, BTreeSet<Name>>) {
    let size = |pool: &(&Name, &BTreeSet<Name>)| pool.1.len();
    let largest = pools.iter().max_by_key(size).map(|(name, _)| name.clone());
    let smallest = pools.iter().min_by_key(size).map(|(name, _)| name.clone());
    let (Some(from), Some(to)) = (largest, smallest) else {
        return;
    };
    if pools[&from].len() < pools[&to].len() + 2 {
        return;
    }
    let last = pools.get_mut(&from).and_then(BTreeSet::pop_last);
    pools.entry(to).or_default().extend(last);
}
