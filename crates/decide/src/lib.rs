//! Decision logic of cowslipcross, free of I/O.
//!
//! Every state machine in this package takes typed events and the present
//! [`tokio::time::Instant`], and returns what to do next. Nothing here opens a socket, starts a
//! thread or reads a clock, so tests can run the state machines at any speed.

pub mod allotments;
pub mod attempts;
pub mod call_timeout;
pub mod crashes;
pub mod election;
pub mod formats;
pub mod limits;
pub mod memory_budget;
pub mod names;
pub mod owners;
pub mod permits;
pub mod reach;
pub mod relays;
pub mod restarts;
pub mod service_time;
pub mod shutdown;
pub mod spill;
pub mod traffic_split;
pub mod unsettled;
pub mod verdict;
