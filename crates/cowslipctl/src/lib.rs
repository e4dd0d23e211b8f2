//! Operators' command: checks and shows configurations, queries instances and explains requests.

pub mod cli;
pub mod commands;
pub mod error;
pub mod explain;
pub mod instances;
pub mod output;
pub mod timeline;

mod configuration;
mod differences;
mod review;
mod settings_loader;
mod status;
