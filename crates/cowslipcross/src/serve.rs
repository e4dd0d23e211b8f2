//! Receives callers' requests, forwards them to targets and returns the responses.

mod attempt;
pub mod blocked_keys;
pub mod caller_response;
mod caller_stream;
pub mod coordinator;
pub mod counter_guard;
pub mod crashing_requests;
pub mod exchange;
pub mod fingerprints;
pub mod forward;
pub mod late_requests;
pub mod organisations;
pub mod permits;
pub mod quiet_targets;
mod refused_connection;
pub mod relay_headers;
pub mod relay_server;
pub mod request;
mod request_events;
pub mod routes;
pub mod server;
pub mod target_connections;
pub mod target_path;
pub mod target_selection;
