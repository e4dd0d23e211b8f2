//! Policies of delivery compared on a model of the reel service: 6 targets with 3 slots each.
//!
//! A discrete-event model: Poisson arrivals, log-normal service times with a mean of 10 ms, 12
//! instances; 20% purchases (high), 15% purges and 15% status checks (middle), 50% previews (low);
//! purchases and purges may not be repeated. Run with `cargo run --release -p cowslip-decide --example deliver_policies`.

use {
    cowslip_decide::{
        deliver::{
            lane::{After, Dispatch, Lane, Next, Offer},
            queue::Entry,
            server::Ending,
            slots::Profile,
        },
        names::Name,
        verdict::Priority,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

const TARGETS: usize = 6;
const SLOTS: usize = 3;
const INSTANCES: usize = 12;

/// Mean service time of a healthy target, in microseconds.
const SERVICE: f64 = 10_000.0;

/// Simulated time of one run, in microseconds; the first tenth is not counted.
const TAILS_RUN: u64 = 300_000_000;
const OVERLOAD_RUN: u64 = 60_000_000;

/// How much longer a slowed target takes.
const SLOWDOWN: f64 = 10.0;

/// Length of a slow moment, in microseconds; the next one follows at once with other targets.
const MOMENT: u64 = 500_000;

/// Share of the moments that slow two targets and not one: 1.2 of 6 targets are slow on average.
const TWO_SLOW: f64 = 0.2;

/// Slots of all targets divided by the mean service time, in requests a microsecond.
const CAPACITY: f64 = (TARGETS * SLOTS) as f64 / SERVICE;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The lane of one holder.
    Lane,
    /// The lane of one holder with every request marked as not repeatable, so without hedges.
    NoHedge,
    /// One queue in order of arrival, any free slot.
    Fifo,
    /// Each target in turn, with a queue before each.
    RoundRobin,
    /// Each instance on its own limit of one request a target; targets queue beyond their slots.
    OwnLimits,
}

const POLICIES: [(Policy, &str); 5] = [
    (Policy::Lane, "one lane"),
    (Policy::NoHedge, "one lane, no hedges"),
    (Policy::Fifo, "single holder, FIFO"),
    (Policy::RoundRobin, "round robin"),
    (Policy::OwnLimits, "own limits"),
];

#[derive(Clone, Copy)]
struct Request {
    arrival: u64,
    deadline: u64,
    priority: Priority,
    repeatable: bool,
    /// Service time at a healthy target, drawn anew for a second attempt.
    service: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish {
        id: usize,
        target: usize,
        hedge: bool,
    },
    Moment,
    Wake,
}

struct Random(SmallRng);

impl Random {
    fn unit(&mut self) -> f64 {
        1.0 - self.0.random::<f64>()
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * self.unit().ln()) as u64
    }

    /// Draws a service time with a 99th centile of about three times the median.
    fn service(&mut self) -> u64 {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        let sigma = 0.5f64;
        (SERVICE * (sigma * normal - sigma * sigma / 2.0).exp()) as u64
    }
}

/// What a run showed.
#[derive(Default)]
struct Figures {
    latencies: Vec<u64>,
    offered: [u64; 3],
    served: [u64; 3],
    busy: u64,
    useful: u64,
    hedges: u64,
}

struct Model {
    policy: Policy,
    load: f64,
    end: u64,
    random: Random,
    start: Instant,
    now: u64,
    events: BTreeSet<(u64, u64, Event)>,
    sequence: u64,
    requests: Vec<Request>,
    slow: [bool; TARGETS],
    running: [usize; TARGETS],
    lane: Lane,
    names: Vec<Name>,
    fifo: VecDeque<usize>,
    queues: Vec<VecDeque<usize>>,
    waiting: Vec<VecDeque<usize>>,
    held: BTreeMap<usize, usize>,
    outstanding: [[bool; TARGETS]; INSTANCES],
    turn: usize,
    woken: u64,
    figures: Figures,
}

impl Model {
    fn new(policy: Policy, load: f64, slowed: bool, seed: u64) -> Self {
        let start = Instant::now();
        let names = (0..TARGETS).map(|at| Name::from(format!("t{at}")));
        let names: Vec<Name> = names.collect();
        let mut lane = Lane::default();
        let slots = SLOTS as u32;
        let profile = Profile { slots, cold: 1 };
        for name in &names {
            lane.hold(name, profile, None, start);
            let server = lane.server_mut(name).unwrap();
            (0..2 * SLOTS as u64).for_each(|link| server.ready(link));
        }
        let mut model = Self {
            policy,
            load,
            end: if load > 1.0 { OVERLOAD_RUN } else { TAILS_RUN },
            random: Random(SmallRng::seed_from_u64(seed)),
            start,
            now: 0,
            events: BTreeSet::new(),
            sequence: 0,
            requests: Vec::new(),
            slow: [false; TARGETS],
            running: [0; TARGETS],
            lane,
            names,
            fifo: VecDeque::new(),
            queues: vec![VecDeque::new(); TARGETS],
            waiting: vec![VecDeque::new(); INSTANCES],
            held: BTreeMap::new(),
            outstanding: [[false; TARGETS]; INSTANCES],
            turn: 0,
            woken: u64::MAX,
            figures: Figures::default(),
        };
        model.at(0, Event::Arrive);
        if slowed {
            model.at(0, Event::Moment);
        }
        model
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence, event));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn run(mut self) -> Figures {
        while let Some((time, _, event)) = self.events.pop_first() {
            if time > self.end {
                break;
            }
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::Finish { id, target, hedge } => self.finish(id, target, hedge),
                Event::Moment => self.moment(),
                Event::Wake if time != self.woken => continue,
                Event::Wake => self.woken = u64::MAX,
            }
            self.dispatch();
        }
        self.figures
    }

    fn counted(&self, request: &Request) -> bool {
        request.arrival > self.end / 10
    }

    /// Slows one or two targets drawn anew until the next moment.
    fn moment(&mut self) {
        self.slow = [false; TARGETS];
        let first = (self.random.unit() * TARGETS as f64) as usize % TARGETS;
        self.slow[first] = true;
        if self.random.unit() < TWO_SLOW {
            self.slow[(first + 1) % TARGETS] = true;
        }
        self.at(self.now + MOMENT, Event::Moment);
    }

    fn arrive(&mut self) {
        let gap = self.random.exponential(1.0 / (self.load * CAPACITY));
        self.at(self.now + gap, Event::Arrive);
        let (priority, repeatable, patience) = match self.random.unit() {
            ..0.2 => (Priority::High, false, 1_000_000),
            ..0.35 => (Priority::Middle, false, 1_000_000),
            ..0.5 => (Priority::Middle, true, 1_000_000),
            _ => (Priority::Low, true, 500_000),
        };
        let request = Request {
            arrival: self.now,
            deadline: self.now + patience,
            priority,
            repeatable,
            service: self.random.service(),
        };
        let id = self.requests.len();
        self.requests.push(request);
        if self.counted(&request) {
            self.figures.offered[priority as usize] += 1;
        }
        match self.policy {
            Policy::Lane | Policy::NoHedge => self.offer(id, &request),
            Policy::Fifo => self.fifo.push_back(id),
            Policy::RoundRobin => {
                self.turn = (self.turn + 1) % TARGETS;
                self.queues[self.turn].push_back(id);
            }
            Policy::OwnLimits => self.waiting[id % INSTANCES].push_back(id),
        }
    }

    fn offer(&mut self, id: usize, request: &Request) {
        let entry = Entry {
            id: id as u64,
            priority: request.priority,
            deadline: self.start + Duration::from_micros(request.deadline),
            repeatable: self.policy == Policy::Lane && request.repeatable,
        };
        let offer = self.lane.offer(entry, self.instant());
        debug_assert!(matches!(
            offer,
            Offer::Queued | Offer::Evicted { .. } | Offer::Refused(_)
        ));
    }

    fn dispatch(&mut self) {
        match self.policy {
            Policy::Lane | Policy::NoHedge => self.dispatch_lane(),
            Policy::Fifo => self.dispatch_fifo(),
            Policy::RoundRobin => (0..TARGETS).for_each(|target| self.dispatch_queue(target)),
            Policy::OwnLimits => self.dispatch_own(),
        }
    }

    fn dispatch_lane(&mut self) {
        loop {
            match self.lane.next(self.instant()) {
                Next::Send(dispatch) => self.begin_lane(dispatch, false),
                Next::Hedge(dispatch) => {
                    self.figures.hedges += 1;
                    self.begin_lane(dispatch, true);
                }
                Next::Refuse { .. } => {}
                Next::Wait(wake) => return self.wake(wake),
            }
        }
    }

    fn wake(&mut self, wake: Option<Instant>) {
        let Some(at) = wake else {
            return;
        };
        let at = at.saturating_duration_since(self.start).as_micros() as u64;
        if at < self.woken {
            self.woken = at;
            self.at(at.max(self.now + 1), Event::Wake);
        }
    }

    fn begin_lane(&mut self, dispatch: Dispatch, hedge: bool) {
        let target = self.names.iter().position(|name| *name == dispatch.target);
        let (id, target) = (dispatch.id as usize, target.unwrap());
        self.held
            .insert(id * TARGETS + target, dispatch.link as usize);
        self.begin(id, target, hedge);
    }

    fn dispatch_fifo(&mut self) {
        for target in 0..TARGETS {
            while self.running[target] < SLOTS
                && let Some(id) = pop(&mut self.fifo, &self.requests, self.now)
            {
                self.begin(id, target, false);
            }
        }
    }

    fn dispatch_queue(&mut self, target: usize) {
        while self.running[target] < SLOTS
            && let Some(id) = pop(&mut self.queues[target], &self.requests, self.now)
        {
            self.begin(id, target, false);
        }
    }

    /// Lets each instance send to the targets where it has nothing outstanding, in turn.
    fn dispatch_own(&mut self) {
        for instance in 0..INSTANCES {
            while let Some(id) = self.waiting[instance].front().copied() {
                if self.requests[id].deadline <= self.now {
                    self.waiting[instance].pop_front();
                    continue;
                }
                let free = |target: &usize| !self.outstanding[instance][*target];
                let turn = (0..TARGETS).map(|step| (self.turn + step) % TARGETS);
                let Some(target) = turn.clone().find(free) else {
                    break;
                };
                self.turn = (target + 1) % TARGETS;
                self.waiting[instance].pop_front();
                self.outstanding[instance][target] = true;
                self.queues[target].push_back(id);
            }
        }
        (0..TARGETS).for_each(|target| self.dispatch_own_queue(target));
    }

    /// Serves what has arrived at a target, which knows no deadlines.
    fn dispatch_own_queue(&mut self, target: usize) {
        while self.running[target] < SLOTS
            && let Some(id) = self.queues[target].pop_front()
        {
            self.begin(id, target, false);
        }
    }

    fn begin(&mut self, id: usize, target: usize, hedge: bool) {
        let request = self.requests[id];
        let service = if hedge {
            self.random.service()
        } else {
            request.service
        };
        let factor = if self.slow[target] { SLOWDOWN } else { 1.0 };
        let time = (service as f64 * factor) as u64;
        self.running[target] += 1;
        let counted = self.counted(&request);
        if counted {
            self.figures.busy += time;
        }
        self.at(self.now + time, Event::Finish { id, target, hedge });
    }

    fn finish(&mut self, id: usize, target: usize, _hedge: bool) {
        self.running[target] -= 1;
        let first = match self.policy {
            Policy::Lane | Policy::NoHedge => self.finish_lane(id, target),
            Policy::OwnLimits => {
                self.outstanding[id % INSTANCES][target] = false;
                true
            }
            _ => true,
        };
        let request = self.requests[id];
        if !first || !self.counted(&request) {
            return;
        }
        self.figures.latencies.push(self.now - request.arrival);
        if self.now <= request.deadline {
            self.figures.served[request.priority as usize] += 1;
            self.figures.useful += request.service;
        }
    }

    fn finish_lane(&mut self, id: usize, target: usize) -> bool {
        let now = self.instant();
        let name = self.names[target].clone();
        let ending = Ending::Whole { error: false };
        let (after, _) = self.lane.ended(id as u64, &name, ending, now);
        let link = self.held.remove(&(id * TARGETS + target)).unwrap();
        self.lane.server_mut(&name).unwrap().ready(link as u64);
        after == After::Over
    }
}

/// Takes the first request whose deadline has not passed, as the plainest queue would.
fn pop(queue: &mut VecDeque<usize>, requests: &[Request], now: u64) -> Option<usize> {
    std::iter::from_fn(|| queue.pop_front()).find(|id| requests[*id].deadline > now)
}

impl Figures {
    fn centile(&mut self, share: f64) -> f64 {
        self.latencies.sort_unstable();
        let last = self.latencies.len().saturating_sub(1);
        let at = (share * last as f64) as usize;
        self.latencies
            .get(at)
            .map_or(f64::NAN, |micros| *micros as f64 / 1000.0)
    }

    fn share(&self, priority: Priority) -> f64 {
        let rank = priority as usize;
        100.0 * self.served[rank] as f64 / self.offered[rank].max(1) as f64
    }
}

/// Prints the tail latencies at 50% and 60% load, with and without slow moments.
fn tails() {
    println!("20% of the targets slowed tenfold for moments (healthy in brackets); milliseconds");
    println!(
        "{:<22}{:>6}{:>14}{:>16}{:>16}{:>8}{:>8}",
        "policy", "load", "p50", "p99", "p99.9", "ratio", "hedges"
    );
    for load in [0.5, 0.6] {
        for (policy, name) in POLICIES {
            let mut healthy = Model::new(policy, load, false, 1).run();
            let mut slowed = Model::new(policy, load, true, 1).run();
            let mut pair = |share| (slowed.centile(share), healthy.centile(share));
            let cell = |(slow, well): (f64, f64)| format!("{slow:.1} ({well:.1})");
            let (p50, p99, p999) = (pair(0.5), pair(0.99), pair(0.999));
            let all: u64 = slowed.offered.iter().sum();
            println!(
                "{name:<22}{:>5}%{:>14}{:>16}{:>16}{:>8.2}{:>7.1}%",
                load * 100.0,
                cell(p50),
                cell(p99),
                cell(p999),
                p99.0 / p99.1,
                100.0 * slowed.hedges as f64 / all as f64,
            );
        }
    }
}

/// Prints what is served within its deadline under more load than the targets bear.
fn overload() {
    println!("\nload above capacity; share served within the deadline, by priority");
    println!(
        "{:<22}{:>6}{:>10}{:>10}{:>10}{:>10}",
        "policy", "load", "high", "middle", "low", "useful"
    );
    let capacity = 0.9 * OVERLOAD_RUN as f64 * (TARGETS * SLOTS) as f64;
    for load in [1.5, 3.0] {
        for (policy, name) in POLICIES {
            let figures = Model::new(policy, load, false, 1).run();
            println!(
                "{name:<22}{:>5}%{:>9.2}%{:>9.1}%{:>9.1}%{:>9.1}%",
                load * 100.0,
                figures.share(Priority::High),
                figures.share(Priority::Middle),
                figures.share(Priority::Low),
                100.0 * figures.useful as f64 / capacity,
            );
        }
    }
}

fn main() {
    let only = std::env::args().nth(1);
    if only.as_deref() != Some("overload") {
        tails();
    }
    if only.as_deref() != Some("tails") {
        overload();
    }
}
