//! Counting of requests and connections in progress.

use std::cell::Cell;

/// Increments a counter on creation and decrements it when dropped.
pub struct CounterGuard<'a>(&'a Cell<u32>);

impl<'a> CounterGuard<'a> {
    /// Increments the counter.
    pub fn new(counter: &'a Cell<u32>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
