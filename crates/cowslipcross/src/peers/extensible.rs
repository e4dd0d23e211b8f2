//! Messages between instances whose fields and variants are numbered, so that builds can add some.
//!
//! A reader skips fields with numbers that it does not know and takes missing ones as absent: every field
//! that is added is an [`Option`] or has a default. Numbers are never used again. A build that does not
//! know a variant, or this format at all, drops the message and counts it.

use {
    cowslip_decide::{
        allotments::{Admission, Usage},
        names::{Name, StoreVersion},
    },
    minicbor::{Decode, Encode},
    std::collections::BTreeMap,
};

/// First byte of each message.
pub const FORMAT_BYTE: u8 = 0x81;
/// Parts of which ratios are whole numbers.
const RATIO_PARTS: f64 = 10_000.0;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ExtensibleMessage {
    /// From an instance to the leader, periodically.
    #[n(0)]
    Announcement(#[n(0)] Announcement),
    /// From the leader to all members, periodically.
    #[n(1)]
    SpokenFormat(#[n(0)] SpokenFormat),
    /// From an instance to the leader, periodically while organisations have limits.
    #[n(2)]
    Usage(#[n(0)] UsageReport),
    /// From the leader to all members, periodically while organisations have limits.
    #[n(3)]
    Admissions(#[n(0)] Admissions),
}

/// Requests of organisations since the sender's last report; those without any are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct UsageReport {
    /// Use of each organisation.
    #[n(0)]
    pub used: Vec<OrganisationUsage>,
}

/// Requests of an organisation at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrganisationUsage {
    /// Name of the organisation.
    #[n(0)]
    pub name: String,
    /// Requests that callers sent.
    #[n(1)]
    pub asked: u32,
    /// Requests that were let in, less those that did not run.
    #[n(2)]
    pub admitted: i32,
}

/// Which part of their requests organisations may send; those that are left out, all of them.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Admissions {
    /// Version of the leader's row in the store; lower ones are of previous leaders.
    #[n(0)]
    pub leader: WireVersion,
    /// Organisations that ask for more than they may send.
    #[n(1)]
    pub limited: Vec<OrganisationAdmission>,
}

/// Part of an organisation's requests that instances let in.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrganisationAdmission {
    /// Name of the organisation.
    #[n(0)]
    pub name: String,
    /// Ten-thousandths of the requests, until the next message.
    #[n(1)]
    pub ratio: u16,
    /// Ten-thousandths of the requests, for as long as there is no further message.
    #[n(2)]
    pub steady: u16,
    /// Milliseconds until the organisation has tokens again.
    #[n(3)]
    pub wait_ms: u32,
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

impl From<&BTreeMap<Name, Usage>> for UsageReport {
    fn from(all: &BTreeMap<Name, Usage>) -> Self {
        let used = all.iter().map(|(name, usage)| OrganisationUsage {
            name: name.to_string(),
            asked: usage.asked,
            admitted: usage.admitted,
        });
        Self {
            used: used.collect(),
        }
    }
}

impl From<&UsageReport> for BTreeMap<Name, Usage> {
    fn from(wire: &UsageReport) -> Self {
        let to_usage = |it: &OrganisationUsage| Usage {
            asked: it.asked,
            admitted: it.admitted,
        };
        let used = wire.used.iter();
        used.map(|it| (Name::from(&*it.name), to_usage(it)))
            .collect()
    }
}

impl Admissions {
    /// Creates the message of a leader with this version of its row.
    pub fn new(leader: WireVersion, all: &BTreeMap<Name, Admission>) -> Self {
        let to_parts = |ratio: f64| (ratio * RATIO_PARTS) as u16;
        let limited = all.iter().map(|(name, it)| OrganisationAdmission {
            name: name.to_string(),
            ratio: to_parts(it.ratio),
            steady: to_parts(it.steady),
            wait_ms: (1000.0 * it.wait) as u32,
        });
        let limited = limited.collect();
        Self { leader, limited }
    }
}

impl From<&Admissions> for BTreeMap<Name, Admission> {
    fn from(wire: &Admissions) -> Self {
        let to_ratio = |parts: u16| (f64::from(parts) / RATIO_PARTS).min(1.0);
        let to_admission = |it: &OrganisationAdmission| Admission {
            ratio: to_ratio(it.ratio),
            steady: to_ratio(it.steady),
            wait: f64::from(it.wait_ms) / 1000.0,
        };
        let limited = wire.limited.iter();
        limited
            .map(|it| (Name::from(&*it.name), to_admission(it)))
            .collect()
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
