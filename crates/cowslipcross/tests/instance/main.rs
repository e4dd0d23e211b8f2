//! End-to-end tests of instances that run as processes on loopback.

mod deployment;
mod faulty_targets;
mod limited_targets;
mod operators;
mod requests;
mod restoration;
