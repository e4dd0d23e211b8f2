//! Drives the member machine.

use {
    super::{
        MemberEvent, Rings, beats::Beats, config::Follow, moves::Moves, planner::Planner,
        steps::Unsent,
    },
    crate::{
        context::Context,
        events::{self, About},
    },
    cowslip_decide::{
        assign::Assignment,
        duty::{HoldReport, Load},
        member::{Member, Step, Timing},
        names::{Name, Version},
        plan::Instance,
    },
    cowslip_wire::peer,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// All that the member duty keeps.
pub(super) struct Driver {
    pub(super) context: Arc<Context>,
    pub(super) rings: Rings,
    pub(super) member: Member,
    pub(super) beats: Beats,
    pub(super) follow: Follow,
    pub(super) planner: Planner,
    /// Commands that found the ring to the holding duty full.
    pub(super) unsent: Unsent,
    /// Whether a call for the assignment is under way.
    pub(super) fetching: bool,
    /// What the other instances say of themselves.
    pub(super) neighbours: BTreeMap<Name, Instance>,
    /// State of the targets that this instance holds.
    pub(super) own_loads: BTreeMap<Name, Load>,
    /// Owners of the ranges, for the events of moves.
    pub(super) moves: Moves,
    /// When the status was published last.
    pub(super) published: Instant,
    timing: Timing,
    last_tick: Instant,
}

impl Driver {
    pub(super) fn new(context: Arc<Context>, rings: Rings) -> Self {
        let now = Instant::now();
        let mut peers: BTreeSet<_> = context.settings.peers.keys().cloned().collect();
        peers.insert(context.name.clone());
        let timing = super::timing(&context.settings.timing);
        let member = Member::new(
            context.name.clone(),
            context.incarnation,
            peers,
            timing,
            now,
        );
        Self {
            beats: Beats::new(context.clone(), rings.itself.clone()),
            follow: Follow::new(&context, now),
            planner: Planner::new(&context, now),
            context,
            rings,
            member,
            unsent: Unsent::default(),
            fetching: false,
            neighbours: BTreeMap::new(),
            own_loads: BTreeMap::new(),
            moves: Moves::default(),
            published: now,
            timing,
            last_tick: now,
        }
    }

    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        if now - self.last_tick > self.timing.pause() {
            let steps = self.member.gap(now);
            self.carry_out(steps);
        }
        self.last_tick = now;
        let steps = self.member.tick(now);
        self.carry_out(steps);
        self.retry_unsent();
        self.follow_config(now);
        self.plan(now);
        self.publish(now);
    }

    pub(super) fn take(&mut self, event: MemberEvent) {
        let now = Instant::now();
        match event {
            MemberEvent::Beat { beat, reply } => self.hear(*beat, reply, now),
            MemberEvent::Acked(ack) => {
                let steps = self.member.acked(now, ack);
                self.carry_out(steps);
            }
            MemberEvent::Report(report) => {
                self.note_report(&report);
                let steps = self.member.report(now, report);
                self.carry_out(steps);
            }
            MemberEvent::Fetched { reply } => {
                let _ = reply.send(self.state());
            }
            MemberEvent::Adopt(assignment) => self.adopt(assignment, now),
            MemberEvent::FetchFailed => self.fetching = false,
            MemberEvent::Config(outcome) => self.configured(outcome, now),
            MemberEvent::Planned(outcome) => self.planned(outcome, now),
        }
    }

    /// Takes a peer's heartbeat; the acknowledgement goes back as the answer of its call.
    fn hear(
        &mut self,
        beat: peer::Heartbeat,
        reply: oneshot::Sender<Option<peer::Ack>>,
        now: Instant,
    ) {
        let neighbour = Instance {
            data_centre: beat.data_centre.as_str().into(),
            leaving: beat.leaving,
        };
        self.neighbours.insert(beat.from.as_str().into(), neighbour);
        let mut ack = None;
        let mut rest = Vec::new();
        for step in self.member.hear(now, beat.into()) {
            match step {
                Step::Ack { ack: given, .. } => ack = Some(given),
                step => rest.push(step),
            }
        }
        let _ = reply.send(ack.as_ref().map(peer::Ack::from));
        self.carry_out(rest);
    }

    /// Adopts an assignment, unless it is older than the one in use.
    pub(super) fn adopt(&mut self, assignment: Arc<Assignment>, now: Instant) {
        self.fetching = false;
        let before = self.member.version();
        let steps = self.member.adopt(now, assignment);
        self.carry_out(steps);
        let after = self.member.version();
        if after > before {
            self.note(
                events::VERSION_ADOPTED,
                format!("version {after} after {before}"),
            );
        }
    }

    /// Returns what a peer that starts needs to know.
    fn state(&self) -> peer::FetchAssignmentReply {
        let assignment = self.member.assignment();
        let text = assignment.map(|it| serde_json::to_vec(it).unwrap_or_default());
        peer::FetchAssignmentReply {
            assignment: text.unwrap_or_default().into(),
            losses: Some(self.member.lost().into()),
            synced: self.member.synced(),
        }
    }

    /// Keeps what the holding duty says of its targets; it notes silent ones itself.
    fn note_report(&mut self, report: &HoldReport) {
        if let HoldReport::Loads(loads) = report {
            self.own_loads = loads.clone();
        }
    }

    pub(super) fn note(&self, code: events::Code, detail: String) {
        self.context.events.note(
            code,
            About {
                detail: Some(detail),
                ..About::default()
            },
        );
    }

    /// Returns the version of the configuration in force here.
    pub(super) fn config_version(&self) -> Version {
        self.context
            .config
            .load()
            .as_ref()
            .map_or(Version(0), |config| config.version)
    }
}
