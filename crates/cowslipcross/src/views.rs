//! The instance's local copies of the operators' configuration, the assignments and the targets' reports.

pub mod config;
pub mod recorded_assignments;
pub mod store_era;
mod store_health;
pub mod target_addresses;
pub mod target_notices;
pub mod target_snapshot;
pub mod target_updates;
pub mod targets;
