//! What the planner knows when it plans.

use {
    cowslip_decide::{
        assign::{Assignment, Losses},
        duty::Load,
        names::{Epoch, Incarnation, Name},
        plan::{Instance, PlanInput, Topology},
    },
    std::collections::{BTreeMap, BTreeSet},
    tokio::time::Instant,
};

/// What the planner knows, gathered from the member machine, the holders and the platform.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) current: Assignment,
    pub(super) losses: Losses,
    pub(super) lost_at: Option<Instant>,
    pub(super) silent: BTreeSet<Name>,
    pub(super) instances: BTreeMap<Name, Instance>,
    pub(super) loads: BTreeMap<Name, Load>,
    pub(super) rates: BTreeMap<Name, f64>,
    pub(super) leaving: BTreeSet<Name>,
    /// Lost instances that are taken back because no other is left.
    pub(super) returning: BTreeSet<Name>,
    pub(super) settled: bool,
    /// Runs of the instances, if a reset is needed.
    pub(super) reset: Option<BTreeMap<Name, Incarnation>>,
}

impl Known {
    /// Returns the input of the planning function.
    pub(super) fn input<'a>(
        &'a self,
        topology: &'a Topology,
        epoch: Epoch,
        now: Instant,
    ) -> PlanInput<'a> {
        PlanInput {
            topology,
            current: &self.current,
            losses: &self.losses,
            lost_at: self.lost_at,
            silent: &self.silent,
            instances: &self.instances,
            loads: &self.loads,
            rates: &self.rates,
            leaving: &self.leaving,
            epoch,
            settled: self.settled,
            now,
        }
    }

    /// Returns whether a version has to be recorded even if nothing else changes.
    pub(super) fn renews(&self) -> bool {
        self.reset.is_some() || !self.returning.is_empty()
    }

    /// Returns the assignment to record: a reset if one is needed.
    pub(super) fn finish(&self, next: Assignment) -> Assignment {
        if let Some(runs) = &self.reset {
            return next.start_over(runs.clone());
        }
        let mut next = Assignment {
            reset: BTreeMap::new(),
            ..next
        };
        let version = next.version;
        for holding in next.holdings.values_mut() {
            // A renewed holding ends the loss of its holder.
            if self.returning.contains(&holding.holder) {
                holding.since = version;
            }
        }
        next
    }
}
