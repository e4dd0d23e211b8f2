//! Splits messages that are longer than a datagram into fragments, and reassembles them.
//!
//! An unfragmented message starts with the number of its kind, which is below [`FRAGMENT_MARKER`]. A
//! message is discarded if a fragment is still missing after [`REASSEMBLY_TIMEOUT`].

use {
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Largest datagram that is sent; below the usual MTU of 1500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// First byte of a fragment.
const FRAGMENT_MARKER: u8 = 0xf1;
/// Marker (1 byte), message number (4), index of the fragment (1), number of fragments (1).
const HEADER_BYTES: usize = 7;
/// Longer messages are not sent.
const MAX_FRAGMENTS: usize = 64;
/// Incomplete messages kept at the same time; fragments of further ones are dropped.
const MAX_INCOMPLETE: usize = 64;
/// Time since the first fragment after which an incomplete message is discarded.
const REASSEMBLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Incomplete messages, by sender and message number.
#[derive(Debug, Default)]
pub struct Reassembler {
    incomplete: BTreeMap<(SocketAddr, u32), IncompleteMessage>,
}

#[derive(Debug)]
struct IncompleteMessage {
    fragments: Vec<Option<Vec<u8>>>,
    started_at: Instant,
}

/// Returns the datagrams of a message; `None` if it needs more than [`MAX_FRAGMENTS`].
pub fn split(number: u32, message: Vec<u8>) -> Option<Vec<Vec<u8>>> {
    if message.len() <= MAX_DATAGRAM_BYTES {
        return Some(vec![message]);
    }
    let payloads = message.chunks(MAX_DATAGRAM_BYTES - HEADER_BYTES);
    let count = payloads.len();
    if count > MAX_FRAGMENTS {
        return None;
    }
    let to_datagram = |(index, payload): (usize, &[u8])| {
        let mut bytes = vec![FRAGMENT_MARKER];
        bytes.extend(number.to_be_bytes());
        bytes.extend([index as u8, count as u8]);
        bytes.extend(payload);
        bytes
    };
    Some(payloads.enumerate().map(to_datagram).collect())
}

impl Reassembler {
    /// Adds a datagram and returns its message once that is complete; ignores malformed fragments.
    pub fn add_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Instant,
    ) -> Option<Vec<u8>> {
        if datagram.first() != Some(&FRAGMENT_MARKER) {
            return Some(datagram.to_vec());
        }
        let (header, payload) = datagram.split_at_checked(HEADER_BYTES)?;
        let number = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let (index, count) = (usize::from(header[5]), usize::from(header[6]));
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        self.incomplete
            .retain(|_, it| now - it.started_at < REASSEMBLY_TIMEOUT);
        let key = (from, number);
        if self.incomplete.len() >= MAX_INCOMPLETE && !self.incomplete.contains_key(&key) {
            return None;
        }
        let message = self
            .incomplete
            .entry(key)
            .or_insert_with(|| IncompleteMessage {
                fragments: vec![None; count],
                started_at: now,
            });
        *message.fragments.get_mut(index)? = Some(payload.to_vec());
        if message.fragments.iter().any(Option::is_none) {
            return None;
        }
        let message = self.incomplete.remove(&key)?;
        Some(message.fragments.into_iter().flatten().flatten().collect())
    }
}

#[cfg(test)]
#[path = "fragments_tests.rs"]
mod tests;
