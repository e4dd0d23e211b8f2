//! Rates of the targets, smoothed from the counters that their holders report.

use {
    crate::{duty::Load, names::Name},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time constant of the smoothing.
const SMOOTHING: Duration = Duration::from_secs(5);
/// Time for which a target is watched before its rate is used.
const WARM_UP: Duration = Duration::from_secs(5);
/// Answers that a target must have given before its rate is used.
const MIN_SERVED: u64 = 200;

/// Smoothed rates of the targets.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    targets: BTreeMap<Name, Watch>,
}

#[derive(Clone, Debug)]
struct Watch {
    first: Instant,
    last: Instant,
    served: u64,
    seen: u64,
    rate: f64,
}

impl Rates {
    /// Takes the loads that the holders reported.
    pub fn report(&mut self, loads: &BTreeMap<Name, Load>, now: Instant) {
        self.targets.retain(|name, _| loads.contains_key(name));
        for (name, load) in loads {
            let watch = self.targets.entry(name.clone()).or_insert(Watch {
                first: now,
                last: now,
                served: load.served,
                seen: 0,
                rate: 0.0,
            });
            watch.take(load.served, now);
        }
    }

    /// Forgets every rate: after a move the loads are not what they were.
    pub fn forget(&mut self) {
        self.targets.clear();
    }

    /// Returns the rates, in requests a second, of the targets that were watched long enough.
    pub fn known(&self, now: Instant) -> BTreeMap<Name, f64> {
        let known = |watch: &Watch| now.duration_since(watch.first) >= WARM_UP;
        let busy = self.targets.values().any(|watch| watch.seen >= MIN_SERVED);
        let watched = self
            .targets
            .iter()
            .filter(|(_, watch)| busy && known(watch));
        watched
            .map(|(name, watch)| (name.clone(), watch.rate))
            .collect()
    }
}

impl Watch {
    fn take(&mut self, served: u64, now: Instant) {
        let span = now.duration_since(self.last).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        // A lower counter is a new one: its holder has just taken the target on.
        let new = served.checked_sub(self.served).unwrap_or(served);
        let age = now.duration_since(self.first).as_secs_f64();
        let share = (span / SMOOTHING.as_secs_f64().min(age)).min(1.0);
        self.rate += share * (new as f64 / span - self.rate);
        self.seen += new;
        self.served = served;
        self.last = now;
    }
}
