//! Assignments of keys to owners, as they are recorded.

use {
    crate::names::{Fence, Name},
    std::time::Duration,
};

/// One run of a target's process under its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIncarnation {
    /// Id of the target, which may start again under the same id.
    pub id: Name,
    /// Time of the start in milliseconds since 1970.
    pub incarnation: u64,
}

/// A range of contiguous keys with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Target that owns the keys; `None` if they never had an owner.
    pub owner: Option<TargetIncarnation>,
    /// Number that rises with each change of the owner; targets refuse grants with a lower one.
    pub fence: Fence,
    /// Time of the store's clock at which the owner's last grant has expired, if no further grant
    /// is sent with this fence; `None` if it is not recorded.
    pub expires_at: Option<Duration>,
}

/// All assignments of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentTable {
    /// Assignments in the order of their keys, without gaps.
    pub assignments: Vec<Assignment>,
    /// Highest fence assigned so far.
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
    /// Returns the number of keys.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns whether the range has no key, which is never the case in a complete table.
    pub fn is_empty(&self) -> bool {
        self.last < self.first
    }

    /// Returns whether a key lies in the range.
    pub fn contains_key(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

impl AssignmentTable {
    /// Returns the assignment that contains a key.
    pub fn assignment(&self, key: u16) -> &Assignment {
        &self.assignments[self.find_index(key)]
    }

    /// Raises the highest fence by one and returns it.
    pub fn advance_fence(&mut self) -> Fence {
        self.highest_fence = self.highest_fence.next();
        self.highest_fence
    }

    /// Splits assignments so that one begins at `first` and one ends at `last`.
    pub fn split_around(&mut self, first: u16, last: u16) {
        self.split_before(first);
        if let Some(next) = last.checked_add(1) {
            self.split_before(next);
        }
    }

    /// Returns the assignments whose owner or fence differs from an earlier table.
    pub fn changes_since(&self, earlier: &Self) -> Vec<Assignment> {
        let changed = |assignment: &&Assignment| {
            let before = earlier.assignment(assignment.first);
            before.fence != assignment.fence || before.owner != assignment.owner
        };
        self.assignments.iter().filter(changed).cloned().collect()
    }

    /// Replaces the owners and fences of the given keys by those of a later table; expiries stay.
    pub fn apply_changes(&mut self, changes: &[Assignment]) {
        for change in changes {
            self.split_around(change.first, change.last);
            let is_inside = |assignment: &&mut Assignment| change.contains_key(assignment.first);
            for assignment in self.assignments.iter_mut().filter(is_inside) {
                assignment.owner.clone_from(&change.owner);
                assignment.fence = change.fence;
            }
            self.highest_fence = self.highest_fence.max(change.fence);
        }
    }

    /// Returns whether the assignments contain all keys in order, without gaps or overlaps.
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

    fn split_before(&mut self, key: u16) {
        let index = self.find_index(key);
        if self.assignments[index].first == key {
            return;
        }
        let mut tail = self.assignments[index].clone();
        tail.first = key;
        self.assignments[index].last = key - 1;
        self.assignments.insert(index + 1, tail);
    }

    fn find_index(&self, key: u16) -> usize {
        let after = self
            .assignments
            .partition_point(|assignment| assignment.first <= key);
        after.saturating_sub(1)
    }
}
