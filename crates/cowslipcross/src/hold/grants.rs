//! Grants that a target has or may have, and when the next one is posted.

#[cfg(test)]
#[path = "grants_tests.rs"]
mod tests;

use {
    super::{
        control::{self, Ask, Grant, Health, Told},
        desk::Desk,
        site::Site,
    },
    crate::events,
    cowslip_decide::{
        duty::{Duties, Granted},
        member::Timing,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Part of a grant, in percent, for which requests are sent under it; the rest is for their way.
const USE_PERCENT: u32 = 90;

/// Period of the probes of a target that gets grants.
const RARE_PROBE: Duration = Duration::from_millis(500);

/// Grants of one target.
#[derive(Clone, Debug)]
pub struct Grants {
    timing: Timing,
    stamp: u64,
    received: Instant,
    due: Instant,
    flying: Option<Grant>,
    confirmed: Option<Grant>,
    doubtful: Vec<Grant>,
}

impl Grants {
    /// Returns the grants of a target that was just taken on: none, and one due at once.
    pub fn new(timing: Timing, now: Instant) -> Self {
        Self {
            timing,
            stamp: 0,
            received: now,
            due: now,
            flying: None,
            confirmed: None,
            doubtful: Vec::new(),
        }
    }

    /// Makes the next grant due at once.
    pub fn hurry(&mut self) {
        self.due = self.due.min(self.received);
    }

    /// Forgets the stamp of a run of the target that seems to be over.
    ///
    /// It may only seem so: what the target had been granted counts until it has run out.
    pub fn restart(&mut self) {
        self.stamp = 0;
        self.doubtful.extend(self.confirmed.take());
        self.hurry();
    }

    /// Returns whether the target surely has a grant for exactly these ranges.
    pub fn covers(&self, ranges: &[Granted], now: Instant) -> bool {
        let Some(grant) = &self.confirmed else {
            return false;
        };
        grant.stamp != 0
            && grant.ranges == ranges
            && now < grant.received + self.timing.grant * USE_PERCENT / 100
    }

    /// Returns whether the target surely has no grant beyond these ranges.
    pub fn is_within(&self, ranges: &[Granted], now: Instant) -> bool {
        let lasting = self.lasting();
        let known = self.flying.iter().chain(&self.confirmed);
        let mut grants = known.chain(&self.doubtful);
        grants.all(|grant| {
            let over = grant.stamp == 0 || now >= grant.received + lasting;
            over || grant.ranges.iter().all(|range| ranges.contains(range))
        })
    }

    /// Returns the time here after which a grant has run out on the target's own clock, whatever
    /// the rates of the two clocks.
    fn lasting(&self) -> Duration {
        self.timing.surely(self.timing.grant)
    }

    /// Returns the next grant if one is due.
    fn next(
        &mut self,
        holder: &str,
        version: u64,
        ranges: &[Granted],
        now: Instant,
    ) -> Option<Grant> {
        if now < self.due || self.flying.is_some() {
            return None;
        }
        self.due = now + self.timing.renewal;
        let grant = Grant {
            stamp: self.stamp,
            received: self.received,
            json: control::grant_json(holder, version, self.stamp, self.timing.grant, ranges),
            ranges: ranges.to_vec(),
        };
        self.flying = Some(grant.clone());
        Some(grant)
    }

    /// Notes the end of a grant.
    fn told(&mut self, grant: Grant, told: &Told, now: Instant) {
        let lasting = self.lasting();
        self.flying = None;
        self.doubtful.retain(|one| now < one.received + lasting);
        match told {
            Told::Granted { stamp, .. } => {
                let first = self.stamp == 0;
                if first {
                    self.due = now;
                }
                self.stamp = *stamp;
                self.received = now;
                match first && grant.stamp != 0 {
                    true => self.doubtful.push(grant),
                    false => self.confirmed = Some(grant),
                }
            }
            Told::Refused(_) => {}
            _ => self.doubtful.push(grant),
        }
    }
}

impl Desk {
    /// Starts the next exchange with the control interface of a target, if one is due.
    pub fn exchange(&mut self, target: &str, now: Instant) {
        let leased = self.lease.is_valid();
        let holder = self.context.instance.clone();
        let version = self.duties.version.0;
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let name = site.name.clone();
        let Some((number, link)) = &mut site.control else {
            return;
        };
        if link.sender.is_none() {
            return;
        }
        let number = *number;
        let Some(ask) = site.next_ask(leased, &holder, version, now) else {
            return;
        };
        let Some(sender) = site
            .control
            .as_mut()
            .and_then(|(_, link)| link.sender.take())
        else {
            return;
        };
        let post = self.post.clone();
        tokio::spawn(control::exchange(name, number, sender, ask, post));
    }

    /// Notes the end of an exchange.
    pub fn told(&mut self, target: &str, begun: Instant, ask: Ask, told: Told, now: Instant) {
        match (ask, told) {
            (Ask::Grant(grant), told) => self.granted(target, grant, told, now),
            (Ask::Probe, Told::Health(health)) => self.healthy(target, &health, begun, now),
            (Ask::Cancel { id, .. }, Told::Cancelled { ran: false }) => {
                self.cancelled(target, id);
            }
            _ => {}
        }
        self.exchange(target, now);
    }

    fn granted(&mut self, target: &str, grant: Grant, told: Told, now: Instant) {
        if let Told::Refused(why) = &told {
            self.note(events::GRANT_REFUSED, target, why.clone());
        }
        if let Some(site) = self.sites.get_mut(target) {
            site.grants.told(grant, &told, now);
        }
        self.cover(target, now);
    }

    fn healthy(&mut self, target: &str, health: &Health, begun: Instant, now: Instant) {
        if let Some(server) = self.server(target) {
            server.slots.reported(health.cold);
        }
        self.leave(target, health.leaving, begun, now);
        self.touch(target);
    }

    /// Notes whether requests may be sent under the grant that the target has.
    pub fn cover(&mut self, target: &str, now: Instant) {
        let Some(site) = self.sites.get(target) else {
            return;
        };
        let covered = !site.listing.granted || site.grants.covers(site.ranges(), now);
        if let Some(server) = self.server(target) {
            server.set_granted(covered);
        }
        self.touch(target);
    }

    /// Tells the member thread once nothing but what the duties allow is in flight or granted.
    pub fn settle(&mut self, now: Instant) {
        if self.settled && !self.releasing {
            return;
        }
        let settled = self.sites.values().all(|site| site.is_settled(now));
        if settled && !self.settled {
            self.settled = self.report_settled();
        }
        let over = |site: &Site| site.duty.is_none() && site.is_settled(now);
        let over: Vec<_> = self.sites.iter().filter(|(_, site)| over(site)).collect();
        let over: Vec<_> = over.into_iter().map(|(name, _)| name.clone()).collect();
        for name in over {
            self.forget(&name);
        }
        self.releasing = self.sites.values().any(|site| site.duty.is_none());
    }

    /// Follows new duties.
    pub fn follow(&mut self, duties: Duties, now: Instant) {
        self.duties = duties;
        self.settled = false;
        self.refit(now);
        let names: Vec<_> = self.sites.keys().cloned().collect();
        for name in names {
            if let Some(site) = self.sites.get_mut(&name) {
                site.grants.hurry();
            }
            self.cover(&name, now);
            self.exchange(&name, now);
        }
        self.settle(now);
    }
}

impl Site {
    fn next_ask(&mut self, leased: bool, holder: &str, version: u64, now: Instant) -> Option<Ask> {
        let may_grant = leased || self.duty.is_none();
        if self.listing.granted && may_grant {
            let ranges = self.duty.as_ref().map(|duty| duty.ranges.as_slice());
            let ranges = ranges.unwrap_or_default();
            if let Some(grant) = self.grants.next(holder, version, ranges, now) {
                return Some(Ask::Grant(grant));
            }
        }
        if let Some(ask) = self.asks.pop_front() {
            return Some(ask);
        }
        if now < self.probe_at {
            return None;
        }
        let rare = self.listing.granted && may_grant;
        self.probe_at = now
            + if rare {
                RARE_PROBE
            } else {
                self.timing.renewal
            };
        Some(Ask::Probe)
    }
}
