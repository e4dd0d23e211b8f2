//! Ownership of the keys of one sharded service: recorded assignments, the leader's commands to
//! owners, and the rebalancing of load.

mod hot_keys;
mod manager;
mod previous_leaders;
mod rebalance;
mod state;
mod table;
mod timing;

pub use {
    hot_keys::HotKeyPlacer,
    manager::{AssignmentManager, Candidate, Command, CommandOutcome},
    previous_leaders::{PreviousLeaders, StoreTimeBound},
    rebalance::{KeyLoads, TargetCapacities, TargetsByLoad, Transfer, rebalance},
    table::{Assignment, AssignmentTable, TargetIncarnation},
    timing::{CommandTiming, max_grant_lifetime},
};
