//! Leader election over one row of the store, with a lease that conditional writes renew.
//!
//! The row contains a time of the store's clock that its writer read before the write. The writer
//! may act as leader for a part of the lease TTL from the call that returned this time, measured on
//! a clock that also counts the time in which the machine was suspended. Another instance may claim
//! the row once the store's clock is a whole TTL past the time in the row, or once it has known the
//! same version for a TTL on its monotonic clock, which stops during a suspension and so can only
//! lengthen the wait. Each candidate delays its claim differently, so that usually the preferred
//! one gets the row.
//!
//! A store that was restored from a backup starts a new era, in which the row does not exist. The
//! leader whose lease is valid when it learns of this may continue: no other instance has led since,
//! so that it knows all grants. It stops acting until it has claimed the row in the new era. The
//! other instances leave it a lease TTL for that.

use {crate::names::StoreVersion, std::time::Duration, tokio::time::Instant};

/// Part of the lease TTL for which the leader may act.
///
/// The rest covers clocks that run at different rates and the delivery of a command to a target.
const LEASE_USABLE_RATIO: f64 = 0.9;
/// The leader renews after the lease TTL divided by this number.
const RENEWAL_DIVISOR: u32 = 4;
/// Greatest age of a store timestamp with which any free row is claimed.
const RECENT_AGE: Duration = Duration::from_millis(100);
/// Greatest age of a store timestamp in a claim, as part of the lease TTL: half of the time for which the leader
/// may act, as the write that follows may take as long as the read that returned the timestamp.
const CLAIM_AGE_RATIO: f64 = LEASE_USABLE_RATIO / 2.0;
/// A write is expected to succeed while the renewal is late by no more than the lease TTL divided
/// by this number.
const LATENESS_DIVISOR: u32 = 10;

/// Local time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalTime {
    /// Monotonic clock, which stands still while the machine is suspended.
    pub monotonic: Instant,
    /// Time since the machine's start, suspensions included.
    pub since_boot: Duration,
}

/// Time of the store's clock, with the local time before the call that returned it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreTimestamp {
    /// Time of the store's clock.
    pub store_time: Duration,
    /// When the call was sent.
    pub sent_at: LocalTime,
}

/// The leader's row as it is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRow {
    /// Version; none if the row does not exist.
    pub version: StoreVersion,
    /// Whether this incarnation of this instance wrote the row.
    pub is_own: bool,
    /// Whether its writer has given up the leadership.
    pub released: bool,
    /// Time of the store's clock from which the lease counts; `None` if the row was not read or
    /// contains none.
    pub lease_start: Option<Duration>,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Nothing is due.
    Wait,
    /// Read the row.
    Read,
    /// Write the row on the condition that it still has this version.
    Write {
        /// Expected version; none if the row must not exist.
        version: StoreVersion,
    },
}

/// Why an instance that could claim the row has to read first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimObstacle {
    /// No time of the store's clock is known.
    NoTimestamp,
    /// The last known time is too old, or from before the row could be claimed. Holds its age.
    OldTimestamp(Duration),
}

/// Delay with which an instance claims a row that is free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimDelay {
    /// Time that it leaves to other instances.
    pub duration: Duration,
    /// Whether the delay also applies to a row that this incarnation of the instance wrote.
    pub includes_own: bool,
}

/// State machine by which one instance becomes and stays leader.
#[derive(Debug)]
pub struct LeaderElection {
    lease_ttl: Duration,
    /// The row as last known, and when its version became known.
    row: Option<(LeaderRow, Instant)>,
    lease: Option<Lease>,
    store_timestamp: Option<StoreTimestamp>,
    /// Local time at which the lease in the row ends or ended by the store's clock.
    row_expiry: Option<Instant>,
    /// Whether the row may have changed: a write was not answered or the leadership was given up.
    needs_read: bool,
    epoch: u64,
    /// Era of the store; `None` before its first response.
    era: Option<u64>,
    /// Whether this instance led when the era began and may continue to lead.
    is_continuing: bool,
    /// When a row that does not exist may be claimed.
    claimable_at: Option<Instant>,
}

#[derive(Debug)]
struct Lease {
    start: LocalTime,
    renewal_due: Instant,
}

impl LeaderElection {
    /// Creates the state of an instance that has not read the row yet.
    pub fn new(lease_ttl: Duration) -> Self {
        Self {
            lease_ttl,
            row: None,
            lease: None,
            store_timestamp: None,
            row_expiry: None,
            needs_read: false,
            epoch: 0,
            era: None,
            is_continuing: false,
            claimable_at: None,
        }
    }

    /// Applies a later era of the store. `can_continue` tells whether this instance, if it leads,
    /// knows all assignments; `is_bootstrap`, that no instance can have led before.
    pub fn enter_era(&mut self, era: u64, now: LocalTime, can_continue: bool, is_bootstrap: bool) {
        // A second restoration may have removed the row of a leader of the era between.
        let is_continuing = can_continue && self.is_leader(now);
        if (self.lease.is_some() || self.is_continuing) && !is_continuing {
            self.epoch += 1;
        }
        self.era = Some(era);
        self.is_continuing = is_continuing;
        self.claimable_at = (!is_bootstrap).then(|| now.monotonic + self.lease_ttl);
        self.lease = None;
        self.row = None;
        self.row_expiry = None;
        self.store_timestamp = None;
        self.needs_read = true;
    }

    /// Returns whether this instance led when the era of the store began, and has neither claimed
    /// the row since nor learned that another instance has.
    pub fn is_continuing(&self) -> bool {
        self.is_continuing
    }

    /// Returns a number that changes whenever another instance may have been leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns when this instance's lease ends, as time since the machine's start.
    pub fn lease_end(&self) -> Option<Duration> {
        let lease = self.lease.as_ref()?;
        Some(lease.start.since_boot + self.lease_ttl.mul_f64(LEASE_USABLE_RATIO))
    }

    /// Returns the latest known time of the store's clock, which the next write contains.
    pub fn store_timestamp(&self) -> Option<StoreTimestamp> {
        self.store_timestamp
    }

    /// Returns whether this instance may act as leader now.
    pub fn is_leader(&self, now: LocalTime) -> bool {
        self.lease_end().is_some_and(|end| now.since_boot < end)
    }

    /// Returns the last known version of the row; none if it is not known.
    pub fn row_version(&self) -> StoreVersion {
        self.row
            .as_ref()
            .map_or(StoreVersion::NONE, |(row, _)| row.version)
    }

    /// Returns whether this instance's renewal is late by a whole renewal period, so that the store
    /// may be unreachable.
    pub fn is_renewal_overdue(&self, now: LocalTime) -> bool {
        let lease = self.lease.as_ref();
        lease.is_some_and(|lease| {
            now.monotonic > lease.renewal_due + self.lease_ttl / RENEWAL_DIVISOR
        })
    }

    /// Returns whether a write is expected to succeed: the last one was answered, and the renewal
    /// is late by no more than the tolerance.
    pub fn is_store_writable(&self, now: LocalTime) -> bool {
        let lease = self.lease.as_ref().filter(|_| !self.needs_read);
        lease.is_some_and(|lease| {
            now.monotonic <= lease.renewal_due + self.lease_ttl / LATENESS_DIVISOR
        })
    }

    /// Returns whether the row may be claimed by anyone now, as far as this instance knows. Until then,
    /// a read of the row would not find another leader.
    pub fn is_row_free(&self, now: LocalTime) -> bool {
        let row = self.row.as_ref();
        row.is_none_or(|(row, known_since)| self.row_free_time(row, *known_since) <= now.monotonic)
    }

    /// Returns what to do next; gives up the leadership first if the lease has ended.
    pub fn next_action(&mut self, now: LocalTime, claim_delay: ClaimDelay) -> ElectionAction {
        if self.lease.is_some() && !self.is_leader(now) {
            self.step_down();
        }
        let Some((row, known_since)) = &self.row else {
            return ElectionAction::Read;
        };
        if self.needs_read {
            return ElectionAction::Read;
        }
        let due = match &self.lease {
            Some(lease) => lease.renewal_due,
            None if self.is_continuing => now.monotonic,
            None if row.is_own && !claim_delay.includes_own => now.monotonic,
            None => self.row_free_time(row, *known_since) + claim_delay.duration,
        };
        if now.monotonic < due {
            return ElectionAction::Wait;
        }
        let version = row.version;
        // The row that only this instance wrote is older than every timestamp that it knows.
        let free_since = (!row.is_own && !self.is_continuing).then_some(due);
        match self.lease.is_none() && self.claim_obstacle(free_since, now).is_some() {
            true => ElectionAction::Read,
            false => ElectionAction::Write { version },
        }
    }

    /// Returns why the row, which may be claimed now, cannot be claimed before another read; `None` if it can, or
    /// may not be claimed yet.
    pub fn deferral(&self, now: LocalTime, claim_delay: ClaimDelay) -> Option<ClaimObstacle> {
        let (row, known_since) = self.row.as_ref()?;
        let due = self.row_free_time(row, *known_since) + claim_delay.duration;
        let is_due = self.lease.is_none() && due <= now.monotonic;
        is_due.then(|| self.claim_obstacle(Some(due), now))?
    }

    /// Returns when any instance may claim the row, as far as this one knows; may be in the past.
    fn row_free_time(&self, row: &LeaderRow, known_since: Instant) -> Instant {
        if row.version.is_none() {
            return self.claimable_at.unwrap_or(known_since);
        }
        if row.released {
            return known_since;
        }
        let known_long = known_since + self.lease_ttl;
        self.row_expiry
            .map_or(known_long, |expiry| expiry.min(known_long))
    }

    /// Returns why a claim may not contain the store timestamp; `due` is since when the row could be claimed, or
    /// `None` if only this instance wrote it.
    ///
    /// The lease counts from the timestamp, so that an old one leaves less of it. If it were older than the row that
    /// is replaced, the next reader of the row would assume that the previous leader's grants end earlier than they
    /// do. A call that was sent after the row could be claimed returns a later one, however long it takes. By that
    /// call most of the instances that find the row free at the same time also learn that one of them has claimed it.
    fn claim_obstacle(&self, due: Option<Instant>, now: LocalTime) -> Option<ClaimObstacle> {
        let Some(StoreTimestamp { sent_at, .. }) = self.store_timestamp else {
            return Some(ClaimObstacle::NoTimestamp);
        };
        // The lease ends by this clock, which counts suspensions.
        let age = now.since_boot.saturating_sub(sent_at.since_boot);
        let is_sent_since = due.is_none_or(|due| sent_at.monotonic >= due);
        let max_age = match is_sent_since {
            true => self.lease_ttl.mul_f64(CLAIM_AGE_RATIO),
            false => RECENT_AGE,
        };
        (age > max_age).then_some(ClaimObstacle::OldTimestamp(age))
    }

    /// Applies the row as read from the store, with the store's time if the store returned it.
    pub fn apply_row(
        &mut self,
        row: LeaderRow,
        now: LocalTime,
        store_timestamp: Option<StoreTimestamp>,
    ) {
        self.needs_read = false;
        if let Some(store_timestamp) = store_timestamp {
            self.store_timestamp = Some(store_timestamp);
        }
        let age = store_timestamp
            .zip(row.lease_start)
            .map(|(timestamp, start)| timestamp.store_time.saturating_sub(start));
        let remaining = age.map(|age| self.lease_ttl.saturating_sub(age));
        let expiry = remaining.map(|remaining| now.monotonic + remaining);
        // For an unchanged row the earlier time counts: if it had expired by an earlier read, it
        // has been free since then.
        let unchanged = self.row.as_ref().is_some_and(|(known, _)| *known == row);
        let known_expiry = self.row_expiry.filter(|_| unchanged);
        self.row_expiry = known_expiry.into_iter().chain(expiry).min();
        if self.lease.is_some() && !row.is_own {
            self.lease = None;
        }
        self.set_row(row, now.monotonic);
    }

    /// Applies the version of the row from a leader's heartbeat. An instance with a lease ignores
    /// it, as its next conditional write fails if there is a later version.
    pub fn apply_heartbeat(&mut self, version: StoreVersion, now: LocalTime) {
        let is_current = self.era.is_none_or(|era| era == version.era);
        if is_current && version > self.row_version() && self.lease.is_none() {
            let row = LeaderRow {
                version,
                is_own: false,
                released: false,
                lease_start: None,
            };
            self.row_expiry = None;
            self.set_row(row, now.monotonic);
        }
    }

    /// Applies a successful write of the present era: the row contains `row_timestamp` and has this version now.
    /// `response_timestamp` is the later one that came with the response.
    pub fn confirm_write(
        &mut self,
        row_timestamp: StoreTimestamp,
        version: StoreVersion,
        response_timestamp: StoreTimestamp,
    ) {
        if self.era.is_some_and(|era| era != version.era) {
            return;
        }
        let row = LeaderRow {
            version,
            is_own: true,
            released: false,
            lease_start: Some(row_timestamp.store_time),
        };
        self.is_continuing = false;
        self.set_row(row, response_timestamp.sent_at.monotonic);
        self.store_timestamp = Some(response_timestamp);
        self.row_expiry = None;
        let renewal_due = response_timestamp.sent_at.monotonic + self.lease_ttl / RENEWAL_DIVISOR;
        self.lease = Some(Lease {
            start: row_timestamp.sent_at,
            renewal_due,
        });
    }

    /// Notes that a write was not answered: it may have been carried out, or be carried out later.
    pub fn mark_write_unanswered(&mut self) {
        self.needs_read = true;
    }

    /// Gives up the leadership.
    pub fn step_down(&mut self) {
        self.lease = None;
        self.needs_read = true;
    }

    fn set_row(&mut self, row: LeaderRow, now: Instant) {
        let may_continue = self.is_continuing && (row.is_own || row.version.is_none());
        if !row.is_own && !may_continue {
            self.epoch += 1;
        }
        self.is_continuing = may_continue;
        let known = self.row.as_ref();
        let known_since = known
            .filter(|(known, _)| known.version == row.version)
            .map_or(now, |(_, since)| *since);
        self.row = Some((row, known_since));
    }
}
