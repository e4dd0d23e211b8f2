//! What this instance offers to its peers.

use {
    super::{Rings, convert},
    crate::{
        clock,
        context::Context,
        member::MemberEvent,
        ring::Offer,
        work::{Outcome, Ticket},
    },
    cowslip_decide::{names::Version, verdict::Reason},
    cowslip_wire::peer::{
        self, Ack, FetchAssignmentReply, FetchAssignmentRequest, FetchDocumentReply,
        FetchDocumentRequest, FromHolder, Heartbeat, ToHolder, peer_server::Peer, to_holder,
    },
    futures_util::{Stream, stream},
    std::{
        collections::BTreeMap,
        pin::Pin,
        result,
        sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
    tonic::{Request, Response, Status, Streaming},
};

/// Result of a call.
pub type Result<T> = result::Result<T, Status>;

/// Places of the ring with ends on their way back to a peer.
const ENDS: usize = 8192;

/// Answers the calls of peers.
#[derive(Clone, Debug)]
pub struct Server {
    context: Arc<Context>,
    rings: Rings,
}

impl Server {
    /// Returns a server that hands attempts and heartbeats to the rings.
    pub fn new(context: Arc<Context>, rings: Rings) -> Self {
        Self { context, rings }
    }
}

#[tonic::async_trait]
impl Peer for Server {
    type ForwardStream = Pin<Box<dyn Stream<Item = Result<FromHolder>> + Send>>;

    async fn forward(
        &self,
        request: Request<Streaming<ToHolder>>,
    ) -> Result<Response<Self::ForwardStream>> {
        let (ends, taken) = mpsc::channel(ENDS);
        tokio::spawn(take_in(self.clone(), request.into_inner(), ends));
        let back = stream::unfold(taken, |mut taken| async move {
            let end = taken.recv().await?;
            Some((Ok(end), taken))
        });
        Ok(Response::new(Box::pin(back)))
    }

    async fn beat(&self, request: Request<Heartbeat>) -> Result<Response<Ack>> {
        let beat = request.into_inner();
        clock::witness(&self.context.events, beat.clock);
        let (reply, ack) = oneshot::channel();
        self.ask(MemberEvent::Beat {
            beat: Box::new(beat),
            reply,
        })?;
        let ack = ack
            .await
            .map_err(|_| Status::unavailable("the member duty has ended"))?;
        match ack {
            Some(ack) => Ok(Response::new(ack)),
            None => Err(Status::failed_precondition("heartbeat is not acknowledged")),
        }
    }

    async fn fetch_assignment(
        &self,
        _request: Request<FetchAssignmentRequest>,
    ) -> Result<Response<FetchAssignmentReply>> {
        let (reply, state) = oneshot::channel();
        self.ask(MemberEvent::Fetched { reply })?;
        let state = state
            .await
            .map_err(|_| Status::unavailable("the member duty has ended"))?;
        Ok(Response::new(state))
    }

    async fn fetch_document(
        &self,
        _request: Request<FetchDocumentRequest>,
    ) -> Result<Response<FetchDocumentReply>> {
        let reply = match self.context.config.load_full() {
            Some(config) => FetchDocumentReply {
                version: config.version.0,
                text: config.text.to_string(),
            },
            None => FetchDocumentReply::default(),
        };
        Ok(Response::new(reply))
    }
}

impl Server {
    fn ask(&self, event: MemberEvent) -> Result<()> {
        match self.rings.member.offer(event) {
            Offer::Taken => Ok(()),
            Offer::Full(_) => Err(Status::resource_exhausted(
                "ring to the member duty is full",
            )),
            Offer::Closed(_) => Err(Status::unavailable("the member duty has ended")),
        }
    }
}

/// Attempts of one stream that wait for their ends; dropping an entry cancels the attempt.
#[derive(Clone, Debug, Default)]
struct Waiting(Arc<Mutex<BTreeMap<u64, oneshot::Sender<()>>>>);

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Takes attempts from a peer until its stream ends; then nobody waits for the rest of them.
async fn take_in(server: Server, mut stream: Streaming<ToHolder>, ends: mpsc::Sender<FromHolder>) {
    let waiting = Waiting::default();
    while let Ok(Some(message)) = stream.message().await {
        clock::witness(&server.context.events, message.clock);
        match message.body {
            Some(to_holder::Body::Attempt(attempt)) => {
                begin(&server, attempt, &waiting, &ends);
            }
            Some(to_holder::Body::Cancel(cancel)) => {
                waiting.lock().remove(&cancel.number);
            }
            None => {}
        }
    }
    waiting.lock().clear();
}

fn begin(
    server: &Server,
    attempt: peer::Attempt,
    waiting: &Waiting,
    ends: &mpsc::Sender<FromHolder>,
) {
    let number = attempt.number;
    let (cancel, canceled) = oneshot::channel();
    waiting.lock().insert(number, cancel);
    let end = hand_over(server, attempt);
    let (context, waiting, ends) = (server.context.clone(), waiting.clone(), ends.clone());
    let forwarded = Forwarded::enter(context.clone());
    tokio::spawn(async move {
        let _forwarded = forwarded;
        let outcome = tokio::select! {
            outcome = end.wait() => outcome,
            _ = canceled => return,
        };
        waiting.lock().remove(&number);
        let message = FromHolder {
            outcome: Some(convert::end(number, outcome)),
            clock: clock::stamp(&context.events),
        };
        // A peer that has gone gives up by itself.
        let _ = ends.send(message).await;
    });
}

/// Counts an attempt of a peer until its end is on its way back.
struct Forwarded(Arc<Context>);

impl Forwarded {
    fn enter(context: Arc<Context>) -> Self {
        context.forwarded.fetch_add(1, Ordering::Relaxed);
        Self(context)
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        self.0.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}

/// End of an attempt, now or later.
enum End {
    Now(Outcome),
    Later(oneshot::Receiver<Outcome>),
}

impl End {
    async fn wait(self) -> Outcome {
        match self {
            Self::Now(outcome) => outcome,
            Self::Later(end) => end
                .await
                .unwrap_or_else(|_| Outcome::may_have_run(Reason::Broken)),
        }
    }
}

fn hand_over(server: &Server, attempt: peer::Attempt) -> End {
    let work = match convert::work(attempt, Instant::now()) {
        Ok(work) => work,
        Err(_) => return End::Now(Outcome::not_run(Reason::BadRequest, Version(0))),
    };
    let (reply, end) = oneshot::channel();
    match server.rings.hold.offer(Ticket { work, reply }) {
        Offer::Taken => End::Later(end),
        Offer::Full(_) => End::Now(Outcome::not_run(Reason::Overload, Version(0))),
        Offer::Closed(_) => End::Now(Outcome::not_run(Reason::Stopping, Version(0))),
    }
}
