//! The recorded owners of all keys.

use {
    crate::names::{Fence, Name},
    std::time::Duration,
};

/// One run of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIncarnation {
    /// Id; a target may start again under the id that it had.
    pub id: Name,
    /// Time of its start in milliseconds since 1970.
    pub incarnation: u64,
}

/// A range of keys with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// Owner; `None` if the keys never had one.
    pub owner: Option<TargetIncarnation>,
    /// Fence of the owner.
    pub fence: Fence,
    /// Time of the store's clock after which the owner does not hold the keys, if it gets no grant
    /// with this fence any more.
    pub expires_at: Option<Duration>,
}

/// Owners of all keys of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentTable {
    /// Pieces in the order of their keys, without gaps.
    pub assignments: Vec<Assignment>,
    /// Highest fence that was given out.
    pub highest_fence: Fence,
}

impl Default for AssignmentTable {
    fn default() -> Self {
        let all = Assignment {
            first: 0,
            last: u16::MAX,
            owner: None,
            fence: Fence(0),
            expires_at: None,
        };
        Self {
            assignments: vec![all],
            highest_fence: Fence(0),
        }
    }
}

impl Assignment {
    /// Returns how many keys it has.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns whether it has no key, which never is the case in a table.
    pub fn is_empty(&self) -> bool {
        self.last < self.first
    }

    /// Returns whether the key is one of its keys.
    pub fn contains_key(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

impl AssignmentTable {
    /// Returns the piece of a key.
    pub fn assignment(&self, key: u16) -> &Assignment {
        &self.assignments[self.place(key)]
    }

    /// Returns the next fence.
    pub fn advance_fence(&mut self) -> Fence {
        self.highest_fence = self.highest_fence.next();
        self.highest_fence
    }

    /// Cuts pieces so that one begins at `first` and one ends at `last`.
    pub fn split_around(&mut self, first: u16, last: u16) {
        self.cut_before(first);
        if let Some(next) = last.checked_add(1) {
            self.cut_before(next);
        }
    }

    /// Returns the pieces whose owner or fence is not that of an earlier table.
    pub fn changes_since(&self, earlier: &Self) -> Vec<Assignment> {
        let changed = |assignment: &&Assignment| {
            let before = earlier.assignment(assignment.first);
            before.fence != assignment.fence || before.owner != assignment.owner
        };
        self.assignments.iter().filter(changed).cloned().collect()
    }

    /// Puts pieces of a later table in the place of its own.
    pub fn apply_changes(&mut self, changes: &[Assignment]) {
        for change in changes {
            self.split_around(change.first, change.last);
            let inside = |assignment: &&mut Assignment| change.contains_key(assignment.first);
            for assignment in self.assignments.iter_mut().filter(inside) {
                assignment.owner.clone_from(&change.owner);
                assignment.fence = change.fence;
            }
            self.highest_fence = self.highest_fence.max(change.fence);
        }
    }

    /// Checks that the pieces are in order and without gaps.
    pub fn is_complete(&self) -> bool {
        let mut next = Some(0u16);
        for assignment in &self.assignments {
            if next != Some(assignment.first) || assignment.is_empty() {
                return false;
            }
            next = assignment.last.checked_add(1);
        }
        next.is_none() && !self.assignments.is_empty()
    }

    fn cut_before(&mut self, key: u16) {
        let at = self.place(key);
        if self.assignments[at].first == key {
            return;
        }
        let mut tail = self.assignments[at].clone();
        tail.first = key;
        self.assignments[at].last = key - 1;
        self.assignments.insert(at + 1, tail);
    }

    fn place(&self, key: u16) -> usize {
        let after = self
            .assignments
            .partition_point(|assignment| assignment.first <= key);
        after.saturating_sub(1)
    }
}
