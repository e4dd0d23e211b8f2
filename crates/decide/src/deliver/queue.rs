//! Bounded queue: highest priority first, earliest deadline next, with a small share for the rest.

use {
    crate::verdict::Priority,
    std::collections::{BTreeMap, BTreeSet},
    tokio::time::Instant,
};

/// One turn in so many goes to the lowest waiting priority, and one to the next higher.
const SHARE: u32 = 16;

/// Part of the depth that each priority may use whatever the others take.
const RESERVE: usize = 16;

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the attempt, unique within the lane.
    pub id: u64,
    /// Rank.
    pub priority: Priority,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
}

/// End of an attempt to put an entry into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// The entry waits.
    Queued,
    /// The entry waits in the place of this one, which has to be refused.
    Evicted(Entry),
    /// The queue has no room for this priority.
    Full,
}

/// The queue of a lane.
#[derive(Clone, Debug)]
pub struct Queue {
    depth: usize,
    ranks: [BTreeSet<(Instant, u64)>; 3],
    entries: BTreeMap<u64, Entry>,
    turn: u32,
}

impl Queue {
    /// Returns an empty queue for `depth` entries.
    pub fn new(depth: usize) -> Self {
        Self {
            depth,
            ranks: Default::default(),
            entries: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Changes the bound; entries above a lower bound stay until they leave by themselves.
    pub fn resize(&mut self, depth: usize) {
        self.depth = depth;
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the length up to which entries of `priority` are taken.
    pub fn bound(&self, priority: Priority) -> usize {
        match priority {
            Priority::High => self.depth,
            Priority::Middle => self.depth * 3 / 4,
            Priority::Low => self.depth / 2,
        }
    }

    /// Returns the entries of each priority that are neither refused nor evicted for others.
    pub fn reserve(&self) -> usize {
        self.depth.div_ceil(RESERVE)
    }

    /// Adds an entry, in place of one of lower priority if need be.
    pub fn push(&mut self, entry: Entry) -> Push {
        let own = self.ranks[entry.priority as usize].len();
        if self.len() < self.bound(entry.priority) || own < self.reserve() {
            self.insert(entry);
            return Push::Queued;
        }
        let Some(last) = self.lowest_below(entry.priority) else {
            return Push::Full;
        };
        self.remove(last.id);
        self.insert(entry);
        Push::Evicted(last)
    }

    /// Returns how many entries go before one with this priority and deadline.
    pub fn ahead(&self, priority: Priority, deadline: Instant) -> usize {
        let rank = priority as usize;
        let higher: usize = self.ranks[..rank].iter().map(BTreeSet::len).sum();
        let same = self.ranks[rank].range(..(deadline, u64::MAX)).count();
        (higher + same).min((same + 1) * SHARE as usize)
    }

    /// Returns the entry whose turn it is.
    pub fn first(&self) -> Option<&Entry> {
        let waiting = |rank: &usize| !self.ranks[*rank].is_empty();
        let mut from_low = (0..self.ranks.len()).rev().filter(waiting);
        let rank = match self.turn % SHARE {
            0 => from_low.next(),
            n if n == SHARE / 2 => {
                let lowest = from_low.next();
                from_low.next().or(lowest)
            }
            _ => from_low.next_back(),
        };
        let (_, id) = self.ranks[rank?].first()?;
        self.entries.get(id)
    }

    /// Removes the entry `id` because its turn has come.
    pub fn take(&mut self, id: u64) -> Option<Entry> {
        let entry = self.remove(id)?;
        self.turn = self.turn.wrapping_add(1);
        Some(entry)
    }

    /// Removes the entry `id`, wherever it stands.
    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.ranks[entry.priority as usize].remove(&(entry.deadline, id));
        Some(entry)
    }

    /// Returns the entry of each priority with the earliest deadline.
    pub fn heads(&self) -> impl Iterator<Item = &Entry> {
        let first = |rank: &BTreeSet<(Instant, u64)>| rank.first().map(|(_, id)| *id);
        let ids = self.ranks.iter().filter_map(first);
        ids.filter_map(|id| self.entries.get(&id))
    }

    /// Returns every entry, in the order of the numbers.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    fn insert(&mut self, entry: Entry) {
        self.ranks[entry.priority as usize].insert((entry.deadline, entry.id));
        self.entries.insert(entry.id, entry);
    }

    fn lowest_below(&self, priority: Priority) -> Option<Entry> {
        let mut below = self.ranks[priority as usize + 1..].iter().rev();
        let rank = below.find(|rank| rank.len() > self.reserve())?;
        let (_, id) = rank.last()?;
        self.entries.get(id).copied()
    }
}
