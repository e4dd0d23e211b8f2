//! Ownership of the keys of one sharded service: recorded assignments, the leader's commands to
//! owners, and the rebalancing of load.

mod hot_keys;
mod manager;
mod rebalance;
mod state;
mod table;

pub use {
    hot_keys::HotKeyPlacer,
    manager::{
        AssignmentManager, Candidate, Command, CommandOutcome, CommandTiming, PreviousLeaders,
        StoreTimeBound, max_grant_lifetime,
    },
    rebalance::{KeyLoads, TargetCapacities, TargetsByLoad, Transfer, rebalance},
    table::{Assignment, AssignmentTable, TargetIncarnation},
};
