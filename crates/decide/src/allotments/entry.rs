//! Admission of organisations' requests at one instance.

use {
    super::{Admission, Allotment, Usage},
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time since the leader's last notice after which the instance keeps to what it let in before: until a new
/// leader tells the admissions, nobody counts what all instances let in together.
const LEADER_SILENCE: Duration = Duration::from_millis(700);
/// Time within which the leader's next notice comes, unless it is lost.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);
/// Time constant with which an instance averages what it lets in.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Part of what the rate allows, or of what was let in before, that instances let in together while the
/// leader is silent: callers that were refused come again, and those of lost instances come to the others.
const SILENCE_MARGIN: f64 = 0.9;
/// Part of an equal share that it lets in at least.
const MIN_SHARE: f64 = 0.25;
/// Requests of an organisation that an instance lets in after each notice of the leader, beyond a second of
/// what it usually does. The leader may be lost just as an organisation begins to send many times its usual.
const NOTICE_BURST: f64 = 4.0;
/// Shortest and longest time after which a refused caller is told to come back.
const MIN_WAIT: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What to do with an organisation's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be served.
    Admit,
    /// The organisation has used its allotment; come back after this time.
    Refuse(Duration),
}

/// Admission of all organisations at one instance.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    organisations: BTreeMap<Name, Entry>,
    /// What the leader told last.
    told: BTreeMap<Name, Admission>,
    /// Number of times that the leader has told the admissions, and when it did last.
    notices: u64,
    told_at: Option<Instant>,
    /// When the last report was taken.
    reported_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    usage: Usage,
    /// Sum of the ratios of the requests so far, less the requests let in.
    credit: f64,
    /// Averages of the requests per second that came and that were let in, until the leader was silent.
    asked: f64,
    admitted: f64,
    /// Tokens until the leader's next notice, when they were counted, and the number of the last notice.
    tokens: f64,
    counted_at: Instant,
    notice: u64,
}

impl Entry {
    /// Creates the entry of an organisation, which is taken to send an equal share to each instance. With
    /// different values of `credit`, 0 to 1, instances that get few requests do not all refuse the same ones.
    fn new(credit: f64, share: f64, now: Instant) -> Self {
        Self {
            usage: Usage::default(),
            credit,
            asked: share,
            admitted: share,
            tokens: 0.0,
            counted_at: now,
            notice: u64::MAX,
        }
    }

    /// Returns the requests per second that the instance lets in while the leader is silent: its part of
    /// what all of them asked for, or what it let in before.
    fn silent_rate(&self, admission: Admission, allotment: Allotment, share: f64) -> f64 {
        if admission.steady < 1.0 {
            return SILENCE_MARGIN * admission.steady * self.asked;
        }
        (MIN_SHARE * share).max(SILENCE_MARGIN * self.admitted.min(allotment.rate))
    }

    /// Takes a token of those that the instance has until the leader's next notice; they come back with each
    /// notice up to `capacity`, and at `rate` a second without one.
    fn try_take(&mut self, (rate, capacity): (f64, f64), notice: u64, now: Instant) -> bool {
        let elapsed = (now - self.counted_at).as_secs_f64();
        let is_new = std::mem::replace(&mut self.notice, notice) != notice;
        self.tokens = match is_new {
            true => capacity,
            false => (self.tokens + rate * elapsed).min(capacity),
        };
        self.counted_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Returns the refusal of a request of an organisation with so many requests per second.
fn refuse(admission: Admission, rate: f64) -> Decision {
    // As many requests go before one that is refused as the ratio is in one.
    let repeats = (1.0 - admission.steady) / admission.steady.max(0.1);
    let wait = admission.wait + repeats.max(1.0 / rate).min(1.0);
    let wait = Duration::from_secs_f64(wait.min(MAX_WAIT.as_secs_f64()));
    Decision::Refuse(wait.clamp(MIN_WAIT, MAX_WAIT))
}

impl EntryAdmission {
    /// Decides about a request of an organisation. `instances` is the number of those among which the
    /// limit is divided while the leader is silent and nothing is known of the organisation; `credit` is a
    /// random number from 0 to 1.
    pub fn admit(
        &mut self,
        organisation: &Name,
        allotment: Allotment,
        (instances, credit): (u32, f64),
        now: Instant,
    ) -> Decision {
        let is_silent = self.is_silent(now);
        let share = allotment.rate / f64::from(instances.max(1));
        let (admission, _) = self.describe(organisation, now);
        let ratio = match is_silent {
            true if self.owes(admission, now) => 0.0,
            true if admission.steady < 1.0 => SILENCE_MARGIN * admission.steady,
            true => 1.0,
            false => admission.ratio,
        };
        let entry = self
            .organisations
            .entry(organisation.clone())
            .or_insert_with(|| Entry::new(credit, share, now));
        entry.usage.asked = entry.usage.asked.saturating_add(1);
        // What was not used is kept for one request at most.
        entry.credit = (entry.credit + ratio).min(2.0);
        if entry.credit < 1.0 {
            return refuse(admission, allotment.rate);
        }
        let rate = entry.silent_rate(admission, allotment, share);
        // The ratio limits an organisation that asks for too much, as long as the leader speaks.
        let needs_token = is_silent || admission.steady >= 1.0;
        let capacity = match admission.steady < 1.0 {
            true => 1.0,
            false => NOTICE_BURST + rate,
        };
        if needs_token && !entry.try_take((rate, capacity), self.notices, now) {
            return refuse(admission, allotment.rate);
        }
        entry.credit -= 1.0;
        entry.usage.admitted += 1;
        Decision::Admit
    }

    /// Returns whether the leader has told nothing for too long.
    fn is_silent(&self, now: Instant) -> bool {
        self.told_at.is_none_or(|at| now - at > LEADER_SILENCE)
    }

    /// Returns whether an organisation has not paid off yet what it owed at the leader's last notice.
    fn owes(&self, admission: Admission, now: Instant) -> bool {
        let wait = Duration::from_secs_f64(admission.wait);
        self.told_at.is_some_and(|at| now < at + wait)
    }

    /// Records that a request that was let in did not run.
    pub fn give_back(&mut self, organisation: &Name) {
        if let Some(entry) = self.organisations.get_mut(organisation) {
            entry.usage.admitted -= 1;
            entry.tokens += 1.0;
        }
    }

    /// Replaces the admissions by those that the leader told; all others are [`Admission::ALL`].
    pub fn apply(&mut self, told: BTreeMap<Name, Admission>, now: Instant) {
        self.notices += 1;
        self.told_at = Some(now);
        self.told = told;
    }

    /// Returns and resets the usage since the last report, without organisations that had none.
    pub fn take_usage(&mut self, now: Instant) -> BTreeMap<Name, Usage> {
        let elapsed = self.reported_at.map_or(Duration::ZERO, |at| now - at);
        let elapsed = elapsed.as_secs_f64();
        self.reported_at = Some(now);
        // Once the leader is lost, an organisation may send many times its usual.
        let is_told = self.told_at.is_some_and(|at| now - at <= NOTICE_INTERVAL);
        let weight = match is_told {
            false => 0.0,
            true => (elapsed / AVERAGE_TIME.as_secs_f64()).min(1.0),
        };
        let mut all = BTreeMap::new();
        for (name, entry) in &mut self.organisations {
            let usage = std::mem::take(&mut entry.usage);
            if weight > 0.0 {
                let rate = |count: f64| count / elapsed;
                entry.asked += weight * (rate(usage.asked.into()) - entry.asked);
                entry.admitted += weight * (rate(usage.admitted.max(0).into()) - entry.admitted);
            }
            if usage != Usage::default() {
                all.insert(name.clone(), usage);
            }
        }
        all
    }

    /// Drops organisations that are no longer in the configuration.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.organisations.retain(|name, _| is_known(name));
    }

    /// Returns what the leader told of an organisation, and how long ago.
    pub fn describe(&self, organisation: &Name, now: Instant) -> (Admission, Option<Duration>) {
        let admission = self.told.get(organisation);
        let admission = admission.copied().unwrap_or(Admission::ALL);
        (admission, self.told_at.map(|at| now - at))
    }
}
