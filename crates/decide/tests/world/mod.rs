//! A small world for member machines: a lossy network, clocks that drift, holding threads,
//! targets that check grants, and a table with a planner.

pub mod check;
pub mod hold;
pub mod ops;
pub mod planner;
pub mod target;

use {
    cowslip_decide::{
        assign::Assignment,
        duty::HoldReport,
        member::{Ack, Heartbeat, Member, Step, Timing, View},
        names::{Incarnation, Name, Version},
    },
    hold::Hold,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    target::{Post, Target},
    tokio::time::Instant,
};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;
const TICK: u64 = 10 * MS;
const POLL: u64 = 200 * MS;
const PLAN: u64 = 100 * MS;

/// Random numbers from a seed.
pub struct Dice(pub u64);

impl Dice {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % n
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    pub fn pick<T: Clone>(&mut self, from: impl IntoIterator<Item = T>) -> Option<T> {
        let all: Vec<T> = from.into_iter().collect();
        let n = all.len() as u64;
        (n > 0).then(|| all[self.below(n) as usize].clone())
    }
}

/// A clock that runs at a rate of its own.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Instant,
    ppm: i64,
}

impl Clock {
    pub fn at(&self, time: u64) -> Instant {
        let local = time as i64 + time as i64 * self.ppm / 1_000_000;
        self.base + Duration::from_micros(local as u64)
    }
}

#[derive(Clone)]
pub enum Msg {
    Beat(Arc<Heartbeat>),
    Ack(Ack),
    Want {
        from: usize,
    },
    Row(Arc<Assignment>),
    Answer {
        run: u64,
        target: Name,
        id: Option<u64>,
        stamp: Instant,
    },
}

pub enum Event {
    Tick {
        node: usize,
        run: u64,
    },
    Renew {
        node: usize,
        run: u64,
    },
    Node {
        to: usize,
        msg: Msg,
    },
    Report {
        node: usize,
        run: u64,
        report: HoldReport,
    },
    Target {
        to: Name,
        post: Post,
    },
    Poll {
        node: usize,
        run: u64,
    },
    Plan,
    Write {
        row: Assignment,
    },
    Start {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    ThawTarget {
        name: Name,
    },
}

pub struct Node {
    pub name: Name,
    pub clock: Clock,
    pub run: u64,
    pub up: bool,
    pub paused: bool,
    pub table: bool,
    pub inbox: Vec<Event>,
    pub member: Member,
    pub hold: Hold,
    pub view: Option<View>,
}

pub struct World {
    pub time: u64,
    pub dice: Dice,
    pub nodes: Vec<Node>,
    pub targets: BTreeMap<Name, Target>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub table: Option<Arc<Assignment>>,
    pub table_up: bool,
    /// Whether the planner also changes things without need.
    pub restless: bool,
    /// Whether messages are lost, doubled and late.
    pub lossy: bool,
    pub owners: BTreeMap<u64, (u64, Name)>,
    pub fault: Option<String>,
    queue: BTreeMap<(u64, u64), Event>,
    events: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize, targets: usize) -> Self {
        let mut dice = Dice(seed);
        let base = Instant::now();
        let clock = |dice: &mut Dice| Clock {
            base: base + Duration::from_secs(dice.below(1_000)),
            ppm: dice.below(48_001) as i64 - 24_000,
        };
        let names: BTreeSet<Name> = (0..nodes).map(|i| format!("i{i}").into()).collect();
        let node = |name: &Name| {
            let clock = clock(&mut dice);
            let member = Member::new(
                name.clone(),
                Incarnation(1),
                names.clone(),
                Timing::default(),
                clock.at(0),
            );
            Node {
                name: name.clone(),
                clock,
                run: 1,
                up: true,
                paused: false,
                table: true,
                inbox: Vec::new(),
                member,
                hold: Hold::default(),
                view: None,
            }
        };
        let nodes: Vec<Node> = names.iter().map(node).collect();
        let targets = (0..targets)
            .map(|i| (format!("t{i}").into(), Target::new(clock(&mut dice))))
            .collect();
        let mut world = Self {
            time: 0,
            dice,
            nodes,
            targets,
            cuts: BTreeSet::new(),
            table: None,
            table_up: true,
            restless: false,
            lossy: false,
            owners: BTreeMap::new(),
            fault: None,
            queue: BTreeMap::new(),
            events: 0,
        };
        for node in 0..world.nodes.len() {
            world.begin(node);
        }
        world.push(PLAN, Event::Plan);
        world
    }

    fn begin(&mut self, node: usize) {
        let run = self.nodes[node].run;
        let phase = self.dice.below(TICK);
        self.push(phase, Event::Tick { node, run });
        self.push(phase, Event::Renew { node, run });
        self.push(phase, Event::Poll { node, run });
    }

    pub fn push(&mut self, after: u64, event: Event) {
        self.events += 1;
        self.queue.insert((self.time + after, self.events), event);
    }

    /// Runs for `span` microseconds or until a fault is found.
    pub fn run(&mut self, span: u64) {
        let end = self.time + span;
        while self.fault.is_none() {
            let Some(entry) = self.queue.first_entry() else {
                break;
            };
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.time = time;
            self.handle(event);
            self.check();
        }
        self.time = end;
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = owner_of(&event) {
            let node = &mut self.nodes[node];
            if !node.up {
                return;
            }
            if node.paused {
                node.inbox.push(event);
                return;
            }
        }
        match event {
            Event::Tick { node, run } if self.nodes[node].run == run => {
                self.push(TICK, Event::Tick { node, run });
                self.drive(node, |member, now| member.tick(now));
            }
            Event::Renew { node, run } if self.nodes[node].run == run => {
                self.push(self.renewal(), Event::Renew { node, run });
                self.renew(node);
            }
            Event::Poll { node, run } if self.nodes[node].run == run => {
                self.push(POLL, Event::Poll { node, run });
                self.read_table(node);
            }
            Event::Report { node, run, report } if self.nodes[node].run == run => {
                self.drive(node, |member, now| member.report(now, report));
            }
            Event::Tick { .. } | Event::Renew { .. } | Event::Poll { .. } => {}
            Event::Report { .. } => {}
            Event::Node { to, msg } => self.receive(to, msg),
            Event::Target { to, post } => self.post(&to, post),
            Event::Plan => self.plan(),
            Event::Write { row } => self.write(row),
            Event::Start { node } => self.start(node),
            Event::Thaw { node } => self.thaw(node),
            Event::ThawTarget { name } => self.thaw_target(&name),
        }
    }

    fn renewal(&self) -> u64 {
        Timing::default().renewal.as_micros() as u64 / 2
    }

    pub fn drive(&mut self, node: usize, input: impl FnOnce(&mut Member, Instant) -> Vec<Step>) {
        let now = self.nodes[node].clock.at(self.time);
        let steps = input(&mut self.nodes[node].member, now);
        for step in steps {
            self.step(node, step);
        }
    }

    fn step(&mut self, node: usize, step: Step) {
        match step {
            Step::Heartbeat { to, beat } => self.send(node, &to, Msg::Beat(beat)),
            Step::Ack { to, ack } => self.send(node, &to, Msg::Ack(ack)),
            Step::Fetch { from, .. } if self.dice.one_in(2) && self.reaches_table(node) => {
                let _ = from;
                self.read_table(node);
            }
            Step::Fetch { from, .. } => self.send(node, &from, Msg::Want { from: node }),
            Step::Duties(duties) => self.take_duties(node, duties),
            Step::View(view) => self.nodes[node].view = Some(view),
            Step::Lease(lease) => self.nodes[node].hold.lease = lease,
            Step::FetchConfig { .. } | Step::Lost(_) => {}
        }
    }

    fn receive(&mut self, node: usize, msg: Msg) {
        match msg {
            Msg::Beat(beat) => self.drive(node, |member, now| member.hear(now, (*beat).clone())),
            Msg::Ack(ack) => self.drive(node, |member, now| member.acked(now, ack)),
            Msg::Row(row) => self.drive(node, |member, now| member.adopt(now, row)),
            Msg::Want { from } => {
                if let Some(view) = &self.nodes[node].view {
                    let row = view.assignment.clone();
                    let to = self.nodes[from].name.clone();
                    self.send(node, &to, Msg::Row(row));
                }
            }
            Msg::Answer {
                run,
                target,
                id,
                stamp,
            } => {
                if run == self.nodes[node].run {
                    self.answer(node, &target, id, stamp);
                }
            }
        }
    }

    /// Passes a report of the holding thread on, after the steps that it takes now.
    pub fn report(&mut self, node: usize, report: HoldReport) {
        let run = self.nodes[node].run;
        self.push(0, Event::Report { node, run, report });
    }

    fn send(&mut self, from: usize, to: &str, msg: Msg) {
        let Some(to) = self.nodes.iter().position(|node| &*node.name == to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) {
            return;
        }
        for _ in 0..self.copies() {
            let delay = self.delay();
            let msg = msg.clone();
            self.push(delay, Event::Node { to, msg });
        }
    }

    fn copies(&mut self) -> u64 {
        match self.dice.below(100) {
            0 if self.lossy => 0,
            1 if self.lossy => 2,
            _ => 1,
        }
    }

    pub fn delay(&mut self) -> u64 {
        if self.lossy && self.dice.one_in(50) {
            return self.dice.below(300 * MS);
        }
        200 + self.dice.below(2 * MS)
    }

    pub fn reaches_table(&self, node: usize) -> bool {
        self.table_up && self.nodes[node].table
    }

    fn read_table(&mut self, node: usize) {
        if !self.reaches_table(node) {
            return;
        }
        if let Some(row) = self.table.clone() {
            let delay = self.delay();
            let msg = Msg::Row(row);
            self.push(delay, Event::Node { to: node, msg });
        }
    }

    fn write(&mut self, row: Assignment) {
        let version = self.table.as_ref().map_or(Version(0), |row| row.version);
        if self.table_up && row.version == version.next() {
            self.table = Some(Arc::new(row));
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].inbox.clear();
    }

    pub fn start(&mut self, node: usize) {
        let contacts = self.nodes.iter().map(|node| node.name.clone()).collect();
        let time = self.time;
        let it = &mut self.nodes[node];
        if it.up {
            return;
        }
        it.up = true;
        it.paused = false;
        it.run += 1;
        it.hold = Hold::default();
        it.view = None;
        it.member = Member::new(
            it.name.clone(),
            Incarnation(it.run),
            contacts,
            Timing::default(),
            it.clock.at(time),
        );
        self.begin(node);
    }

    pub fn thaw(&mut self, node: usize) {
        if !self.nodes[node].paused {
            return;
        }
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].inbox) {
            self.push(0, event);
        }
    }

    pub fn thaw_target(&mut self, name: &Name) {
        let target = self.targets.get_mut(name).expect("a target of this world");
        target.frozen = false;
        for post in std::mem::take(&mut target.inbox) {
            let to = name.clone();
            self.push(0, Event::Target { to, post });
        }
    }
}

fn owner_of(event: &Event) -> Option<usize> {
    match event {
        Event::Tick { node, .. } | Event::Renew { node, .. } | Event::Poll { node, .. } => {
            Some(*node)
        }
        Event::Node { to, .. } => Some(*to),
        Event::Report { node, .. } => Some(*node),
        _ => None,
    }
}
