//! Leader election over a row of the store, and the leader's work: assignments of keys and commands
//! to targets.

mod assignment_recorder;
mod assignment_rows;
pub mod command_sender;
pub mod election_loop;
pub mod leader_loop;
pub mod leader_row;
pub mod peer_reports;
pub mod restoration;
mod row_reader;
pub mod row_writer;
pub mod target_status;
