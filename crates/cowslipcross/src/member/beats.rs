//! Heartbeats on their way to the peers.

use {
    super::MemberEvent,
    crate::{
        clock,
        context::Context,
        peer::{access::Access, endpoint},
        ring::Ring,
    },
    cowslip_decide::{member::Heartbeat, names::Name},
    cowslip_wire::peer::{self, peer_client::PeerClient},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
    tonic::transport::Channel,
};

/// Heartbeats without an answer after which a connection counts as silent for good.
const MOST_UNANSWERED: u32 = 4;

/// One peer's connection for heartbeats, apart from the stream of attempts.
#[derive(Debug)]
struct Line {
    channel: Channel,
    unanswered: Arc<AtomicU32>,
}

/// Connections for heartbeats.
#[derive(Debug)]
pub(super) struct Beats {
    context: Arc<Context>,
    itself: Ring<MemberEvent>,
    access: Access,
    lines: BTreeMap<Name, Line>,
}

impl Beats {
    /// Returns no connections yet.
    pub(super) fn new(context: Arc<Context>, itself: Ring<MemberEvent>) -> Self {
        let access = Access::new(&context);
        Self {
            context,
            itself,
            access,
            lines: BTreeMap::new(),
        }
    }

    /// Returns the connection to `peer`, a new one if the old one is silent.
    pub(super) fn channel(&mut self, peer: &Name) -> Option<Channel> {
        let silent = |line: &Line| line.unanswered.load(Ordering::Relaxed) >= MOST_UNANSWERED;
        if self.lines.get(peer).is_none_or(silent) {
            let channel = endpoint(&self.context, peer)?.connect_lazy();
            let line = Line {
                channel,
                unanswered: Arc::default(),
            };
            self.lines.insert(peer.clone(), line);
        }
        self.lines.get(peer).map(|line| line.channel.clone())
    }

    /// Sends a heartbeat; its acknowledgement comes back as an event.
    pub(super) fn send(&mut self, to: Name, beat: &Heartbeat) {
        let Some(channel) = self.channel(&to) else {
            return;
        };
        let Some(line) = self.lines.get(&to) else {
            return;
        };
        let mut message = peer::Heartbeat::from(beat);
        message.clock = clock::stamp(&self.context.events);
        message.data_centre = self.context.settings.data_centre.to_string();
        message.leaving = self.context.stopping.load(Ordering::Relaxed);
        let Ok(request) = self.access.sign(message) else {
            return;
        };
        let (context, itself) = (self.context.clone(), self.itself.clone());
        let unanswered = line.unanswered.clone();
        let limit = Duration::from_millis(context.settings.timing.lease_ms);
        unanswered.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let mut client = PeerClient::new(channel);
            let Ok(answer) = timeout(limit, client.beat(request)).await else {
                return;
            };
            unanswered.store(0, Ordering::Relaxed);
            // A refusal is no acknowledgement; the lease runs out by itself.
            let Ok(ack) = answer else { return };
            let ack = ack.into_inner();
            clock::witness(&context.events, ack.clock);
            let _ = itself.offer(MemberEvent::Acked(ack.into()));
        });
    }
}
