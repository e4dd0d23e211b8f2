//! An entry instance of cowslipcross: the way of a request, the leader's duty, and what they share.

mod clock;
mod context;
mod endpoints;
pub mod events;
pub mod instance;
mod lead;
pub mod metrics;
mod peers;
mod serve;
mod shutdown;
mod status;
mod views;
