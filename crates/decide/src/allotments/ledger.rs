//! The leader's account of what all instances have let in of each organisation.

use {
    super::{Admission, Allotment, Usage},
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time in which a debt is paid off.
const DEBT_TIME: Duration = Duration::from_millis(500);
/// Time in which the tokens of a bucket are given out; longer, as what instances that are cut off let in
/// shows only after a while.
const BURST_TIME: Duration = Duration::from_millis(1000);
/// Tokens that an organisation may owe without a notice: single requests come unevenly.
const SLACK_TOKENS: f64 = 2.0;
/// Time constant with which the requests that callers send are averaged; longer than the interval of
/// reports, so that each instance's is counted once or more.
const ASKED_TIME: Duration = Duration::from_millis(300);
/// Requests within one interval from which a rise is no chance, and is not averaged.
const MANY_REQUESTS: u32 = 20;
/// Time that a new leader listens before it tells admissions: until then it knows of few requests.
const LISTEN_TIME: Duration = Duration::from_millis(1100);
/// Time for which a new leader gives out no burst: the previous one may have done so just before.
const BURST_MEMORY: Duration = Duration::from_secs(5);
/// Time for which an instance that reports no more is taken to go on letting in what it did. It may be cut
/// off from the leader only.
const SILENT_USE_TIME: Duration = Duration::from_secs(5);
/// Time constant with which an instance's use is averaged.
const USE_TIME: Duration = Duration::from_secs(2);
/// Requests per second of an organisation at an instance below which they are forgotten.
const MIN_RATE: f64 = 0.05;
/// Time without a report after which an instance that reported counts as silent.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Ratio above which an organisation is told nothing of.
const NEARLY_ALL: f64 = 0.999;

/// Account of all organisations; `A` identifies an instance.
#[derive(Debug)]
pub struct Ledger<A> {
    started_at: Instant,
    accounts: BTreeMap<Name, Account>,
    instances: BTreeMap<A, InstanceUse>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    allotment: Allotment,
    /// Tokens; negative while the instances have let in more than was due.
    level: f64,
    /// Average of the requests per second that callers send.
    asked: f64,
    /// Requests that callers have sent since the last update.
    new_asked: u32,
    updated_at: Instant,
}

/// What an instance let in lately.
#[derive(Clone, Debug)]
struct InstanceUse {
    /// Average of the requests per second by organisation.
    rates: BTreeMap<Name, f64>,
    reported_at: Instant,
    /// Until when its use while silent is accounted for.
    counted_until: Instant,
}

impl Account {
    fn update(&mut self, now: Instant) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated_at = now;
        let Allotment { rate, burst } = self.allotment;
        self.level = (self.level + rate * elapsed).min(burst);
        let count = std::mem::take(&mut self.new_asked);
        let asked = f64::from(count) / elapsed;
        let weight = match count >= MANY_REQUESTS && asked > self.asked {
            true => 1.0,
            false => 1.0 - (-elapsed / ASKED_TIME.as_secs_f64()).exp(),
        };
        self.asked += weight * (asked - self.asked);
    }

    /// Returns the part of the requests to let in until the next notice; with `gives_burst`, tokens that were
    /// saved up are given out.
    fn admission(&self, gives_burst: bool) -> Admission {
        let Allotment { rate, .. } = self.allotment;
        let saved = if gives_burst {
            self.level
        } else {
            self.level.min(0.0)
        };
        let tokens = saved + SLACK_TOKENS;
        let time = if saved > 0.0 { BURST_TIME } else { DEBT_TIME };
        let allowed = (rate + tokens / time.as_secs_f64()).max(0.0);
        let part = |allowed: f64| match self.asked <= allowed {
            true => 1.0,
            false => allowed / self.asked,
        };
        Admission {
            ratio: part(allowed),
            steady: part(rate),
            wait: (-self.level / rate).max(0.0),
        }
    }
}

impl<A: Ord + Clone> Ledger<A> {
    /// Creates the account of a new leader. Buckets start empty: the previous leader may have given out
    /// their burst.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            accounts: BTreeMap::new(),
            instances: BTreeMap::new(),
        }
    }

    /// Replaces the limits; organisations without one have no account.
    pub fn set_allotments<'a>(
        &mut self,
        allotments: impl Iterator<Item = (&'a Name, Allotment)>,
        now: Instant,
    ) {
        let mut next = BTreeMap::new();
        for (name, allotment) in allotments {
            let mut account = self.accounts.remove(name).unwrap_or(Account {
                allotment,
                level: 0.0,
                asked: 0.0,
                new_asked: 0,
                updated_at: now,
            });
            account.update(now);
            account.allotment = allotment;
            account.level = account.level.min(allotment.burst);
            next.insert(name.clone(), account);
        }
        self.accounts = next;
    }

    /// Records an instance's report of what it has let in within the time since its last one.
    pub fn record_usage(&mut self, from: A, usage: &BTreeMap<Name, Usage>, now: Instant) {
        let instance = self.instances.entry(from).or_insert_with(|| InstanceUse {
            rates: BTreeMap::new(),
            reported_at: now,
            counted_until: now,
        });
        let elapsed = (now - instance.reported_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / USE_TIME.as_secs_f64()).exp();
        for rate in instance.rates.values_mut() {
            *rate -= weight * *rate;
        }
        for (name, usage) in usage {
            let Some(account) = self.accounts.get_mut(name) else {
                continue;
            };
            account.level -= f64::from(usage.admitted);
            account.new_asked = account.new_asked.saturating_add(usage.asked);
            let rate = instance.rates.entry(name.clone()).or_default();
            *rate += f64::from(usage.admitted.max(0)) / USE_TIME.as_secs_f64();
        }
        instance.rates.retain(|_, rate| *rate > MIN_RATE);
        (instance.reported_at, instance.counted_until) = (now, now);
    }

    /// Returns the admissions of the organisations that ask for more than they may; `None` while the
    /// leader knows too little to tell any.
    pub fn admissions(&mut self, now: Instant) -> Option<BTreeMap<Name, Admission>> {
        self.count_silent(now);
        for account in self.accounts.values_mut() {
            account.update(now);
        }
        if now - self.started_at < LISTEN_TIME {
            return None;
        }
        let is_silent = |it: &InstanceUse| now - it.reported_at >= REPORT_TIMEOUT;
        let hears_all = !self.instances.values().any(is_silent);
        let gives_burst = hears_all && now - self.started_at >= BURST_MEMORY;
        let all = self.accounts.iter();
        let all = all.map(|(name, account)| (name.clone(), account.admission(gives_burst)));
        let all = all.filter(|(_, it)| it.ratio.min(it.steady) < NEARLY_ALL);
        Some(all.collect())
    }

    /// Takes from the buckets what silent instances are taken to let in.
    fn count_silent(&mut self, now: Instant) {
        self.instances
            .retain(|_, it| now - it.reported_at < SILENT_USE_TIME);
        for instance in self.instances.values_mut() {
            if now - instance.reported_at < REPORT_TIMEOUT {
                continue;
            }
            let from = instance.counted_until;
            for (name, rate) in &instance.rates {
                if let Some(account) = self.accounts.get_mut(name) {
                    account.level -= rate * (now - from).as_secs_f64();
                }
            }
            instance.counted_until = now;
        }
    }

    /// Returns the tokens and the requests per second of an organisation, for operators.
    pub fn describe(&self, organisation: &Name) -> Option<(f64, f64)> {
        let account = self.accounts.get(organisation)?;
        Some((account.level, account.asked))
    }
}
