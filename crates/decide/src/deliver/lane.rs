//! One lane: the one queue before a target of a divided service, or before a pool of targets.

use {
    super::{
        Refusal,
        choice::{self, Candidate, Demand},
        hedge,
        latency::Latency,
        queue::{Entry, Push, Queue},
        server::{Ending, Server},
        slots::{Chill, Profile},
    },
    crate::{
        names::Name,
        verdict::{Priority, Reason},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Entries of the queue for each slot of a warm target.
const DEPTH: usize = 32;

/// End of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The entry waits for a slot.
    Queued,
    /// The entry waits; the entry `id` was refused in its favour.
    Evicted {
        /// Number of the entry that was refused.
        id: u64,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// The entry was refused.
    Refused(Refusal),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the entry.
    Send(Dispatch),
    /// Send the running entry a second time.
    Hedge(Dispatch),
    /// Refuse the entry, which never left the queue.
    Refuse {
        /// Number of the entry.
        id: u64,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Nothing before this time, or before the next event.
    Wait(Option<Instant>),
}

/// An entry on its way to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Number of the entry.
    pub id: u64,
    /// Target that gets it.
    pub target: Name,
    /// Connection to send it on.
    pub link: u64,
}

/// What remains of a request after the end of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// Another attempt still runs.
    Pending,
    /// This was the last attempt, or the first whole answer.
    Over,
    /// The request was over before.
    Stray,
}

/// A request that was sent at least once.
#[derive(Clone, Debug)]
struct Running {
    entry: Entry,
    since: Instant,
    tries: Vec<Name>,
    hedged: bool,
    over: bool,
}

/// The queue and the targets of a lane.
#[derive(Clone, Debug)]
pub struct Lane {
    queue: Queue,
    servers: BTreeMap<Name, Server>,
    running: BTreeMap<u64, Running>,
    times: [Latency; 3],
    all: Latency,
    hedges: hedge::Budget,
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            queue: Queue::new(0),
            servers: BTreeMap::new(),
            running: BTreeMap::new(),
            times: Default::default(),
            all: Latency::default(),
            hedges: hedge::Budget::default(),
        }
    }
}

impl Lane {
    /// Takes on a target, or takes its changed profile.
    ///
    /// Until `foreign` requests of an earlier holder may still run at the target.
    pub fn hold(&mut self, name: &Name, profile: Profile, foreign: Option<Instant>, now: Instant) {
        match self.servers.get_mut(name) {
            Some(server) => server.slots.reprofile(profile),
            None => {
                let server = Server::new(profile, foreign, now);
                self.servers.insert(name.clone(), server);
            }
        }
        self.resize();
    }

    /// Drops a target; what runs there has to be over.
    pub fn release(&mut self, name: &str) {
        self.servers.remove(name);
        self.resize();
    }

    /// Returns a target.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns a target, to note what was seen of it.
    pub fn server_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.get_mut(name)
    }

    /// Returns the names of the targets.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.servers.keys()
    }

    /// Returns whether any target permits new requests.
    pub fn is_open(&self) -> bool {
        self.servers.values().any(Server::is_open)
    }

    /// Returns the number of entries that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the numbers of the entries that wait.
    pub fn waiting(&self) -> Vec<u64> {
        self.queue.entries().map(|entry| entry.id).collect()
    }

    /// Takes an entry into the queue, or refuses what cannot be served before its deadline.
    pub fn offer(&mut self, entry: Entry, now: Instant) -> Offer {
        if let Some(refusal) = self.misses(&entry, now) {
            return Offer::Refused(refusal);
        }
        match self.queue.push(entry) {
            Push::Queued => Offer::Queued,
            Push::Full => Offer::Refused(self.overload(entry.priority, now)),
            Push::Evicted(other) => Offer::Evicted {
                id: other.id,
                refusal: self.overload(other.priority, now),
            },
        }
    }

    /// Returns what to do next; to be called until it says [`Next::Wait`].
    pub fn next(&mut self, now: Instant) -> Next {
        if let Some(id) = self.hopeless(now) {
            self.queue.remove(id);
            let refusal = Refusal::new(Reason::Deadline, self.drain(self.queue.len(), now));
            return Next::Refuse { id, refusal };
        }
        if let Some(dispatch) = self.dispatch(now) {
            return Next::Send(dispatch);
        }
        if let Some(dispatch) = self.hedge(now) {
            return Next::Hedge(dispatch);
        }
        Next::Wait(self.wake(now))
    }

    /// Notes the end of an attempt of request `id` at `target`.
    pub fn ended(
        &mut self,
        id: u64,
        target: &str,
        ending: Ending,
        now: Instant,
    ) -> (After, Option<Chill>) {
        let usual = self.median();
        let Some(running) = self.running.get_mut(&id) else {
            return (After::Stray, None);
        };
        let before = running.tries.len();
        running.tries.retain(|name| name.as_ref() != target);
        if running.tries.len() == before {
            return (After::Stray, None);
        }
        let entry = running.entry;
        let since = running.since;
        let chill = self.servers.get_mut(target).and_then(|server| {
            let chill = server.ended(id, ending, &entry, usual, now);
            server.slots.expire(now);
            chill
        });
        if ending == (Ending::Whole { error: false }) && !running.over {
            let time = now.saturating_duration_since(since);
            self.times[entry.priority as usize].record(time);
            self.all.record(time);
        }
        let whole = matches!(ending, Ending::Whole { .. });
        let after = match (running.over, whole || running.tries.is_empty()) {
            (true, _) => After::Stray,
            (false, true) => After::Over,
            (false, false) => After::Pending,
        };
        running.over |= whole;
        if running.tries.is_empty() {
            self.running.remove(&id);
        }
        (after, chill)
    }

    /// Gives up request `id`; returns the targets where it still runs, whose slots stay taken.
    pub fn abandon(&mut self, id: u64) -> Vec<Name> {
        if self.queue.remove(id).is_some() {
            return Vec::new();
        }
        let Some(running) = self.running.get_mut(&id) else {
            return Vec::new();
        };
        running.over = true;
        running.tries.clone()
    }

    /// Returns the time from which an outstanding request of `priority` is suspiciously old.
    pub fn suspicious(&self, priority: Priority, factor: f64, floor: Duration) -> Duration {
        let usual = self.times[priority as usize].quantile(0.95);
        let usual = usual.or(self.all.quantile(0.95));
        usual.unwrap_or(floor).mul_f64(factor).max(floor)
    }

    fn resize(&mut self) {
        let slots = |server: &Server| server.slots.profile().slots as usize;
        let slots: usize = self.servers.values().map(slots).sum();
        self.queue.resize(slots * DEPTH);
    }

    fn median(&self) -> Duration {
        self.all.quantile(0.5).unwrap_or_default()
    }

    /// Returns the requests that the open targets may run at the same time.
    fn capacity(&self, now: Instant) -> u32 {
        let open = self.servers.values().filter(|server| server.is_open());
        open.map(|server| server.slots.limit(now)).sum()
    }

    /// Returns the time until `ahead` requests have left the queue.
    fn drain(&self, ahead: usize, now: Instant) -> Duration {
        let capacity = self.capacity(now);
        let blocked = match capacity {
            0 => self.slots_wake(now),
            _ => None,
        };
        let start = blocked.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let mean = self.all.smoothed().unwrap_or_default();
        start + mean.mul_f64(ahead as f64 / f64::from(capacity.max(1)))
    }

    /// Returns the refusal of an entry that cannot be served before its deadline.
    fn misses(&self, entry: &Entry, now: Instant) -> Option<Refusal> {
        let left = entry.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Some(Refusal::new(Reason::Deadline, Duration::ZERO));
        }
        let trial = self.queue.is_empty() && self.running.is_empty();
        if trial && self.capacity(now) > 0 {
            return None;
        }
        let free = self.servers.values().any(|server| server.is_free(now));
        let start = match free && self.queue.is_empty() {
            true => Duration::ZERO,
            false => self.drain(1 + self.queue.ahead(entry.priority, entry.deadline), now),
        };
        let end = start + self.times[entry.priority as usize].expected();
        let late = end.checked_sub(left).filter(|late| !late.is_zero())?;
        Some(Refusal::new(Reason::Deadline, late))
    }

    fn overload(&self, priority: Priority, now: Instant) -> Refusal {
        let over = self.queue.len() + 1 - self.queue.bound(priority).min(self.queue.len());
        Refusal::new(Reason::Overload, self.drain(over, now))
    }

    /// Returns the first entry that can no longer be served before its deadline.
    fn hopeless(&self, now: Instant) -> Option<u64> {
        let late = |entry: &&Entry| self.latest(entry) <= now;
        self.queue.heads().find(late).map(|entry| entry.id)
    }

    /// Returns the latest time at which an entry may leave the queue.
    ///
    /// While nothing runs, an entry is tried until its very deadline, so that a lane whose last
    /// answers were slow learns of better ones.
    fn latest(&self, entry: &Entry) -> Instant {
        if self.running.is_empty() {
            return entry.deadline;
        }
        let time = self.times[entry.priority as usize].expected();
        entry.deadline.checked_sub(time).unwrap_or(entry.deadline)
    }

    fn dispatch(&mut self, now: Instant) -> Option<Dispatch> {
        let entry = *self.queue.first()?;
        let target = self.choose(entry.repeatable, &[], now)?;
        let link = self.servers.get_mut(&target)?.send(entry.id, now)?;
        self.queue.take(entry.id);
        self.hedges.earn();
        let running = Running {
            entry,
            since: now,
            tries: vec![target.clone()],
            hedged: false,
            over: false,
        };
        self.running.insert(entry.id, running);
        Some(Dispatch {
            id: entry.id,
            target,
            link,
        })
    }

    fn choose(&self, repeatable: bool, except: &[Name], now: Instant) -> Option<Name> {
        if let (1, Some((name, server))) = (self.servers.len(), self.servers.first_key_value()) {
            let fits = except.is_empty() && server.is_free(now);
            return fits.then(|| name.clone());
        }
        let open = self
            .servers
            .iter()
            .filter(|(name, server)| server.is_open() && !except.contains(name));
        let (names, all): (Vec<&Name>, Vec<Candidate>) = open
            .map(|(name, server)| (name, server.candidate(now)))
            .unzip();
        let demand = Demand {
            queued: self.queue.len(),
            repeatable: repeatable && except.is_empty(),
            median: self.median(),
        };
        choice::pick(&all, &demand).map(|at| names[at].clone())
    }

    fn hedge(&mut self, now: Instant) -> Option<Dispatch> {
        let waiting = !self.queue.is_empty();
        if waiting || self.servers.len() < 2 || !self.hedges.allows() {
            return None;
        }
        let due = |running: &Running| self.hedge_time(running).is_some_and(|at| at <= now);
        let (id, running) = self.running.iter().find(|(_, running)| due(running))?;
        let id = *id;
        let target = self.choose(true, &running.tries, now)?;
        let link = self.servers.get_mut(&target)?.send(id, now)?;
        let running = self.running.get_mut(&id)?;
        running.hedged = true;
        running.tries.push(target.clone());
        self.hedges.spend();
        Some(Dispatch { id, target, link })
    }

    /// Returns when a running request is to be sent a second time.
    fn hedge_time(&self, running: &Running) -> Option<Instant> {
        if running.hedged || running.over || !running.entry.repeatable {
            return None;
        }
        let age = hedge::age(&self.times[running.entry.priority as usize])?;
        let at = running.since + age;
        (at < running.entry.deadline).then_some(at)
    }

    fn slots_wake(&self, now: Instant) -> Option<Instant> {
        let wakes = self.servers.values().map(|server| server.slots.wake(now));
        wakes.flatten().min()
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let hopeless = self.queue.heads().map(|entry| self.latest(entry)).min();
        let slots = match self.queue.is_empty() {
            true => None,
            false => self.slots_wake(now),
        };
        let hedge = match self.servers.len() > 1 && self.hedges.allows() {
            true => self
                .running
                .values()
                .filter_map(|one| self.hedge_time(one))
                .min(),
            false => None,
        };
        [hopeless, slots, hedge]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }
}
