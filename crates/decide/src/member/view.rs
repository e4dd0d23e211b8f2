//! What is in force at this moment, for routing.

use {
    super::force::Force,
    crate::{
        assign::{Assignment, Losses, Owner},
        names::{Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Owners of ranges and holders of targets that are in force, worked out beforehand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Assignment that the view follows from.
    pub assignment: Arc<Assignment>,
    /// What is lost at its version.
    pub losses: Arc<Losses>,
    owners: BTreeMap<Name, Vec<Option<Owner>>>,
    holders: BTreeMap<Name, Name>,
    pools: BTreeMap<Name, BTreeSet<Name>>,
}

impl View {
    pub(super) fn new(force: &Force) -> Self {
        let assignment = force.assignment;
        let owners = assignment.ranges.iter().map(|(service, ranges)| {
            let owners = ranges.iter().map(|range| force.owner(service, range));
            (service.clone(), owners.collect())
        });
        let holders = assignment.holdings.iter().filter_map(|(target, holding)| {
            let holder = force.holder(target, holding)?;
            Some((target.clone(), holder.clone()))
        });
        Self {
            assignment: assignment.clone(),
            losses: Arc::new(force.losses.clone()),
            owners: owners.collect(),
            holders: holders.collect(),
            pools: pools(assignment),
        }
    }

    /// Returns the version of the assignment.
    pub fn version(&self) -> Version {
        self.assignment.version
    }

    /// Returns the owner of `hash`, or `None` while none is in force.
    pub fn owner(&self, service: &str, hash: u64) -> Option<&Owner> {
        let ranges = self.assignment.ranges.get(service)?;
        let after = ranges.partition_point(|range| range.start <= hash);
        self.owners
            .get(service)?
            .get(after.checked_sub(1)?)?
            .as_ref()
    }

    /// Returns the instance that may send to `target`, or `None` while none is in force.
    pub fn holder(&self, target: &str) -> Option<&Name> {
        self.holders.get(target)
    }

    /// Returns the pools of an undivided service with their targets.
    ///
    /// A pool bears the name of its service, alone or followed by `/` and more.
    pub fn pools<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Name, &'a BTreeSet<Name>)> {
        let of_service = move |pool: &str| pool.split('/').next() == Some(service);
        self.pools.iter().filter(move |(pool, _)| of_service(pool))
    }

    /// Returns the ranges of `service` with the owners that are in force, ordered by their start.
    pub fn owners(&self, service: &str) -> &[Option<Owner>] {
        self.owners.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns how many ranges and holdings are not in force.
    pub fn pending(&self) -> usize {
        let ranges = self.owners.values().flatten();
        let idle = self.assignment.holdings.len() - self.holders.len();
        ranges.filter(|owner| owner.is_none()).count() + idle
    }
}

fn pools(assignment: &Assignment) -> BTreeMap<Name, BTreeSet<Name>> {
    let mut pools = BTreeMap::<Name, BTreeSet<Name>>::new();
    for (target, holding) in &assignment.holdings {
        if let Some(pool) = &holding.pool {
            pools
                .entry(pool.clone())
                .or_default()
                .insert(target.clone());
        }
    }
    pools
}
