//! Counts what is in progress.

use std::cell::Cell;

/// One that counts until this is dropped.
pub struct CounterGuard<'a>(&'a Cell<u32>);

impl<'a> CounterGuard<'a> {
    /// Counts one more.
    pub fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
