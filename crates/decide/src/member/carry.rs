//! Which losses go on to a later version.
//!
//! A loss that a planner did not know of when it recorded a version must not be undone by it: the
//! standby may serve already. A loss goes on while the later version still has an entry, recorded
//! no later than the loss, that names the lost one as owner or holder.

use {
    crate::{
        assign::{Assignment, Losses},
        names::{Name, Version},
    },
    std::collections::BTreeSet,
};

/// Returns whether the loss of `target` at version `from` goes on in `next`.
pub(super) fn keeps_target(next: &Assignment, target: &Name, from: Version) -> bool {
    let mut ranges = next.ranges.values().flatten();
    ranges.any(|range| range.owner == *target && range.since <= from)
}

/// Returns whether the loss of `instance` at version `from` goes on in `next`.
pub(super) fn keeps_instance(next: &Assignment, instance: &Name, from: Version) -> bool {
    let mut holdings = next.holdings.values();
    holdings.any(|holding| holding.holder == *instance && holding.since <= from)
}

/// Returns those of `targets`, lost at version `from`, whose loss goes on in `next`.
pub(super) fn targets(
    next: &Assignment,
    targets: &BTreeSet<Name>,
    from: Version,
) -> BTreeSet<Name> {
    let kept = targets.iter().filter(|name| keeps_target(next, name, from));
    kept.cloned().collect()
}

/// Returns those of `instances`, lost at version `from`, whose loss goes on in `next`.
pub(super) fn instances(
    next: &Assignment,
    instances: &BTreeSet<Name>,
    from: Version,
) -> BTreeSet<Name> {
    let kept = instances
        .iter()
        .filter(|name| keeps_instance(next, name, from));
    kept.cloned().collect()
}

/// Returns what of `lost`, known at version `from`, goes on in `next`.
pub(super) fn losses(next: &Assignment, lost: &Losses, from: Version) -> Losses {
    if from == next.version {
        return lost.clone();
    }
    Losses {
        targets: targets(next, &lost.targets, from),
        instances: instances(next, &lost.instances, from),
    }
}
