//! End-to-end tests of instances that run as processes on loopback.

mod deployment;
mod operators;
mod requests;
