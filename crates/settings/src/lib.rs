//! The settings of a process and the configuration document, both TOML.

pub mod document;
