//! Lanes: which one a request waits in, and the sending of what they let go.

use {
    super::{
        attempt::{self, Seen},
        desk::{Arrival, Desk, Post},
        links::Busy,
        orders::Try,
        site::Passage,
    },
    crate::{
        events,
        work::{Aim, Outcome},
    },
    cowslip_decide::{
        deliver::lane::{Dispatch, Next},
        names::Name,
        verdict::Reason,
    },
    futures_util::FutureExt,
    http::Request,
    hyper::client::conn::http1::SendRequest,
    std::sync::Arc,
    tokio::time::Instant,
};

/// Identity of a lane.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LaneKey {
    /// Lane of one target of a divided service.
    Target(Name),
    /// Lane of the held targets of an undivided service.
    Service(Name),
}

impl Desk {
    /// Serves every lane that something has happened to or whose time has come.
    pub fn serve(&mut self, now: Instant) {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        self.dirty.extend(due.map(|(key, _)| key.clone()));
        while let Some(key) = self.dirty.pop_first() {
            self.pump(&key, now);
        }
    }

    /// Refuses every request that waits in a lane.
    pub fn flush(&mut self, key: &LaneKey, reason: Reason) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        let waiting = lane.waiting();
        for id in &waiting {
            lane.abandon(*id);
        }
        for id in waiting {
            self.answer(id, Outcome::not_run(reason, self.duties.version));
        }
    }

    fn pump(&mut self, key: &LaneKey, now: Instant) {
        self.due.remove(key);
        if !self.lease.is_valid() {
            self.flush(key, Reason::NoLease);
            return;
        }
        loop {
            let Some(lane) = self.lanes.get_mut(key) else {
                return;
            };
            match lane.next(now) {
                Next::Send(dispatch) => self.send(dispatch, false, now),
                Next::Hedge(dispatch) => self.send(dispatch, true, now),
                Next::Refuse { id, refusal } => self.refuse(id, refusal),
                Next::Wait(at) => {
                    self.due.extend(at.map(|at| (key.clone(), at)));
                    break;
                }
            }
        }
        self.connect_lane(key, now);
    }

    fn send(&mut self, dispatch: Dispatch, hedge: bool, now: Instant) {
        let Dispatch { id, target, link } = dispatch;
        let Some(order) = self.orders.get_mut(&id) else {
            return self.unsent(id, &target, link, now);
        };
        let attempt: Name = match hedge {
            true => format!("{}-h", order.work.request).into(),
            false => order.work.request.clone(),
        };
        let request = attempt::request(&order.work, &attempt, &self.holder, now);
        let site = self.sites.get_mut(&target);
        let open = site.and_then(|site| site.links.get_mut(&link));
        let (Ok(request), Some(open)) = (request, open) else {
            return self.unsent(id, &target, link, now);
        };
        let Some(sender) = open.sender.take() else {
            return self.unsent(id, &target, link, now);
        };
        order.tries.push(Try {
            target: target.clone(),
            attempt,
            cancelled: false,
        });
        open.busy = Some(Busy {
            id,
            since: now,
            read: open.meter.read(),
            asked: false,
            unrun: false,
            passage: Passage::of(&order.work),
        });
        let meter = open.meter.clone();
        let post = self.post.clone();
        let rare = !order.work.repeatable;
        if hedge {
            self.note_order(events::HEDGE, id, &target);
        } else if rare {
            self.note_order(events::REQUEST_SENT, id, &target);
        }
        tokio::spawn(carry(id, target, link, sender, request, meter, post));
    }

    /// Ends an attempt that could not be begun.
    fn unsent(&mut self, id: u64, target: &str, link: u64, now: Instant) {
        self.ended(id, target, link, Seen::Unsent, now);
    }

    /// Returns the lane of a request, if this instance holds a target for it.
    pub fn lane_of(&self, aim: &Aim) -> Option<LaneKey> {
        let key = match aim {
            Aim::Owner { target, .. } => LaneKey::Target(target.clone()),
            // The pools of a service that this instance holds share one queue.
            Aim::Pool(pool) => LaneKey::Service(pool.split('/').next()?.into()),
        };
        self.lanes.contains_key(&key).then_some(key)
    }
}

/// Runs one attempt and posts its end and its connection.
async fn carry(
    id: u64,
    target: Name,
    number: u64,
    mut sender: SendRequest<attempt::Body>,
    request: Request<attempt::Body>,
    meter: Arc<super::gate::Meter>,
    post: Post,
) {
    let seen = attempt::run(&mut sender, request, &meter).await;
    let lost = matches!(seen, Seen::Broken(_) | Seen::Unsent);
    let ready = !lost && matches!(sender.ready().now_or_never(), Some(Ok(())));
    let (now, later) = match (lost, ready) {
        (true, _) => (None, None),
        (false, true) => (Some(sender), None),
        (false, false) => (None, Some(sender)),
    };
    let ended = Arrival::Ended {
        id,
        target: target.clone(),
        number,
        seen,
        sender: now,
    };
    post.send(ended).await;
    let Some(mut sender) = later else {
        return;
    };
    if sender.ready().await.is_ok() {
        let ready = Arrival::Ready {
            target,
            number,
            sender,
        };
        post.send(ready).await;
    }
}
