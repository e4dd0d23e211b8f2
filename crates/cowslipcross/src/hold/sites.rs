//! Held targets: taking them on, their connections, and what their answers say of them.

use {
    super::{
        attempt::{Body, Signs},
        control::{self, Ask},
        desk::Desk,
        gate::Lease,
        lanes::LaneKey,
        links::{self, Link, Use},
        site::{LINGER, Listing, Site},
    },
    crate::{
        events::{self, About, Code},
        work::Outcome,
    },
    cowslip_decide::{
        deliver::{
            server::Server,
            slots::{Chill, Source},
        },
        names::Name,
        verdict::Reason,
    },
    hyper::client::conn::http1::SendRequest,
    std::time::Duration,
    tokio::time::Instant,
};

/// Shortest time between the openings of two connections to a target.
const OPENING_PACE: Duration = Duration::from_millis(4);

/// Wait after a connection could not be opened; it doubles with each further one.
const REOPENING: Duration = Duration::from_millis(20);

/// Doublings of `REOPENING`.
const MOST_DOUBLINGS: u32 = 4;

/// Time for the planner to move the ranges of a target that is leaving or withdrawn.
///
/// Afterwards its holder stops sending and proposes its loss, so that the standbys take over even
/// while the table is down: no new work reaches it within a few seconds.
pub const MOVING: Duration = Duration::from_millis(1500);

/// Time after which a target that says it is not leaving any more is believed.
const RETURNING: Duration = Duration::from_secs(1);

impl Desk {
    /// Fits the held targets to the duties and the document.
    pub fn refit(&mut self, now: Instant) {
        let Some(document) = self.document.clone() else {
            return;
        };
        for (name, duty) in self.duties.held.clone() {
            let Some(listing) = Listing::find(&document, &name) else {
                continue;
            };
            let foreign = duty.taken_over.then(|| now + listing.longest + LINGER);
            let lane = self.lanes.entry(listing.lane.clone()).or_default();
            lane.hold(&name, listing.profile, foreign, now);
            match self.sites.get_mut(&name) {
                Some(site) => {
                    if site.duty.replace(duty).is_none()
                        && let Some(server) = lane.server_mut(&name)
                    {
                        server.slots.retake(foreign);
                    }
                    site.relist(listing, now);
                }
                None => {
                    let detail = format!("taken over: {}", duty.taken_over);
                    let site = Site::new(name.clone(), listing, duty, self.context.timing, now);
                    self.sites.insert(name.clone(), site);
                    self.note(events::TARGET_HELD, &name, detail);
                }
            }
            self.bar(&name, now);
            self.connect(&name, now);
        }
        self.release_rest();
        self.refuse_barred();
    }

    /// Stops all new work for targets that are not held any more.
    fn release_rest(&mut self) {
        let held = &self.duties.held;
        let listed = |name: &str| {
            let document = self.document.as_ref();
            document.is_some_and(|document| Listing::find(document, name).is_some())
        };
        for (name, site) in &mut self.sites {
            if held.contains_key(name) && listed(name) {
                continue;
            }
            site.duty = None;
            self.releasing = true;
            let lane = self.lanes.get_mut(&site.lane);
            if let Some(server) = lane.and_then(|lane| lane.server_mut(name)) {
                server.set_open(false);
            }
        }
    }

    /// Refuses what waits and is not allowed any more.
    fn refuse_barred(&mut self) {
        let barred = |id: &u64| {
            let order = &self.orders[id];
            order.tries.is_empty() && !self.may_wait(order)
        };
        let barred: Vec<u64> = self.orders.keys().copied().filter(barred).collect();
        for id in barred {
            let lane = self.orders.get(&id).map(|order| order.lane.clone());
            if let Some(lane) = lane.and_then(|key| self.lanes.get_mut(&key)) {
                lane.abandon(id);
            }
            let outcome = Outcome::not_run(Reason::WrongHolder, self.duties.version);
            self.answer(id, outcome);
        }
    }

    fn may_wait(&self, order: &super::orders::Order) -> bool {
        let lane = self.lanes.get(&order.lane);
        self.permits(&order.work) && lane.is_some_and(|lane| lane.is_open())
    }

    /// Drops a released target of which nothing is left.
    pub fn forget(&mut self, name: &str) {
        let Some(site) = self.sites.remove(name) else {
            return;
        };
        for link in site
            .links
            .values()
            .chain(site.control.iter().map(|(_, link)| link))
        {
            link.retire();
        }
        self.note(events::TARGET_RELEASED, name, String::new());
        let Some(lane) = self.lanes.get_mut(&site.lane) else {
            return;
        };
        lane.release(name);
        if lane.names().next().is_none() {
            self.lanes.remove(&site.lane);
            self.due.remove(&site.lane);
            self.dirty.remove(&site.lane);
        }
    }

    /// Returns a held target as its lane sees it.
    pub fn server(&mut self, target: &str) -> Option<&mut Server> {
        let lane = &self.sites.get(target)?.lane;
        self.lanes.get_mut(lane)?.server_mut(target)
    }

    /// Marks the lane of a target to be served.
    pub fn touch(&mut self, target: &str) {
        let lane = self.sites.get(target).map(|site| site.lane.clone());
        self.dirty.extend(lane);
    }

    /// Opens the connections that the targets of a lane lack.
    pub fn connect_lane(&mut self, key: &LaneKey, now: Instant) {
        if let LaneKey::Target(name) = key {
            return self.connect(name, now);
        }
        let Some(lane) = self.lanes.get(key) else {
            return;
        };
        let names: Vec<Name> = lane.names().cloned().collect();
        for name in names {
            self.connect(&name, now);
        }
    }

    /// Opens a connection if the target lacks one and its pace permits.
    pub fn connect(&mut self, target: &str, now: Instant) {
        let idle = self.server(target).map_or(0, |server| {
            let slots = &server.slots;
            let free = slots.limit(now).max(1).saturating_sub(slots.in_use(now));
            (1 + free as usize).saturating_sub(server.idle())
        });
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let name = site.name.clone();
        let Some(address) = site.listing.address else {
            return;
        };
        if site.opening || now < site.open_after {
            return;
        }
        let kind = match (&site.control, site.duty.is_some() && idle > 0) {
            (None, _) => Use::Control,
            (Some(_), true) if site.links.len() + 1 < site.listing.connections => Use::Work,
            _ => return,
        };
        site.opening = true;
        site.open_after = now + OPENING_PACE;
        let number = site.next_link;
        site.next_link += 1;
        let lease: Option<Lease> = (kind == Use::Work).then(|| self.lease.clone());
        let post = self.post.clone();
        tokio::spawn(links::open(name, address, number, kind, lease, post));
    }

    /// Notes an open connection.
    pub fn opened(&mut self, target: &str, number: u64, kind: Use, link: Link, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return link.retire();
        };
        site.opening = false;
        site.failures = 0;
        match kind {
            Use::Control => {
                site.control = Some((number, link));
                self.exchange(target, now);
            }
            Use::Work => self.greet(target, number, link),
        }
        self.connect(target, now);
    }

    /// Asks for the health of a target on a new connection, which shows the run it belongs to.
    fn greet(&mut self, target: &str, number: u64, mut link: Link) {
        let post = self.post.clone();
        if let Some(sender) = link.sender.take() {
            let name = target.into();
            tokio::spawn(control::exchange(name, number, sender, Ask::Probe, post));
        }
        if let Some(site) = self.sites.get_mut(target) {
            site.links.insert(number, link);
        }
    }

    /// Notes that a connection could not be opened.
    pub fn unopened(&mut self, target: &str, _kind: Use, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        site.opening = false;
        site.open_after = now + REOPENING * 2u32.pow(site.failures.min(MOST_DOUBLINGS));
        site.failures += 1;
        self.doubt(target, now);
    }

    /// Notes that a connection has ended.
    pub fn closed(&mut self, target: &str, number: u64, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        if site
            .control
            .as_ref()
            .is_some_and(|(known, _)| *known == number)
        {
            site.control = None;
        }
        match site.links.get_mut(&number) {
            Some(link) if link.busy.is_some() => link.gone = true,
            Some(_) => self.lose(target, number, now),
            None => {}
        }
        self.doubt(target, now);
    }

    /// Drops a connection.
    pub fn lose(&mut self, target: &str, number: u64, now: Instant) {
        if let Some(server) = self.server(target) {
            server.unready(number);
        }
        let site = self.sites.get_mut(target);
        if let Some(link) = site.and_then(|site| site.links.remove(&number)) {
            link.retire();
        }
        self.doubt(target, now);
    }

    /// Notes that a connection broke, so that the target may have restarted.
    fn doubt(&mut self, target: &str, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        site.broke = Some(now);
        let next = site.next_link;
        if let Some(server) = self.server(target) {
            server.slots.doubt(next);
        }
        self.touch(target);
    }

    /// Notes a connection that is ready for another request.
    pub fn ready(&mut self, target: &str, number: u64, sender: SendRequest<Body>, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let Some(link) = site.links.get_mut(&number) else {
            return;
        };
        if link.gone || sender.is_closed() {
            return self.lose(target, number, now);
        }
        link.sender = Some(sender);
        if let Some(server) = self.server(target) {
            server.ready(number);
        }
        self.touch(target);
    }

    /// Notes the connection of an exchange that has ended.
    pub fn exchanged(
        &mut self,
        target: &str,
        number: u64,
        sender: Option<SendRequest<Body>>,
        now: Instant,
    ) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let control = site.control.as_mut().filter(|(known, _)| *known == number);
        let Some((_, link)) = control else {
            return match sender {
                Some(sender) => self.ready(target, number, sender, now),
                None => self.lose(target, number, now),
            };
        };
        if sender.is_some() {
            link.sender = sender;
            return;
        }
        link.retire();
        site.control = None;
        site.probe_at = site.heard;
        site.grants.hurry();
    }

    /// Notes what the head of an answer says of its target.
    pub fn signs(
        &mut self,
        target: &str,
        number: u64,
        signs: &Signs,
        begun: Instant,
        now: Instant,
    ) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        site.heard = now;
        site.silent = false;
        site.answers = true;
        site.proof = site.proof.max(begun);
        let after_break = site.broke.is_none_or(|broke| begun > broke);
        let start = signs.start.as_deref();
        let chill = self.server(target).and_then(|server| {
            if let Some(start) = start.filter(|_| after_break) {
                server.slots.confirm(start);
            }
            let from = Source {
                link: number,
                begun,
            };
            server.slots.seen(start, from, now)
        });
        if chill.is_some()
            && let Some(site) = self.sites.get_mut(target)
        {
            site.grants.restart();
            if chill == Some(Chill::Restarted) {
                site.lingering.clear();
            }
            site.leaving = None;
        }
        if let Some(chill) = chill {
            self.note_cold(target, chill);
            self.cover(target, now);
        }
        if signs.leaving {
            self.leave(target, true, begun, now);
        }
    }

    /// Notes whether a target says that it is leaving.
    pub fn leave(&mut self, target: &str, leaving: bool, begun: Instant, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let returned = site.leaving.is_some_and(|since| begun > since + RETURNING);
        match (leaving, site.leaving.is_some()) {
            (true, false) => site.leaving = Some(now),
            (false, true) if returned => site.leaving = None,
            _ => return,
        }
        self.bar(target, now);
        if leaving {
            self.note(events::TARGET_LEAVING, target, String::new());
        }
    }

    /// Opens a target to new work, or closes it when it is leaving or withdrawn.
    ///
    /// A pool has others to choose from at once; an owner goes on until the planner has moved its
    /// ranges, but not for longer than [`MOVING`].
    pub fn bar(&mut self, target: &str, now: Instant) {
        let Some(site) = self.sites.get(target) else {
            return;
        };
        let pooled = matches!(site.lane, LaneKey::Service(_));
        let barred = site
            .barred_since()
            .is_some_and(|since| pooled || now >= since + MOVING);
        let open = site.duty.is_some() && !barred;
        let lane = site.lane.clone();
        if let Some(server) = self.server(target) {
            server.set_open(open);
        }
        if self.lanes.get(&lane).is_some_and(|lane| !lane.is_open()) {
            self.flush(&lane, Reason::NoOwner);
        }
    }

    /// Queues the cancellation of an attempt.
    pub fn cancel(&mut self, target: &str, id: u64, attempt: Name, now: Instant) {
        if let Some(site) = self.sites.get_mut(target) {
            site.ask(Ask::Cancel { id, attempt });
            self.exchange(target, now);
        }
    }

    /// Notes that a target is back at its cold limit.
    pub fn note_cold(&self, target: &str, chill: Chill) {
        let detail = format!("{chill:?}").to_lowercase();
        self.note(events::TARGET_COLD, target, detail);
    }

    /// Records an event about a target.
    pub fn note(&self, code: Code, target: &str, detail: String) {
        let about = About {
            target: Some(target.into()),
            detail: Some(detail),
            ..About::default()
        };
        self.context.events.note(code, about);
    }
}
