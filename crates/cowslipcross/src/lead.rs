//! Leader election over a row of the store, and the leader's work: assignments of keys and commands
//! to targets.

mod assignment_recorder;
mod assignment_rows;
pub mod command_sender;
pub mod leader_loop;
pub mod leader_row;
pub mod restoration;
pub mod target_status;
