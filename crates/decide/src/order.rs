//! The journal of orders: an order with an id runs at most once over all instances.
//!
//! A row is written before the order leaves its instance and replaced once its end is known. What
//! a later arrival of the same id may do follows from the row alone.

use {
    crate::{
        names::Name,
        verdict::{Reason, Verdict},
    },
    serde::{Deserialize, Serialize},
};

/// Longest answer that is recorded, in bytes.
pub const RECORDED_BYTES: usize = 16 * 1024;

/// Row of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Id of the run that wrote the row, unique over all instances.
    pub run: Name,
    /// Instance that wrote the row.
    pub instance: Name,
    /// Hash of service, route, key and body; an id belongs to one order only.
    pub digest: u64,
    /// End of the order; `None` while it may be in progress.
    pub end: Option<OrderEnd>,
}

/// End of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEnd {
    /// Whether it ran.
    pub verdict: Verdict,
    /// Why it has no answer, if it has none.
    pub reason: Option<Reason>,
    /// Status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub media: Option<Name>,
    /// Body of the answer; `None` if it was longer than [`RECORDED_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// What became of the write that journals an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Journalled {
    /// The row was written.
    Written,
    /// The row was not written because its condition failed.
    Refused,
    /// Nothing was written because the table cannot be reached.
    Down,
    /// The row may have been written.
    Unknown,
}

/// A row as it was read, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub row: OrderRow,
}

/// What to do next with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Read the row.
    Read,
    /// The order is journalled under this version: send it.
    Send {
        /// Version of the row.
        version: u64,
    },
    /// Replace the row of this version, because the earlier run ended without running.
    Replace {
        /// Version of the row as it is.
        version: u64,
    },
    /// Answer with the recorded end.
    Answer(OrderEnd),
    /// Answer that the end of the order is not known.
    Duplicate,
    /// Answer that the id belongs to another order.
    Mismatch,
    /// Refuse the order: it was not journalled and did not run.
    Refuse,
}

/// Decides what follows from the write of `mine` under `version`.
pub fn journalled(outcome: Journalled, version: u64) -> OrderStep {
    match outcome {
        Journalled::Written => OrderStep::Send { version },
        Journalled::Refused | Journalled::Unknown => OrderStep::Read,
        Journalled::Down => OrderStep::Refuse,
    }
}

/// Decides what follows from the row that stands where `mine` was to be written.
///
/// `found` is `None` if there is no row: a write whose answer was lost may still take effect, so
/// the order is refused and later arrivals find a row without an end.
pub fn judge(mine: &OrderRow, found: Option<Found>) -> OrderStep {
    let Some(Found { version, row }) = found else {
        return OrderStep::Refuse;
    };
    if row.digest != mine.digest {
        return OrderStep::Mismatch;
    }
    if row.run == mine.run && row.end.is_none() {
        return OrderStep::Send { version };
    }
    match row.end {
        None => OrderStep::Duplicate,
        Some(end) => ended(end, version),
    }
}

fn ended(end: OrderEnd, version: u64) -> OrderStep {
    match end.verdict {
        Verdict::Ran => OrderStep::Answer(end),
        Verdict::NotRun => OrderStep::Replace { version },
        Verdict::MayHaveRun => OrderStep::Duplicate,
    }
}
