//! A holding thread that renews grants and reports what it has settled.

use {
    super::{Event, World, target::Post},
    cowslip_decide::{
        duty::{Duties, Duty, Granted, HoldReport, LeaseEnd},
        member::Timing,
        names::Name,
    },
    std::collections::BTreeMap,
    tokio::time::Instant,
};

#[derive(Default)]
pub struct Hold {
    pub lease: LeaseEnd,
    pub duties: Duties,
    settled: u64,
    targets: BTreeMap<Name, Seat>,
    posts: u64,
}

/// What the thread knows of one target.
struct Seat {
    answered: Instant,
    /// Newest stamp, and when it came.
    stamp: Option<(Instant, Instant)>,
    sent: Vec<Sent>,
}

/// A post whose ranges may be in force at the target.
struct Sent {
    id: u64,
    ranges: Vec<Granted>,
    lapse: Option<Instant>,
    answered: bool,
    /// Whether every earlier post was answered when this one was sent.
    alone: bool,
}

impl Hold {
    /// Returns whether this thread may send to `target`.
    pub fn may_send(&self, target: &Name, now: Instant) -> bool {
        self.lease.is_some_and(|end| now < end) && self.duties.held.contains_key(target)
    }

    fn is_settled(&self, now: Instant) -> bool {
        self.targets.iter().all(|(name, seat)| {
            let duty = self.duties.held.get(name);
            let sent = seat.sent.iter();
            let mut live = sent.filter(|sent| sent.lapse.is_some_and(|lapse| now < lapse));
            live.all(|sent| sent.ranges.iter().all(|range| allows(duty, range)))
        })
    }
}

fn allows(duty: Option<&Duty>, range: &Granted) -> bool {
    let covers = |granted: &Granted| {
        granted.service == range.service
            && granted.fence == range.fence
            && granted.start <= range.start
            && range.end <= granted.end
    };
    duty.is_some_and(|duty| duty.ranges.iter().any(covers))
}

impl World {
    pub fn take_duties(&mut self, node: usize, duties: Duties) {
        let now = self.now(node);
        let hold = &mut self.nodes[node].hold;
        for (name, seat) in &mut hold.targets {
            if !hold.duties.held.contains_key(name) {
                seat.answered = now;
            }
        }
        hold.duties = duties;
        self.renew(node);
    }

    fn now(&self, node: usize) -> Instant {
        self.nodes[node].clock.at(self.time)
    }

    /// Posts the grants of every held target, and reports what is silent or settled.
    pub fn renew(&mut self, node: usize) {
        let held = self.nodes[node].hold.duties.held.keys().cloned();
        for name in held.collect::<Vec<_>>() {
            self.renew_one(node, name);
        }
        self.settle(node);
    }

    fn renew_one(&mut self, node: usize, name: Name) {
        let (now, run) = (self.now(node), self.nodes[node].run);
        let hold = &mut self.nodes[node].hold;
        let Some(duty) = hold.duties.held.get(&name).cloned() else {
            return;
        };
        if !hold.may_send(&name, now) {
            return;
        }
        hold.posts += 1;
        let new = || Seat {
            answered: now,
            stamp: None,
            sent: Vec::new(),
        };
        let seat = hold.targets.entry(name.clone()).or_insert_with(new);
        let silent = seat.answered + Timing::default().target_silence <= now;
        let grant = Timing::default().surely(Timing::default().grant);
        seat.sent
            .retain(|sent| sent.lapse.is_some_and(|lapse| now < lapse));
        seat.sent.push(Sent {
            id: hold.posts,
            ranges: duty.ranges.clone(),
            lapse: seat.stamp.map(|(_, came)| came + grant),
            answered: false,
            alone: seat.sent.iter().all(|sent| sent.answered),
        });
        let post = Post {
            node,
            run,
            id: hold.posts,
            stamp: seat.stamp.map(|(stamp, _)| stamp),
            ranges: duty.ranges,
        };
        let delay = self.delay();
        let to = name.clone();
        self.push(delay, Event::Target { to, post });
        if silent {
            self.report(node, HoldReport::Silent { target: name });
        }
    }

    pub fn answer(&mut self, node: usize, target: &Name, id: Option<u64>, stamp: Instant) {
        let now = self.now(node);
        let Some(seat) = self.nodes[node].hold.targets.get_mut(target) else {
            return;
        };
        seat.answered = now;
        let first = seat.stamp.is_none();
        seat.stamp = seat.stamp.max(Some((stamp, now)));
        if let Some(i) = seat.sent.iter().position(|sent| Some(sent.id) == id) {
            seat.sent[i].answered = true;
            if seat.sent[i].alone {
                seat.sent.drain(..i);
            }
        }
        if first {
            self.renew(node);
        }
        self.settle(node);
    }

    fn settle(&mut self, node: usize) {
        let now = self.now(node);
        let hold = &mut self.nodes[node].hold;
        let seq = hold.duties.seq;
        if hold.settled < seq && hold.is_settled(now) {
            hold.settled = seq;
            self.report(node, HoldReport::Settled { seq });
        }
    }
}
