//! The target's own record of what it ran and held.

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, VecDeque},
};

/// One run of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the attempt.
    pub request: String,
    /// Id of the order.
    pub order: Option<String>,
    /// Route.
    pub route: String,
    /// Key; empty for undivided services.
    pub key: String,
    /// Hash of the key.
    pub hash: u64,
    /// Fence that the request carried.
    pub fence: u64,
    /// Instance that sent it.
    pub holder: String,
    /// Body of the request, up to 64 bytes, by which the caller knows it again.
    pub body: String,
    /// Start, in microseconds of the machine's clock.
    pub start: u64,
    /// End, or 0 while it runs.
    pub end: u64,
    /// Whether the target owned the key when it started.
    pub owner: bool,
    /// Whether the target froze while it ran.
    pub frozen: bool,
    /// Status of the answer.
    pub status: u16,
}

/// A time in which the target held a range.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Service of the range.
    pub service: String,
    /// First hash.
    pub start: u64,
    /// Last hash.
    pub end: u64,
    /// Fence.
    pub fence: u64,
    /// Instance that granted it.
    pub holder: String,
    /// Time from which it was granted, in microseconds of the machine's clock.
    pub from: u64,
    /// Time until which it was granted.
    pub until: u64,
}

/// A moment in which a cold target held more than it bears.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Time, in microseconds of the machine's clock.
    pub at: u64,
    /// Requests that it held.
    pub held: usize,
    /// Requests that it bears.
    pub limit: usize,
}

/// Everything that a target says about itself afterwards.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Name of the target.
    pub name: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// Whether it checks grants and fences.
    pub checks_fence: bool,
    /// Time since which it is leaving.
    pub leaving: Option<u64>,
    /// Runs, the oldest first.
    pub runs: VecDeque<Run>,
    /// Ranges held, the oldest first.
    pub held: Vec<Held>,
    /// Breaches of the cold limit.
    pub breaches: Vec<Breach>,
    /// Requests shed or refused without running.
    pub refused: u64,
    /// Runs that the bound dropped.
    pub dropped: u64,
}

/// A record that is being written.
#[derive(Debug, Default)]
pub(super) struct Writer {
    pub(super) record: Record,
    limit: usize,
    ids: BTreeSet<String>,
}

impl Writer {
    pub(super) fn new(record: Record, limit: usize) -> Self {
        Self {
            record,
            limit,
            ids: BTreeSet::new(),
        }
    }

    pub(super) fn ran(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Adds a run and returns its number.
    pub(super) fn begin(&mut self, run: Run) -> u64 {
        if self.record.runs.len() >= self.limit {
            if let Some(old) = self.record.runs.pop_front() {
                self.ids.remove(&old.request);
            }
            self.record.dropped += 1;
        }
        self.ids.insert(run.request.clone());
        self.record.runs.push_back(run);
        self.record.dropped + self.record.runs.len() as u64 - 1
    }

    pub(super) fn end(&mut self, number: u64, at: u64, status: u16, frozen: bool) {
        let place = number.checked_sub(self.record.dropped);
        let Some(run) = place.and_then(|at| self.record.runs.get_mut(at as usize)) else {
            return;
        };
        run.end = at;
        run.status = status;
        run.frozen = frozen;
    }
}
