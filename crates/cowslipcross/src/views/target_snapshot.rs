//! Immutable snapshots of the targets, as read from the store or received from the leader.

use {
    crate::views::target_updates::{TargetChanges, TargetUpdateMessage},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::{
        names::{Name, StoreVersion},
        owners::TargetIncarnation,
    },
    std::{collections::BTreeMap, iter, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time without a confirmation of the snapshot after which missing reports may have expired because
/// the store was unavailable to the targets, too.
const MAX_READ_GAP: Duration = Duration::from_millis(2200);
/// Time after the store has recovered within which live targets report again.
const REPORT_GRACE_PERIOD: Duration = Duration::from_millis(2300);
/// A report that postpones the end of a target's cold time by no more than this is no change.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);
/// Time for which an incarnation is remembered as draining; no target takes longer to stop.
const DRAINING_MEMORY: Duration = Duration::from_secs(3600);

/// A target as last reported, with the local times of its changes.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Last report of the target.
    pub report: Rc<TargetReport>,
    /// When the target was first known to drain; `None` if it does not.
    pub draining_since: Option<Instant>,
    /// When the target will be warm; `None` if it was reported as warm.
    pub cold_until: Option<Instant>,
    /// When this incarnation of the target was first known.
    pub known_since: Instant,
}

/// All targets at a version of the store.
#[derive(Clone, Debug)]
pub struct TargetSnapshot {
    views: BTreeMap<Name, TargetView>,
    /// When each incarnation was first known to drain. An incarnation never stops draining, even if
    /// a later report says so or its report was missing for some time.
    draining: Rc<BTreeMap<TargetIncarnation, Instant>>,
    /// Store version up to which all reports are included.
    store_version: StoreVersion,
    /// Version of the store at the last change, or at the first read in its era if that is later.
    changed_version: StoreVersion,
    /// Era of the store at the last read; the leader may have told of a later one.
    read_era: u64,
    /// When the last read that confirmed the snapshot was sent, here or at the leader; `None`
    /// before the first read.
    confirmed_at: Option<Instant>,
    /// Until when missing targets are kept after a gap between reads.
    grace_until: Option<Instant>,
    /// When the store has to be read again, whatever heartbeats confirm: the last read may have contradicted what the
    /// leader knows.
    recheck_at: Option<Instant>,
    /// Reports of a restored store that contradict what was known before, as of targets that have left: not used while
    /// missing targets are kept, unless the target writes another one.
    held_back: Rc<BTreeMap<Name, ReportNumber>>,
}

/// Which of a target's reports it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportNumber {
    incarnation: u64,
    sequence: u64,
}

/// Result of applying a heartbeat's part about targets.
#[derive(Clone, Debug)]
pub enum UpdateResult {
    /// The targets are the same; the snapshot has a new time of confirmation.
    Confirmed(TargetSnapshot),
    /// Targets have changed.
    Changed(TargetSnapshot),
    /// Changes were missed; the targets have to be read from the store.
    Missed,
    /// The leader has not read the restored store that the snapshot is of; its message says nothing of it.
    Unrelated,
}

impl TargetSnapshot {
    /// Returns the snapshot of an instance that has not read the targets yet.
    pub fn empty() -> Self {
        Self {
            views: BTreeMap::new(),
            draining: Rc::default(),
            store_version: StoreVersion::NONE,
            changed_version: StoreVersion::NONE,
            read_era: 0,
            confirmed_at: None,
            grace_until: None,
            recheck_at: None,
            held_back: Rc::default(),
        }
    }

    /// Returns whether the targets were ever read from the store.
    pub fn is_known(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns when the last read that confirmed the snapshot was sent; `None` before the first.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since [`Self::confirmed_at`].
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns when the targets have to be read from the store: `max_age` after the last confirmation, or earlier if the
    /// last read has to be checked; `None` before the first read.
    pub fn read_due(&self, max_age: Duration) -> Option<Instant> {
        let due = self.confirmed_at? + max_age;
        Some(self.recheck_at.map_or(due, |at| at.min(due)))
    }

    /// Returns whether all targets have a report; those that lack one are kept for some time after a gap
    /// between reads.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.grace_until.is_none_or(|until| until <= now)
    }

    /// Returns the version of the store at the last change, or at the first read in its era if that is later.
    pub fn changed_version(&self) -> StoreVersion {
        self.changed_version
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<&TargetView> {
        self.views.get(id)
    }

    /// Returns the target if its last report is that of this incarnation.
    pub fn get_incarnation(&self, target: &TargetIncarnation) -> Option<&TargetView> {
        let view = self.get(&target.id)?;
        (view.report.incarnation == target.incarnation).then_some(view)
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &TargetView> {
        self.views.values()
    }

    /// Returns the targets of a service.
    pub fn for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetView> {
        let all = self.views.values();
        all.filter(move |view| &*view.report.service == service)
    }

    /// Returns the snapshot after a read of the store that was sent at `sent_at`, here or at the leader, and the
    /// changes.
    ///
    /// Reports that expired while the store was unavailable, or that a restored store lacks, are
    /// written again soon after it is available; until then missing targets are kept.
    pub fn with_reports(
        &self,
        reports: Vec<TargetReport>,
        version: StoreVersion,
        (sent_at, now): (Instant, Instant),
    ) -> (Self, TargetChanges) {
        let has_read_gap = self.age(sent_at).is_some_and(|age| age > MAX_READ_GAP);
        let grace_until = match has_read_gap {
            true => Some(now + REPORT_GRACE_PERIOD),
            false => self.grace_after(version, now),
        };
        let reports = reports.into_iter().map(|it| (it.id.clone(), it));
        let mut reports: BTreeMap<Name, TargetReport> = reports.collect();
        let is_first_of_era = version.era > self.read_era;
        let held_back = match grace_until {
            Some(_) if is_first_of_era => self.contradicting_reports(&reports),
            Some(_) => self.held_back.clone(),
            None => Rc::default(),
        };
        reports.retain(|id, it| held_back.get(id) != Some(&ReportNumber::from(&*it)));
        let missing = self.views.keys().filter(|id| !reports.contains_key(*id));
        let missing: Vec<&Name> = missing.collect();
        let recheck_at = match is_first_of_era || !self.is_known() {
            // Live targets may not have reported again after a restoration or an outage of the store.
            true => Some(now + REPORT_GRACE_PERIOD),
            false if !missing.is_empty() || !held_back.is_empty() => grace_until,
            false => self.recheck_at.filter(|at| *at > now),
        };
        let removed = missing.into_iter().filter(|_| grace_until.is_none());
        let mut changes: TargetChanges = removed.map(|id| (id.clone(), None)).collect();
        let updated = reports
            .into_iter()
            .filter(|(_, it)| self.is_changed(it, now));
        changes.extend(updated.map(|(id, it)| (id, Some(it))));
        // Other instances may have read a restored store at another moment than this one.
        let is_changed = !changes.is_empty() || version.era > self.store_version.era;
        let changed_version = match is_changed {
            true => version,
            false => self.changed_version,
        };
        let draining = self.draining_after(&changes, now);
        let next = Self {
            views: self.apply_changes(&changes, &draining, now),
            draining,
            store_version: version.max(self.store_version),
            changed_version: changed_version.max(self.changed_version),
            read_era: version.era.max(self.read_era),
            confirmed_at: self.confirmed_at.max(Some(sent_at)),
            grace_until,
            recheck_at,
            held_back,
        };
        (next, changes)
    }

    /// Applies a heartbeat's part about targets.
    pub fn apply_message(&self, message: TargetUpdateMessage, now: Instant) -> UpdateResult {
        // The leader has not read the targets yet.
        let Some(age_ms) = message.age_ms else {
            return UpdateResult::Confirmed(self.clone());
        };
        let read_at = now.checked_sub(Duration::from_millis(age_ms));
        let (version, base_version) = (message.version, message.base_version);
        let confirmed_at = self.confirmed_at.max(read_at);
        if version.era < self.store_version.era {
            return UpdateResult::Unrelated;
        }
        if self.confirmed_at.is_some() && self.store_version >= version {
            // Reads here have included the leader's last change already.
            let changed_version = version.max(self.changed_version);
            return UpdateResult::Confirmed(Self {
                confirmed_at,
                changed_version,
                ..self.clone()
            });
        }
        let changes = message.into_changes();
        if self.confirmed_at.is_none() || changes.is_empty() {
            return UpdateResult::Missed;
        }
        if base_version.is_none() {
            // The leader's first read is its whole table: what it lacks has no report.
            let reports = changes.into_values().flatten().collect();
            let (next, _) = self.with_reports(reports, version, (read_at.unwrap_or(now), now));
            return UpdateResult::Changed(next);
        }
        // A table of a restored store may lack changes that the base of these has.
        let follows_base = self.store_version.era == base_version.era;
        if !follows_base || self.store_version < base_version {
            return UpdateResult::Missed;
        }
        let draining = self.draining_after(&changes, now);
        UpdateResult::Changed(Self {
            views: self.apply_changes(&changes, &draining, now),
            draining,
            store_version: version,
            changed_version: version,
            read_era: self.read_era,
            confirmed_at,
            grace_until: self.grace_after(version, now),
            recheck_at: self.recheck_at,
            held_back: self.held_back.clone(),
        })
    }

    /// Returns until when missing targets are kept once a version of the store is known: the first one of a
    /// restored store starts the time anew, whether it was read or the leader told it.
    fn grace_after(&self, version: StoreVersion, now: Instant) -> Option<Instant> {
        let is_restored = self.is_known() && version.era > self.store_version.era;
        match is_restored {
            true => Some(now + REPORT_GRACE_PERIOD),
            false => self.grace_until.filter(|until| *until > now),
        }
    }

    /// Returns the reports of a store that has just been restored that contradict this snapshot: of targets that it does
    /// not have, which may have left since the backup, and of earlier starts of those that it has.
    fn contradicting_reports(
        &self,
        reports: &BTreeMap<Name, TargetReport>,
    ) -> Rc<BTreeMap<Name, ReportNumber>> {
        let is_known = |report: &TargetReport| {
            let view = self.get(&report.id);
            view.is_some_and(|it| it.report.incarnation <= report.incarnation)
        };
        let contradicting = reports.iter().filter(|(_, it)| !is_known(it));
        let numbers = contradicting.map(|(id, it)| (id.clone(), ReportNumber::from(it)));
        Rc::new(numbers.collect())
    }

    /// Returns the targets whose reports have come back with a restored store since an earlier snapshot. They may have
    /// ended before, and started anew without a report yet.
    pub fn returned_since(&self, earlier: &Self) -> Vec<TargetIncarnation> {
        let is_restored = earlier.is_known() && self.store_version.era > earlier.store_version.era;
        let is_released = |report: &TargetReport| {
            let held_back = earlier.held_back.get(&report.id);
            held_back == Some(&ReportNumber::from(report))
        };
        let unknown = self.views.values().filter(|view| {
            let known = earlier.get_incarnation(&view.target_incarnation());
            known.is_none() && (is_restored || is_released(&view.report))
        });
        unknown.map(TargetView::target_incarnation).collect()
    }

    /// Returns the snapshot after an incarnation has announced by other means than its report that
    /// it is about to stop; `None` if it was known to drain.
    pub fn with_draining(&self, target: &TargetIncarnation, now: Instant) -> Option<Self> {
        if self.draining.contains_key(target) {
            return None;
        }
        let draining = add_draining(&self.draining, iter::once(target.clone()), now);
        let mut views = self.views.clone();
        if let Some(view) = views
            .get_mut(&target.id)
            .filter(|it| it.report.incarnation == target.incarnation)
        {
            view.draining_since = Some(now);
        }
        Some(Self {
            views,
            draining,
            ..self.clone()
        })
    }

    /// Returns the draining incarnations after changes of reports.
    fn draining_after(
        &self,
        changes: &TargetChanges,
        now: Instant,
    ) -> Rc<BTreeMap<TargetIncarnation, Instant>> {
        let reported = changes.values().flatten().filter(|it| it.draining);
        let reported: Vec<TargetIncarnation> = reported.map(target_incarnation).collect();
        match reported.is_empty() {
            true => self.draining.clone(),
            false => add_draining(&self.draining, reported.into_iter(), now),
        }
    }

    fn apply_changes(
        &self,
        changes: &TargetChanges,
        draining: &BTreeMap<TargetIncarnation, Instant>,
        now: Instant,
    ) -> BTreeMap<Name, TargetView> {
        let mut views = self.views.clone();
        for (id, report) in changes {
            match report {
                Some(report) => {
                    let draining_since = draining.get(&target_incarnation(report)).copied();
                    let previous = self.views.get(id);
                    let next = TargetView::new(report.clone(), draining_since, previous, now);
                    views.insert(id.clone(), next);
                }
                None => drop(views.remove(id)),
            }
        }
        views
    }

    /// Returns whether a report differs from the last one by more than its number and the passing of
    /// cold time.
    fn is_changed(&self, new_report: &TargetReport, now: Instant) -> bool {
        let Some(view) = self.views.get(&new_report.id) else {
            return true;
        };
        let known = TargetReport {
            cold_remaining: new_report.cold_remaining,
            sequence: new_report.sequence,
            ..(*view.report).clone()
        };
        if known != *new_report {
            return true;
        }
        // The cold time counts from the first read of a report, not from each.
        let is_same_report = view.report.sequence == new_report.sequence;
        let cold_end = view.cold_until.unwrap_or(now).max(now);
        !is_same_report && now + new_report.cold_remaining > cold_end + COLD_TOLERANCE
    }
}

impl TargetView {
    fn new(
        report: TargetReport,
        draining_since: Option<Instant>,
        previous: Option<&Self>,
        now: Instant,
    ) -> Self {
        let previous = previous.filter(|it| it.report.incarnation == report.incarnation);
        let cold_until =
            (report.cold_remaining > Duration::ZERO).then(|| now + report.cold_remaining);
        Self {
            draining_since,
            cold_until,
            known_since: previous.map_or(now, |it| it.known_since),
            report: Rc::new(report),
        }
    }

    /// Returns the id and incarnation of the target.
    pub fn target_incarnation(&self) -> TargetIncarnation {
        target_incarnation(&self.report)
    }

    /// Returns whether the target is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

impl From<&TargetReport> for ReportNumber {
    fn from(report: &TargetReport) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
        }
    }
}

fn target_incarnation(report: &TargetReport) -> TargetIncarnation {
    TargetIncarnation {
        id: report.id.clone(),
        incarnation: report.incarnation,
    }
}

/// Returns the draining incarnations with further ones, without those known for longer than
/// [`DRAINING_MEMORY`].
fn add_draining(
    known: &BTreeMap<TargetIncarnation, Instant>,
    added: impl Iterator<Item = TargetIncarnation>,
    now: Instant,
) -> Rc<BTreeMap<TargetIncarnation, Instant>> {
    let is_recent = |since: &Instant| now.saturating_duration_since(*since) < DRAINING_MEMORY;
    let mut draining: BTreeMap<_, _> = known
        .iter()
        .filter(|(_, since)| is_recent(since))
        .map(|(target, since)| (target.clone(), *since))
        .collect();
    for target in added {
        draining.entry(target).or_insert(now);
    }
    Rc::new(draining)
}

#[cfg(test)]
#[path = "target_snapshot_tests.rs"]
mod tests;
