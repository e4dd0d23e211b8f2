//! Targets of one divided service as the planner judges them.

use {
    super::{PlanInput, RANGES_PER_TARGET, Service},
    crate::{duty::Load, names::Name},
    std::collections::{BTreeMap, BTreeSet},
};

/// Answers after which a cold target may own twice as much.
const SERVED_PER_DOUBLING: u64 = 32;
/// Most doublings.
const MAX_DOUBLINGS: u64 = 16;

/// Targets by place, ordered by name.
pub(super) struct Targets<'a> {
    pub(super) list: Vec<Target<'a>>,
    index: BTreeMap<&'a str, usize>,
}

/// One target.
pub(super) struct Target<'a> {
    pub(super) name: &'a Name,
    /// Number of its data centre.
    pub(super) centre: usize,
    pub(super) slots: f64,
    /// Whether it may own ranges.
    pub(super) eligible: bool,
    /// Whether it may get more ranges.
    pub(super) open: bool,
    /// Most that it may own of the hash space after getting more; no bound for a warm target.
    pub(super) bound: f64,
    pub(super) load: Option<&'a Load>,
}

impl<'a> Targets<'a> {
    pub(super) fn new(input: &PlanInput<'a>, service: &'a Service) -> Self {
        let share = 1.0 / (service.targets.len().max(1) * RANGES_PER_TARGET) as f64;
        let centres: BTreeSet<&Name> = service.targets.values().map(|t| &t.data_centre).collect();
        let centres: BTreeMap<&Name, usize> = centres.into_iter().zip(0..).collect();
        let mut list: Vec<Target> = service
            .targets
            .iter()
            .map(|(name, target)| {
                let load = input.loads.get(name);
                let eligible = eligible(input, name, &target.data_centre);
                Target {
                    name,
                    centre: centres[&target.data_centre],
                    slots: f64::from(target.slots.max(1)),
                    eligible,
                    open: eligible && load.is_some() && !input.silent.contains(name),
                    bound: bound(load, target.slots, share),
                    load,
                }
            })
            .collect();
        if list.iter().all(|target| !target.open) {
            // Nothing is known yet: the configuration is believed.
            list.iter_mut()
                .for_each(|target| target.open = target.eligible);
        }
        let index = list
            .iter()
            .enumerate()
            .map(|(i, t)| (&**t.name, i))
            .collect();
        Self { list, index }
    }

    /// Returns the place of a target by its name.
    pub(super) fn place(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns the places of the targets that may get more ranges.
    pub(super) fn open(&self) -> impl Iterator<Item = usize> {
        self.places(|target| target.open)
    }

    /// Returns the places of the targets for which `wanted` holds.
    pub(super) fn places(&self, wanted: impl Fn(&Target) -> bool) -> impl Iterator<Item = usize> {
        let places = self.list.iter().enumerate();
        places
            .filter(move |(_, target)| wanted(target))
            .map(|(i, _)| i)
    }
}

fn eligible(input: &PlanInput, name: &Name, centre: &Name) -> bool {
    let draining = input.loads.get(name).is_some_and(|load| load.leaving);
    !draining
        && !input.leaving.contains(name)
        && !input.losses.targets.contains(name)
        && !input.topology.withdrawn.contains(centre)
}

fn bound(load: Option<&Load>, slots: u32, share: f64) -> f64 {
    match load {
        Some(load) if load.limit < slots => {
            let doublings = MAX_DOUBLINGS.min(load.served / SERVED_PER_DOUBLING);
            // A little more than a whole number of ranges, against rounding.
            share * (1_u64 << doublings) as f64 * 1.01
        }
        _ => f64::INFINITY,
    }
}
