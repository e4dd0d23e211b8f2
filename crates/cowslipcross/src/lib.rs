//! An entry instance of cowslipcross: its duties and what joins them.

pub mod events;
pub mod hold;
pub mod metrics;
pub mod operators;
pub mod work;
