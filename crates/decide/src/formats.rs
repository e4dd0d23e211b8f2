//! Which formats of messages a deployment speaks while instances are replaced by another build.
//!
//! Each instance announces to the leader the latest format that it reads, and the leader tells all of them
//! the lowest that its members have announced. Builds from before the announcements send none and count as
//! [`FIRST_FORMAT`]. A leader of such a build tells nothing: its heartbeats alone show that.

use {
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Format that every build reads.
pub const FIRST_FORMAT: u16 = 1;
/// Latest format that this build reads: it has messages with numbered fields.
pub const LATEST_FORMAT: u16 = 2;
/// Interval of announcements, and of what the leader tells.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an announcement holds; some of them may be lost.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);
/// Time for which heartbeats may come without the leader telling the format, until it counts as a leader
/// that does not.
const MAX_UNTOLD: Duration = Duration::from_millis(3500);

/// What an instance knows of the formats that the others read; `A` identifies an instance.
#[derive(Clone, Debug)]
pub struct Formats<A> {
    /// Announced formats, and when.
    announced: BTreeMap<A, (u16, Instant)>,
    spoken: u16,
    /// When the leader told the format last.
    told_at: Option<Instant>,
    /// When this instance, as leader, told the format last.
    sent_at: Option<Instant>,
}

impl<A> Default for Formats<A> {
    fn default() -> Self {
        Self {
            announced: BTreeMap::new(),
            spoken: FIRST_FORMAT,
            told_at: None,
            sent_at: None,
        }
    }
}

impl<A: Ord + Clone> Formats<A> {
    /// Returns the format that the deployment speaks, as far as this instance knows.
    pub fn spoken(&self) -> u16 {
        self.spoken
    }

    /// Records the latest format that an instance reads.
    pub fn record_announcement(&mut self, from: A, format: u16, now: Instant) {
        self.announced.insert(from, (format, now));
    }

    /// Records the format that the leader told.
    pub fn record_told(&mut self, format: u16, now: Instant) {
        self.told_at = Some(now);
        self.spoken = format.clamp(FIRST_FORMAT, LATEST_FORMAT);
    }

    /// Records a heartbeat of another instance that leads; one that never tells the format is of a build
    /// that does not know any other than the first.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let told_at = *self.told_at.get_or_insert(now);
        if now - told_at > MAX_UNTOLD {
            self.spoken = FIRST_FORMAT;
        }
    }

    /// Returns the format to tell to all `members` as leader, if that is due. It does not rise while
    /// `is_settled` is false: a new leader may not know all members yet.
    pub fn next_to_tell(
        &mut self,
        members: impl Iterator<Item = A>,
        is_settled: bool,
        now: Instant,
    ) -> Option<u16> {
        if self.sent_at.is_some_and(|at| now - at < TELL_INTERVAL) {
            return None;
        }
        self.announced
            .retain(|_, (_, at)| now - *at < ANNOUNCEMENT_TTL);
        let announced = |member: A| self.announced.get(&member).map_or(FIRST_FORMAT, |it| it.0);
        let lowest = members.map(announced).min().unwrap_or(LATEST_FORMAT);
        let highest = if is_settled {
            LATEST_FORMAT
        } else {
            self.spoken
        };
        self.sent_at = Some(now);
        self.record_told(lowest.min(highest), now);
        Some(self.spoken)
    }
}
