//! Leadership of one instance: a row of the store with a lease, renewed under a condition.
//!
//! A holder may act until its lease ends by a clock that also counts the time in which the machine
//! was suspended. A challenger takes the row over after it has seen the same version for a whole
//! term by its steady clock, which a suspension can only make longer.

use {std::time::Duration, tokio::time::Instant};

/// Share of the term for which a holder acts after it sent a renewal.
///
/// The rest covers clocks that run at different rates and the way of an order to a target.
const USABLE: f64 = 0.9;
/// Part of the term after which a holder renews.
const RENEWAL: u32 = 4;

/// A moment by both clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// Steady clock, which stands still while the machine is suspended.
    pub steady: Instant,
    /// Time since the machine's start, suspensions included.
    pub boot: Duration,
}

/// The row as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Version; 0 if the row does not exist.
    pub version: u64,
    /// Whether this run of this instance wrote it.
    pub own: bool,
    /// Whether its holder gave it up.
    pub vacant: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Rest,
    /// Read the row.
    Read,
    /// Write the row under the condition that it still has this version.
    Write {
        /// Version that the row must have; 0 for a row that must not exist.
        version: u64,
    },
}

/// Leadership as one instance sees it.
#[derive(Debug)]
pub struct Lead {
    term: Duration,
    seat: Option<(Seat, Instant)>,
    held: Option<Held>,
    unsettled: bool,
    reign: u64,
}

#[derive(Debug)]
struct Held {
    sent: Moment,
    next: Instant,
}

impl Lead {
    /// Creates the view of an instance that has not read the row yet.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            seat: None,
            held: None,
            unsettled: false,
            reign: 0,
        }
    }

    /// Returns a number that changes whenever another instance may have been leader.
    pub fn reign(&self) -> u64 {
        self.reign
    }

    /// Returns the time at which the lease ends, by the clock that counts suspensions.
    pub fn until(&self) -> Option<Duration> {
        let held = self.held.as_ref()?;
        Some(held.sent.boot + self.term.mul_f64(USABLE))
    }

    /// Returns whether this instance may act as leader now.
    pub fn leads(&self, now: Moment) -> bool {
        self.until().is_some_and(|until| now.boot < until)
    }

    /// Returns the version of the row that this instance last saw.
    pub fn version(&self) -> u64 {
        self.seat.as_ref().map_or(0, |(seat, _)| seat.version)
    }

    /// Returns whether the last renewal is overdue, so that the store may be out of reach.
    pub fn strained(&self, now: Moment) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|held| now.steady > held.next + self.term / RENEWAL)
    }

    /// Returns what to do next.
    pub fn step(&mut self, now: Moment) -> Step {
        if self.held.is_some() && !self.leads(now) {
            self.lose();
        }
        let Some((seat, since)) = &self.seat else {
            return Step::Read;
        };
        if self.unsettled {
            return Step::Read;
        }
        let version = seat.version;
        if let Some(held) = &self.held {
            return match now.steady >= held.next {
                true => Step::Write { version },
                false => Step::Rest,
            };
        }
        let lapsed = now.steady.duration_since(*since) >= self.term;
        match seat.own || seat.vacant || version == 0 || lapsed {
            true => Step::Write { version },
            false => Step::Rest,
        }
    }

    /// Takes the row as it was read from the store.
    pub fn read(&mut self, seat: Seat, now: Moment) {
        self.unsettled = false;
        if self.held.is_some() && !seat.own {
            self.held = None;
        }
        self.see(seat, now.steady);
    }

    /// Takes the version that the leader told by a heartbeat.
    pub fn hear(&mut self, version: u64, now: Moment) {
        if version > self.version() && self.held.is_none() {
            let seat = Seat {
                version,
                own: false,
                vacant: false,
            };
            self.see(seat, now.steady);
        }
    }

    /// Takes the answer to a write that was `sent` then: the row now has this version.
    pub fn written(&mut self, sent: Moment, version: u64) {
        let seat = Seat {
            version,
            own: true,
            vacant: false,
        };
        self.see(seat, sent.steady);
        let next = sent.steady + self.term / RENEWAL;
        self.held = Some(Held { sent, next });
    }

    /// Takes the loss of the answer to a write: it may be done, or be done later.
    pub fn unanswered(&mut self) {
        self.unsettled = true;
    }

    /// Gives the leadership up.
    pub fn lose(&mut self) {
        self.held = None;
        self.unsettled = true;
    }

    fn see(&mut self, seat: Seat, steady: Instant) {
        if !seat.own {
            self.reign += 1;
        }
        let known = self.seat.as_ref();
        let since = known
            .filter(|(known, _)| known.version == seat.version)
            .map_or(steady, |(_, since)| *since);
        self.seat = Some((seat, since));
    }
}
