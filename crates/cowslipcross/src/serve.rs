//! The way of a request, from a caller's connection to a target and back.

pub mod blocked_keys;
pub mod counter_guard;
pub mod exchange;
pub mod forward;
pub mod permits;
pub mod request;
pub mod response;
pub mod routes;
pub mod server;
pub mod target_connections;
pub mod target_selection;
