//! Heartbeats: sending rounds of them, and taking those of others.

use {
    super::{Ack, Heartbeat, Member, Step, peer::Peer},
    crate::names::{Incarnation, Name, Version},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Least time between two rounds of heartbeats.
const ROUND_GAP: Duration = Duration::from_millis(5);
/// Rounds of heartbeats of which one carries the loads.
const LOADS_EVERY: u64 = 5;
/// Time for which an instance that is no member is answered.
const GUEST: Duration = Duration::from_secs(1);
/// Least time between two requests for the same version.
const FETCH_GAP: Duration = Duration::from_millis(50);

/// Rounds of heartbeats that this instance has sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    seq: u64,
    /// Number and time of the rounds that a lease may still count from.
    pub(super) sent: VecDeque<(u64, Instant)>,
    /// State that the last round carried.
    mark: Option<Mark>,
    fetched: Option<(Version, Instant)>,
    config_fetched: Option<(Version, Instant)>,
}

/// State whose change is told at once; within one version its sets only grow.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Mark {
    version: Version,
    settled: Option<(Version, usize)>,
    floors: [Version; 2],
    counts: [usize; 5],
    flags: [bool; 2],
}

impl Member {
    /// Sends a round of heartbeats if it is due or if there is news.
    pub(super) fn send_round(&mut self, now: Instant) {
        let mark = self.mark(now);
        let since = self.rounds.sent.back().map(|(_, sent)| now - *sent);
        let news = self.rounds.mark.as_ref() != Some(&mark);
        let due = match since {
            None => true,
            Some(since) => since >= self.timing.heartbeat || news && since >= ROUND_GAP,
        };
        if !due || self.superseded {
            return;
        }
        self.rounds.mark = Some(mark);
        self.rounds.seq += 1;
        self.rounds.sent.push_back((self.rounds.seq, now));
        self.trim_sent(now);
        let beat = Arc::new(self.beat(now));
        for to in self.receivers(now) {
            let beat = beat.clone();
            self.steps.push(Step::Heartbeat { to, beat });
        }
    }

    fn trim_sent(&mut self, now: Instant) {
        let lease = self.timing.lease;
        while self
            .rounds
            .sent
            .front()
            .is_some_and(|(_, sent)| *sent + lease <= now)
        {
            self.rounds.sent.pop_front();
        }
    }

    fn mark(&self, now: Instant) -> Mark {
        let settled = self.book.settled.as_ref().filter(|_| self.synced);
        Mark {
            version: self.version(),
            settled: settled.map(|settled| (settled.version, settled.targets.len())),
            floors: [self.facts.floor, self.facts.quiet],
            counts: [
                self.losses.targets.len(),
                self.losses.instances.len(),
                self.doubts.len(),
                self.silent(now).len(),
                self.withheld.len(),
            ],
            flags: [self.synced, self.has_lease(now)],
        }
    }

    fn beat(&self, now: Instant) -> Heartbeat {
        let seq = self.rounds.seq;
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            seq,
            version: self.version(),
            config: self.config,
            synced: self.synced,
            leased: self.has_lease(now),
            floor: self.facts.floor,
            quiet: self.facts.quiet,
            losses: self.losses.clone(),
            doubts: self.doubts.clone(),
            silent: self.silent(now),
            settled: self.book.settled.clone().filter(|_| self.synced),
            withheld: self.withheld.keys().cloned().collect(),
            seen: self.seen(),
            loads: (seq % LOADS_EVERY == 1).then(|| self.loads.clone()),
        }
    }

    fn seen(&self) -> BTreeMap<Name, Incarnation> {
        let peers = self.peers.iter();
        peers
            .map(|(name, peer)| (name.clone(), peer.incarnation))
            .collect()
    }

    fn receivers(&self, now: Instant) -> BTreeSet<Name> {
        let named = match &self.assignment {
            Some(assignment) => &assignment.members,
            None => &self.contacts,
        };
        let guests = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.recent(now, GUEST));
        let mut all: BTreeSet<_> = guests.map(|(name, _)| name.clone()).collect();
        all.extend(named.iter().cloned());
        all.remove(&self.me);
        all
    }

    /// Takes a heartbeat of another instance.
    pub(super) fn take(&mut self, now: Instant, beat: Heartbeat) {
        self.notice(now, &beat.from, beat.incarnation);
        for (name, incarnation) in &beat.seen {
            self.notice(now, name, *incarnation);
        }
        if !self.is_news(&beat) {
            return;
        }
        self.fetch(now, &beat);
        self.learn(now, &beat);
        self.watch(now, &beat);
        self.acknowledge(now, &beat);
        if let Some(peer) = self.peers.get_mut(&beat.from) {
            peer.beat = Some(beat);
        }
    }

    /// Notes that a run of an instance is known.
    pub(super) fn notice(&mut self, now: Instant, name: &Name, incarnation: Incarnation) {
        if *name == self.me {
            self.superseded |= incarnation > self.incarnation;
            return;
        }
        let peer = self
            .peers
            .entry(name.clone())
            .or_insert_with(|| Peer::new(incarnation, now));
        if peer.incarnation < incarnation {
            peer.restarted(incarnation);
            self.facts.forget(name);
        }
    }

    fn is_news(&self, beat: &Heartbeat) -> bool {
        let Some(peer) = self.peers.get(&beat.from) else {
            return false;
        };
        let newest = peer.beat.as_ref().map_or(0, |beat| beat.seq);
        peer.incarnation == beat.incarnation && newest < beat.seq
    }

    /// Notes when a peer was heard, and had a lease.
    fn watch(&mut self, now: Instant, beat: &Heartbeat) {
        let Some(peer) = self.peers.get_mut(&beat.from) else {
            return;
        };
        peer.heard = Some(now);
        let joins = beat.synced && peer.synced().is_none();
        if beat.leased || joins {
            peer.leased = now;
        }
        if let Some(loads) = &beat.loads {
            peer.loads.clone_from(loads);
        }
    }

    /// Acknowledges a heartbeat unless its sender is doubted, unsynced or behind.
    ///
    /// A sender that gets no lease for long is no longer acknowledged, because it may hear
    /// nothing: its holdings must pass on.
    fn acknowledge(&mut self, now: Instant, beat: &Heartbeat) {
        let able = self.synced && !self.superseded && beat.synced;
        if !able || beat.version < self.version() || self.doubts.contains(&beat.from) {
            return;
        }
        let promise = self.timing.promise();
        let Some(peer) = self.peers.get_mut(&beat.from) else {
            return;
        };
        if !beat.leased && peer.leased + promise <= now {
            return;
        }
        peer.promise = now + promise;
        let ack = Ack {
            from: self.me.clone(),
            incarnation: self.incarnation,
            echo: beat.incarnation,
            seq: beat.seq,
        };
        let to = beat.from.clone();
        self.steps.push(Step::Ack { to, ack });
    }

    /// Asks for a version of the assignment or configuration that a peer has and this one lacks.
    fn fetch(&mut self, now: Instant, beat: &Heartbeat) {
        let from = &beat.from;
        let mine = self.version();
        if due(&mut self.rounds.fetched, now, mine, beat.version) {
            let (from, version) = (from.clone(), beat.version);
            self.steps.push(Step::Fetch { from, version });
        }
        if due(
            &mut self.rounds.config_fetched,
            now,
            self.config,
            beat.config,
        ) {
            let (from, version) = (from.clone(), beat.config);
            self.steps.push(Step::FetchConfig { from, version });
        }
    }
}

/// Returns whether `theirs` must be asked for now, and notes that it is.
fn due(
    asked: &mut Option<(Version, Instant)>,
    now: Instant,
    mine: Version,
    theirs: Version,
) -> bool {
    let waits = asked.is_some_and(|(version, at)| version >= theirs && now < at + FETCH_GAP);
    if theirs <= mine || waits {
        return false;
    }
    *asked = Some((theirs, now));
    true
}
