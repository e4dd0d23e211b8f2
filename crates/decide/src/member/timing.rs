//! Periods and bounds of leases, grants and heartbeats.

use std::time::Duration;

/// Periods and bounds that every instance of one system must share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Period of heartbeats.
    pub heartbeat: Duration,
    /// Lease of an instance, counted from the sending of an acknowledged heartbeat.
    pub lease: Duration,
    /// Greatest difference of the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Grant of a target, counted from a stamp of its own clock.
    pub grant: Duration,
    /// Period of grants and probes.
    pub renewal: Duration,
    /// Silence after which a holder proposes the loss of a target.
    pub target_silence: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            lease: Duration::from_millis(300),
            drift_percent: 5,
            grant: Duration::from_millis(400),
            renewal: Duration::from_millis(100),
            target_silence: Duration::from_millis(250),
        }
    }
}

impl Timing {
    /// Returns the time here after which `span` has passed on any other clock.
    pub fn surely(&self, span: Duration) -> Duration {
        span + span * self.drift_percent / 100
    }

    /// Returns how long a member that acknowledged a heartbeat keeps its promise.
    pub fn promise(&self) -> Duration {
        self.surely(self.lease)
    }

    /// Returns the time after which nothing that a stopped instance left behind is in force.
    pub fn remains(&self) -> Duration {
        self.surely(self.lease.max(self.grant))
    }

    /// Returns the pause between two calls that counts as a jump of the clock.
    pub fn pause(&self) -> Duration {
        self.lease / 2
    }

    /// Returns how long no majority of synced members must be found before a reset.
    pub fn reset_wait(&self) -> Duration {
        self.remains() * 2
    }
}
