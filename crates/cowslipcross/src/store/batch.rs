//! Group commit: many small writes of the journal in few transactions of the table.

use {
    super::Clients,
    crate::{
        context::Context,
        ring::{Offer, Ring, ring},
    },
    cowslip_decide::order::Journalled,
    cowslip_platform::{Error, Result, table::Write},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc, oneshot},
        time::{Instant, sleep_until},
    },
};

/// Most items of one transaction.
const BATCH: usize = 100;
/// Least time between the starts of two transactions of one instance: 12 instances stay within
/// 300 writes a second.
const PACE: Duration = Duration::from_millis(40);
/// Transactions of the journal under way at the same time, so that a slow table does not stop
/// the next group.
const UNDER_WAY: usize = 4;

#[derive(Debug)]
struct Item {
    write: Write,
    reply: oneshot::Sender<Journalled>,
}

/// Handle of the group commit.
#[derive(Clone, Debug)]
pub struct Batches(Ring<Item>);

impl Batches {
    /// Starts the group commit on the runtime of the caller.
    pub fn start(context: Arc<Context>, clients: Clients) -> Self {
        let (items, taken) = ring(context.settings.limits.platform_ring as usize);
        tokio::spawn(gather(context, clients, taken));
        Self(items)
    }

    /// Writes one item with the next group; each item is written under its own condition.
    pub async fn write(&self, write: Write) -> Journalled {
        let (reply, end) = oneshot::channel();
        match self.0.offer(Item { write, reply }) {
            Offer::Taken => end.await.unwrap_or(Journalled::Unknown),
            Offer::Full(_) | Offer::Closed(_) => Journalled::Down,
        }
    }
}

/// Writes groups for ever; a group is what came in since the last one started.
async fn gather(context: Arc<Context>, clients: Clients, mut items: mpsc::Receiver<Item>) {
    let room = Arc::new(Semaphore::new(UNDER_WAY));
    let mut next = Instant::now();
    let mut group = Vec::new();
    while items.recv_many(&mut group, BATCH).await > 0 {
        sleep_until(next).await;
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        while group.len() < BATCH {
            let Ok(item) = items.try_recv() else { break };
            group.push(item);
        }
        next = Instant::now() + PACE;
        let (context, clients, full) =
            (context.clone(), clients.clone(), std::mem::take(&mut group));
        tokio::spawn(async move {
            commit(&context, &clients, full).await;
            drop(permit);
        });
    }
}

/// Writes a group; items whose condition fails are taken out and the rest is written again.
async fn commit(context: &Context, clients: &Clients, group: Vec<Item>) {
    let (mut group, mut later) = split(group);
    while !group.is_empty() {
        let writes: Vec<Write> = group.iter().map(|item| item.write.clone()).collect();
        match clients.write(context, &writes).await {
            Err(Error::Refused { items }) => group = take_refused(group, &items),
            outcome => {
                settle(group, &outcome);
                (group, later) = split(later);
            }
        }
        if group.is_empty() {
            (group, later) = split(later);
        }
    }
}

/// Splits off second writes of the same row, because a transaction names each row once.
fn split(items: Vec<Item>) -> (Vec<Item>, Vec<Item>) {
    let mut rows = BTreeSet::new();
    items.into_iter().partition(|item| match &item.write {
        Write::Put { row, .. } => rows.insert((row.pk.clone(), row.sk.clone())),
        Write::Check { pk, sk, .. } => rows.insert((pk.clone(), sk.clone())),
    })
}

fn take_refused(group: Vec<Item>, refused: &[usize]) -> Vec<Item> {
    let refused: BTreeSet<usize> = refused.iter().copied().collect();
    let mut rest = Vec::with_capacity(group.len());
    for (place, item) in group.into_iter().enumerate() {
        match refused.contains(&place) {
            true => drop(item.reply.send(Journalled::Refused)),
            false => rest.push(item),
        }
    }
    rest
}

fn settle(group: Vec<Item>, outcome: &Result<()>) {
    let journalled = match outcome {
        Ok(()) => Journalled::Written,
        Err(error) if error.may_have_happened() => Journalled::Unknown,
        Err(_) => Journalled::Down,
    };
    for item in group {
        let _ = item.reply.send(journalled.clone());
    }
}
