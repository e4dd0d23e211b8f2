//! A lane, targets that keep their own record, and an oracle over both.

use {
    cowslip_decide::{
        deliver::{
            lane::{After, Dispatch, Lane, Next, Offer},
            queue::Entry,
            server::Ending,
            slots::{Profile, Source},
        },
        names::Name,
        verdict::{Priority, Reason},
    },
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Answers after which a target of the model bears all its slots again.
const WARM_AFTER: u32 = 20;

/// Time for which a request whose connection broke may run on after its deadline.
const GRACE: Duration = Duration::from_millis(40);

const PROFILE: Profile = Profile { slots: 3, cold: 1 };

pub struct Random(pub Gen);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        u64::arbitrary(&mut self.0) % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn any<T: Clone>(&mut self, all: &[T]) -> Option<T> {
        let at = self.below(all.len().max(1) as u64);
        all.get(at as usize).cloned()
    }
}

/// A target with its own record of what runs there.
struct Model {
    run: u64,
    served: u32,
    /// Requests that run, with the time by which they have ended if their connection is gone.
    running: BTreeMap<u64, Option<Instant>>,
    /// Requests of an earlier holder, which end by this time.
    foreign: Option<(u32, Instant)>,
    next_link: u64,
    links: BTreeSet<u64>,
}

impl Model {
    fn in_use(&self, now: Instant) -> u32 {
        let runs = |until: &&Option<Instant>| until.is_none_or(|until| now < until);
        let own = self.running.values().filter(runs).count() as u32;
        let foreign = self.foreign.filter(|(_, until)| now < *until);
        own + foreign.map_or(0, |(count, _)| count)
    }

    fn bears(&self) -> u32 {
        match self.served < WARM_AFTER {
            true => PROFILE.cold,
            false => PROFILE.slots,
        }
    }
}

struct Sent {
    entry: Entry,
    tries: Vec<(Name, u64)>,
}

/// A lane, its targets and what the oracle knows.
pub struct World {
    random: Random,
    now: Instant,
    lane: Lane,
    models: BTreeMap<Name, Model>,
    queued: BTreeMap<u64, Entry>,
    sent: BTreeMap<u64, Sent>,
    over: BTreeSet<u64>,
    next_id: u64,
    pub sends: u32,
    pub hedges: u32,
    turns: Vec<bool>,
    /// Whether targets restart, connections break and deadlines are short.
    pub rough: bool,
    start: Instant,
}

impl World {
    pub fn new(seed: u64, targets: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            random: Random(Gen::from_size_and_seed(100, seed)),
            now,
            lane: Lane::default(),
            models: BTreeMap::new(),
            queued: BTreeMap::new(),
            sent: BTreeMap::new(),
            over: BTreeSet::new(),
            next_id: 0,
            sends: 0,
            hedges: 0,
            turns: Vec::new(),
            rough: !seed.is_multiple_of(3),
            start: now,
        };
        for at in 0..targets {
            let name: Name = format!("t{at}").into();
            let taken = world.rough && world.random.chance(40);
            let foreign = taken.then(|| now + Duration::from_millis(200));
            world.lane.hold(&name, PROFILE, foreign, now);
            let model = Model {
                run: 1,
                served: 0,
                running: BTreeMap::new(),
                foreign: foreign.map(|until| (PROFILE.cold, until)),
                next_link: 0,
                links: BTreeSet::new(),
            };
            world.models.insert(name.clone(), model);
            (0..4).for_each(|_| world.open(&name, true));
        }
        world
    }

    /// Opens a connection; a greeted one shows the run of its target before it is used.
    fn open(&mut self, name: &Name, greeted: bool) {
        let model = self.models.get_mut(name).unwrap();
        let link = model.next_link;
        model.next_link += 1;
        model.links.insert(link);
        if greeted {
            self.see(name, link, self.now);
        }
        self.lane.server_mut(name).unwrap().ready(link);
    }

    /// Passes on the start id that a target shows on a connection.
    fn see(&mut self, name: &Name, link: u64, begun: Instant) {
        let run = format!("s{}", self.models[name].run);
        let from = Source { link, begun };
        let server = self.lane.server_mut(name).unwrap();
        server.slots.seen(Some(&run), from, self.now);
    }

    pub fn step(&mut self) {
        match self.random.below(100) {
            0..25 => self.offer(),
            25..40 if self.rough => self.offer(),
            40..75 => self.answer(),
            75..92 => self.advance(),
            92..94 if self.rough || self.random.chance(15) => self.restart(),
            94..96 if self.rough => self.break_link(),
            96..98 => self.give_up(),
            _ if self.rough => self.report(),
            _ => self.probe(),
        }
        self.pump();
        self.check();
    }

    fn advance(&mut self) {
        let micros = match self.rough {
            true => self.random.below(6000),
            false => 800 + self.random.below(400),
        };
        self.now += Duration::from_micros(micros);
    }

    fn offer(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let left = match self.rough {
            true => Duration::from_millis(1 + self.random.below(120)),
            false => Duration::from_millis(100 + self.random.below(2000)),
        };
        let entry = Entry {
            id,
            priority: self.random.any(&Priority::ALL).unwrap(),
            deadline: self.now + left,
            repeatable: self.random.chance(50),
        };
        let before = self.queued.len();
        let own = self.waiting(entry.priority);
        let room = before < self.bound(entry.priority) || own < self.reserve();
        self.queued.insert(id, entry);
        match self.lane.offer(entry, self.now) {
            Offer::Queued => assert!(room, "bound"),
            Offer::Refused(refusal) => {
                assert!(refusal.wait > Duration::ZERO);
                self.end_unsent(id);
            }
            Offer::Evicted { id: other, refusal } => {
                assert_eq!(refusal.reason, Reason::Overload);
                assert!(self.queued[&other].priority > entry.priority, "evicted");
                assert!(!room, "evicted with room");
                let priority = self.queued[&other].priority;
                assert!(self.waiting(priority) > self.reserve(), "reserve");
                self.end_unsent(other);
            }
        }
    }

    fn bound(&self, priority: Priority) -> usize {
        let depth = self.models.len() * PROFILE.slots as usize * 32;
        match priority {
            Priority::High => depth,
            Priority::Middle => depth * 3 / 4,
            Priority::Low => depth / 2,
        }
    }

    fn waiting(&self, priority: Priority) -> usize {
        let same = |entry: &&Entry| entry.priority == priority;
        self.queued.values().filter(same).count()
    }

    fn reserve(&self) -> usize {
        self.models.len() * PROFILE.slots as usize * 32 / 16
    }

    /// Ends a request that must never have been sent.
    fn end_unsent(&mut self, id: u64) {
        assert!(self.queued.remove(&id).is_some(), "{id} does not wait");
        assert!(!self.sent.contains_key(&id), "{id} was sent");
        assert!(self.over.insert(id), "{id} has two ends");
    }

    fn answer(&mut self) {
        let tries: Vec<_> = self.tries().collect();
        let Some((id, name, link)) = self.random.any(&tries) else {
            return;
        };
        let any = self.random.below(20);
        let ending = match if self.rough { any } else { any.max(4) } {
            0 => Ending::Shed,
            1 => Ending::Unrun,
            2 => Ending::Unsent,
            3 => Ending::Broken,
            n => Ending::Whole { error: n == 4 },
        };
        self.end(id, &name, link, ending);
    }

    fn tries(&self) -> impl Iterator<Item = (u64, Name, u64)> {
        self.sent.iter().flat_map(|(id, sent)| {
            let tries = sent.tries.iter();
            tries.map(|(name, link)| (*id, name.clone(), *link))
        })
    }

    fn end(&mut self, id: u64, name: &Name, link: u64, ending: Ending) {
        let deadline = self.sent[&id].entry.deadline;
        let model = self.models.get_mut(name).unwrap();
        match ending {
            Ending::Broken if model.links.remove(&link) => {
                let until = deadline.max(self.now) + GRACE;
                model.running.insert(id, Some(until));
            }
            Ending::Whole { .. } => {
                model.running.remove(&id);
                model.served += 1;
            }
            _ => {
                model.running.remove(&id);
            }
        }
        let answered = !matches!(ending, Ending::Broken | Ending::Unsent);
        if answered && model.links.contains(&link) {
            self.see(name, link, self.start);
        }
        let (after, _) = self.lane.ended(id, name, ending, self.now);
        let sent = self.sent.get_mut(&id).unwrap();
        sent.tries.retain(|(one, _)| one != name);
        let none_left = sent.tries.is_empty();
        let whole = matches!(ending, Ending::Whole { .. });
        match after {
            After::Stray => assert!(self.over.contains(&id)),
            After::Pending => assert!(!whole && !none_left && !self.over.contains(&id)),
            After::Over => {
                assert!(whole || none_left);
                assert!(self.over.insert(id), "{id} has two ends");
            }
        }
        if none_left {
            self.sent.remove(&id);
        }
        match ending == Ending::Broken {
            true => self.doubt_and_reopen(name),
            false => self.lane.server_mut(name).unwrap().ready(link),
        }
    }

    fn doubt_and_reopen(&mut self, name: &Name) {
        let next = self.models[name].next_link;
        self.lane.server_mut(name).unwrap().slots.doubt(next);
        let greeted = self.random.chance(50);
        self.open(name, greeted);
    }

    fn some_target(&mut self) -> Name {
        let names: Vec<Name> = self.models.keys().cloned().collect();
        self.random.any(&names).unwrap()
    }

    /// Restarts a target; its connections are found broken later, one after the other.
    fn restart(&mut self) {
        let name = self.some_target();
        let model = self.models.get_mut(&name).unwrap();
        model.run += 1;
        model.served = 0;
        model.running.clear();
        model.foreign = None;
        let dead = std::mem::take(&mut model.links);
        if self.random.chance(50) {
            self.open(&name, true);
            self.pump();
            self.check();
        }
        let tries: Vec<_> = self.tries().filter(|(_, one, _)| *one == name).collect();
        for (id, name, link) in tries {
            if dead.contains(&link) {
                self.end(id, &name, link, Ending::Broken);
            }
        }
        for link in dead {
            self.lane.server_mut(&name).unwrap().unready(link);
        }
        (0..3).for_each(|_| self.doubt_and_reopen(&name));
    }

    fn break_link(&mut self) {
        let tries: Vec<_> = self.tries().collect();
        if let Some((id, name, link)) = self.random.any(&tries) {
            self.end(id, &name, link, Ending::Broken);
        }
    }

    fn give_up(&mut self) {
        let all = self.queued.keys().chain(self.sent.keys());
        let ids = all.copied().filter(|id| !self.over.contains(id));
        let Some(id) = self.random.any(&ids.collect::<Vec<_>>()) else {
            return;
        };
        let running = self.lane.abandon(id).len();
        let sent = self.sent.get(&id).map_or(0, |sent| sent.tries.len());
        assert_eq!(running, sent);
        self.queued.remove(&id);
        self.over.insert(id);
    }

    /// Passes on that a target says it is cold.
    fn report(&mut self) {
        let name = self.some_target();
        if self.models[&name].served < WARM_AFTER {
            let server = self.lane.server_mut(&name).unwrap();
            server.slots.reported(true);
        }
    }

    /// Passes on the start id that a target shows to a probe.
    fn probe(&mut self) {
        let name = self.some_target();
        let run = format!("s{}", self.models[&name].run);
        self.lane.server_mut(&name).unwrap().slots.confirm(&run);
    }

    fn pump(&mut self) {
        loop {
            match self.lane.next(self.now) {
                Next::Send(dispatch) => self.sent_first(dispatch),
                Next::Hedge(dispatch) => self.sent_again(dispatch),
                Next::Refuse { id, refusal } => {
                    assert_eq!(refusal.reason, Reason::Deadline);
                    self.end_unsent(id);
                }
                Next::Wait(at) => {
                    assert!(at.is_none_or(|at| at > self.now));
                    return;
                }
            }
        }
    }

    fn sent_first(&mut self, dispatch: Dispatch) {
        let entry = self.queued.remove(&dispatch.id).expect("it waits");
        assert!(entry.deadline > self.now, "sent after its deadline");
        let mut same = self
            .queued
            .values()
            .filter(|one| one.priority == entry.priority);
        assert!(same.all(|one| one.deadline >= entry.deadline), "deadlines");
        let inverted = self
            .queued
            .values()
            .any(|one| one.priority < entry.priority);
        self.turns.push(inverted);
        let recent = self.turns.iter().rev().take(16);
        assert!(
            recent.filter(|inverted| **inverted).count() <= 2,
            "priorities"
        );
        let sent = Sent {
            entry,
            tries: Vec::new(),
        };
        self.sent.insert(entry.id, sent);
        self.sends += 1;
        self.arrive(dispatch);
    }

    fn sent_again(&mut self, dispatch: Dispatch) {
        let sent = &self.sent[&dispatch.id];
        assert!(sent.entry.repeatable, "a hedge of what may not be repeated");
        assert!(!self.over.contains(&dispatch.id), "a hedge of what is over");
        assert_eq!(sent.tries.len(), 1);
        assert_ne!(
            sent.tries[0].0, dispatch.target,
            "a hedge to the same target"
        );
        self.hedges += 1;
        assert!(self.hedges * 20 <= self.sends, "hedges over budget");
        self.arrive(dispatch);
    }

    fn arrive(&mut self, dispatch: Dispatch) {
        let model = self.models.get_mut(&dispatch.target).unwrap();
        if model.links.contains(&dispatch.link) {
            model.running.insert(dispatch.id, None);
        }
        let sent = self.sent.get_mut(&dispatch.id).unwrap();
        sent.tries.push((dispatch.target, dispatch.link));
    }

    fn check(&self) {
        assert_eq!(self.lane.queued(), self.queued.len());
        for (name, model) in &self.models {
            let (running, bears) = (model.in_use(self.now), model.bears());
            assert!(running <= bears, "{name} bears {bears} and runs {running}");
        }
    }

    /// Ends everything and checks that nothing was forgotten.
    pub fn drain(&mut self) {
        for _ in 0..4000 {
            self.now += Duration::from_millis(1);
            self.answer();
            self.pump();
            self.check();
        }
        assert!(self.queued.is_empty());
        let all: BTreeSet<u64> = (0..self.next_id).collect();
        let open: Vec<_> = all.difference(&self.over).collect();
        assert!(open.is_empty(), "no end: {open:?}");
    }
}
