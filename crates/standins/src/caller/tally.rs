//! Figures of a load by kind of request.

use {
    super::{Fault, Kind, Sent},
    cowslip_decide::verdict::Verdict,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Figures of one kind.
#[derive(Clone, Debug)]
struct Figures {
    sent: u64,
    by_verdict: [u64; 3],
    late: u64,
    refused: BTreeMap<String, u64>,
    faults: BTreeMap<Fault, u64>,
    times: Histogram<u64>,
}

/// Figures and history of a load.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    kinds: BTreeMap<usize, Figures>,
    /// Every request with its end, if the plan asks for it; ordered by the time of sending.
    pub history: Vec<Sent>,
}

/// Figures of one kind, ready to print.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Service and route.
    pub kind: String,
    /// Requests sent.
    pub sent: u64,
    /// Answers `ran`.
    pub ran: u64,
    /// Answers `not-run`.
    pub not_run: u64,
    /// Answers `may-have-run`.
    pub may_have_run: u64,
    /// Answers `ran` after the deadline of the kind.
    pub late: u64,
    /// Refusals by reason and verdict.
    pub refused: BTreeMap<String, u64>,
    /// Answers that did not come, had no verdict, or were another's.
    pub faults: BTreeMap<Fault, u64>,
    /// Percentiles of the time of answers `ran`, in microseconds.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            sent: 0,
            by_verdict: [0; 3],
            late: 0,
            refused: BTreeMap::new(),
            faults: BTreeMap::new(),
            times: Histogram::new_with_max(LONGEST, 3).expect("bounds are valid"),
        }
    }
}

impl Tally {
    /// Counts a request that ended.
    pub fn add(&mut self, kinds: &[Kind], sent: Sent, keep: bool) {
        let figures = self.kinds.entry(sent.kind).or_default();
        let time = sent.answered.saturating_sub(sent.sent);
        figures.sent += 1;
        if let Some(fault) = sent.fault {
            *figures.faults.entry(fault).or_default() += 1;
        }
        if let Some(verdict) = sent.verdict {
            figures.by_verdict[verdict as usize] += 1;
            let reason = sent.reason.as_deref().unwrap_or("no reason");
            match verdict {
                Verdict::Ran => {
                    figures.times.saturating_record(time);
                    figures.late += u64::from(time > kinds[sent.kind].deadline.as_micros() as u64);
                }
                _ => {
                    *figures
                        .refused
                        .entry(format!("{reason}, status {} ({verdict})", sent.status))
                        .or_default() += 1
                }
            }
        }
        if keep {
            self.history.push(sent);
        }
    }

    /// Adds the figures of another thread.
    pub fn merge(&mut self, other: Self) {
        for (kind, theirs) in other.kinds {
            let ours = self.kinds.entry(kind).or_default();
            ours.sent += theirs.sent;
            ours.late += theirs.late;
            for (mine, more) in ours.by_verdict.iter_mut().zip(theirs.by_verdict) {
                *mine += more;
            }
            for (reason, count) in theirs.refused {
                *ours.refused.entry(reason).or_default() += count;
            }
            for (fault, count) in theirs.faults {
                *ours.faults.entry(fault).or_default() += count;
            }
            ours.times += theirs.times;
        }
        self.history.extend(other.history);
    }

    /// Returns the figures of every kind, and of all kinds together.
    pub fn reports(&self, kinds: &[Kind]) -> Vec<Report> {
        let mut all = Self::default();
        for figures in self.kinds.values() {
            let kinds = [(0, figures.clone())].into();
            all.merge(Self {
                kinds,
                history: Vec::new(),
            });
        }
        let each = self.kinds.iter().map(|(kind, figures)| {
            let kind = &kinds[*kind];
            report(format!("{}/{}", kind.service, kind.route), figures)
        });
        let whole = all
            .kinds
            .values()
            .map(|figures| report("all".to_owned(), figures));
        each.chain(whole).collect()
    }
}

fn report(kind: String, figures: &Figures) -> Report {
    let [not_run, ran, may_have_run] = figures.by_verdict;
    Report {
        kind,
        sent: figures.sent,
        ran,
        not_run,
        may_have_run,
        late: figures.late,
        refused: figures.refused.clone(),
        faults: figures.faults.clone(),
        p50: figures.times.value_at_quantile(0.5),
        p99: figures.times.value_at_quantile(0.99),
        p999: figures.times.value_at_quantile(0.999),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |micros: u64| micros as f64 / 1000.0;
        write!(
            f,
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8.2} {:>8.2} {:>8.2}",
            self.kind,
            self.sent,
            self.ran,
            self.not_run,
            self.may_have_run,
            self.late,
            ms(self.p50),
            ms(self.p99),
            ms(self.p999),
        )?;
        for (reason, count) in &self.refused {
            write!(f, "\n    refused: {reason} {count}")?;
        }
        for (fault, count) in &self.faults {
            write!(f, "\n    fault: {fault:?} {count}")?;
        }
        Ok(())
    }
}

impl Report {
    /// Returns the line above a table of reports.
    pub fn heading() -> String {
        format!(
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>8}",
            "kind", "sent", "ran", "not-run", "may-have", "late", "p50 ms", "p99 ms", "p99.9"
        )
    }
}
