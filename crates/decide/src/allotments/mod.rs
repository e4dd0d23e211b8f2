//! Allotments: how many requests of an organisation all instances together let in.
//!
//! Callers of an organisation come to instances unevenly and change them, so no instance has a fixed share.
//! Each instance lets requests in at once, counts them and tells the leader ([`entry`]). The leader keeps
//! one token bucket for each organisation, which may go into debt. While an organisation asks for more than
//! its bucket gives, the leader tells all instances which part of its requests to let in ([`ledger`]), so
//! that the excess is refused where it arrives, in proportion to what arrives there.

pub mod entry;
pub mod ledger;

/// Limit on an organisation's requests at all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

impl Allotment {
    /// Creates a limit; `None` if `rate` is zero, which means no limit, or no number.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_limit = rate.is_finite() && rate > 0.0;
        is_limit.then(|| Self {
            rate,
            burst: burst.max(0.0),
        })
    }
}

/// What part of an organisation's requests instances let in, as the leader tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Part of the requests, 0 to 1, until the leader's next notice.
    pub ratio: f64,
    /// Part of the requests that the rate allows, for as long as the leader is silent.
    pub steady: f64,
    /// Seconds until the organisation has tokens again; 0 if it has some.
    pub wait: f64,
}

impl Admission {
    /// Admission of an organisation that stays within its limit.
    pub const ALL: Self = Self {
        ratio: 1.0,
        steady: 1.0,
        wait: 0.0,
    };
}

/// Requests of an organisation at one instance since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that callers sent.
    pub asked: u32,
    /// Requests that were let in, less those that did not run; negative if more of earlier ones did not
    /// run than were let in.
    pub admitted: i32,
}
