//! The list of instances that report to the leader, which the leader sends to all of them.

use {
    base64::{Engine, prelude::BASE64_STANDARD_NO_PAD},
    std::{
        cmp::Reverse,
        net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Encoded member: IPv4 address (4 bytes), port (2), weight (1).
const MEMBER_BYTES: usize = 7;
/// Weight of an instance with one CPU core.
const WEIGHT_PER_CORE: f64 = 100.0;

/// An instance that has recently reported to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Address of its UDP socket.
    pub address: SocketAddr,
    /// CPU of the instance in hundredths of a core, between 1 and 255.
    pub weight: u8,
}

/// All members, sorted by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    members: Vec<Member>,
    hash: u32,
}

/// Returns the weight of an instance with so many CPU cores.
pub fn cpu_weight(cores: f64) -> u8 {
    (cores * WEIGHT_PER_CORE).clamp(1.0, f64::from(u8::MAX)) as u8
}

impl Membership {
    /// Creates a membership from members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_unstable();
        let hash = xxh3_64(&pack(&members)) as u32;
        Self { members, hash }
    }

    /// Returns a hash of addresses and weights, by which instances compare their memberships.
    pub fn hash(&self) -> u32 {
        self.hash
    }

    /// Returns the members, sorted by address.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the coordinator of a pool among the members that `is_eligible` admits.
    ///
    /// Weighted rendezvous hashing: members coordinate pools in proportion to their weight, and one
    /// that joins or leaves moves no pools between the others.
    pub fn select_coordinator(
        &self,
        pool: &str,
        is_eligible: impl Fn(&SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let members = self.members.iter().filter(|it| is_eligible(&it.address));
        let score = |member: &Member| {
            let hash = xxh3_64(format!("{pool} {}", member.address).as_bytes());
            // Logarithm of `fraction.powf(1.0 / weight)`, with the fraction above 0 and below 1.
            let fraction = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            fraction.ln() / f64::from(member.weight)
        };
        let best = members.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|member| member.address)
    }

    /// Returns whether a member has this IP address.
    pub fn has_member(&self, address: IpAddr) -> bool {
        self.members.iter().any(|it| it.address.ip() == address)
    }

    /// Returns the position of a member by descending weight, from 0; `None` if the address is not a
    /// member's.
    pub fn position(&self, address: SocketAddr) -> Option<usize> {
        let sort_key = |member: &Member| (Reverse(member.weight), member.address);
        let found = self.members.iter().find(|it| it.address == address)?;
        let preceding = self
            .members
            .iter()
            .filter(|it| sort_key(it) < sort_key(found));
        Some(preceding.count())
    }

    /// Returns the member with the highest weight apart from `excluded`.
    pub fn strongest_except(&self, excluded: SocketAddr) -> Option<Member> {
        let others = self.members.iter().filter(|it| it.address != excluded);
        others
            .min_by_key(|it| (Reverse(it.weight), it.address))
            .copied()
    }

    /// Encodes the members as Base64 for [`Membership::parse`].
    pub fn to_text(&self) -> String {
        BASE64_STANDARD_NO_PAD.encode(pack(&self.members))
    }

    /// Decodes members; `None` if the text is not valid Base64 of whole members.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = BASE64_STANDARD_NO_PAD.decode(text).ok()?;
        let (members, remainder) = bytes.as_chunks::<MEMBER_BYTES>();
        remainder
            .is_empty()
            .then(|| Self::new(members.iter().map(unpack).collect()))
    }
}

/// Encodes members; IPv6 addresses are left out, as instances have only IPv4 addresses.
fn pack(members: &[Member]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MEMBER_BYTES * members.len());
    for member in members {
        if let SocketAddr::V4(address) = member.address {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
            bytes.push(member.weight);
        }
    }
    bytes
}

fn unpack(bytes: &[u8; MEMBER_BYTES]) -> Member {
    let [a, b, c, d, high, low, weight] = *bytes;
    let port = u16::from_be_bytes([high, low]);
    let address = SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port);
    Member {
        address: address.into(),
        weight: weight.max(1),
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
