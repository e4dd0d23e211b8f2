//! State of the duty and its loop: one arrival after the other, then everything that is due.

use {
    super::{
        Context, HoldCommand,
        attempt::Seen,
        control::{Ask, Told},
        gate::Lease,
        lanes::LaneKey,
        links::{Link, Use},
        orders::Order,
        site::Site,
    },
    crate::work::{Outcome, Ticket},
    cowslip_decide::{deliver::lane::Lane, duty::Duties, names::Name},
    cowslip_settings::document::Document,
    http::HeaderValue,
    hyper::client::conn::http1::SendRequest,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Period of the checks that no event starts.
pub const TICK: Duration = Duration::from_millis(10);

/// Arrivals that wait for the loop; who posts one waits for room.
const ARRIVALS: usize = 1024;

/// Arrivals and tickets that are taken before the lanes are served.
const BATCH: usize = 64;

/// Longest time that the release of the grants holds back the end of the thread.
const FAREWELL: Duration = Duration::from_millis(500);

/// What the tasks of this duty tell its loop.
#[derive(Debug)]
pub enum Arrival {
    /// A connection is open.
    Opened {
        /// Target.
        target: Name,
        /// Number of the connection.
        number: u64,
        /// What it is for.
        kind: Use,
        /// The connection.
        link: Link,
    },
    /// A connection could not be opened.
    Unopened {
        /// Target.
        target: Name,
        /// What it was to be for.
        kind: Use,
    },
    /// A connection has ended.
    Closed {
        /// Target.
        target: Name,
        /// Number of the connection.
        number: u64,
    },
    /// An attempt has ended.
    Ended {
        /// Number of the request.
        id: u64,
        /// Target.
        target: Name,
        /// Number of the connection.
        number: u64,
        /// What was seen.
        seen: Seen,
        /// The connection, if it is ready for another request.
        sender: Option<SendRequest<super::attempt::Body>>,
    },
    /// A connection is ready for another request.
    Ready {
        /// Target.
        target: Name,
        /// Number of the connection.
        number: u64,
        /// The connection.
        sender: SendRequest<super::attempt::Body>,
    },
    /// An exchange with the control interface has ended.
    Told {
        /// Target.
        target: Name,
        /// Number of the connection.
        number: u64,
        /// When it began.
        begun: Instant,
        /// What was asked.
        ask: Ask,
        /// What the head of the answer says.
        signs: Option<super::attempt::Signs>,
        /// What the body says.
        told: Told,
        /// The connection, if it is ready for another exchange.
        sender: Option<SendRequest<super::attempt::Body>>,
    },
}

/// Way of a task to the loop.
#[derive(Clone, Debug)]
pub struct Post(mpsc::Sender<Arrival>);

impl Post {
    /// Hands an arrival to the loop; does nothing once the loop has ended.
    pub async fn send(&self, arrival: Arrival) {
        let _ = self.0.send(arrival).await;
    }
}

/// State of the duty.
#[derive(Debug)]
pub struct Desk {
    /// Ways to the rest of the instance.
    pub context: Context,
    /// Name of this instance as a header.
    pub holder: HeaderValue,
    /// Lease of this instance.
    pub lease: Lease,
    /// What this instance holds.
    pub duties: Duties,
    /// Whether the member thread has been told that `duties` are settled.
    pub settled: bool,
    /// Whether something of a released target may be left.
    pub releasing: bool,
    /// Configuration in force.
    pub document: Option<Arc<Document>>,
    /// Held targets, and released ones until nothing of them is left.
    pub sites: BTreeMap<Name, Site>,
    /// Queues.
    pub lanes: BTreeMap<LaneKey, Lane>,
    /// Next time at which each lane is to be served without an event.
    pub due: BTreeMap<LaneKey, Instant>,
    /// Lanes that something has happened to.
    pub dirty: BTreeSet<LaneKey>,
    /// Requests that have not ended.
    pub orders: BTreeMap<u64, Order>,
    /// Deadlines of the requests that have not ended.
    pub deadlines: BTreeSet<(Instant, u64)>,
    /// Number of the next request.
    pub next_id: u64,
    /// Way of tasks to the loop.
    pub post: Post,
    /// Time of the last periodic check.
    pub ticked: Instant,
    /// Time of the last report of loads.
    pub loads: Instant,
    /// Whether new tickets are refused.
    pub stopping: bool,
    arrivals: mpsc::Receiver<Arrival>,
}

impl Desk {
    /// Returns the duty before its first command.
    pub fn new(context: Context) -> Self {
        let (post, arrivals) = mpsc::channel(ARRIVALS);
        let holder = HeaderValue::from_str(&context.instance);
        let now = Instant::now();
        Self {
            holder: holder.unwrap_or(HeaderValue::from_static("-")),
            context,
            lease: Lease::default(),
            duties: Duties::default(),
            settled: true,
            releasing: false,
            document: None,
            sites: BTreeMap::new(),
            lanes: BTreeMap::new(),
            due: BTreeMap::new(),
            dirty: BTreeSet::new(),
            orders: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_id: 0,
            post: Post(post),
            ticked: now,
            loads: now,
            stopping: false,
            arrivals,
        }
    }

    /// Runs until [`HoldCommand::Stop`] and the end of everything that was taken before.
    pub async fn run(
        mut self,
        mut tickets: mpsc::Receiver<Ticket>,
        mut commands: mpsc::Receiver<HoldCommand>,
    ) {
        loop {
            let wake = self.wake();
            tokio::select! {
                biased;
                command = commands.recv(), if !commands.is_closed() || !commands.is_empty() => {
                    self.command(command.unwrap_or(HoldCommand::Stop));
                }
                Some(arrival) = self.arrivals.recv() => self.arrive(arrival),
                Some(ticket) = tickets.recv() => {
                    self.obey(&mut commands);
                    self.take(ticket);
                }
                () = sleep_until(wake) => {}
            }
            self.obey(&mut commands);
            self.catch_up(&mut tickets);
            self.work();
            if self.stopping && self.orders.is_empty() && tickets.is_empty() {
                break;
            }
        }
        tickets.close();
        while let Ok(ticket) = tickets.try_recv() {
            self.take(ticket);
        }
        self.farewell().await;
    }

    /// Follows every command that has come by now; they go before the work they rule.
    fn obey(&mut self, commands: &mut mpsc::Receiver<HoldCommand>) {
        while let Ok(command) = commands.try_recv() {
            self.command(command);
        }
    }

    /// Takes what else has come by now, within bounds.
    fn catch_up(&mut self, tickets: &mut mpsc::Receiver<Ticket>) {
        for _ in 0..BATCH {
            let Ok(arrival) = self.arrivals.try_recv() else {
                break;
            };
            self.arrive(arrival);
        }
        for _ in 0..BATCH {
            let Ok(ticket) = tickets.try_recv() else {
                break;
            };
            self.take(ticket);
        }
    }

    /// Does everything that is due now.
    fn work(&mut self) {
        let now = Instant::now();
        self.overdue(now);
        if now >= self.ticked + TICK {
            self.tick(now);
        }
        self.serve(now);
        self.settle(now);
    }

    fn wake(&self) -> Instant {
        let tick = self.ticked + TICK;
        let lane = self.due.values().min().copied();
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        [lane, deadline]
            .into_iter()
            .flatten()
            .fold(tick, Instant::min)
    }

    fn command(&mut self, command: HoldCommand) {
        let now = Instant::now();
        match command {
            HoldCommand::Duties(duties) => self.follow(duties, now),
            HoldCommand::Lease(end) => {
                self.lease.set(end);
                self.dirty.extend(self.lanes.keys().cloned());
            }
            HoldCommand::Document(document) => {
                self.document = Some(document);
                self.refit(now);
            }
            HoldCommand::Stop => self.stopping = true,
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let now = Instant::now();
        match arrival {
            Arrival::Opened {
                target,
                number,
                kind,
                link,
            } => self.opened(&target, number, kind, link, now),
            Arrival::Unopened { target, kind } => self.unopened(&target, kind, now),
            Arrival::Closed { target, number } => self.closed(&target, number, now),
            Arrival::Ended {
                id,
                target,
                number,
                seen,
                sender,
            } => {
                self.ended(id, &target, number, seen, now);
                if let Some(sender) = sender {
                    self.ready(&target, number, sender, now);
                }
            }
            Arrival::Ready {
                target,
                number,
                sender,
            } => self.ready(&target, number, sender, now),
            Arrival::Told {
                target,
                number,
                begun,
                ask,
                signs,
                told,
                sender,
            } => {
                if let Some(mut signs) = signs {
                    signs.start = told.start().or(signs.start);
                    self.signs(&target, number, &signs, begun, now);
                }
                self.exchanged(&target, number, sender, now);
                self.told(&target, begun, ask, told, now);
            }
        }
    }

    /// Releases every grant before the thread ends.
    async fn farewell(&mut self) {
        let end = Instant::now() + FAREWELL;
        let seq = self.duties.seq;
        let version = self.duties.version;
        self.follow(
            Duties {
                seq,
                version,
                ..Duties::default()
            },
            Instant::now(),
        );
        while !self.sites.is_empty() && Instant::now() < end {
            let wake = self.wake().min(end);
            tokio::select! {
                Some(arrival) = self.arrivals.recv() => self.arrive(arrival),
                () = sleep_until(wake) => {}
            }
            self.work();
        }
    }

    /// Sends the end of a request to who waits for it.
    pub fn answer(&mut self, id: u64, outcome: Outcome) {
        if let Some(order) = self.orders.remove(&id) {
            self.deadlines.remove(&(order.work.deadline, id));
            let _ = order.reply.send(outcome);
        }
    }
}
