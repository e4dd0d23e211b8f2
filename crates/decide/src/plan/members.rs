//! Members: the instances whose majority decides about leases.

use {
    super::{Instance, PlanInput},
    crate::{assign::Assignment, names::Name},
};

/// Adds or removes one member, so that majorities of successive versions meet.
///
/// Only an instance that a majority called lost, or one that is about to stop, is removed; an
/// instance that has not been heard yet is not taken for a lost one.
pub(super) fn plan(input: &PlanInput, next: &mut Assignment) {
    if input.current.members.is_empty() {
        next.members = fresh(input).cloned().collect();
        return;
    }
    if !input.settled {
        return;
    }
    let gone = next.members.iter().find(|name| gone(input, name)).cloned();
    if let Some(name) = gone.filter(|_| next.members.len() > 1) {
        next.members.remove(&name);
        return;
    }
    let new = fresh(input).find(|name| !next.members.contains(*name));
    next.members.extend(new.cloned());
}

/// Returns the instances that may be members.
fn fresh<'a>(input: &PlanInput<'a>) -> impl Iterator<Item = &'a Name> {
    let losses = input.losses;
    let stays = |entry: &(&Name, &Instance)| !entry.1.leaving;
    let entries = input.instances.iter().filter(stays);
    entries
        .map(|(name, _)| name)
        .filter(move |name| !losses.instances.contains(*name))
}

fn gone(input: &PlanInput, name: &Name) -> bool {
    match input.instances.get(name) {
        None => input.losses.instances.contains(name),
        Some(instance) => instance.leaving && !holds(input.current, name),
    }
}

fn holds(current: &Assignment, name: &Name) -> bool {
    let mut holdings = current.holdings.values();
    holdings.any(|holding| holding.holder == *name || holding.standby.as_ref() == Some(name))
}
