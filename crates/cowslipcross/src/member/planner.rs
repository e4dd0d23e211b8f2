//! The planner role: election by the planner row, and assignments recorded in the table.
//!
//! The calls of the table run beside the member machine; one at a time, so that each follows from
//! what the one before has left.

use {
    super::{
        MemberEvent, Rings,
        driver::Driver,
        fetch::{self, ALONE, ASSIGNMENT},
        known::Known,
        write::{self, Written},
    },
    crate::{
        context::Context,
        events::{self, About},
    },
    cowslip_decide::{
        assign::{Assignment, Losses},
        duty::Load,
        elect::{self, Elect, Standing},
        names::{Epoch, Name, Version},
        plan::{self, Instance, PlanStep, Rates},
    },
    cowslip_platform::{
        instances::{Entry, Kind, State},
        table::{Condition, Write},
    },
    cowslip_settings::topology,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Partition key of the planner's row.
const PLANNER: &str = "planner";
/// Period in which the planner looks at losses and loads.
const PLAN_PERIOD: Duration = Duration::from_millis(50);
/// Pause after a step that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// End of a call of the planner.
#[derive(Debug)]
pub enum Outcome {
    /// The planner row was read.
    Row(Option<elect::Planner>),
    /// The row was taken: this instance is the planner.
    Taken,
    /// The row could not be read or taken; the row that stands instead, if it is known.
    NotTaken(Option<elect::Planner>),
    /// The assignment in the table, which a planner reads before its first plan.
    Read(Option<Arc<Assignment>>),
    /// An assignment was recorded.
    Recorded(Arc<Assignment>),
    /// An assignment was not recorded, or it is not known whether it was.
    NotRecorded(Option<elect::Planner>),
    /// The instance list.
    Listed(Option<Vec<Entry>>),
}

/// What the planner role keeps.
#[derive(Debug)]
pub(super) struct Planner {
    elect: Elect,
    /// Whether a call is under way.
    busy: bool,
    /// Whether the table's assignment has to be read before the next plan.
    unread: bool,
    next: Instant,
    list: Vec<Entry>,
    list_busy: bool,
    list_next: Instant,
    list_period: Duration,
    planning: bool,
    rates: Rates,
    /// Version at which something was lost, and since when.
    lost_since: Option<(Version, Instant)>,
}

impl Planner {
    /// Returns the role of an instance that knows no planner.
    pub(super) fn new(context: &Context, now: Instant) -> Self {
        Self {
            elect: Elect::new(context.name.clone(), context.incarnation, now),
            busy: false,
            unread: true,
            next: now,
            list: Vec::new(),
            list_busy: false,
            list_next: now,
            list_period: Duration::from_millis(context.settings.timing.poll_ms),
            planning: false,
            rates: Rates::default(),
            lost_since: None,
        }
    }

    /// Returns the planner that this instance knows.
    pub(super) fn known(&self) -> Option<Name> {
        self.elect.planner().map(|planner| planner.instance.clone())
    }
}

impl Driver {
    /// Takes the next step of the planner role, if one is due.
    pub(super) fn plan(&mut self, now: Instant) {
        self.hear_planner(now);
        if self.planner.busy || now < self.planner.next {
            return;
        }
        let step = self.elect_step(now, |elect, standing| elect.step(standing, now));
        self.elected(step, now);
    }

    pub(super) fn planned(&mut self, outcome: Outcome, now: Instant) {
        if let Outcome::Listed(list) = outcome {
            return self.listed(list);
        }
        self.planner.busy = false;
        match outcome {
            Outcome::Row(row) => {
                let step = self.elect_step(now, |elect, standing| {
                    elect.read(row.as_ref(), standing, now)
                });
                self.elected(step, now);
            }
            Outcome::Taken => {
                self.planner.unread = true;
                let step = self.elect_step(now, |elect, standing| elect.taken(standing, now));
                self.elected(step, now);
            }
            Outcome::NotTaken(seen) => {
                self.elect_step(now, |elect, standing| {
                    elect.failed(seen.as_ref(), standing, now)
                });
                self.planner.next = now + FAILURE_PAUSE;
            }
            Outcome::Read(found) => self.read_assignment(found, now),
            Outcome::Recorded(assignment) => {
                // What a target served before a move says nothing of its share afterwards.
                if self
                    .member
                    .assignment()
                    .is_none_or(|it| it.ranges != assignment.ranges)
                {
                    self.planner.rates.forget();
                }
                let about = About {
                    detail: Some(format!("version {}", assignment.version)),
                    ..About::default()
                };
                self.context.events.note(events::ASSIGNMENT_RECORDED, about);
                self.adopt(assignment, now);
            }
            Outcome::NotRecorded(seen) => {
                self.planner.elect.replaced(seen.as_ref(), now);
                self.planner.unread = true;
                self.planner.next = now + FAILURE_PAUSE;
            }
            Outcome::Listed(_) => {}
        }
    }

    /// Tells the election that the recorded planner was heard, if it was.
    fn hear_planner(&mut self, now: Instant) {
        let Some(known) = self.planner.elect.planner().cloned() else {
            return;
        };
        let runs = self.member.incarnations(now);
        if runs.get(&known.instance) == Some(&known.incarnation) {
            self.planner.elect.hear(&known, now);
        }
    }

    /// Gives the election what it needs to know of the members.
    fn elect_step(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut Elect, Standing) -> elect::Step,
    ) -> elect::Step {
        // While all are lost, or a reset is needed, nobody can have a lease; the epoch keeps
        // planners apart.
        let leased = self.member.has_lease(now)
            || self.member.sees_majority()
            || self.member.reset_needed(now);
        let standing = Standing {
            leased,
            lost: &self.member.lost().instances,
            members: self.context.settings.peers.len() + 1,
        };
        step(&mut self.planner.elect, standing)
    }

    fn elected(&mut self, step: elect::Step, now: Instant) {
        let planning = matches!(step, elect::Step::Plan { .. });
        self.note_role(planning);
        match step {
            elect::Step::Idle { .. } => {}
            elect::Step::Read => self.call(|rings| async move { read_row(&rings).await }),
            elect::Step::Take { replaces, row } => {
                self.call(move |rings| async move { take_row(&rings, replaces, row).await });
            }
            elect::Step::Plan { .. } if self.planner.unread => self.call(|rings| async move {
                let found = fetch::table_row(&rings).await;
                match found {
                    Ok(found) => Outcome::Read(found.map(Arc::new)),
                    Err(()) => Outcome::NotRecorded(None),
                }
            }),
            elect::Step::Plan { epoch } => self.make_plan(epoch, now),
        }
    }

    fn note_role(&mut self, planning: bool) {
        let before = std::mem::replace(&mut self.planner.planning, planning);
        let code = match (before, planning) {
            (false, true) => events::PLANNER_ELECTED,
            (true, false) => events::PLANNER_REPLACED,
            _ => return,
        };
        let epoch = self
            .planner
            .elect
            .planner()
            .map_or(Epoch(0), |planner| planner.epoch);
        let about = About {
            instance: Some(self.context.name.clone()),
            detail: Some(format!("epoch {epoch}")),
            ..About::default()
        };
        self.context.events.note(code, about);
    }

    fn read_assignment(&mut self, found: Option<Arc<Assignment>>, now: Instant) {
        self.planner.unread = false;
        if let Some(found) = found {
            self.adopt(found, now);
        }
    }

    /// Plans, and records what changes.
    fn make_plan(&mut self, epoch: Epoch, now: Instant) {
        self.planner.next = now + PLAN_PERIOD;
        self.read_list(now);
        let Some(config) = self.context.config.load_full() else {
            return;
        };
        let topology = topology::topology(&config.document, config.version);
        let known = self.known(now);
        let input = known.input(&topology, epoch, now);
        let replaces = Some(known.current.version).filter(|version| *version > Version(0));
        match plan::next(&input) {
            PlanStep::Record(next) => self.record(epoch, replaces, known.finish(next)),
            _ if known.renews() => {
                let next = Assignment {
                    version: known.current.version.next(),
                    epoch,
                    ..known.current.clone()
                };
                self.record(epoch, replaces, known.finish(next));
            }
            PlanStep::Wait(until) => self.planner.next = until.min(now + FAILURE_PAUSE),
            PlanStep::Keep => {}
        }
    }

    fn record(&mut self, epoch: Epoch, replaces: Option<Version>, next: Assignment) {
        self.call(move |rings| async move { record(&rings, epoch, replaces, next).await });
    }

    /// Gathers what the planner knows.
    fn known(&mut self, now: Instant) -> Known {
        let mut losses = self.member.lost().clone();
        let mut returning = BTreeSet::new();
        if self.member.alive(now).is_empty() {
            // Nobody can hold anything at this version: those that are there start anew.
            returning = self.member.returning(now);
            losses.instances.retain(|name| !returning.contains(name));
        }
        let version = self.member.version();
        let lost = losses != Losses::default();
        let since = match self.planner.lost_since {
            Some((at, since)) if lost && at == version => Some((at, since)),
            _ => lost.then_some((version, now)),
        };
        self.planner.lost_since = since;
        let loads = self.member.loads(now);
        let loads: BTreeMap<Name, Load> = loads
            .into_iter()
            .map(|(name, load)| (name.clone(), load.clone()))
            .collect();
        self.planner.rates.report(&loads, now);
        Known {
            current: self
                .member
                .assignment()
                .map(|it| (**it).clone())
                .unwrap_or_default(),
            losses,
            lost_at: since.map(|(_, since)| since),
            silent: self.member.withheld(),
            instances: self.instances(now),
            loads,
            rates: self.planner.rates.known(now),
            leaving: self.leaving(now),
            returning,
            settled: self.member.floor() >= version,
            reset: self
                .member
                .reset_needed(now)
                .then(|| self.member.incarnations(now)),
        }
    }

    /// Returns the instances that were heard lately, with what they say of themselves.
    fn instances(&self, now: Instant) -> BTreeMap<Name, Instance> {
        let runs = self.member.incarnations(now);
        runs.keys()
            .map(|name| (name.clone(), self.instance(name)))
            .collect()
    }

    fn instance(&self, name: &Name) -> Instance {
        let own = || Instance {
            data_centre: self.context.settings.data_centre.clone(),
            leaving: self.context.stopping.load(Ordering::Relaxed),
        };
        let mut instance = self.neighbours.get(name).cloned().unwrap_or_else(own);
        let mut listed = self.planner.list.iter();
        instance.leaving |= listed.any(|entry| {
            entry.kind == Kind::Instance && entry.name == *name && entry.state == State::Leaving
        });
        instance
    }

    /// Returns the targets that leave, by the platform's list or by their own word.
    fn leaving(&self, now: Instant) -> BTreeSet<Name> {
        let listed = self
            .planner
            .list
            .iter()
            .filter(|entry| entry.kind == Kind::Target && entry.state == State::Leaving);
        let loads = self.member.loads(now);
        let said = loads
            .iter()
            .filter(|(_, load)| load.leaving)
            .map(|(name, _)| (*name).clone());
        listed.map(|entry| entry.name.clone()).chain(said).collect()
    }

    /// Reads the platform's instance list when it is time to.
    fn read_list(&mut self, now: Instant) {
        if self.planner.list_busy || now < self.planner.list_next {
            return;
        }
        self.planner.list_busy = true;
        self.planner.list_next = now + self.planner.list_period;
        let rings = self.rings.clone();
        tokio::spawn(async move {
            let list = fetch::list(&rings).await;
            rings
                .itself
                .send(MemberEvent::Planned(Outcome::Listed(list)))
                .await;
        });
    }

    fn listed(&mut self, list: Option<Vec<Entry>>) {
        self.planner.list_busy = false;
        // Without an answer the last list stays in use.
        if let Some(list) = list {
            self.planner.list = list;
        }
    }

    /// Runs a call of the table beside the member machine.
    fn call<F>(&mut self, call: impl FnOnce(Rings) -> F)
    where
        F: Future<Output = Outcome> + Send + 'static,
    {
        self.planner.busy = true;
        let itself = self.rings.itself.clone();
        let ended = call(self.rings.clone());
        tokio::spawn(async move { itself.send(MemberEvent::Planned(ended.await)).await });
    }
}

/// Reads the planner row.
async fn read_row(rings: &Rings) -> Outcome {
    match fetch::row(rings, PLANNER).await {
        Ok(row) => Outcome::Row(row.and_then(|row| serde_json::from_str(&row.body).ok())),
        Err(()) => Outcome::NotTaken(None),
    }
}

/// Takes the planner row if it is still the one that was read.
async fn take_row(rings: &Rings, replaces: Option<u64>, row: elect::Planner) -> Outcome {
    let body = serde_json::to_string(&row).unwrap_or_default();
    match write::commit(rings, PLANNER, replaces, body, Vec::new()).await {
        Written::Done => Outcome::Taken,
        Written::Lost(seen) => {
            Outcome::NotTaken(seen.and_then(|seen| serde_json::from_str(&seen.body).ok()))
        }
        Written::Unknown => Outcome::NotTaken(None),
    }
}

/// Records an assignment under the planner's epoch.
async fn record(
    rings: &Rings,
    epoch: Epoch,
    replaces: Option<Version>,
    assignment: Assignment,
) -> Outcome {
    let body = serde_json::to_string(&assignment).unwrap_or_default();
    let check = Write::Check {
        pk: PLANNER.into(),
        sk: ALONE.into(),
        when: Condition::Version(epoch.0),
    };
    let replaces = replaces.map(|version| version.0);
    match write::commit(rings, ASSIGNMENT, replaces, body, vec![check]).await {
        Written::Done => Outcome::Recorded(Arc::new(assignment)),
        Written::Lost(_) | Written::Unknown => match fetch::row(rings, PLANNER).await {
            Ok(row) => {
                Outcome::NotRecorded(row.and_then(|row| serde_json::from_str(&row.body).ok()))
            }
            Err(()) => Outcome::NotRecorded(None),
        },
    }
}
