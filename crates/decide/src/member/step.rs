//! What the driver of a member has to do next.

use {
    super::{Ack, Heartbeat, View},
    crate::{
        duty::{Duties, LeaseEnd},
        names::{Name, Version},
    },
    std::sync::Arc,
};

/// One thing for the driver to do.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send a heartbeat.
    Heartbeat {
        /// Instance to send it to.
        to: Name,
        /// The heartbeat; one for all receivers of a round.
        beat: Arc<Heartbeat>,
    },
    /// Send an acknowledgement.
    Ack {
        /// Instance to send it to.
        to: Name,
        /// The acknowledgement.
        ack: Ack,
    },
    /// Get the assignment from a peer, or from the table, and adopt it.
    Fetch {
        /// Peer that has it.
        from: Name,
        /// Version that the peer has.
        version: Version,
    },
    /// Get the configuration from a peer, or from the object store.
    FetchConfig {
        /// Peer that has it.
        from: Name,
        /// Version that the peer has.
        version: Version,
    },
    /// Give new duties to the holding thread.
    Duties(Duties),
    /// Give a new view to routing.
    View(View),
    /// Record an event: something was lost.
    Lost(Lost),
    /// Give the end of the lease to the holding thread; replaces the earlier one.
    Lease(LeaseEnd),
}

/// What was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lost {
    /// A target's ranges passed to their standbys.
    Target(Name),
    /// An instance's holdings passed to their standbys.
    Instance(Name),
}
