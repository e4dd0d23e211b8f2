//! The decisions of cowslipcross, free of I/O.
//!
//! Every machine in this package takes typed events and a [`tokio::time::Instant`] and returns
//! what to do next. Nothing here opens a socket, starts a thread or reads a clock, so any driver
//! can run the machines at any speed.

pub mod attempts;
pub mod election;
pub mod limits;
pub mod names;
pub mod owners;
pub mod permits;
pub mod service_time;
pub mod traffic_split;
pub mod verdict;
