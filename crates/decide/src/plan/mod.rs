//! What the planner records next: a function of what it knows, free of memory and I/O.
//!
//! Some changes cannot wait and are recorded at once: what losses did, ranges without an eligible
//! owner, and targets without a holder. All others (returns, hot keys, balance, members) wait until
//! every member has settled the version in force, so that calm changes never pile up.
//!
//! A data centre that is withdrawn keeps its instances: they go on holding, but get no new
//! holdings. Its targets get neither ranges nor a holder.

mod balance;
mod holders;
mod hot;
mod load;
mod members;
mod pieces;
mod place;
mod pools;
mod rates;
mod service;
mod standby;
mod targets;
mod topology;

pub use {
    rates::Rates,
    topology::{Instance, POOL_SIZE, Service, Target, Topology},
};

use {
    crate::{
        assign::{Assignment, Losses},
        duty::Load,
        names::{Epoch, Name},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time for which losses are gathered before they are recorded; standbys serve meanwhile.
pub const RECORD_DELAY: Duration = Duration::from_millis(300);
/// Time after which what was lost and is back may be cleared by a new version.
pub const CLEAR_DELAY: Duration = Duration::from_secs(3);
/// Pause until a change that has to wait is looked at again.
pub const RECHECK: Duration = Duration::from_millis(200);
/// Ranges per target when a service is first divided.
pub const RANGES_PER_TARGET: usize = 16;

/// Everything that the planner knows.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Configuration in force.
    pub topology: &'a Topology,
    /// Assignment in force; version 0 if there is none.
    pub current: &'a Assignment,
    /// What was lost at the version in force.
    pub losses: &'a Losses,
    /// When the first of the losses was learnt.
    pub lost_at: Option<Instant>,
    /// Targets that are silent but not lost: they keep what they have and get nothing new.
    pub silent: &'a BTreeSet<Name>,
    /// Instances heard lately at any version, this one included; not what a list says.
    pub instances: &'a BTreeMap<Name, Instance>,
    /// State of the targets that answer; others get nothing new while any target answers.
    pub loads: &'a BTreeMap<Name, Load>,
    /// Requests a second of each target, where they are known well enough to balance by.
    pub rates: &'a BTreeMap<Name, f64>,
    /// Targets that are draining.
    pub leaving: &'a BTreeSet<Name>,
    /// Epoch of this planner.
    pub epoch: Epoch,
    /// Whether every member has settled the version in force or is lost.
    pub settled: bool,
    /// The moment of the call.
    pub now: Instant,
}

/// What the planner does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Nothing has to change.
    Keep,
    /// Record this assignment, which is one version higher.
    Record(Assignment),
    /// Something has to change, but not before this moment.
    Wait(Instant),
}

/// Returns what the planner does next.
pub fn next(input: &PlanInput) -> PlanStep {
    if let Some(until) = gathering(input) {
        return PlanStep::Wait(until);
    }
    let mut next = Assignment {
        version: input.current.version.next(),
        epoch: input.epoch,
        config: input.topology.config,
        ..input.current.clone()
    };
    service::plan(input, &mut next);
    members::plan(input, &mut next);
    holders::plan(input, &mut next);
    if changed(input.current, &next) || clears(input) {
        return PlanStep::Record(next);
    }
    match input.settled {
        true => PlanStep::Keep,
        false => PlanStep::Wait(input.now + RECHECK),
    }
}

/// Returns the end of the time for which losses are gathered, if it is not over.
fn gathering(input: &PlanInput) -> Option<Instant> {
    let until = input.lost_at? + RECORD_DELAY;
    (input.now < until).then_some(until)
}

fn changed(current: &Assignment, next: &Assignment) -> bool {
    current.config != next.config
        || current.members != next.members
        || current.ranges != next.ranges
        || current.holdings != next.holdings
}

/// Returns whether something lost is back and only a new version can take it on again.
fn clears(input: &PlanInput) -> bool {
    let waited = input
        .lost_at
        .is_some_and(|lost_at| input.now >= lost_at + CLEAR_DELAY);
    let target_back = |name: &Name| input.loads.contains_key(name) && !input.silent.contains(name);
    let instance_back = |name: &Name| input.instances.contains_key(name);
    input.settled
        && waited
        && (input.losses.targets.iter().any(target_back)
            || input.losses.instances.iter().any(instance_back))
}
