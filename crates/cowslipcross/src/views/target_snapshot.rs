//! The targets as this instance sees them.

use {
    crate::views::target_updates::{TargetChanges, TargetUpdateMessage},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::{names::Name, owners::TargetIncarnation},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time without the store after which reports that are missing may have lapsed meanwhile.
const STORE_GAP: Duration = Duration::from_millis(2200);
/// Time after the store's return within which targets that live report again.
const RETURN: Duration = Duration::from_millis(2300);
/// Time by which a target must be cold for longer than was known to be told anew.
const COLDER: Duration = Duration::from_millis(500);

/// A target with what this instance knows of it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// What it reports.
    pub report: Rc<TargetReport>,
    /// Since when it is known to leave.
    pub draining_since: Option<Instant>,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Since when this run of it is known.
    pub known_since: Instant,
}

/// The targets as of a version of the store.
#[derive(Clone, Debug)]
pub struct TargetSnapshot {
    seen: BTreeMap<Name, TargetView>,
    /// Version of the store as of which the view is whole.
    version: u64,
    /// Version of the last change.
    changed: u64,
    /// When the view was true last, for all that is known.
    confirmed: Option<Instant>,
    lenient: Option<Instant>,
}

/// What a heartbeat's word on the targets comes to.
#[derive(Clone, Debug)]
pub enum UpdateResult {
    /// The view is as new.
    Confirmed(TargetSnapshot),
    /// This view is newer.
    Changed(TargetSnapshot),
    /// Changes were missed: the store has to be read.
    Missed,
}

impl TargetSnapshot {
    /// Returns the view of an instance that has not read the targets yet.
    pub fn empty() -> Self {
        Self {
            seen: BTreeMap::new(),
            version: 0,
            changed: 0,
            confirmed: None,
            lenient: None,
        }
    }

    /// Returns whether the targets were ever read.
    pub fn is_known(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Returns when the view was true last, if it ever was.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns the time since then.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the version of the last change.
    pub fn changed_version(&self) -> u64 {
        self.changed
    }

    /// Returns a target by its id.
    pub fn get(&self, id: &str) -> Option<&TargetView> {
        self.seen.get(id)
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &TargetView> {
        self.seen.values()
    }

    /// Returns the targets of a service.
    pub fn for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetView> {
        let all = self.seen.values();
        all.filter(move |seen| &*seen.report.service == service)
    }

    /// Returns the view after a read of the store that was sent at `sent`, and what changed.
    ///
    /// Reports that lapsed while the store was away come back soon after its return; until then a
    /// missing target is kept.
    pub fn with_reports(
        &self,
        reports: Vec<TargetReport>,
        version: u64,
        (sent, now): (Instant, Instant),
    ) -> (Self, TargetChanges) {
        let gap = self.age(sent).is_some_and(|age| age > STORE_GAP);
        let lenient = match gap {
            true => Some(now + RETURN),
            false => self.lenient.filter(|until| *until > now),
        };
        let reports = reports.into_iter().map(|it| (it.id.clone(), it));
        let reports: BTreeMap<Name, TargetReport> = reports.collect();
        let gone = self.seen.keys().filter(|id| !reports.contains_key(*id));
        let gone = gone.filter(|_| lenient.is_none());
        let mut changes: TargetChanges = gone.map(|id| (id.clone(), None)).collect();
        let news = reports.into_iter().filter(|(_, it)| self.differs(it, now));
        changes.extend(news.map(|(id, it)| (id, Some(it))));
        let changed = match changes.is_empty() {
            true => self.changed,
            false => version,
        };
        let next = Self {
            seen: self.applied(&changes, now),
            version: version.max(self.version),
            changed: changed.max(self.changed),
            confirmed: self.confirmed.max(Some(sent)),
            lenient,
        };
        (next, changes)
    }

    /// Returns what the leader's word comes to.
    pub fn apply_message(&self, message: TargetUpdateMessage, now: Instant) -> UpdateResult {
        // Where the leader has not read them yet, nobody learns anything.
        let Some(age) = message.age else {
            return UpdateResult::Confirmed(self.clone());
        };
        let told = now.checked_sub(Duration::from_millis(age));
        let (version, base) = (message.version, message.base);
        let confirmed = self.confirmed.max(told);
        if self.confirmed.is_some() && self.version >= version {
            let changed = version.max(self.changed);
            return UpdateResult::Confirmed(Self {
                confirmed,
                changed,
                ..self.clone()
            });
        }
        let changes = message.into_changes();
        if self.confirmed.is_none() || changes.is_empty() || self.version < base {
            return UpdateResult::Missed;
        }
        UpdateResult::Changed(Self {
            seen: self.applied(&changes, now),
            version,
            changed: version,
            confirmed,
            lenient: self.lenient,
        })
    }

    fn applied(&self, changes: &TargetChanges, now: Instant) -> BTreeMap<Name, TargetView> {
        let mut seen = self.seen.clone();
        for (id, target) in changes {
            match target {
                Some(target) => {
                    let next = TargetView::new(target.clone(), self.seen.get(id), now);
                    seen.insert(id.clone(), next);
                }
                None => drop(seen.remove(id)),
            }
        }
        seen
    }

    /// Returns whether a report says something else than what is known.
    fn differs(&self, new_report: &TargetReport, now: Instant) -> bool {
        let Some(seen) = self.seen.get(&new_report.id) else {
            return true;
        };
        let known = TargetReport {
            cold_remaining: new_report.cold_remaining,
            ..(*seen.report).clone()
        };
        let until = seen.cold_until.unwrap_or(now).max(now);
        known != *new_report || now + new_report.cold_remaining > until + COLDER
    }
}

impl TargetView {
    fn new(target: TargetReport, before: Option<&Self>, now: Instant) -> Self {
        let before = before.filter(|it| it.report.incarnation == target.incarnation);
        let known = before.and_then(|it| it.draining_since);
        let leaving = target.draining.then(|| known.unwrap_or(now));
        let cold = (target.cold_remaining > Duration::ZERO).then(|| now + target.cold_remaining);
        Self {
            draining_since: leaving,
            cold_until: cold,
            known_since: before.map_or(now, |it| it.known_since),
            report: Rc::new(target),
        }
    }

    /// Returns the run of the target.
    pub fn target_incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            id: self.report.id.clone(),
            incarnation: self.report.incarnation,
        }
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}
