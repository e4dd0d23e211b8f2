//! Messages between instances whose fields and variants are numbered, so that builds can add some.
//!
//! A reader skips fields with numbers that it does not know and takes missing ones as absent: every field
//! that is added is an [`Option`] or has a default. Numbers are never used again. A build that does not
//! know a variant, or this format at all, drops the message and counts it.

use {
    cowslip_decide::names::StoreVersion,
    minicbor::{Decode, Encode},
};

/// First byte of each message.
pub const FORMAT_BYTE: u8 = 0x81;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ExtensibleMessage {
    /// From an instance to the leader, periodically.
    #[n(0)]
    Announcement(#[n(0)] Announcement),
    /// From the leader to all members, periodically.
    #[n(1)]
    SpokenFormat(#[n(0)] SpokenFormat),
}

/// Which formats the sender reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Announcement {
    /// Latest format that the sender reads.
    #[n(0)]
    pub latest: u16,
}

/// Which format the deployment speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SpokenFormat {
    /// Version of the leader's row in the store; lower ones are of previous leaders.
    #[n(0)]
    pub leader: WireVersion,
    /// Latest format that all members read.
    #[n(1)]
    pub format: u16,
}

/// Era and number of a [`StoreVersion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WireVersion {
    /// Era of the store.
    #[n(0)]
    pub era: u64,
    /// Number within the era.
    #[n(1)]
    pub number: u64,
}

impl ExtensibleMessage {
    /// Encodes the message; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![FORMAT_BYTE];
        minicbor::encode(self, &mut bytes).ok()?;
        Some(bytes)
    }

    /// Decodes a message; `None` if it is malformed, of another format or of an unknown variant.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[FORMAT_BYTE])?;
        let mut decoder = minicbor::Decoder::new(bytes);
        let message = decoder.decode().ok()?;
        (decoder.position() == bytes.len()).then_some(message)
    }
}

impl From<StoreVersion> for WireVersion {
    fn from(version: StoreVersion) -> Self {
        let StoreVersion { era, number } = version;
        Self { era, number }
    }
}

impl From<WireVersion> for StoreVersion {
    fn from(wire: WireVersion) -> Self {
        let WireVersion { era, number } = wire;
        Self { era, number }
    }
}

#[cfg(test)]
#[path = "extensible_tests.rs"]
mod tests;
