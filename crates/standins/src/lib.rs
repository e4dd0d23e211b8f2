//! Stand-ins for the platform, targets and callers.

pub mod platform;
