//! Which ranges and holdings of an assignment are in force.

use {
    super::View,
    crate::{
        assign::{Assignment, Holding, KeyRange, Losses, Owner},
        names::{Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// All that decides what is in force.
pub(super) struct Force<'a> {
    pub(super) assignment: &'a Arc<Assignment>,
    pub(super) losses: &'a Losses,
    /// Version below which nothing is sent or granted any more.
    pub(super) floor: Version,
    /// Version below which nothing is sent any more.
    pub(super) quiet: Version,
    /// Lost targets whose loss every member has settled.
    pub(super) ready: &'a BTreeSet<Name>,
    pub(super) carried: &'a Carried,
}

/// What was in force at the version before and goes on unchanged at this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Carried {
    owners: BTreeMap<(Name, u64), Owner>,
    holders: BTreeMap<Name, Name>,
}

impl Force<'_> {
    /// Returns the owner of a range, or `None` while none is in force.
    pub(super) fn owner(&self, service: &Name, range: &KeyRange) -> Option<Owner> {
        let owner = range.owner_given(self.losses)?;
        let key = (service.clone(), range.start);
        let carried = self.carried.owners.get(&key) == Some(&owner);
        (carried || self.settled(range, &owner)).then_some(owner)
    }

    fn settled(&self, range: &KeyRange, owner: &Owner) -> bool {
        if !owner.standby {
            return range.since <= self.floor;
        }
        // Standbys may differ between versions, so that every member must have left the others.
        self.assignment.version <= self.floor && self.ready.contains(&range.owner)
    }

    /// Returns the holder of a target, or `None` while none is in force.
    pub(super) fn holder(&self, target: &Name, holding: &Holding) -> Option<&Name> {
        let holder = self.assignment.holder(self.losses, target)?;
        let since = if *holder == holding.holder {
            holding.since
        } else {
            self.assignment.version
        };
        let carried = self.carried.holders.get(target) == Some(holder);
        (carried || since <= self.quiet).then_some(holder)
    }
}

impl Carried {
    /// Returns what goes on unchanged from `view` to `next`, the version after it.
    pub(super) fn new(view: &View, next: &Assignment, losses: &Losses) -> Self {
        let mut carried = Self::default();
        if next.version != view.version().next() {
            return carried;
        }
        for (service, ranges) in &next.ranges {
            carried.extend_owners(view, losses, service, ranges);
        }
        for target in next.holdings.keys() {
            let holder = next.holder(losses, target);
            if let Some(holder) = holder.filter(|name| view.holder(target) == Some(name)) {
                carried.holders.insert(target.clone(), holder.clone());
            }
        }
        carried
    }

    fn extend_owners(&mut self, view: &View, losses: &Losses, service: &Name, ranges: &[KeyRange]) {
        for (i, range) in ranges.iter().enumerate() {
            let Some(owner) = range.owner_given(losses) else {
                continue;
            };
            if unchanged(view, service, range.start, end_of(ranges, i), &owner) {
                self.owners.insert((service.clone(), range.start), owner);
            }
        }
    }
}

/// Returns the last hash of the range at `i`.
pub(super) fn end_of(ranges: &[KeyRange], i: usize) -> u64 {
    ranges
        .get(i + 1)
        .map_or(u64::MAX, |next| next.start.saturating_sub(1))
}

fn unchanged(view: &View, service: &Name, start: u64, end: u64, owner: &Owner) -> bool {
    let Some(ranges) = view.assignment.ranges.get(service) else {
        return false;
    };
    let first = ranges
        .partition_point(|range| range.start <= start)
        .saturating_sub(1);
    let after = ranges.partition_point(|range| range.start <= end);
    let same = |old: &Option<Owner>| {
        old.as_ref()
            .is_some_and(|old| old.target == owner.target && old.fence == owner.fence)
    };
    first < after && view.owners(service)[first..after].iter().all(same)
}
