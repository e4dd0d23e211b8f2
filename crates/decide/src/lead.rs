//! Leadership of one instance: a row of the store with a lease, renewed under a condition.
//!
//! The row says a time of the store's clock that its holder was told before it wrote. A holder may
//! act for a term from the call that told it, by a clock that also counts the time in which the
//! machine was suspended. A challenger takes the row over when the store's clock is a whole term
//! past that time, or when it has seen the same version for a term by its steady clock, which a
//! suspension can only make longer.

use {std::time::Duration, tokio::time::Instant};

/// Share of the term for which a holder acts.
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

/// A time of the store's clock, with the moment before the call that told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark {
    /// Time of the store's clock.
    pub store: Duration,
    /// When the call was sent.
    pub sent: Moment,
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
    /// Time of the store's clock that it says; `None` where it is not known.
    pub marked: Option<Duration>,
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
    mark: Option<Mark>,
    lapsed: bool,
    unsettled: bool,
    reign: u64,
}

#[derive(Debug)]
struct Held {
    from: Moment,
    next: Instant,
}

impl Lead {
    /// Creates the view of an instance that has not read the row yet.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            seat: None,
            held: None,
            mark: None,
            lapsed: false,
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
        Some(held.from.boot + self.term.mul_f64(USABLE))
    }

    /// Returns the latest time of the store's clock that this instance was told; a write says it.
    pub fn mark(&self) -> Option<Mark> {
        self.mark
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
        let lapsed = self.lapsed || now.steady.duration_since(*since) >= self.term;
        match seat.own || seat.vacant || version == 0 || lapsed {
            true => Step::Write { version },
            false => Step::Rest,
        }
    }

    /// Takes the row as it was read from the store, with the time that the store told.
    pub fn read(&mut self, seat: Seat, now: Moment, mark: Option<Mark>) {
        self.unsettled = false;
        if let Some(mark) = mark {
            self.mark = Some(mark);
        }
        let age = mark
            .zip(seat.marked)
            .map(|(mark, marked)| mark.store.saturating_sub(marked));
        self.lapsed = age.is_some_and(|age| age >= self.term);
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
                marked: None,
            };
            self.lapsed = false;
            self.see(seat, now.steady);
        }
    }

    /// Takes the answer to a write that said `said`: the row now has this version. The answer
    /// tells a later time of the store's clock.
    pub fn written(&mut self, said: Mark, version: u64, told: Mark) {
        let seat = Seat {
            version,
            own: true,
            vacant: false,
            marked: Some(said.store),
        };
        self.see(seat, told.sent.steady);
        self.mark = Some(told);
        self.lapsed = false;
        let next = told.sent.steady + self.term / RENEWAL;
        self.held = Some(Held {
            from: said.sent,
            next,
        });
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
