//! A soak: instances as separate processes on one machine, faults from outside, and the promises
//! checked from what callers and targets see.

pub mod callers;
pub mod faults;
pub mod guarantees;
pub mod history;
pub mod instance;
pub mod proxy;
pub mod run;
pub mod targets;

/// Result of what may fail for want of means: files, ports, processes.
pub type Result<T> = eyre::Result<T>;
