//! Switchable faults and the counters of calls.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults in force; a field that is not posted is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Table and object store close the connection and do nothing.
    pub down: bool,
    /// Instance list closes the connection.
    pub list_down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and the connection closes without an answer.
    pub lose_answers: bool,
    /// Age of the instance list that is answered, in milliseconds.
    pub lag_ms: u64,
}

/// Calls of the table service since the start; a transaction counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads: each `GetItem` and `Query`.
    pub reads: u64,
    /// Transactions, carried out or refused.
    pub writes: u64,
    /// Transactions whose conditions failed.
    pub refused: u64,
    /// Bytes of the bodies of requests to the table.
    pub received: u64,
}

impl Faults {
    /// Returns the delay before each call takes effect.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }

    /// Returns the age of the instance list that is answered.
    pub(super) fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms)
    }
}
