//! Bounded rings between the duties.

use tokio::sync::mpsc;

/// What became of an item that was offered to a ring.
#[derive(Debug)]
pub enum Offer<T> {
    /// The ring took it.
    Taken,
    /// The ring is full; the item is handed back.
    Full(T),
    /// The duty behind the ring has ended; the item is handed back.
    Closed(T),
}

/// Sending side of a ring.
#[derive(Debug)]
pub struct Ring<T>(mpsc::Sender<T>);

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Ring<T> {
    /// Offers an item without waiting.
    pub fn offer(&self, item: T) -> Offer<T> {
        match self.0.try_send(item) {
            Ok(()) => Offer::Taken,
            Err(mpsc::error::TrySendError::Full(item)) => Offer::Full(item),
            Err(mpsc::error::TrySendError::Closed(item)) => Offer::Closed(item),
        }
    }

    /// Waits until the ring takes the item; only for calls that nobody waits for.
    pub async fn send(&self, item: T) {
        // A duty that has ended needs nothing more.
        let _ = self.0.send(item).await;
    }

    /// Returns how many items the ring still takes.
    pub fn room(&self) -> usize {
        self.0.capacity()
    }
}

/// Returns both sides of a ring that takes `length` items.
pub fn ring<T>(length: usize) -> (Ring<T>, mpsc::Receiver<T>) {
    let (sender, receiver) = mpsc::channel(length);
    (Ring(sender), receiver)
}

impl<T> From<mpsc::Sender<T>> for Ring<T> {
    fn from(sender: mpsc::Sender<T>) -> Self {
        Self(sender)
    }
}
