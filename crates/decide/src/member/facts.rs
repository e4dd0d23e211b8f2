//! What is known for good: who has settled what, and what no instance can do any more.
//!
//! Every fact here stays true whatever comes later, so that facts only add up.

use {
    super::{Settled, carry},
    crate::{
        assign::Assignment,
        names::{Name, Version},
    },
    std::collections::{BTreeMap, BTreeSet},
    tokio::time::Instant,
};

/// Facts that a member has gathered.
#[derive(Clone, Debug, Default)]
pub(super) struct Facts {
    /// What each member has settled in its newest run.
    reports: BTreeMap<Name, Settled>,
    /// Version below which an instance has sent its last.
    halted: BTreeMap<Name, Version>,
    /// Version below which an instance has sent its last, and no grant of it is left.
    closed: BTreeMap<Name, Version>,
    /// The same from a moment on, when the grants of a lost instance have run out.
    closing: BTreeMap<Name, Vec<(Instant, Version)>>,
    /// Version below which no instance sends or has granted anything any more.
    pub(super) floor: Version,
    /// Version below which no instance sends any more; grants may be left.
    pub(super) quiet: Version,
    /// Lost targets whose loss is settled everywhere.
    pub(super) ready: BTreeSet<Name>,
}

impl Facts {
    /// Adds what `name` has settled, as seen from `assignment`.
    pub(super) fn report(&mut self, assignment: &Assignment, name: &Name, settled: &Settled) {
        let report = self.reports.entry(name.clone()).or_default();
        report.version = report.version.max(settled.version);
        if settled.version <= assignment.version {
            let kept = |target: &&Name| {
                settled.version == assignment.version
                    || carry::keeps_target(assignment, target, settled.version)
            };
            report
                .targets
                .extend(settled.targets.iter().filter(kept).cloned());
        }
    }

    /// Forgets the reports of an earlier run.
    pub(super) fn forget(&mut self, name: &Name) {
        self.reports.remove(name);
    }

    /// Notes that `name` sends nothing below `version` any more and its last grants end by `due`.
    pub(super) fn close(&mut self, name: &Name, version: Version, due: Instant) {
        let halted = self.halted.entry(name.clone()).or_default();
        *halted = version.max(*halted);
        let closing = self.closing.entry(name.clone()).or_default();
        closing.push((due, version));
    }

    /// Moves on to a later assignment; `lost` are the instances whose loss goes on.
    pub(super) fn adopt(&mut self, next: &Assignment, from: Version, lost: &BTreeSet<Name>) {
        for report in self.reports.values_mut() {
            report.targets = carry::targets(next, &report.targets, from);
        }
        self.ready = carry::targets(next, &self.ready, from);
        for name in lost {
            self.raise(name, from.next(), next.version.next());
        }
    }

    /// Extends the closing of an instance that is still lost at a later version.
    fn raise(&mut self, name: &Name, from: Version, to: Version) {
        for known in [&mut self.halted, &mut self.closed] {
            if let Some(version) = known.get_mut(name).filter(|v| **v == from) {
                *version = to;
            }
        }
        let closing = self.closing.get_mut(name).into_iter().flatten();
        for (_, version) in closing.filter(|(_, v)| *v == from) {
            *version = to;
        }
    }

    /// Draws what follows at `now`.
    pub(super) fn draw(&mut self, now: Instant, assignment: &Assignment, lost: &BTreeSet<Name>) {
        self.expire(now);
        let version = assignment.version;
        let closed = |facts: &Self, name: &Name| facts.left(&facts.closed, name, version);
        if self.floor < version && self.everyone(assignment, closed) {
            self.floor = version;
        }
        let halted = |facts: &Self, name: &Name| facts.left(&facts.halted, name, version);
        if self.quiet < version && self.everyone(assignment, halted) {
            self.quiet = version;
        }
        for target in lost.difference(&self.ready.clone()) {
            let settled = |facts: &Self, name: &Name| facts.gave_up(name, target, version);
            if self.everyone(assignment, settled) {
                self.ready.insert(target.clone());
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        for (name, closing) in &mut self.closing {
            let due = closing.iter().filter(|(due, _)| *due <= now);
            if let Some(version) = due.map(|(_, version)| *version).max() {
                let closed = self.closed.entry(name.clone()).or_default();
                *closed = version.max(*closed);
                closing.retain(|(due, _)| *due > now);
            }
        }
    }

    /// Returns whether each member did something or is closed, and a majority did it.
    fn everyone(&self, assignment: &Assignment, done: impl Fn(&Self, &Name) -> Done) -> bool {
        let mut reported = 0;
        for name in &assignment.members {
            match done(self, name) {
                Done::Reported => reported += 1,
                Done::Closed => {}
                Done::No => return false,
            }
        }
        reported >= super::majority(assignment.members.len())
    }

    /// Returns whether `name` has left all versions below `version`, if lost according to `lost`.
    fn left(&self, lost: &BTreeMap<Name, Version>, name: &Name, version: Version) -> Done {
        let report = self.reports.get(name);
        if report.is_some_and(|report| report.version >= version) {
            return Done::Reported;
        }
        closed_at(lost, name, version)
    }

    /// Returns whether `name` has given up `target`, lost at `version`.
    fn gave_up(&self, name: &Name, target: &Name, version: Version) -> Done {
        let report = self.reports.get(name);
        if report.is_some_and(|report| report.targets.contains(target)) {
            return Done::Reported;
        }
        closed_at(&self.closed, name, version.next())
    }

    /// Returns the members that have left all versions below `version`.
    pub(super) fn settled_by(&self, assignment: &Assignment, version: Version) -> BTreeSet<Name> {
        let left = |name: &&Name| !matches!(self.left(&self.closed, name, version), Done::No);
        assignment.members.iter().filter(left).cloned().collect()
    }
}

fn closed_at(lost: &BTreeMap<Name, Version>, name: &Name, version: Version) -> Done {
    match lost.get(name) {
        Some(closed) if *closed >= version => Done::Closed,
        _ => Done::No,
    }
}

/// How it is known that a member no longer does something.
enum Done {
    /// The member said so.
    Reported,
    /// The member was lost and its last grants have run out.
    Closed,
    /// It is not known.
    No,
}
