//! Election of the planner on the planner row, whose version is the epoch.
//!
//! Any instance with a lease may take the next epoch once the recorded planner is lost or silent.
//! The election only avoids needless contenders: that a replaced planner cannot write follows from
//! the condition on the epoch in each of its transactions.

use {
    crate::{
        key::key_hash,
        names::{Epoch, Incarnation, Name},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

/// Silence of a planner after which others may take the next epoch.
const PLANNER_SILENCE: Duration = Duration::from_millis(1000);
/// Spread of the candidates' delays for each member, so that few contend.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(20);
/// Greatest spread of the candidates' delays.
const MAX_SPREAD: Duration = Duration::from_millis(1000);
/// Pause after a read or a take that failed.
const RETRY: Duration = Duration::from_millis(500);

/// Body of the planner row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planner {
    /// Epoch, which is the version of the row.
    pub epoch: Epoch,
    /// Instance that plans in this epoch.
    pub instance: Name,
    /// Run of the instance; another run of it is another planner.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// What a candidate has to know besides the row.
#[derive(Clone, Copy, Debug)]
pub struct Standing<'a> {
    /// Whether this instance has a lease.
    pub leased: bool,
    /// Instances that are lost at the version in force.
    pub lost: &'a BTreeSet<Name>,
    /// Number of members.
    pub members: usize,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this moment, unless something is heard.
    Idle {
        /// Moment of the next call.
        until: Instant,
    },
    /// Read the planner row, then call `read` or `failed`.
    Read,
    /// Write this row if the one that was read still stands, then call `taken` or `failed`.
    Take {
        /// Version of the row to replace; `None` if there is no row.
        replaces: Option<u64>,
        /// New row.
        row: Planner,
    },
    /// Plan in this epoch.
    Plan {
        /// Own epoch.
        epoch: Epoch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Follows the recorded planner, if any.
    Follow,
    /// Asked for the row.
    Reading,
    /// Asked for the write.
    Taking,
    /// Is the planner.
    Planning,
}

/// One instance in the election.
#[derive(Clone, Debug)]
pub struct Elect {
    me: Name,
    run: Incarnation,
    state: State,
    planner: Option<Planner>,
    epoch: Epoch,
    /// When the planner was last heard, or the wait for it began.
    heard: Instant,
    /// No call to the table before this moment.
    pause: Instant,
}

impl Elect {
    /// Creates a follower that knows no planner.
    pub fn new(me: Name, run: Incarnation, now: Instant) -> Self {
        Self {
            me,
            run,
            state: State::Follow,
            planner: None,
            epoch: Epoch(0),
            heard: now,
            pause: now,
        }
    }

    /// Takes the planner's own word, from its heartbeat, that it plans in `epoch`.
    pub fn hear(&mut self, planner: &Planner, now: Instant) {
        let old = match self.state {
            // The planner that is being replaced.
            State::Taking => planner.epoch <= self.epoch,
            _ => planner.epoch < self.epoch,
        };
        if !old && !self.is_me(planner) {
            self.follow(planner.clone(), now);
        }
    }

    /// Takes the planner row that was read.
    pub fn read(&mut self, row: Option<&Planner>, standing: Standing, now: Instant) -> Step {
        if self.state != State::Reading {
            return self.step(standing, now);
        }
        self.state = State::Follow;
        match row {
            // A newer planner than this instance knew of has its own time to be heard.
            Some(row) if row.epoch > self.epoch => {
                self.follow(row.clone(), now);
                self.step(standing, now)
            }
            _ if standing.leased && row.map_or(Epoch(0), |row| row.epoch) == self.epoch => {
                self.take(row)
            }
            // A row older than what was heard is never replaced: its next epoch is in use.
            _ => {
                self.pause = now + RETRY;
                self.step(standing, now)
            }
        }
    }

    /// Takes the news that the row of the last `Take` is recorded.
    pub fn taken(&mut self, standing: Standing, now: Instant) -> Step {
        if self.state == State::Taking {
            self.epoch = self.epoch.next();
            self.state = State::Planning;
            self.planner = Some(self.row(self.epoch));
        }
        self.step(standing, now)
    }

    /// Takes the news that a read or a take failed; `seen` is the row that stands instead.
    pub fn failed(&mut self, seen: Option<&Planner>, standing: Standing, now: Instant) -> Step {
        if matches!(self.state, State::Reading | State::Taking) {
            self.state = State::Follow;
            self.pause = now + RETRY;
        }
        self.replaced(seen, now);
        self.step(standing, now)
    }

    /// Takes the news that a write of this planner was refused; `seen` is the planner row.
    pub fn replaced(&mut self, seen: Option<&Planner>, now: Instant) {
        if let Some(row) = seen.filter(|row| row.epoch >= self.epoch && !self.is_me(row)) {
            self.follow(row.clone(), now);
        }
    }

    /// Returns what to do now.
    pub fn step(&mut self, standing: Standing, now: Instant) -> Step {
        if !standing.leased {
            // Without a lease others may plan; the epoch is taken anew afterwards.
            self.state = State::Follow;
            self.heard = self.heard.max(now);
            return Step::Idle { until: now + RETRY };
        }
        match self.state {
            State::Planning => Step::Plan { epoch: self.epoch },
            State::Reading | State::Taking => Step::Idle { until: now + RETRY },
            State::Follow => self.wait(standing, now),
        }
    }

    /// Returns the planner that this instance knows.
    pub fn planner(&self) -> Option<&Planner> {
        self.planner.as_ref()
    }

    fn wait(&mut self, standing: Standing, now: Instant) -> Step {
        let gone = match &self.planner {
            // Its silence need not be waited for: it cannot have a lease.
            Some(planner) => {
                standing.lost.contains(&planner.instance) || planner.instance == self.me
            }
            None => true,
        };
        let patience = if gone {
            Duration::ZERO
        } else {
            PLANNER_SILENCE
        };
        let until = (self.heard + patience + self.delay(standing.members)).max(self.pause);
        if now < until {
            return Step::Idle { until };
        }
        self.state = State::Reading;
        Step::Read
    }

    /// Returns this candidate's delay, which differs from epoch to epoch.
    fn delay(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_MEMBER.saturating_mul(members).min(MAX_SPREAD);
        let share = key_hash(&format!("{}/{}", self.me, self.epoch)) % 1000;
        spread * share as u32 / 1000
    }

    fn take(&mut self, row: Option<&Planner>) -> Step {
        self.state = State::Taking;
        self.epoch = row.map_or(Epoch(0), |row| row.epoch);
        Step::Take {
            replaces: row.map(|row| row.epoch.0),
            row: self.row(self.epoch.next()),
        }
    }

    fn follow(&mut self, planner: Planner, now: Instant) {
        self.epoch = planner.epoch;
        self.planner = Some(planner);
        self.heard = now;
        self.state = State::Follow;
    }

    fn row(&self, epoch: Epoch) -> Planner {
        Planner {
            epoch,
            instance: self.me.clone(),
            incarnation: self.run,
        }
    }

    fn is_me(&self, planner: &Planner) -> bool {
        planner.instance == self.me && planner.incarnation == self.run
    }
}
