//! Requests from their ticket to their end.

use {
    super::{
        attempt::{Seen, Signs},
        desk::Desk,
        lanes::LaneKey,
        links::Busy,
    },
    crate::{
        events::{self, About, Code},
        work::{Aim, Outcome, Ticket, Work},
    },
    bytes::Bytes,
    cowslip_decide::{
        deliver::{
            Refusal,
            lane::{After, Offer},
            queue::Entry,
            server::Ending,
        },
        names::Name,
        verdict::{Reason, Verdict},
    },
    tokio::{sync::oneshot, time::Instant},
};

/// A request that has not ended.
#[derive(Debug)]
pub struct Order {
    /// The request.
    pub work: Work,
    /// Receives the end.
    pub reply: oneshot::Sender<Outcome>,
    /// Lane that it waits in or was sent from.
    pub lane: LaneKey,
    /// Attempts that were sent.
    pub tries: Vec<Try>,
    /// Whether an attempt ended that may have run.
    pub doubtful: bool,
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub struct Try {
    /// Target.
    pub target: Name,
    /// Id of the attempt at the target.
    pub attempt: Name,
    /// Whether the target was asked to cancel it.
    pub cancelled: bool,
}

impl Desk {
    /// Takes a ticket into its lane or refuses it.
    pub fn take(&mut self, ticket: Ticket) {
        let now = Instant::now();
        if ticket.reply.is_closed() {
            return;
        }
        let lane = match self.admit(&ticket.work) {
            Ok(lane) => lane,
            Err(reason) => {
                let outcome = Outcome::not_run(reason, self.duties.version);
                let _ = ticket.reply.send(outcome);
                return;
            }
        };
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            id,
            priority: ticket.work.priority,
            deadline: ticket.work.deadline,
            repeatable: ticket.work.repeatable,
        };
        let Some(queue) = self.lanes.get_mut(&lane) else {
            return;
        };
        let offer = queue.offer(entry, now);
        self.deadlines.insert((entry.deadline, id));
        let order = Order {
            work: ticket.work,
            reply: ticket.reply,
            lane: lane.clone(),
            tries: Vec::new(),
            doubtful: false,
        };
        self.orders.insert(id, order);
        self.dirty.insert(lane);
        match offer {
            Offer::Queued => {}
            Offer::Evicted { id, refusal } => self.refuse(id, refusal),
            Offer::Refused(refusal) => self.refuse(id, refusal),
        }
    }

    /// Returns the lane of a request, or why it is refused at once.
    fn admit(&self, work: &Work) -> Result<LaneKey, Reason> {
        if self.stopping {
            return Err(Reason::Stopping);
        }
        if !self.lease.is_valid() {
            return Err(Reason::NoLease);
        }
        if !self.permits(work) {
            return Err(Reason::WrongHolder);
        }
        let lane = self.lane_of(&work.aim).ok_or(Reason::WrongHolder)?;
        match self.lanes.get(&lane).is_some_and(|lane| lane.is_open()) {
            true => Ok(lane),
            false => Err(Reason::NoOwner),
        }
    }

    /// Returns whether the duties in force allow a request.
    pub fn permits(&self, work: &Work) -> bool {
        let Aim::Owner { target, fence } = &work.aim else {
            return self.lane_of(&work.aim).is_some();
        };
        let (Some(duty), Some(hash)) = (self.duties.held.get(target), work.hash) else {
            return false;
        };
        duty.ranges.iter().any(|range| {
            let covers = (range.start..=range.end).contains(&hash);
            covers && range.fence == *fence && range.service == work.service
        })
    }

    /// Ends a request that never left its lane.
    pub fn refuse(&mut self, id: u64, refusal: Refusal) {
        let mut outcome = Outcome::not_run(refusal.reason, self.duties.version);
        outcome.wait = Some(refusal.wait);
        self.answer(id, outcome);
    }

    /// Notes what was seen of an attempt and ends its request if nothing else of it runs.
    pub fn ended(&mut self, id: u64, target: &str, number: u64, seen: Seen, now: Instant) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let lane = site.lane.clone();
        let link = site.links.get_mut(&number);
        let busy = link.and_then(|link| link.busy.take());
        if let Some(signs) = signs_of(&seen) {
            let begun = busy.as_ref().map_or(now, |busy| busy.since);
            self.signs(target, number, signs, begun, now);
        }
        if lost(&seen) {
            self.lose(target, number, now);
        }
        let ending = ending(&seen, busy.as_ref());
        if ending == Ending::Broken
            && let (Some(busy), Some(site)) = (&busy, self.sites.get_mut(target))
        {
            site.lingering.push(busy.passage);
        }
        if let Some(order) = self.orders.get(&id)
            && ending == (Ending::Whole { error: false })
            && let (Some(hash), Some(site)) = (order.work.hash, self.sites.get_mut(target))
        {
            site.hottest.count(hash);
        }
        let Some(queue) = self.lanes.get_mut(&lane) else {
            return;
        };
        let (after, chill) = queue.ended(id, target, ending, now);
        self.dirty.insert(lane);
        if let Some(chill) = chill {
            self.note_cold(target, chill);
        }
        self.note_refused(id, target, ending);
        if let Ending::Unrun = ending
            && let Some(site) = self.sites.get_mut(target)
        {
            site.grants.hurry();
        }
        match after {
            After::Stray => {}
            After::Pending => self.doubt_order(id, ending),
            After::Over => self.close_order(id, target, seen, ending, now),
        }
    }

    fn doubt_order(&mut self, id: u64, ending: Ending) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.doubtful |= ending == Ending::Broken;
        }
    }

    fn close_order(&mut self, id: u64, target: &str, seen: Seen, ending: Ending, now: Instant) {
        let Some(order) = self.orders.get(&id) else {
            return;
        };
        let lapsed = !self.lease.is_valid();
        let version = self.duties.version;
        let verdict = match ending {
            Ending::Whole { .. } => Verdict::Ran,
            Ending::Broken => Verdict::MayHaveRun,
            _ if order.doubtful => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        let reason = match ending {
            Ending::Whole { .. } => None,
            Ending::Unsent if lapsed => Some(Reason::NoLease),
            Ending::Shed => Some(Reason::Shed),
            Ending::Unrun if matches!(seen, Seen::Unrun(_)) => Some(Reason::Shed),
            _ => Some(Reason::Broken),
        };
        let (status, media, body) = match seen {
            Seen::Whole { signs, media, body } => (signs.status, media, body),
            _ if verdict == Verdict::NotRun => (503, None, Bytes::new()),
            _ => (502, None, Bytes::new()),
        };
        let outcome = Outcome {
            verdict,
            reason,
            status,
            media,
            body,
            wait: None,
            target: Some(target.into()),
            version,
        };
        if verdict == Verdict::MayHaveRun {
            self.note_doubtful(id, target);
        }
        self.cancel_tries(id, Some(target), now);
        self.answer(id, outcome);
    }

    /// Ends the requests whose deadline has passed and cancels what runs of them.
    pub fn overdue(&mut self, now: Instant) {
        while let Some((at, id)) = self.deadlines.first().copied() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let sent = self.give_up(id, now);
            let version = self.duties.version;
            let mut outcome = Outcome::not_run(Reason::Deadline, version);
            if let Some(target) = sent {
                outcome.verdict = Verdict::MayHaveRun;
                outcome.status = 504;
                self.note_doubtful(id, &target);
                outcome.target = Some(target);
            }
            self.answer(id, outcome);
        }
    }

    /// Ends the requests that nobody waits for.
    pub fn forsaken(&mut self, now: Instant) {
        let gone = |(id, order): (&u64, &Order)| order.reply.is_closed().then_some(*id);
        let gone: Vec<u64> = self.orders.iter().filter_map(gone).collect();
        for id in gone {
            self.give_up(id, now);
            if let Some(order) = self.orders.remove(&id) {
                self.deadlines.remove(&(order.work.deadline, id));
            }
        }
    }

    /// Takes a request out of its lane; returns a target that it was sent to.
    fn give_up(&mut self, id: u64, now: Instant) -> Option<Name> {
        let order = self.orders.get(&id)?;
        let key = order.lane.clone();
        let running = match self.lanes.get_mut(&key) {
            Some(lane) => lane.abandon(id),
            None => Vec::new(),
        };
        self.dirty.insert(key);
        self.cancel_tries(id, None, now);
        let order = self.orders.get(&id)?;
        let sent = running.first().cloned();
        sent.or_else(|| {
            let last = order.tries.last().filter(|_| order.doubtful)?;
            Some(last.target.clone())
        })
    }

    /// Asks the targets to cancel what still runs of a request.
    fn cancel_tries(&mut self, id: u64, except: Option<&str>, now: Instant) {
        let Some(order) = self.orders.get_mut(&id) else {
            return;
        };
        let mut asks = Vec::new();
        for one in &mut order.tries {
            if one.cancelled || except == Some(one.target.as_ref()) {
                continue;
            }
            one.cancelled = true;
            asks.push((one.target.clone(), one.attempt.clone()));
        }
        for (target, attempt) in asks {
            self.cancel(&target, id, attempt, now);
        }
    }

    fn note_refused(&self, id: u64, target: &str, ending: Ending) {
        let code = match ending {
            Ending::Shed => events::TARGET_SHED,
            Ending::Unrun => events::FENCE_REFUSED,
            _ => return,
        };
        self.note_order(code, id, target);
    }

    fn note_doubtful(&self, id: u64, target: &str) {
        self.note_order(events::MAY_HAVE_RUN, id, target);
    }

    /// Records an event about a request at a target.
    pub fn note_order(&self, code: Code, id: u64, target: &str) {
        let Some(order) = self.orders.get(&id) else {
            return;
        };
        let about = About {
            request: Some(order.work.request.clone()),
            key: order.work.key.clone(),
            target: Some(target.into()),
            ..About::default()
        };
        self.context.events.note(code, about);
    }
}

fn signs_of(seen: &Seen) -> Option<&Signs> {
    match seen {
        Seen::Unrun(signs) | Seen::Whole { signs, .. } | Seen::Broken(Some(signs)) => Some(signs),
        Seen::Unsent | Seen::Broken(None) => None,
    }
}

fn lost(seen: &Seen) -> bool {
    matches!(seen, Seen::Broken(_) | Seen::Unsent)
}

fn ending(seen: &Seen, busy: Option<&Busy>) -> Ending {
    match seen {
        Seen::Whole { signs, .. } => Ending::Whole {
            error: signs.status >= 500,
        },
        Seen::Unrun(signs) if signs.status == 503 => Ending::Shed,
        Seen::Unrun(_) => Ending::Unrun,
        Seen::Unsent => Ending::Unsent,
        Seen::Broken(_) if busy.is_some_and(|busy| busy.unrun) => Ending::Unrun,
        Seen::Broken(_) => Ending::Broken,
    }
}
