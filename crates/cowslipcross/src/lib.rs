//! An instance of cowslipcross: request routing, the leader's tasks and the state they share.

mod clock;
mod context;
mod endpoints;
pub mod events;
pub mod instance;
mod lead;
pub mod metrics;
mod peers;
mod serve;
mod status;
mod stop;
mod store_calls;
mod views;
