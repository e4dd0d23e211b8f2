//! Service and tail latency by kind within windows of time.

use {
    crate::caller::{Kind, Report, Sent, Tally},
    std::fmt,
};

/// A window of time, in microseconds of the machine's clock.
#[derive(Clone, Debug)]
pub struct Window {
    /// What happens in it.
    pub name: String,
    /// Start.
    pub from: u64,
    /// End.
    pub until: u64,
}

/// Service of one kind within a window.
pub struct Service {
    /// Name of the window.
    pub window: String,
    /// Figures of the requests that were sent in it.
    pub report: Report,
}

/// Returns the service in a window, by kind.
pub fn services(kinds: &[Kind], history: &[Sent], window: &Window) -> Vec<Service> {
    let mut tally = Tally::default();
    let within = history
        .iter()
        .filter(|sent| (window.from..window.until).contains(&sent.sent))
        // The first sending of the order counts.
        .filter(|sent| sent.reason.as_deref() != Some("duplicate"));
    for sent in within {
        tally.add(kinds, sent.clone(), false);
    }
    let reports = tally.reports(kinds).into_iter();
    reports
        .map(|report| Service {
            window: window.name.clone(),
            report,
        })
        .collect()
}

impl Service {
    /// Returns the share of requests that ran within their deadline, in percent.
    pub fn served(&self) -> f64 {
        100.0 * (self.report.ran - self.report.late) as f64 / self.report.sent.max(1) as f64
    }

    /// Returns the line above a table of services.
    pub fn heading() -> String {
        format!(
            "{:<26} {:<18} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "window",
            "kind",
            "sent",
            "served %",
            "not-run",
            "may-have",
            "p50 ms",
            "p99 ms",
            "p99.9"
        )
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let report = &self.report;
        write!(
            f,
            "{:<26} {:<18} {:>7} {:>8.2} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            self.window,
            report.kind,
            report.sent,
            self.served(),
            report.not_run,
            report.may_have_run,
            ms(report.p50),
            ms(report.p99),
            ms(report.p999),
        )
    }
}
