//! Ownership of the keys of one divided service: who owns which, and in what order it changes.

mod manager;
mod rebalance;
mod state;
mod table;

pub use {
    manager::{
        AssignmentManager, Candidate, Command, CommandOutcome, CommandTiming, PreviousLeaders,
        StoreTimeBound, max_grant_lifetime,
    },
    rebalance::{KeyLoads, TargetCapacities, TargetsByLoad, Transfer, rebalance},
    table::{Assignment, AssignmentTable, TargetIncarnation},
};
