//! Datagrams between instances: the leader's heartbeats, and the others' reports of their load.
//!
//! Nothing depends on a datagram's arrival: who hears no leader reads the store instead, and keys
//! of unknown load are spread evenly.

use {
    super::{clock, context::Context, keep},
    cowslip_decide::names::Name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Period of the reports to the leader.
const REPORT: Duration = Duration::from_millis(500);
/// Longest datagram.
const LONGEST: usize = 1400;
/// Most keys of one report; further ones go with the next.
const MOST_KEYS: usize = 100;
/// Time after which an instance that sends no report is not counted.
const FORGOTTEN: Duration = Duration::from_secs(4);

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the leader to all.
    #[serde(rename = "b")]
    Beat {
        /// Version of the leader's row.
        seat: u64,
        /// Versions of the owners by service.
        owners: BTreeMap<Name, u64>,
        /// Instances that the leader hears of.
        instances: u32,
    },
    /// From an instance to the leader: keys with the number of requests, by service.
    #[serde(rename = "r")]
    Report(BTreeMap<Name, Vec<(u16, u32)>>),
}

/// Instances that sent a report, with the time of the last one.
pub type Members = BTreeMap<SocketAddr, Instant>;

/// Takes datagrams of other instances.
pub async fn receive(context: Rc<Context>) {
    let mut buffer = vec![0; 2 * LONGEST];
    loop {
        let Ok((length, from)) = context.beats.recv_from(&mut buffer).await else {
            sleep(REPORT).await;
            continue;
        };
        match serde_json::from_slice(&buffer[..length]) {
            Ok(message) => take(&context, message, from),
            Err(_) => context.metrics.bad_datagram(),
        }
    }
}

fn take(context: &Context, message: Message, from: SocketAddr) {
    match message {
        Message::Beat {
            seat,
            owners,
            instances,
        } => {
            let mut lead = context.lead.borrow_mut();
            if seat < lead.version() {
                return;
            }
            lead.hear(seat, clock::moment());
            drop(lead);
            context.leader.set(Some(from));
            context.heard.set(Some(Instant::now()));
            context.instances.set(instances.max(1));
            let known = context.owners.borrow();
            let newer = |(service, version): (&Name, &u64)| {
                known.get(service).is_none_or(|it| it.version < *version)
            };
            if owners.iter().any(newer) {
                context.refresh.notify_one();
            }
        }
        Message::Report(keys) => keep::report(context, from, &keys),
    }
}

/// Tells the leader the load of keys.
pub async fn report(context: Rc<Context>) {
    loop {
        sleep(REPORT).await;
        let keys = drain(&context);
        match context.leader.get() {
            Some(leader) => send(&context, &Message::Report(keys), leader).await,
            // The leader is not known yet, and old keys say little.
            None => drop(keys),
        }
    }
}

/// Sends heartbeats to all that reported of late.
pub async fn beat(context: &Context) {
    let members = members(context);
    let count = members.len().max(1) as u32;
    // A new leader has not heard of all yet, and a share that is too large does harm.
    let count = match context.leading.get() {
        Some(since) if since.elapsed() < FORGOTTEN => count.max(context.instances.get()),
        _ => count,
    };
    context.instances.set(count);
    let message = Message::Beat {
        seat: context.lead.borrow().version(),
        owners: versions(context),
        instances: count,
    };
    let own = context.settings.listen.heartbeats;
    for address in members.into_iter().filter(|it| *it != own) {
        send(context, &message, address).await;
    }
}

/// Returns the instances that reported of late.
fn members(context: &Context) -> Vec<SocketAddr> {
    let now = Instant::now();
    let mut reports = context.reports.borrow_mut();
    reports.members.retain(|_, at| now - *at < FORGOTTEN);
    reports.members.keys().copied().collect()
}

/// Returns the versions of the owners at hand by service.
fn versions(context: &Context) -> BTreeMap<Name, u64> {
    let owners = context.owners.borrow();
    let versions = owners.iter().map(|(name, it)| (name.clone(), it.version));
    versions.collect()
}

/// Takes the keys of requests since the last report, at most as many as a datagram holds.
fn drain(context: &Context) -> BTreeMap<Name, Vec<(u16, u32)>> {
    let mut sample = context.sample.borrow_mut();
    let mut left = MOST_KEYS;
    let mut taken = BTreeMap::new();
    for (service, keys) in sample.iter_mut() {
        let mut part = Vec::new();
        while left > 0
            && let Some(entry) = keys.pop_first()
        {
            part.push(entry);
            left -= 1;
        }
        taken.insert(service.clone(), part);
    }
    sample.clear();
    taken
}

async fn send(context: &Context, message: &Message, to: SocketAddr) {
    let Ok(bytes) = serde_json::to_vec(message) else {
        return context.metrics.bad_datagram();
    };
    if bytes.len() > LONGEST || context.beats.send_to(&bytes, to).await.is_err() {
        context.metrics.bad_datagram();
    }
}
