//! Slots of one target: how many requests it may run at the same time, warm or cold.

use {
    super::pace::{Pace, Step},
    crate::{names::Name, verdict::Priority},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Successes at the present limit after which the limit grows by one.
const GROWTH: u32 = 24;

/// Multiple of `GROWTH` that is asked for while the target says that it is cold.
const SAYS_COLD: u32 = 8;

/// Pause after a shed at the cold limit; it doubles with each further one.
const SHED_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause after sheds.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);

/// What the document says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Requests that it runs at the same time once warm.
    pub slots: u32,
    /// Requests that it bears at the same time while cold.
    pub cold: u32,
}

/// Why a target is back at its cold limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chill {
    /// Its start id changed.
    Restarted,
    /// A connection broke and no start id tells whether it restarted.
    Doubted,
    /// Its latency jumped.
    Slowed,
    /// It shed a request within its limit.
    Shed,
}

/// A slot in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Taken {
    /// Connection that the request was sent on.
    link: u64,
    /// Time by which the request has ended at the target, if its connection is gone.
    until: Option<Instant>,
}

/// Where an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Connection.
    pub link: u64,
    /// Time at which it was asked for.
    pub begun: Instant,
}

/// A run of the target.
#[derive(Clone, Debug)]
struct Run {
    start: Name,
    /// First connection that can belong to this run.
    first: u64,
    /// Newest connection that showed this run.
    newest: u64,
    /// Time of the last answer that showed this run.
    seen: Instant,
}

impl Run {
    fn new(start: &str, newest: u64, seen: Instant) -> Self {
        Self {
            start: start.into(),
            first: 0,
            newest,
            seen,
        }
    }
}

/// Slots of one target.
#[derive(Clone, Debug)]
pub struct Slots {
    profile: Profile,
    limit: u32,
    successes: u32,
    running: BTreeMap<u64, Taken>,
    run: Option<Run>,
    doubt: Option<u64>,
    says_cold: Option<bool>,
    foreign: Option<Instant>,
    pause: Option<Instant>,
    sheds: u32,
    paces: [Pace; 3],
    slowed: Option<u32>,
}

impl Slots {
    /// Returns the slots of a target that was just taken on, at its cold limit.
    ///
    /// Until `foreign` requests of an earlier holder may still run at the target.
    pub fn new(profile: Profile, foreign: Option<Instant>) -> Self {
        Self {
            profile,
            limit: profile.cold.min(profile.slots),
            successes: 0,
            running: BTreeMap::new(),
            run: None,
            doubt: None,
            says_cold: None,
            foreign,
            pause: None,
            sheds: 0,
            paces: Default::default(),
            slowed: None,
        }
    }

    /// Returns the requests that the target may run at the same time now.
    pub fn limit(&self, now: Instant) -> u32 {
        if self.pause.is_some_and(|until| now < until) {
            return 0;
        }
        if self.foreign.is_some_and(|until| now < until) {
            return match self.says_cold {
                Some(false) => self.cold(),
                _ => 0,
            };
        }
        match self.doubt {
            Some(_) => self.limit.min(self.cold()),
            None => self.limit,
        }
    }

    /// Returns the requests that count against the limit.
    pub fn in_use(&self, now: Instant) -> u32 {
        let counts = |taken: &&Taken| taken.until.is_none_or(|until| now < until);
        self.running.values().filter(counts).count() as u32
    }

    /// Returns whether another request may be sent.
    pub fn free(&self, now: Instant) -> bool {
        self.in_use(now) < self.limit(now)
    }

    /// Returns the next time at which a slot may become free without an answer.
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        let ends = [self.pause, self.foreign].into_iter().flatten();
        let lingering = self.running.values().filter_map(|taken| taken.until);
        ends.chain(lingering).filter(|end| *end > now).min()
    }

    /// Returns the profile.
    pub fn profile(&self) -> Profile {
        self.profile
    }

    /// Takes a changed profile.
    pub fn reprofile(&mut self, profile: Profile) {
        self.profile = profile;
        self.limit = self.limit.min(profile.slots).max(self.cold());
    }

    /// Counts request `id`, sent on connection `link`.
    pub fn take(&mut self, id: u64, link: u64) {
        self.running.insert(id, Taken { link, until: None });
    }

    /// Uncounts request `id`; returns whether it was counted.
    pub fn give(&mut self, id: u64) -> bool {
        self.running.remove(&id).is_some()
    }

    /// Counts request `id`, whose connection is gone, for as long as it may run at the target.
    ///
    /// A request of an earlier run of the target ended with that run.
    pub fn linger(&mut self, id: u64, until: Instant) {
        let first = self.run.as_ref().map_or(0, |run| run.first);
        match self.running.get_mut(&id) {
            Some(taken) if taken.link >= first => taken.until = Some(until),
            _ => {
                self.running.remove(&id);
            }
        }
    }

    /// Uncounts every request that has ended at the target by now.
    pub fn expire(&mut self, now: Instant) {
        let counts = |taken: &Taken| taken.until.is_none_or(|until| now < until);
        self.running.retain(|_, taken| counts(taken));
    }

    /// Notes the start id that the target named, or did not name, in an answer.
    ///
    /// A connection belongs to one run of the target. An answer that was asked for before the
    /// newest known run was seen, on a connection no newer than that run's, says nothing.
    pub fn seen(&mut self, start: Option<&str>, from: Source, now: Instant) -> Option<Chill> {
        let doubted = self.doubt.is_some_and(|doubt| from.link >= doubt);
        let Some(start) = start else {
            return doubted.then(|| self.restart(Chill::Doubted));
        };
        let Some(run) = &mut self.run else {
            self.run = Some(Run::new(start, from.link, now));
            return doubted.then(|| self.restart(Chill::Doubted));
        };
        if run.start.as_ref() == start {
            run.newest = run.newest.max(from.link);
            run.seen = now;
            self.doubt = self.doubt.filter(|_| !doubted);
            return None;
        }
        if from.link <= run.newest && from.begun <= run.seen {
            return None;
        }
        let last = run.newest;
        let mut run = Run::new(start, from.link.max(last), now);
        if from.link > last {
            run.first = last + 1;
        }
        let first = run.first;
        self.run = Some(run);
        self.foreign = None;
        self.running
            .retain(|_, taken| taken.link >= first || taken.until.is_none());
        Some(self.restart(Chill::Restarted))
    }

    /// Notes that an answer to what was asked after the last break named this start id.
    pub fn confirm(&mut self, start: &str) {
        let same = |run: &Run| run.start.as_ref() == start;
        if self.run.as_ref().is_some_and(same) {
            self.doubt = None;
        }
    }

    /// Takes the target on again: until `foreign` requests of another holder may run there.
    pub fn retake(&mut self, foreign: Option<Instant>) {
        self.foreign = foreign;
        self.says_cold = None;
        self.chill();
    }

    /// Notes that a connection broke: until a connection from `link` on shows the same start id,
    /// the target may have restarted.
    pub fn doubt(&mut self, link: u64) {
        self.doubt = self.doubt.max(Some(link));
    }

    /// Notes what the health of the target says; it only ever lowers the limit.
    pub fn reported(&mut self, cold: bool) {
        self.says_cold = Some(cold);
    }

    /// Returns whether the target bears all its slots.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.profile.slots
    }

    /// Notes a whole answer to a request of `priority` that took `time` at the target.
    pub fn succeeded(&mut self, time: Duration, priority: Priority, now: Instant) -> Option<Chill> {
        self.sheds = 0;
        self.pause = None;
        match self.paces[priority as usize].step(time) {
            Step::Usual => {}
            Step::Slower => {
                let before = self.slowed.unwrap_or_default().max(self.limit);
                self.chill();
                self.slowed = Some(before);
                return Some(Chill::Slowed);
            }
            Step::Back if self.says_cold != Some(true) => {
                self.limit = self.slowed.take().unwrap_or(self.limit);
            }
            Step::Back => self.slowed = None,
        }
        if self.foreign.is_some_and(|until| now < until) {
            return None;
        }
        self.successes += 1;
        let factor = match self.says_cold {
            Some(true) => SAYS_COLD,
            _ => 1,
        };
        if self.successes >= GROWTH * factor && self.limit < self.profile.slots {
            self.successes = 0;
            self.limit += 1;
        }
        None
    }

    /// Notes that the target shed a request without running it.
    pub fn shed(&mut self, now: Instant) -> Chill {
        if self.limit <= self.cold() {
            let pause = SHED_PAUSE * 2u32.pow(self.sheds.min(8));
            self.pause = Some(now + pause.min(LONGEST_PAUSE));
            self.sheds += 1;
        }
        self.chill();
        Chill::Shed
    }

    fn cold(&self) -> u32 {
        self.profile.cold.min(self.profile.slots)
    }

    fn restart(&mut self, chill: Chill) -> Chill {
        self.doubt = None;
        self.paces = Default::default();
        self.slowed = None;
        self.chill();
        chill
    }

    fn chill(&mut self) {
        self.limit = self.cold();
        self.successes = 0;
        self.slowed = None;
    }
}
