//! The settings of a process and the configuration document, both TOML.

pub mod document;
pub mod error;
pub mod field;
pub mod operator;
pub mod overrides;
pub mod process;
mod reader;
mod section;
pub mod topology;
