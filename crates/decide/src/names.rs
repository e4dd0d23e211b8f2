//! Names and counters used by the whole package.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Name of an instance, data centre, service, route, target or caller.
pub type Name = Arc<str>;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns this value plus one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter! {
    /// Fencing token that orders the owners of a key range; a target refuses lower ones than it has
    /// seen.
    Fence
}
counter! {
    /// One run of an instance under its name; a later run has a higher number.
    Incarnation
}
