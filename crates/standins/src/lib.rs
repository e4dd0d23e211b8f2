//! Stand-ins for the platform, the targets and the callers, with a load tool and measures.

pub mod bench;
pub mod caller;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod measures;
pub mod platform;
pub mod target;
