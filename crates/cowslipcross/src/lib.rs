//! An entry instance of cowslipcross: its duties and what joins them.

pub mod clock;
pub mod config;
pub mod context;
pub mod direct;
mod duty;
pub mod entry;
pub mod events;
pub mod hold;
pub mod instance;
pub mod member;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod ring;
pub mod route;
pub mod store;
pub mod work;
