//! Soak test: runs instances as processes on one machine, injects faults from outside, and checks
//! the router's guarantees against what callers and targets observe.

pub mod callers;
pub mod faults;
pub mod guarantees;
pub mod history;
pub mod instance;
mod limits;
pub mod links;
mod notices;
pub mod organisations;
pub mod proxy;
pub mod run;
pub mod targets;

/// Result of operations that need files, ports or processes.
pub type Result<T> = eyre::Result<T>;
