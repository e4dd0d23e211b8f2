//! The leader's duty: its row in the store, the owners of keys, and the orders to targets.

mod assignment_recorder;
mod assignment_rows;
pub mod command_sender;
pub mod leader_loop;
pub mod leader_row;
pub mod target_status;
