//! Streams of attempts to other instances.
//!
//! Each peer has one stream. An attempt that the transport has not yet taken when the stream
//! breaks was not run; one that it has taken may have run.

use {
    super::{Remote, access::Access, convert, endpoint},
    crate::{
        clock,
        context::Context,
        events::{self, About},
        ring::{Offer, Ring, ring},
        work::{Outcome, Ticket, Work},
    },
    cowslip_decide::{
        names::{Name, Version},
        verdict::Reason,
    },
    cowslip_wire::peer::{self, peer_client::PeerClient, to_holder},
    futures_util::{Stream, StreamExt, future::poll_fn, stream},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep},
    },
    tonic::{Status, Streaming, transport::Channel},
};

/// Time that a holder has to answer after the deadline of an attempt, for the way back.
const GRACE: Duration = Duration::from_millis(50);
/// Wait before a broken stream is opened again.
const REOPEN: Duration = Duration::from_millis(20);
/// Places of the ring into the transport.
const FEED: usize = 1024;
/// Period in which attempts without an answer are looked through.
const SWEEP: Duration = Duration::from_millis(10);

/// Streams to all peers.
#[derive(Debug)]
pub struct Links {
    context: Arc<Context>,
    links: BTreeMap<Name, Ring<Ticket>>,
}

impl Links {
    /// Returns no streams yet.
    pub fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            links: BTreeMap::new(),
        }
    }

    /// Sends an attempt to its peer; opens the stream if there is none.
    pub fn send(&mut self, remote: Remote) {
        let context = &self.context;
        let link = self.links.entry(remote.to.clone()).or_insert_with(|| {
            let (link, tickets) = ring(context.settings.limits.peer_ring as usize);
            tokio::spawn(run(context.clone(), remote.to, tickets));
            link
        });
        if let Offer::Full(ticket) | Offer::Closed(ticket) = link.offer(remote.ticket) {
            refuse(ticket, Reason::Overload);
        }
    }
}

/// Ends an attempt that did not leave this instance.
fn refuse(ticket: Ticket, reason: Reason) {
    let _ = ticket.reply.send(Outcome::not_run(reason, Version(0)));
}

/// An attempt that the transport has taken.
#[derive(Debug)]
struct Sent {
    reply: oneshot::Sender<Outcome>,
    deadline: Instant,
}

/// Attempts that the transport has taken, by number.
#[derive(Clone, Debug, Default)]
struct Pending(Arc<Mutex<BTreeMap<u64, Sent>>>);

impl Pending {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Sent>> {
        self.0.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    fn end(&self, number: u64, outcome: Outcome) {
        let sent = self.lock().remove(&number);
        if let Some(sent) = sent {
            let _ = sent.reply.send(outcome);
        }
    }

    /// Ends everything that the transport has taken: it may have run.
    fn give_up(&self, reason: Reason) {
        for sent in std::mem::take(&mut *self.lock()).into_values() {
            let _ = sent.reply.send(Outcome::may_have_run(reason));
        }
    }

    /// Ends what is past its deadline and returns the numbers that nobody waits for.
    fn sweep(&self, now: Instant) -> Vec<u64> {
        let mut pending = self.lock();
        let idle = |sent: &Sent| sent.reply.is_closed() || sent.deadline + GRACE <= now;
        let numbers: Vec<u64> = pending
            .iter()
            .filter(|(_, sent)| idle(sent))
            .map(|(&number, _)| number)
            .collect();
        for number in &numbers {
            if let Some(sent) = pending.remove(number) {
                let _ = sent.reply.send(Outcome::may_have_run(Reason::Deadline));
            }
        }
        numbers
    }
}

/// What one stream to a peer needs.
struct Line {
    context: Arc<Context>,
    access: Access,
    client: PeerClient<Channel>,
}

/// Sends the attempts for one peer, over one stream after another.
async fn run(context: Arc<Context>, peer: Name, mut tickets: mpsc::Receiver<Ticket>) {
    let Some(endpoint) = endpoint(&context, &peer) else {
        while let Some(ticket) = tickets.recv().await {
            refuse(ticket, Reason::NoOwner);
        }
        return;
    };
    // Waits for the first attempt before it opens a stream.
    while let Some(first) = tickets.recv().await {
        // A new channel for each stream: an old connection may be silent for good.
        let client = PeerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(usize::MAX)
            .max_encoding_message_size(usize::MAX);
        let access = Access::new(&context);
        let line = Line {
            context: context.clone(),
            access,
            client,
        };
        let broken = one_stream(line, first, &mut tickets).await;
        let about = About {
            instance: Some(peer.clone()),
            detail: Some(broken),
            ..About::default()
        };
        context.events.note(events::PEER_BROKEN, about);
        refuse_waiting(&mut tickets);
        sleep(REOPEN).await;
    }
}

/// Refuses what waits for a peer that cannot be reached; the route duty may find another way.
fn refuse_waiting(tickets: &mut mpsc::Receiver<Ticket>) {
    while let Ok(ticket) = tickets.try_recv() {
        refuse(ticket, Reason::NoOwner);
    }
}

/// Runs one stream until it breaks; returns why it broke.
async fn one_stream(mut line: Line, first: Ticket, tickets: &mut mpsc::Receiver<Ticket>) -> String {
    let pending = Pending::default();
    let (cancels, canceled) = mpsc::unbounded_channel();
    let (feed, fed) = ring(FEED);
    if let Offer::Full(ticket) | Offer::Closed(ticket) = feed.offer(first) {
        refuse(ticket, Reason::Overload);
    }
    let source = Source {
        tickets: fed,
        canceled,
        pending: pending.clone(),
        context: line.context.clone(),
        number: 0,
    };
    let stream = async {
        let request = line.access.sign(outgoing(source))?;
        let ends = line.client.forward(request).await?.into_inner();
        Ok(listen(&line, ends, &pending, &cancels).await)
    };
    let pump = async {
        while let Some(ticket) = tickets.recv().await {
            if let Offer::Full(ticket) | Offer::Closed(ticket) = feed.offer(ticket) {
                refuse(ticket, Reason::Overload);
            }
        }
        "the instance stops".to_owned()
    };
    let broken = tokio::select! {
        broken = stream => broken.unwrap_or_else(|status: Status| status.to_string()),
        ended = pump => ended,
    };
    pending.give_up(Reason::Broken);
    broken
}

/// Takes in ends of attempts until the stream breaks; returns why it broke.
async fn listen(
    line: &Line,
    mut ends: Streaming<peer::FromHolder>,
    pending: &Pending,
    cancels: &mpsc::UnboundedSender<u64>,
) -> String {
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        tokio::select! {
            message = ends.message() => match message {
                Ok(Some(message)) => take(line, message, pending),
                Ok(None) => return "the peer ended the stream".to_owned(),
                Err(status) => return status.to_string(),
            },
            now = sweep.tick() => {
                for number in pending.sweep(now) {
                    let _ = cancels.send(number);
                }
            }
        }
    }
}

fn take(line: &Line, message: peer::FromHolder, pending: &Pending) {
    clock::witness(&line.context.events, message.clock);
    let Some(end) = message.outcome else { return };
    let number = end.number;
    // An end that cannot be read says nothing of what ran.
    let outcome = convert::outcome(end).unwrap_or_else(|_| Outcome::may_have_run(Reason::Broken));
    pending.end(number, outcome);
}

/// Attempts and cancellations on their way into the transport.
struct Source {
    tickets: mpsc::Receiver<Ticket>,
    canceled: mpsc::UnboundedReceiver<u64>,
    pending: Pending,
    context: Arc<Context>,
    number: u64,
}

impl Drop for Source {
    /// Refuses what the transport did not take.
    fn drop(&mut self) {
        self.tickets.close();
        refuse_waiting(&mut self.tickets);
        self.pending.give_up(Reason::Broken);
    }
}

/// Returns the stream that the transport polls.
fn outgoing(source: Source) -> impl Stream<Item = peer::ToHolder> {
    stream::unfold(source, |mut source| async move {
        let body = source.next().await?;
        let clock = clock::stamp(&source.context.events);
        Some((
            peer::ToHolder {
                body: Some(body),
                clock,
            },
            source,
        ))
    })
    .fuse()
}

impl Source {
    /// Returns the next message, or `None` once the ring is closed.
    async fn next(&mut self) -> Option<to_holder::Body> {
        loop {
            let next = poll_fn(|cx| {
                if let std::task::Poll::Ready(Some(number)) = self.canceled.poll_recv(cx) {
                    return std::task::Poll::Ready(Some(Next::Cancel(number)));
                }
                self.tickets
                    .poll_recv(cx)
                    .map(|ticket| ticket.map(|ticket| Next::Ticket(Box::new(ticket))))
            });
            match next.await? {
                Next::Cancel(number) => {
                    return Some(to_holder::Body::Cancel(peer::Cancel { number }));
                }
                Next::Ticket(ticket) if ticket.reply.is_closed() => {}
                Next::Ticket(ticket) => return Some(self.enter(*ticket)),
            }
        }
    }

    /// Counts an attempt as taken by the transport before the transport has it.
    fn enter(&mut self, ticket: Ticket) -> to_holder::Body {
        self.number += 1;
        let Ticket { work, reply } = ticket;
        let Work { deadline, .. } = work;
        self.pending
            .lock()
            .insert(self.number, Sent { reply, deadline });
        to_holder::Body::Attempt(convert::attempt(self.number, &work, Instant::now()))
    }
}

enum Next {
    Cancel(u64),
    Ticket(Box<Ticket>),
}
