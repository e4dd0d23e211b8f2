//! Leadership of one instance: a row of the store with a lease, renewed under a condition.
//!
//! The row says a time of the store's clock that its holder was told before it wrote. A holder may
//! act for a term from the call that told it, by a clock that also counts the time in which the
//! machine was suspended. A challenger takes the row over when the store's clock is a whole term
//! past that time, or when it has seen the same version for a term by its monotonic clock, which a
//! suspension can only make longer. Challengers take turns, so that mostly the best one gets it.

use {std::time::Duration, tokio::time::Instant};

/// Share of the term for which a holder acts.
///
/// The rest covers clocks that run at different rates and the way of an order to a target.
const USABLE: f64 = 0.9;
/// Part of the term after which a holder renews.
const RENEWAL: u32 = 4;
/// Age up to which a time of the store's clock is good enough for a challenger's write.
const FRESH: Duration = Duration::from_millis(100);
/// Part of the term by which a renewal may be late while the store counts as within reach.
const LATENESS: u32 = 10;

/// A moment by both clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalTime {
    /// Steady clock, which stands still while the machine is suspended.
    pub monotonic: Instant,
    /// Time since the machine's start, suspensions included.
    pub since_boot: Duration,
}

/// A time of the store's clock, with the moment before the call that told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreTimestamp {
    /// Time of the store's clock.
    pub store_time: Duration,
    /// When the call was sent.
    pub sent_at: LocalTime,
}

/// The row as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRow {
    /// Version; 0 if the row does not exist.
    pub version: u64,
    /// Whether this run of this instance wrote it.
    pub is_own: bool,
    /// Whether its holder gave it up.
    pub released: bool,
    /// Time of the store's clock that it says; `None` where it is not known.
    pub lease_start: Option<Duration>,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Nothing yet.
    Wait,
    /// Read the row.
    Read,
    /// Write the row under the condition that it still has this version.
    Write {
        /// Version that the row must have; 0 for a row that must not exist.
        version: u64,
    },
}

/// When an instance takes a row that is free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimDelay {
    /// Time that it leaves to others.
    pub duration: Duration,
    /// Whether it leaves that time to them also where the row is its own.
    pub includes_own: bool,
}

/// Leadership as one instance sees it.
#[derive(Debug)]
pub struct LeaderElection {
    term: Duration,
    seat: Option<(LeaderRow, Instant)>,
    held: Option<Held>,
    mark: Option<StoreTimestamp>,
    /// When the row that was read is or was a term old by the store's clock.
    lapse: Option<Instant>,
    unsettled: bool,
    reign: u64,
}

#[derive(Debug)]
struct Held {
    from: LocalTime,
    next: Instant,
}

impl LeaderElection {
    /// Creates the view of an instance that has not read the row yet.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            seat: None,
            held: None,
            mark: None,
            lapse: None,
            unsettled: false,
            reign: 0,
        }
    }

    /// Returns a number that changes whenever another instance may have been leader.
    pub fn epoch(&self) -> u64 {
        self.reign
    }

    /// Returns the time at which the lease ends, by the clock that counts suspensions.
    pub fn lease_end(&self) -> Option<Duration> {
        let held = self.held.as_ref()?;
        Some(held.from.since_boot + self.term.mul_f64(USABLE))
    }

    /// Returns the latest time of the store's clock that this instance was told; a write says it.
    pub fn store_timestamp(&self) -> Option<StoreTimestamp> {
        self.mark
    }

    /// Returns whether this instance may act as leader now.
    pub fn is_leader(&self, now: LocalTime) -> bool {
        self.lease_end().is_some_and(|until| now.since_boot < until)
    }

    /// Returns the version of the row that this instance last saw.
    pub fn row_version(&self) -> u64 {
        self.seat.as_ref().map_or(0, |(seat, _)| seat.version)
    }

    /// Returns whether the last renewal is overdue, so that the store may be out of reach.
    pub fn is_renewal_overdue(&self, now: LocalTime) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|held| now.monotonic > held.next + self.term / RENEWAL)
    }

    /// Returns whether a write would likely be carried out: the last one was answered, and the next
    /// renewal is not overdue.
    pub fn is_store_writable(&self, now: LocalTime) -> bool {
        let held = self.held.as_ref().filter(|_| !self.unsettled);
        held.is_some_and(|held| now.monotonic <= held.next + self.term / LATENESS)
    }

    /// Returns what to do next.
    pub fn next_action(&mut self, now: LocalTime, turn: ClaimDelay) -> ElectionAction {
        if self.held.is_some() && !self.is_leader(now) {
            self.step_down();
        }
        let Some((seat, since)) = &self.seat else {
            return ElectionAction::Read;
        };
        if self.unsettled {
            return ElectionAction::Read;
        }
        let due = match &self.held {
            Some(held) => held.next,
            None if seat.is_own && !turn.includes_own => now.monotonic,
            None => self.free(seat, *since) + turn.duration,
        };
        if now.monotonic < due {
            return ElectionAction::Wait;
        }
        // A lease counts from the time that its write says. One that is older than the row would
        // also end the grants of the row's writer too early for whoever reads the next row.
        match self.held.is_none() && !self.is_told(now) {
            true => ElectionAction::Read,
            false => ElectionAction::Write {
                version: seat.version,
            },
        }
    }

    /// Returns when the row became or becomes free for any instance, as far as this one knows.
    fn free(&self, seat: &LeaderRow, since: Instant) -> Instant {
        if seat.released || seat.version == 0 {
            return since;
        }
        let seen = since + self.term;
        self.lapse.map_or(seen, |lapse| lapse.min(seen))
    }

    /// Returns whether a time of the store's clock was told just now. Of many that find the row free
    /// at the same time most read it after one has taken it.
    fn is_told(&self, now: LocalTime) -> bool {
        let age = |mark: StoreTimestamp| {
            now.monotonic
                .saturating_duration_since(mark.sent_at.monotonic)
        };
        self.mark.is_some_and(|mark| age(mark) <= FRESH)
    }

    /// Takes the row as it was read from the store, with the time that the store told.
    pub fn apply_row(&mut self, seat: LeaderRow, now: LocalTime, mark: Option<StoreTimestamp>) {
        self.unsettled = false;
        if let Some(mark) = mark {
            self.mark = Some(mark);
        }
        let age = mark
            .zip(seat.lease_start)
            .map(|(mark, marked)| mark.store_time.saturating_sub(marked));
        let left = age.map(|age| self.term.saturating_sub(age));
        let lapse = left.map(|left| now.monotonic + left);
        // A row that was free at the last read has been so since then.
        let same = self.seat.as_ref().is_some_and(|(known, _)| *known == seat);
        let known = self.lapse.filter(|_| same);
        self.lapse = known.into_iter().chain(lapse).min();
        if self.held.is_some() && !seat.is_own {
            self.held = None;
        }
        self.see(seat, now.monotonic);
    }

    /// Takes the version that the leader told by a heartbeat.
    pub fn apply_heartbeat(&mut self, version: u64, now: LocalTime) {
        if version > self.row_version() && self.held.is_none() {
            let seat = LeaderRow {
                version,
                is_own: false,
                released: false,
                lease_start: None,
            };
            self.lapse = None;
            self.see(seat, now.monotonic);
        }
    }

    /// Takes the answer to a write that said `said`: the row now has this version. The answer
    /// tells a later time of the store's clock.
    pub fn confirm_write(&mut self, said: StoreTimestamp, version: u64, told: StoreTimestamp) {
        let seat = LeaderRow {
            version,
            is_own: true,
            released: false,
            lease_start: Some(said.store_time),
        };
        self.see(seat, told.sent_at.monotonic);
        self.mark = Some(told);
        self.lapse = None;
        let next = told.sent_at.monotonic + self.term / RENEWAL;
        self.held = Some(Held {
            from: said.sent_at,
            next,
        });
    }

    /// Takes the loss of the answer to a write: it may be done, or be done later.
    pub fn mark_write_unanswered(&mut self) {
        self.unsettled = true;
    }

    /// Gives the leadership up.
    pub fn step_down(&mut self) {
        self.held = None;
        self.unsettled = true;
    }

    fn see(&mut self, seat: LeaderRow, monotonic: Instant) {
        if !seat.is_own {
            self.reign += 1;
        }
        let known = self.seat.as_ref();
        let since = known
            .filter(|(known, _)| known.version == seat.version)
            .map_or(monotonic, |(_, since)| *since);
        self.seat = Some((seat, since));
    }
}
