//! Whether a target may have restarted since its last report was read.
//!
//! A target that has ended and started anew is cold, while its last report still says that it is warm. It
//! would get the rate of before until its new report has been read. So from the moment at which a
//! connection to it broke, a target counts as cold until something proves otherwise: the response to a
//! request that it was running at that moment, or a read of the reports that would contain a new one. The
//! same holds from the moment at which a report came back with a restored store.
//!
//! Faults of a path between one instance and targets are not recorded here, see [`reach`](crate::reach).

use {
    crate::owners::TargetIncarnation,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time within which a target that has restarted, or that could not reach the store, reports itself.
const REPORT_TIME: Duration = Duration::from_millis(2300);
/// Time between two reads of the reports from which the store may have been away for the targets, too.
const MAX_READ_GAP: Duration = Duration::from_millis(1200);
/// Time after a break within which responses do not prove anything: the instance that got one may tell of
/// it later than another one tells of the break.
const MIN_PROOF_DELAY: Duration = Duration::from_millis(10);

/// Targets of which it is not known whether they have restarted since their reports were written.
#[derive(Debug, Default)]
pub struct Restarts {
    /// When a connection to the target broke last, or when its report came back.
    doubted: BTreeMap<TargetIncarnation, Instant>,
    reads: Option<ReadSpan>,
}

/// Span of time in which the reports were read without a gap.
#[derive(Clone, Copy, Debug)]
struct ReadSpan {
    first: Instant,
    last: Instant,
}

impl Restarts {
    /// Records that a target may have restarted: it closed, reset or refused a connection, and its path is not at fault,
    /// or its report has come back with a restored store.
    pub fn record_doubt(&mut self, target: &TargetIncarnation, now: Instant) {
        self.doubted.insert(target.clone(), now);
    }

    /// Records that a target has answered a request that was sent to it at `sent_at`.
    pub fn record_response(&mut self, target: &TargetIncarnation, sent_at: Instant, now: Instant) {
        let ran_through = |since: &Instant| sent_at < *since && now >= *since + MIN_PROOF_DELAY;
        if self.doubted.get(target).is_some_and(ran_through) {
            self.doubted.remove(target);
        }
    }

    /// Records that the reports of all targets, as the store had them at `read_at`, are known.
    pub fn record_read(&mut self, read_at: Instant) {
        let span = match self.reads {
            Some(span) if read_at <= span.last => return,
            Some(span) if read_at - span.last <= MAX_READ_GAP => ReadSpan {
                last: read_at,
                ..span
            },
            _ => ReadSpan {
                first: read_at,
                last: read_at,
            },
        };
        self.reads = Some(span);
        self.doubted.retain(|_, since| {
            let from = span.first.max(*since);
            span.last < from + REPORT_TIME
        });
    }

    /// Returns whether a target may be cold although its last report does not say so.
    pub fn may_be_cold(&self, target: &TargetIncarnation) -> bool {
        self.doubted.contains_key(target)
    }
}
