//! UDP messages between instances: the leader's heartbeats, the other instances' reports, permits.
//!
//! Every datagram may be lost: an instance that receives no heartbeats reads the store instead, keys
//! whose load is unknown are spread evenly, and a request whose permit request gets no reply is
//! sent without a permit.

mod assignments;
pub mod datagram;
pub mod extensible;
pub mod formats;
mod fragments;
pub mod heartbeat_protocol;
pub mod membership;
pub mod message;
#[cfg(test)]
mod recorded_tests;
