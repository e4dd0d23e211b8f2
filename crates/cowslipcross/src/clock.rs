//! Reads the local clocks.

use {
    cowslip_decide::election::LocalTime,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Returns the time of the runtime's clock and of the clock that also runs while the system sleeps.
///
/// Without `CLOCK_BOOTTIME` it falls back to the monotonic clock, which does not count sleep.
pub fn local_time() -> LocalTime {
    let time_since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .map_or(Duration::ZERO, Duration::from);
    LocalTime {
        monotonic: Instant::now(),
        since_boot: time_since_boot,
    }
}
