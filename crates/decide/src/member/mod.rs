//! The member machine: leases, losses and versions, agreed by heartbeats alone.
//!
//! [`Member`] takes what its driver hears, with the time, and returns [`Step`]s. It decides
//! whether this instance may send to targets, which losses are in force, and when the entries of
//! a new version are. `docs/DESIGN.md`, "Authority", gives the rules and why they hold.

mod adopt;
mod beat;
mod book;
mod carry;
mod facts;
mod force;
mod inform;
mod lease;
mod loss;
mod message;
mod peer;
mod query;
mod status;
mod step;
mod sync;
mod timing;
mod view;

pub use {
    message::{Ack, Heartbeat, Settled},
    status::{PeerStatus, Status},
    step::{Lost, Step},
    timing::Timing,
    view::View,
};

use {
    crate::{
        assign::{Assignment, Losses},
        duty::{HoldReport, LeaseEnd, Load},
        names::{Incarnation, Name, Version},
    },
    beat::Rounds,
    book::Book,
    facts::Facts,
    force::Carried,
    inform::Cause,
    peer::Peer,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    tokio::time::Instant,
};

/// One instance's part in deciding who may send to which target.
///
/// The driver calls [`Member::tick`] each 10 ms or so and the other inputs as things happen.
#[derive(Clone, Debug)]
pub struct Member {
    me: Name,
    incarnation: Incarnation,
    timing: Timing,
    /// Instances to talk to before an assignment names the members.
    contacts: BTreeSet<Name>,
    started: Instant,
    /// When the driver called last.
    called: Instant,
    config: Version,
    assignment: Option<Arc<Assignment>>,
    /// Whether this instance knows all that earlier runs of it may have promised.
    synced: bool,
    /// Whether a later run of this instance is known.
    superseded: bool,
    losses: Losses,
    /// Instances that are not acknowledged again at this version; includes the lost ones.
    doubts: BTreeSet<Name>,
    /// Targets whose loss this instance proposed at this version.
    proposed: BTreeSet<Name>,
    /// Silent targets whose loss is left to the planner, and when each was reported last.
    withheld: BTreeMap<Name, Instant>,
    peers: BTreeMap<Name, Peer>,
    facts: Facts,
    carried: Carried,
    book: Book,
    view: Option<View>,
    /// What the view and the duties follow from.
    cause: Option<Cause>,
    lease: LeaseEnd,
    rounds: Rounds,
    loads: BTreeMap<Name, Load>,
    /// Since when no majority of synced members has been found.
    bare: Option<Instant>,
    steps: Vec<Step>,
}

impl Member {
    /// Creates the machine of the instance `me`, which talks to `contacts` until an assignment
    /// names the members.
    pub fn new(
        me: Name,
        incarnation: Incarnation,
        contacts: BTreeSet<Name>,
        timing: Timing,
        now: Instant,
    ) -> Self {
        Self {
            me,
            incarnation,
            timing,
            contacts,
            started: now,
            called: now,
            config: Version::default(),
            assignment: None,
            synced: false,
            superseded: false,
            losses: Losses::default(),
            doubts: BTreeSet::new(),
            proposed: BTreeSet::new(),
            withheld: BTreeMap::new(),
            peers: BTreeMap::new(),
            facts: Facts::default(),
            carried: Carried::default(),
            book: Book::default(),
            view: None,
            cause: None,
            lease: None,
            rounds: Rounds::default(),
            loads: BTreeMap::new(),
            bare: Some(now),
            steps: Vec::new(),
        }
    }

    /// Lets time pass: sends heartbeats that are due and draws what follows from silence.
    pub fn tick(&mut self, now: Instant) -> Vec<Step> {
        self.begin(now);
        self.finish(now)
    }

    /// Takes a heartbeat of another instance.
    pub fn hear(&mut self, now: Instant, beat: Heartbeat) -> Vec<Step> {
        self.begin(now);
        self.take(now, beat);
        self.finish(now)
    }

    /// Takes an acknowledgement of a heartbeat of this instance.
    pub fn acked(&mut self, now: Instant, ack: Ack) -> Vec<Step> {
        self.begin(now);
        self.take_ack(ack);
        self.finish(now)
    }

    /// Takes an assignment that is recorded in the table, read there or got from a peer.
    pub fn adopt(&mut self, now: Instant, assignment: Arc<Assignment>) -> Vec<Step> {
        self.begin(now);
        if assignment.version > self.version() {
            self.move_on(now, assignment);
        }
        self.finish(now)
    }

    /// Takes a report of the holding thread.
    pub fn report(&mut self, now: Instant, report: HoldReport) -> Vec<Step> {
        self.begin(now);
        match report {
            HoldReport::Settled { seq } => self.book.settle(seq),
            HoldReport::Silent { target } => self.silent_target(now, &target),
            HoldReport::Loads(loads) => self.loads = loads,
        }
        self.finish(now)
    }

    /// Notes that the clock of the driver jumped: nothing is sent until a new lease is given.
    pub fn gap(&mut self, now: Instant) -> Vec<Step> {
        self.begin(now);
        self.lapse(now);
        self.finish(now)
    }

    /// Notes the version of the configuration that is in force here.
    pub fn config(&mut self, version: Version) {
        self.config = self.config.max(version);
    }

    fn begin(&mut self, now: Instant) {
        if now >= self.called + self.timing.pause() {
            self.lapse(now);
        }
        if self.lease.is_some_and(|end| end <= now) {
            self.carried = Carried::default();
        }
        let bound = self.timing.target_silence * 2;
        self.withheld.retain(|_, at| now < *at + bound);
        self.called = now;
    }

    fn finish(&mut self, now: Instant) -> Vec<Step> {
        self.draw(now);
        self.renew_lease(now);
        self.send_round(now);
        std::mem::take(&mut self.steps)
    }

    /// Draws all that follows at `now` from what is known.
    fn draw(&mut self, now: Instant) {
        self.sync(now);
        self.vote(now);
        self.commit(now);
        self.note_majority(now);
        let Some(assignment) = self.assignment.clone() else {
            return;
        };
        loop {
            let settled = self.book.settled.clone();
            self.report_own(&assignment);
            self.facts.draw(now, &assignment, &self.losses.targets);
            self.inform(&assignment);
            if settled == self.book.settled {
                break;
            }
        }
    }

    fn report_own(&mut self, assignment: &Assignment) {
        if let Some(settled) = self.book.settled.as_ref().filter(|_| self.synced) {
            self.facts.report(assignment, &self.me, settled);
        }
    }

    fn is_member(&self) -> bool {
        let mine = self.assignment.as_ref();
        mine.is_some_and(|assignment| assignment.members.contains(&self.me))
    }
}

/// Returns how many of `n` members are a majority.
fn majority(n: usize) -> usize {
    n / 2 + 1
}
