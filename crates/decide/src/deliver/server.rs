//! A target as its lane sees it.

use {
    super::{
        choice::Candidate,
        queue::Entry,
        slots::{Chill, Profile, Slots},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Weight of the last answer in the smoothed time.
const WEIGHT: f64 = 0.5;

/// Ratio of the smoothed time to that of an answer which shows that the target is fast again.
const RECOVERED: f64 = 3.0;

/// Weight of the last answer in the share of errors.
const ERROR_WEIGHT: f64 = 0.1;

/// Time after the deadline of a request by which a target has surely given it up.
const LINGER: Duration = Duration::from_millis(50);

/// How an attempt ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer came.
    Whole {
        /// Whether it says that the target failed.
        error: bool,
    },
    /// The target shed it without running it.
    Shed,
    /// The target refused its fence, range or grant without running it, or cancelled it unrun.
    Unrun,
    /// No byte of it left.
    Unsent,
    /// The connection is gone and no whole answer came.
    Broken,
}

/// A target of a lane.
#[derive(Clone, Debug)]
pub struct Server {
    /// Slots of the target.
    pub slots: Slots,
    /// Requests answered since the target was taken on.
    pub served: u64,
    idle: Vec<u64>,
    open: bool,
    granted: bool,
    sent: BTreeMap<u64, Instant>,
    latency: Option<f64>,
    errors: f64,
    tried: Instant,
}

impl Server {
    /// Returns a target that was just taken on.
    pub fn new(profile: Profile, foreign: Option<Instant>, now: Instant) -> Self {
        Self {
            slots: Slots::new(profile, foreign),
            served: 0,
            idle: Vec::new(),
            open: true,
            granted: true,
            sent: BTreeMap::new(),
            latency: None,
            errors: 0.0,
            tried: now,
        }
    }

    /// Permits or forbids new requests.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Returns whether new requests are permitted.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Notes whether the target has the grant that its requests need.
    pub fn set_granted(&mut self, granted: bool) {
        self.granted = granted;
    }

    /// Adds an idle connection.
    pub fn ready(&mut self, link: u64) {
        self.idle.push(link);
    }

    /// Removes an idle connection; returns whether it was idle.
    pub fn unready(&mut self, link: u64) -> bool {
        let at = self.idle.iter().position(|known| *known == link);
        at.map(|at| self.idle.remove(at)).is_some()
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Returns the smoothed time of its last few answers.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Returns the requests sent that have neither ended nor lost their connection.
    pub fn running(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Takes a slot and a connection for request `id`.
    pub fn send(&mut self, id: u64, now: Instant) -> Option<u64> {
        let link = self.idle.pop()?;
        self.slots.expire(now);
        self.slots.take(id, link);
        self.sent.insert(id, now);
        self.tried = now;
        Some(link)
    }

    /// Notes the end of request `id`; `usual` is the pool's median.
    pub fn ended(
        &mut self,
        id: u64,
        ending: Ending,
        entry: &Entry,
        usual: Duration,
        now: Instant,
    ) -> Option<Chill> {
        let since = self.sent.remove(&id)?;
        let time = now.saturating_duration_since(since);
        if ending == Ending::Broken {
            self.slots.linger(id, entry.deadline.max(now) + LINGER);
            return None;
        }
        self.slots.give(id);
        match ending {
            Ending::Whole { error } => {
                self.served += 1;
                self.observe(if error { time.max(usual) } else { time }, error);
                self.slots.succeeded(time, entry.priority, now)
            }
            Ending::Shed => Some(self.slots.shed(now)),
            Ending::Unrun | Ending::Unsent | Ending::Broken => None,
        }
    }

    /// Returns the target as a candidate for the next request.
    pub fn candidate(&self, now: Instant) -> Candidate {
        let age = |since: &Instant| now.saturating_duration_since(*since);
        Candidate {
            latency: self.latency(),
            oldest: self.sent.values().map(age).max(),
            free: self.is_free(now),
            running: self.slots.in_use(now),
            limit: self.slots.limit(now),
            errors: self.errors,
            untried: age(&self.tried),
        }
    }

    /// Returns whether the target may get a request now.
    pub fn is_free(&self, now: Instant) -> bool {
        self.open && self.granted && !self.idle.is_empty() && self.slots.free(now)
    }

    fn observe(&mut self, time: Duration, error: bool) {
        let seconds = time.as_secs_f64();
        let latency = self.latency.unwrap_or(seconds);
        let recovered = seconds < latency / RECOVERED;
        let weight = if recovered { 1.0 } else { WEIGHT };
        self.latency = Some(latency + weight * (seconds - latency));
        let error = if error { 1.0 } else { 0.0 };
        self.errors += ERROR_WEIGHT * (error - self.errors);
    }
}
