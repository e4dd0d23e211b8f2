//! Telling routing and the holding thread what is in force.

use {
    super::{
        Member, Settled, Step, View,
        force::{Carried, Force, end_of},
    },
    crate::{
        assign::Assignment,
        duty::{Duty, Granted},
        names::{Name, Version},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// All that decides what is in force; within one version its sets only grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cause {
    versions: [Version; 3],
    counts: [usize; 3],
    carries: bool,
    able: bool,
}

impl Member {
    /// Works out what is in force, if its cause has changed, and tells of changes.
    pub(super) fn inform(&mut self, assignment: &Arc<Assignment>) {
        let cause = self.cause(assignment);
        if self.cause.as_ref() == Some(&cause) {
            return;
        }
        self.cause = Some(cause);
        let force = Force {
            assignment,
            losses: &self.losses,
            floor: self.facts.floor,
            quiet: self.facts.quiet,
            ready: &self.facts.ready,
            carried: &self.carried,
        };
        let view = View::new(&force);
        self.give_duties(&view);
        if self.view.as_ref() != Some(&view) {
            self.view = Some(view.clone());
            self.steps.push(Step::View(view));
        }
    }

    fn cause(&self, assignment: &Assignment) -> Cause {
        Cause {
            versions: [assignment.version, self.facts.floor, self.facts.quiet],
            counts: [
                self.losses.targets.len(),
                self.losses.instances.len(),
                self.facts.ready.len(),
            ],
            carries: self.carried != Carried::default(),
            able: self.can_hold(),
        }
    }

    /// Returns whether this instance may hold targets, if it has a lease.
    pub(super) fn can_hold(&self) -> bool {
        self.synced && !self.superseded && !self.doubts.contains(&self.me) && self.is_member()
    }

    fn give_duties(&mut self, view: &View) {
        let basis = Settled {
            version: view.version(),
            targets: self.losses.targets.clone(),
        };
        let held = self.held(view);
        if let Some(duties) = self.book.give(basis, held) {
            self.steps.push(Step::Duties(duties));
        }
    }

    /// Returns the duties that follow from `view`; none while this instance cannot have a lease.
    fn held(&self, view: &View) -> BTreeMap<Name, Duty> {
        let able = self.can_hold();
        let targets = view.assignment.holdings.keys();
        let mine = targets.filter(|target| able && view.holder(target) == Some(&self.me));
        let mut held: BTreeMap<_, _> = mine
            .map(|target| (target.clone(), self.duty(target)))
            .collect();
        for (service, ranges) in &view.assignment.ranges {
            for (i, owner) in view.owners(service).iter().enumerate() {
                let Some(owner) = owner else { continue };
                let Some(duty) = held.get_mut(&owner.target) else {
                    continue;
                };
                duty.ranges.push(Granted {
                    service: service.clone(),
                    start: ranges[i].start,
                    end: end_of(ranges, i),
                    fence: owner.fence,
                });
            }
        }
        held
    }

    /// Returns a duty without ranges; requests of others may run at a target that is new here.
    fn duty(&self, target: &Name) -> Duty {
        let before = self.book.held.get(target);
        Duty {
            ranges: Vec::new(),
            taken_over: before.is_none_or(|duty| duty.taken_over),
        }
    }
}
