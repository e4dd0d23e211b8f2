//! Settings of the router and of the operators' command, read from TOML files and `--set` flags.

pub mod error;
pub mod field;
pub mod operator;
pub mod overrides;
pub mod process;
mod reader;
