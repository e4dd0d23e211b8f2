//! Benchmarks that print tables for the docs.

pub mod drills;
pub mod router;
