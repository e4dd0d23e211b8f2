//! The instances that the leader hears of, as all of them know it.

use {
    base64::{Engine, prelude::BASE64_STANDARD_NO_PAD},
    std::{
        cmp::Reverse,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Bytes of a member: address, port, weight.
const PACKED: usize = 7;
/// Weight of a whole core.
const CORE: f64 = 100.0;

/// An instance that takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Hundredths of a core that it has; 1 to 255.
    pub weight: u8,
}

/// All members, in the order of their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    members: Vec<Member>,
    hash: u32,
}

/// Returns the weight of an instance with this part of a core.
pub fn cpu_weight(cores: f64) -> u8 {
    (cores * CORE).clamp(1.0, f64::from(u8::MAX)) as u8
}

impl Membership {
    /// Creates the membership of these members.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_unstable();
        let hash = xxh3_64(&pack(&members)) as u32;
        Self { members, hash }
    }

    /// Returns a number that differs between two memberships.
    pub fn hash(&self) -> u32 {
        self.hash
    }

    /// Returns the members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member among those that `open` admits to whom a name belongs.
    ///
    /// Members get names by their weight; one that joins or leaves changes only its own.
    pub fn select_coordinator(
        &self,
        name: &str,
        open: impl Fn(&SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let members = self.members.iter().filter(|it| open(&it.address));
        let score = |member: &Member| {
            let hash = xxh3_64(format!("{name} {}", member.address).as_bytes());
            // A number above 0 and below 1, raised to the inverse of the weight.
            let part = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            part.ln() / f64::from(member.weight)
        };
        let best = members.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|member| member.address)
    }

    /// Returns how many members come before one, the strongest first; `None` if it is no member.
    pub fn position(&self, address: SocketAddr) -> Option<usize> {
        let place = |member: &Member| (Reverse(member.weight), member.address);
        let own = self.members.iter().find(|it| it.address == address)?;
        let before = self.members.iter().filter(|it| place(it) < place(own));
        Some(before.count())
    }

    /// Returns the strongest member but one.
    pub fn strongest_except(&self, but: SocketAddr) -> Option<Member> {
        let others = self.members.iter().filter(|it| it.address != but);
        others
            .min_by_key(|it| (Reverse(it.weight), it.address))
            .copied()
    }

    /// Returns the members as a text.
    pub fn to_text(&self) -> String {
        BASE64_STANDARD_NO_PAD.encode(pack(&self.members))
    }

    /// Reads the members from a text; `None` if it cannot be one.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = BASE64_STANDARD_NO_PAD.decode(text).ok()?;
        let (members, rest) = bytes.as_chunks::<PACKED>();
        rest.is_empty()
            .then(|| Self::new(members.iter().map(unpack).collect()))
    }
}

/// Only addresses of version 4 are packed; instances have no others.
fn pack(members: &[Member]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(PACKED * members.len());
    for member in members {
        if let SocketAddr::V4(address) = member.address {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
            bytes.push(member.weight);
        }
    }
    bytes
}

fn unpack(bytes: &[u8; PACKED]) -> Member {
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
