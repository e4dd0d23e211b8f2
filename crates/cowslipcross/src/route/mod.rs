//! The route duty: finds the holder of each request, sends it there and judges what to do next.

mod drive;
pub mod job;
mod journal;
mod locate;

use {
    crate::{
        context::Context,
        peer::Remote,
        ring::Ring,
        store::ask::Ask,
        work::{Outcome, Ticket},
    },
    cowslip_decide::{deliver::retry::Budget, names::Name},
    job::JobTicket,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

/// Rings that the route duty fills.
#[derive(Clone, Debug)]
pub struct Rings {
    /// Ring to the holding duty of this instance.
    pub hold: Ring<Ticket>,
    /// Ring to the peer duty.
    pub peer: Ring<Remote>,
    /// Ring to the platform duty.
    pub store: Ring<Ask>,
}

/// What the requests in progress share.
#[derive(Debug)]
pub struct Route {
    /// What all duties share.
    pub context: Arc<Context>,
    /// Rings to other duties.
    pub rings: Rings,
    state: Mutex<State>,
}

/// What the requests in progress change.
#[derive(Debug, Default)]
struct State {
    /// Retries that may still be sent.
    budget: Budget,
    /// Requests sent and not yet ended, by pool.
    outstanding: BTreeMap<Name, u32>,
    /// Since when an owner or a pool has been missing, by service.
    missing: BTreeMap<Name, Instant>,
    /// Requests that wait for an owner.
    waiting: usize,
}

impl Route {
    fn new(context: Arc<Context>, rings: Rings) -> Self {
        Self {
            context,
            rings,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Drives every request that the ring brings to its end, until the ring is closed.
pub async fn serve(context: Arc<Context>, mut jobs: mpsc::Receiver<JobTicket>, rings: Rings) {
    let route = Arc::new(Route::new(context, rings));
    while let Some(ticket) = jobs.recv().await {
        tokio::spawn(run(route.clone(), ticket));
    }
}

/// Drives one request; an order goes on to its end even if its caller leaves.
async fn run(route: Arc<Route>, ticket: JobTicket) {
    let JobTicket { job, mut reply } = ticket;
    let outcome = match &job.order {
        Some(id) => journal::drive(&route, &job, id).await,
        None => tokio::select! {
            outcome = drive::drive(&route, &job) => outcome,
            _ = reply.closed() => return,
        },
    };
    answer(reply, outcome);
}

/// Answers a caller; one that has left needs no answer.
fn answer(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    let _ = reply.send(outcome);
}
