//! Datagrams between instances: the leader's heartbeats, the others' reports, and permits.
//!
//! Nothing depends on a datagram's arrival: who hears no leader reads the store instead, keys of
//! unknown load are spread evenly, and who hears of no permit sends without one.

mod assignment_updates;
pub mod datagram;
mod fragments;
pub mod heartbeat_protocol;
pub mod membership;
pub mod message;
