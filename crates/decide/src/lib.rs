//! The decisions of cowslipcross, free of I/O.
//!
//! Every machine in this package takes typed events and a [`tokio::time::Instant`] and returns
//! what to do next. Nothing here opens a socket, starts a thread or reads a clock, so any driver
//! can run the machines at any speed.

pub mod assign;
pub mod commit;
pub mod deliver;
pub mod duty;
pub mod elect;
pub mod key;
pub mod lead;
pub mod member;
pub mod names;
pub mod order;
pub mod owners;
pub mod permits;
pub mod plan;
pub mod share;
pub mod split;
pub mod verdict;
