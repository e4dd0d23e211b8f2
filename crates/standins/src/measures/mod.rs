//! The five measures and the promises, from the targets' records and the callers' history.

mod gaps;
mod promises;
mod spread;
mod windows;

pub use {
    gaps::{Gaps, gaps, recovery},
    promises::{Broken, Promise, check},
    spread::{churn, imbalance},
    windows::{Service, Window, services},
};

use {
    crate::{
        caller::{Kind, Sent},
        target::record::Record,
    },
    std::time::Duration,
};

/// A time in which a data centre was withdrawn, in microseconds of the machine's clock.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    /// Data centre.
    pub data_centre: String,
    /// Time at which the operators' command had ended.
    pub from: u64,
    /// Time at which it was restored.
    pub until: u64,
}

/// All that was seen of a run.
pub struct Evidence<'a> {
    /// Kinds of request.
    pub kinds: &'a [Kind],
    /// Requests of the callers.
    pub history: &'a [Sent],
    /// Records of all targets.
    pub records: &'a [Record],
    /// Withdrawals of data centres.
    pub withdrawals: &'a [Withdrawal],
    /// Time after which a leaving target or a withdrawn data centre gets no new work.
    pub notice: Duration,
}

/// Returns the id of the request that a recorded body belongs to.
fn id_of(body: &str) -> &str {
    body.split(' ').next().unwrap_or_default()
}
