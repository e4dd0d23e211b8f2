//! Stamps of the hybrid logical clock as one number, as messages between instances carry them.

use crate::events::{Events, Stamp};

/// Bits of the number that order the moments of one millisecond.
const COUNT_BITS: u32 = 20;
const COUNT_MOST: u32 = (1 << COUNT_BITS) - 1;

/// Returns the stamp for a message that goes out now.
pub fn stamp(events: &Events) -> u64 {
    let Stamp { wall, count } = events.clock();
    (wall << COUNT_BITS) | u64::from(count.min(COUNT_MOST))
}

/// Moves the clock past the stamp of a message that came in; 0 is no stamp.
pub fn witness(events: &Events, stamp: u64) {
    if stamp == 0 {
        return;
    }
    let count = (stamp & u64::from(COUNT_MOST)) as u32;
    events.witness(Stamp {
        wall: stamp >> COUNT_BITS,
        count,
    });
}
