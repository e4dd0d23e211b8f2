//! A clock that the processes of one machine share.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static ANCHOR: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (Instant::now(), wall.as_micros() as u64)
});

/// Returns microseconds since the epoch; monotonic within a process.
pub fn micros() -> u64 {
    let (start, wall) = *ANCHOR;
    wall + start.elapsed().as_micros() as u64
}
