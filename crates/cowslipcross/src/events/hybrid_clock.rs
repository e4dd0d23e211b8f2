//! A hybrid logical clock: wall time that never goes back and follows what other processes say.

use {
    serde::{Deserialize, Serialize},
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Bits of the number that order the moments of one millisecond.
const COUNT_BITS: u32 = 20;
const COUNT_MOST: u32 = (1 << COUNT_BITS) - 1;

/// A moment of a hybrid logical clock.
///
/// If one event can have caused another, its stamp is the lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// Milliseconds since 1970.
    pub wall: u64,
    /// Orders the moments of one millisecond.
    pub count: u32,
}

/// The clock of one process.
#[derive(Debug)]
pub(super) struct HybridClock {
    wall: u64,
    start: Instant,
    last: HybridTimestamp,
}

impl Default for HybridClock {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            wall: since.map_or(0, |it| it.as_millis() as u64),
            start: Instant::now(),
            last: HybridTimestamp::default(),
        }
    }
}

impl HybridClock {
    /// Returns the next stamp.
    pub fn advance(&mut self) -> HybridTimestamp {
        let wall = self.now();
        self.last = match wall > self.last.wall {
            true => HybridTimestamp { wall, count: 0 },
            false => self.last.next(),
        };
        self.last
    }

    /// Moves the clock to a stamp from outside, if that is later.
    pub fn observe_timestamp(&mut self, stamp: HybridTimestamp) {
        self.last = self.last.max(stamp);
    }

    fn now(&self) -> u64 {
        self.wall + self.start.elapsed().as_millis() as u64
    }
}

/// The stamp as one number, as messages carry it.
impl From<HybridTimestamp> for u64 {
    fn from(stamp: HybridTimestamp) -> Self {
        (stamp.wall << COUNT_BITS) | Self::from(stamp.count.min(COUNT_MOST))
    }
}

impl From<u64> for HybridTimestamp {
    fn from(number: u64) -> Self {
        Self {
            wall: number >> COUNT_BITS,
            // The lowest bits fit.
            count: (number & u64::from(COUNT_MOST)) as u32,
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
