//! Targets that have refused a request and asked this instance to send no further ones for some
//! time.

use {
    cowslip_decide::{names::Name, owners::TargetIncarnation},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Targets in a quiet period, by service and id.
#[derive(Debug, Default)]
pub struct QuietTargets(BTreeMap<Name, BTreeMap<Name, QuietPeriod>>);

/// Time for which an incarnation of a target wants no requests.
#[derive(Clone, Copy, Debug)]
struct QuietPeriod {
    incarnation: u64,
    end: Instant,
}

impl QuietTargets {
    /// Records that a target wants no requests before `end`, and drops the periods that are over.
    ///
    /// A later end replaces an earlier one, as responses may overtake one another. Returns whether
    /// the target was not known to be in a quiet period.
    pub fn record(
        &mut self,
        service: &Name,
        target: &TargetIncarnation,
        end: Instant,
        now: Instant,
    ) -> bool {
        self.0.retain(|_, targets| {
            targets.retain(|_, period| period.end > now);
            !targets.is_empty()
        });
        let period = QuietPeriod {
            incarnation: target.incarnation,
            end,
        };
        let targets = self.0.entry(service.clone()).or_default();
        let known = targets.get(&target.id);
        let known = known.filter(|it| it.incarnation == target.incarnation);
        let (is_new, is_later) = (known.is_none(), known.is_none_or(|it| it.end < end));
        if is_later {
            targets.insert(target.id.clone(), period);
        }
        is_new
    }

    /// Returns the rest of a target's quiet period; `None` if it may get requests.
    pub fn remaining(
        &self,
        service: &str,
        target: &TargetIncarnation,
        now: Instant,
    ) -> Option<Duration> {
        let period = self.0.get(service)?.get(&target.id)?;
        let is_quiet = period.incarnation == target.incarnation && period.end > now;
        is_quiet.then(|| period.end - now)
    }

    /// Returns the targets of a service that are in a quiet period.
    pub fn for_service(&self, service: &str, now: Instant) -> Vec<Name> {
        let targets = self.0.get(service).into_iter().flatten();
        let quiet = targets.filter(|(_, period)| period.end > now);
        quiet.map(|(id, _)| id.clone()).collect()
    }
}

#[cfg(test)]
#[path = "quiet_targets_tests.rs"]
mod tests;
