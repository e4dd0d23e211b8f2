//! Clocks of the instance.

use {
    cowslip_decide::election::LocalTime,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Returns the present moment by the runtime's clock and by the one that counts suspensions.
///
/// Where the system has no such clock, suspensions are not noticed.
pub fn local_time() -> LocalTime {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .map_or(Duration::ZERO, Duration::from);
    LocalTime {
        monotonic: Instant::now(),
        since_boot: boot,
    }
}
