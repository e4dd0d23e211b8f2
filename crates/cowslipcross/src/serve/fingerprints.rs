//! Fingerprints of requests: callers that send the same request again do so with another id, and at
//! any instance.

use {cowslip_decide::crashes::Fingerprint, std::net::IpAddr, xxhash_rust::xxh3::Xxh3};

/// What makes two requests the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Shard key.
    pub key: Option<u16>,
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprints of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Of the content.
    pub content: Fingerprint,
    /// Of the content and the caller's address, as what a request does at a target may depend on its
    /// caller.
    pub caller: Fingerprint,
}

impl Fingerprints {
    /// Computes the fingerprints of a request that came from this address.
    pub fn new(request: RequestContent<'_>, caller: Option<IpAddr>) -> Self {
        let key = request.key.map(u16::to_be_bytes);
        let parts: [&[u8]; 5] = [
            request.method.as_bytes(),
            request.host.as_bytes(),
            request.path.as_bytes(),
            key.as_ref().map_or(&[], |it| it),
            request.body,
        ];
        let mut hasher = Xxh3::new();
        for part in parts {
            // The lengths tell apart parts that are equal once they are joined.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let content = Fingerprint(hasher.digest());
        match caller {
            Some(IpAddr::V4(address)) => hasher.update(&address.octets()),
            Some(IpAddr::V6(address)) => hasher.update(&address.octets()),
            None => {}
        }
        let caller = Fingerprint(hasher.digest());
        Self { content, caller }
    }

    /// Returns whether this is one of the fingerprints.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        [self.content, self.caller].contains(&fingerprint)
    }
}

#[cfg(test)]
#[path = "fingerprints_tests.rs"]
mod tests;
