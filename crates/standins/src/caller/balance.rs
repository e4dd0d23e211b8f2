//! The platform's balancer in front of the entry instances, as callers see it.

use {
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Time that the opening of a connection may take.
const CONNECT: Duration = Duration::from_millis(500);

/// Entries in turn, without those that accept no connection.
pub(super) struct Balance {
    entries: Vec<(SocketAddr, AtomicBool)>,
    turn: AtomicUsize,
}

impl Balance {
    pub(super) fn new(entries: &[SocketAddr]) -> Self {
        Self {
            entries: entries
                .iter()
                .map(|entry| (*entry, AtomicBool::new(true)))
                .collect(),
            turn: AtomicUsize::new(0),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of the next entry that was seen up, or of any if none was.
    pub(super) fn next(&self) -> usize {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let places = (0..self.entries.len()).map(|step| (turn + step) % self.entries.len());
        places
            .clone()
            .find(|place| self.entries[*place].1.load(Ordering::Relaxed))
            .unwrap_or(turn % self.entries.len())
    }

    /// Opens a connection; an entry that refuses is left out until a probe succeeds.
    pub(super) async fn connect(&self, place: usize) -> Option<TcpStream> {
        let (address, up) = &self.entries[place];
        let stream = timeout(CONNECT, TcpStream::connect(address))
            .await
            .ok()?
            .ok();
        up.store(stream.is_some(), Ordering::Relaxed);
        let stream = stream?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Tries the entries that are left out.
    pub(super) async fn probe(&self) {
        for place in 0..self.entries.len() {
            if !self.entries[place].1.load(Ordering::Relaxed) {
                self.connect(place).await;
            }
        }
    }
}
