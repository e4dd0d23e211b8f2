//! Periodic checks: silent targets, silent connections, requests that nobody waits for, loads.

use {
    super::{
        control::Ask,
        desk::{Desk, TICK},
        links::Link,
        site::Site,
        sites::MOVING,
    },
    crate::events::{self, About},
    cowslip_decide::{
        duty::{HoldReport, Load},
        names::Name,
        verdict::Priority,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Period of the reports of loads and of silent targets.
const REPORT: Duration = Duration::from_millis(50);

/// Delay of a tick that means that this process was paused.
const PAUSED: Duration = Duration::from_millis(100);

/// Ratio to the usual time from which an answer is suspiciously late.
const SUSPICIOUS: f64 = 8.0;

/// Shortest time without progress for which a connection is suspected.
const SHORTEST_SUSPICION: Duration = Duration::from_millis(300);

/// A connection without progress for longer than is usual.
struct Suspect {
    number: u64,
    id: u64,
    asked: bool,
    age: Duration,
    bound: Duration,
    overdue: bool,
}

impl Desk {
    /// Runs the periodic checks.
    pub fn tick(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.ticked) > TICK + PAUSED;
        self.ticked = now;
        self.forsaken(now);
        let report = now >= self.loads + REPORT;
        let names: Vec<Name> = self.sites.keys().cloned().collect();
        for name in &names {
            self.check(name, paused, report, now);
        }
        if report {
            self.loads = now;
            self.report_loads(now);
        }
    }

    /// Tells the member thread that the duties in force are settled; returns whether it was told.
    pub fn report_settled(&self) -> bool {
        let seq = self.duties.seq;
        let told = self.context.reports.try_send(HoldReport::Settled { seq });
        if told.is_ok() {
            let about = About {
                detail: Some(format!("duties {seq}")),
                ..About::default()
            };
            self.context.events.note(events::DUTIES_SETTLED, about);
        }
        told.is_ok()
    }

    /// Notes that a target has not run a cancelled attempt and will not.
    pub fn cancelled(&mut self, target: &str, id: u64) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        site.mark_unrun(id);
        if let Some(server) = self.server(target) {
            server.slots.give(id);
        }
        self.touch(target);
    }

    fn check(&mut self, target: &str, paused: bool, report: bool, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        if paused {
            site.heard = now;
        }
        site.lingering.retain(|passage| now < passage.until);
        site.note_progress(now);
        let warm = self
            .server(target)
            .is_some_and(|server| server.slots.is_warm());
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let warmed = warm && !site.warm;
        site.warm = warm;
        let silent = site.duty.is_some() && site.is_silent(now);
        if warmed {
            self.note(events::TARGET_WARM, target, String::new());
        }
        if silent && report {
            self.report_silent(target);
        }
        self.give_up_on(target, now);
        self.check_barred(target, report, now);
        self.suspect(target, now);
        self.cover(target, now);
        self.exchange(target, now);
        self.connect(target, now);
    }

    /// Ends the requests at a silent target that has passed to another owner: they may have run,
    /// and what may be repeated can go to the new owner at once.
    fn give_up_on(&mut self, target: &str, now: Instant) {
        let Some(site) = self.sites.get(target) else {
            return;
        };
        if site.duty.is_none() && site.is_silent(now) {
            site.links.values().for_each(Link::retire);
        }
    }

    /// Proposes the loss of a target that still has ranges long after it should get no work.
    fn check_barred(&mut self, target: &str, report: bool, now: Instant) {
        let Some(site) = self.sites.get(target).filter(|site| site.duty.is_some()) else {
            return;
        };
        if site.barred_since().is_none_or(|since| now < since + MOVING) {
            return;
        }
        let owns = !site.ranges().is_empty();
        let name = site.name.clone();
        self.bar(target, now);
        if owns && report {
            let _ = self
                .context
                .reports
                .try_send(HoldReport::Silent { target: name });
        }
    }

    fn report_silent(&mut self, target: &str) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let name = site.name.clone();
        let report = HoldReport::Silent { target: name };
        let _ = self.context.reports.try_send(report);
        site.answers = false;
        if site.silent {
            return;
        }
        site.silent = true;
        self.note(events::TARGET_SILENT, target, String::new());
    }

    /// Retires the connections of a target that make no progress while others of it work.
    ///
    /// The target is first asked to cancel the request: what it had not run is then truly not run.
    fn suspect(&mut self, target: &str, now: Instant) {
        for suspect in self.suspects(target, now) {
            if suspect.overdue || suspect.age > 2 * suspect.bound {
                self.retire(target, suspect.number);
                continue;
            }
            if suspect.asked {
                continue;
            }
            let order = self.orders.get(&suspect.id);
            let mut tries = order.iter().flat_map(|order| &order.tries);
            let attempt = tries.find(|one| one.target.as_ref() == target);
            let Some(attempt) = attempt.map(|one| one.attempt.clone()) else {
                continue;
            };
            if let Some(site) = self.sites.get_mut(target) {
                site.mark_asked(suspect.number);
                site.ask(Ask::Cancel {
                    id: suspect.id,
                    attempt,
                });
            }
        }
    }

    fn suspects(&self, target: &str, now: Instant) -> Vec<Suspect> {
        let Some(site) = self.sites.get(target) else {
            return Vec::new();
        };
        let Some(lane) = self.lanes.get(&site.lane) else {
            return Vec::new();
        };
        let mut suspects = Vec::new();
        for (number, link) in &site.links {
            let Some(busy) = link.busy.as_ref().filter(|_| !link.gone) else {
                continue;
            };
            let priority = self.orders.get(&busy.id).map(|order| order.work.priority);
            let priority = priority.unwrap_or(Priority::High);
            let bound = lane.suspicious(priority, SUSPICIOUS, SHORTEST_SUSPICION);
            let age = now.saturating_duration_since(busy.since);
            let overdue = now >= busy.passage.until;
            let proven = site.proof > busy.since + site.timing.renewal;
            if overdue || (proven && age > bound) {
                suspects.push(Suspect {
                    number: *number,
                    id: busy.id,
                    asked: busy.asked,
                    age,
                    bound,
                    overdue,
                });
            }
        }
        suspects
    }

    fn retire(&mut self, target: &str, number: u64) {
        let Some(site) = self.sites.get(target) else {
            return;
        };
        if let Some(link) = site.links.get(&number) {
            link.retire();
            let detail = format!("connection {number}");
            self.note(events::CONNECTION_SILENT, target, detail);
        }
    }

    fn report_loads(&mut self, now: Instant) {
        let mut loads = std::collections::BTreeMap::new();
        // The planner gives ranges to whatever is listed: a target that is silent must not be.
        for (name, site) in self
            .sites
            .iter()
            .filter(|(_, site)| site.duty.is_some() && site.answers)
        {
            let Some(lane) = self.lanes.get(&site.lane) else {
                continue;
            };
            let Some(server) = lane.server(name) else {
                continue;
            };
            let load = Load {
                in_flight: server.slots.in_use(now),
                queued: (lane.queued() / lane.names().count().max(1)) as u32,
                limit: server.slots.limit(now),
                latency: server.latency().unwrap_or_default(),
                served: server.served,
                leaving: site.leaving.is_some(),
                hottest: site.hottest.top(),
            };
            loads.insert(name.clone(), load);
        }
        let _ = self.context.reports.try_send(HoldReport::Loads(loads));
    }
}

impl Site {
    /// Notes on which connections bytes have come since the last check.
    fn note_progress(&mut self, now: Instant) {
        for link in self.links.values_mut() {
            let read = link.meter.read();
            if let Some(busy) = link.busy.as_mut().filter(|busy| busy.read != read) {
                busy.read = read;
                busy.since = now;
            }
        }
    }

    /// Notes that request `id` will not run, and closes its connection if that may be silent.
    fn mark_unrun(&mut self, id: u64) {
        for link in self.links.values_mut() {
            let Some(busy) = link.busy.as_mut().filter(|busy| busy.id == id) else {
                continue;
            };
            busy.unrun = true;
            if busy.asked {
                link.retire();
            }
            return;
        }
    }

    fn mark_asked(&mut self, number: u64) {
        let link = self.links.get_mut(&number);
        if let Some(busy) = link.and_then(|link| link.busy.as_mut()) {
            busy.asked = true;
        }
    }
}
