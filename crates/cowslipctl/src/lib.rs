//! The operators' command: checks, publishes and shows configurations, and looks at instances.

pub mod cli;
pub mod commands;
pub mod error;
pub mod explain;
pub mod instances;
pub mod reply;
pub mod store;
pub mod timeline;

mod access;
mod status;
