//! A held target: its connections, its grant and what was heard of it.

use {
    super::{control::Ask, grants::Grants, lanes::LaneKey, links::Link},
    crate::work::{Aim, Work},
    cowslip_decide::{
        deliver::{hot::Hottest, slots::Profile},
        duty::Duty,
        member::Timing,
        names::{Fence, Name},
    },
    cowslip_settings::document::{Document, Service, Target},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Cancellations that wait for the control connection of a target.
const ASKS: usize = 128;

/// What a request passes under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passage {
    /// Hash and fence, for divided services.
    pub key: Option<(u64, Fence)>,
    /// Time by which the target has surely ended it.
    pub until: Instant,
}

/// What the document says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Lane of the target.
    pub lane: LaneKey,
    /// Address, if it can be parsed.
    pub address: Option<SocketAddr>,
    /// Slots.
    pub profile: Profile,
    /// Connections that it bears.
    pub connections: usize,
    /// Whether it needs grants.
    pub granted: bool,
    /// Longest time that one of its requests may run.
    pub longest: Duration,
    /// Whether its data centre is withdrawn.
    pub withdrawn: bool,
}

/// A held target.
#[derive(Debug)]
pub struct Site {
    /// Periods and bounds of grants, probes and silence.
    pub timing: Timing,
    /// Name of the target.
    pub name: Name,
    /// What the document says of it.
    pub listing: Listing,
    /// Lane of the target.
    pub lane: LaneKey,
    /// What may be sent to it; `None` once it is released.
    pub duty: Option<Duty>,
    /// Connections for requests.
    pub links: BTreeMap<u64, Link>,
    /// Connection for grants, probes and cancellations, with its number.
    pub control: Option<(u64, Link)>,
    /// Number of the next connection.
    pub next_link: u64,
    /// Whether a connection is being opened.
    pub opening: bool,
    /// Time from which the next connection may be opened.
    pub open_after: Instant,
    /// Connections in a row that could not be opened.
    pub failures: u32,
    /// Exchanges that wait for the control connection.
    pub asks: VecDeque<Ask>,
    /// Time from which it is probed again.
    pub probe_at: Instant,
    /// Grants that it has or may have.
    pub grants: Grants,
    /// Time of the last answer.
    pub heard: Instant,
    /// Latest start of an exchange that was answered.
    pub proof: Instant,
    /// Time of the last break of a connection.
    pub broke: Option<Instant>,
    /// Requests whose connection is gone and which may still run.
    pub lingering: Vec<Passage>,
    /// Most frequent key hashes.
    pub hottest: Hottest,
    /// Time at which it said that it is leaving.
    pub leaving: Option<Instant>,
    /// Time at which its data centre was withdrawn.
    pub withdrawn: Option<Instant>,
    /// Whether its silence was noted as an event.
    pub silent: bool,
    /// Whether it bore all its slots at the last check.
    pub warm: bool,
    /// Whether it has answered since it was taken on, and is not silent.
    pub answers: bool,
}

impl Listing {
    /// Returns what the document says of `target`.
    pub fn find(document: &Document, target: &str) -> Option<Self> {
        let services = document.services.iter();
        let withdrawn = |target: &Target| document.withdrawn.contains(&target.data_centre);
        let mut found = services.filter_map(|service| {
            let found = service
                .targets
                .iter()
                .find(|one| one.name.as_ref() == target)?;
            Some(Self {
                withdrawn: withdrawn(found),
                ..Self::new(service, found)
            })
        });
        found.next()
    }

    fn new(service: &Service, target: &Target) -> Self {
        let longest = service.routes.iter().map(|route| route.deadline_ms).max();
        Self {
            lane: match service.divided {
                true => LaneKey::Target(target.name.clone()),
                false => LaneKey::Service(service.name.clone()),
            },
            address: target.address.parse().ok(),
            profile: Profile {
                slots: target.slots,
                cold: target.cold_limit,
            },
            connections: target.connections as usize,
            granted: service.divided && target.checks_fence,
            longest: Duration::from_millis(longest.unwrap_or_default()),
            withdrawn: false,
        }
    }
}

impl Passage {
    /// Returns what `work` passes under.
    pub fn of(work: &Work) -> Self {
        let fence = match &work.aim {
            Aim::Owner { fence, .. } => Some(*fence),
            Aim::Pool(_) => None,
        };
        Self {
            key: work.hash.zip(fence),
            until: work.deadline + LINGER,
        }
    }

    /// Returns whether a request that passes under this is still allowed.
    pub fn is_allowed(&self, duty: Option<&Duty>) -> bool {
        let (Some(duty), Some((hash, fence))) = (duty, self.key) else {
            return duty.is_some();
        };
        let covers = |start, end| (start..=end).contains(&hash);
        let mut ranges = duty.ranges.iter();
        ranges.any(|range| range.fence == fence && covers(range.start, range.end))
    }
}

/// Time after the deadline of a request by which a target has surely given it up.
pub const LINGER: Duration = Duration::from_millis(50);

impl Site {
    /// Returns a target that was just taken on.
    pub fn new(name: Name, listing: Listing, duty: Duty, timing: Timing, now: Instant) -> Self {
        let withdrawn = listing.withdrawn.then_some(now);
        Self {
            name,
            timing,
            lane: listing.lane.clone(),
            grants: Grants::new(timing, now),
            listing,
            duty: Some(duty),
            links: BTreeMap::new(),
            control: None,
            next_link: 0,
            opening: false,
            open_after: now,
            failures: 0,
            asks: VecDeque::new(),
            probe_at: now,
            heard: now,
            proof: now,
            broke: None,
            lingering: Vec::new(),
            hottest: Hottest::default(),
            leaving: None,
            withdrawn,
            silent: false,
            warm: false,
            answers: false,
        }
    }

    /// Returns what the target may serve.
    pub fn ranges(&self) -> &[cowslip_decide::duty::Granted] {
        self.duty.as_ref().map_or(&[], |duty| &duty.ranges)
    }

    /// Returns whether the target has not answered anything for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) > self.timing.target_silence
    }

    /// Returns whether nothing is in flight or granted that the duty does not allow.
    ///
    /// Requests at a silent target that checks fences are not waited for: once its grant has run
    /// out it starts none of them.
    pub fn is_settled(&self, now: Instant) -> bool {
        if self.listing.granted && self.is_silent(now) {
            return self.grants.is_within(self.ranges(), now);
        }
        let duty = self.duty.as_ref();
        let busy = self.links.values().filter_map(|link| link.busy.as_ref());
        let lingering = self.lingering.iter().filter(|one| now < one.until);
        let mut flying = busy.map(|busy| &busy.passage).chain(lingering);
        let allowed = flying.all(|passage| passage.is_allowed(duty));
        allowed && self.grants.is_within(self.ranges(), now)
    }

    /// Returns since when the target should get no new work, if it should not.
    pub fn barred_since(&self) -> Option<Instant> {
        match (self.leaving, self.withdrawn) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        }
    }

    /// Takes what a changed document says of the target.
    pub fn relist(&mut self, listing: Listing, now: Instant) {
        self.withdrawn = match listing.withdrawn {
            true => self.withdrawn.or(Some(now)),
            false => None,
        };
        if listing.address != self.listing.address {
            let links = self.links.values();
            links.for_each(Link::retire);
            self.control.iter().for_each(|(_, link)| link.retire());
        }
        self.listing = listing;
    }

    /// Queues an exchange with the control interface.
    pub fn ask(&mut self, ask: Ask) {
        if self.asks.len() >= ASKS {
            self.asks.pop_front();
        }
        self.asks.push_back(ask);
    }
}
