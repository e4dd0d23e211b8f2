//! A hybrid logical clock: wall-clock time that never goes back, combined with a counter that
//! orders events of different processes causally.

use {
    serde::{Deserialize, Serialize},
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Low bits of an encoded timestamp that hold the counter.
const COUNT_BITS: u32 = 20;
const MAX_COUNT: u32 = (1 << COUNT_BITS) - 1;

/// A timestamp of a hybrid logical clock.
///
/// If one event can have caused another, its timestamp is the lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub wall: u64,
    /// Counter that orders timestamps of the same millisecond.
    pub count: u32,
}

/// The hybrid logical clock of one process.
#[derive(Debug)]
pub(super) struct HybridClock {
    start_wall: u64,
    start: Instant,
    last: HybridTimestamp,
}

impl Default for HybridClock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start_wall: since_epoch.map_or(0, |it| it.as_millis() as u64),
            start: Instant::now(),
            last: HybridTimestamp::default(),
        }
    }
}

impl HybridClock {
    /// Advances the clock and returns its new timestamp.
    pub fn advance(&mut self) -> HybridTimestamp {
        let wall = self.wall_time();
        self.last = match wall > self.last.wall {
            true => HybridTimestamp { wall, count: 0 },
            false => self.last.next(),
        };
        self.last
    }

    /// Moves the clock to the timestamp of another process, if that is later.
    pub fn observe_timestamp(&mut self, timestamp: HybridTimestamp) {
        self.last = self.last.max(timestamp);
    }

    fn wall_time(&self) -> u64 {
        self.start_wall + self.start.elapsed().as_millis() as u64
    }
}

/// Encodes the timestamp as one number for messages; a counter that does not fit is cut to the
/// maximum.
impl From<HybridTimestamp> for u64 {
    fn from(timestamp: HybridTimestamp) -> Self {
        (timestamp.wall << COUNT_BITS) | Self::from(timestamp.count.min(MAX_COUNT))
    }
}

impl From<u64> for HybridTimestamp {
    fn from(number: u64) -> Self {
        Self {
            wall: number >> COUNT_BITS,
            // The mask leaves 20 bits, which fit in 32.
            count: (number & u64::from(MAX_COUNT)) as u32,
        }
    }
}

impl HybridTimestamp {
    fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                wall: self.wall + 1,
                count: 0,
            },
        }
    }
}
