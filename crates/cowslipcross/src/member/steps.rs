//! Carries out what the member machine says.

use {
    super::{MemberEvent, driver::Driver, fetch},
    crate::{
        events::{self, About},
        hold::HoldCommand,
        ring::Offer,
    },
    cowslip_decide::{
        duty::{Duties, LeaseEnd},
        member::{Lost, Step},
        names::Name,
    },
    std::sync::Arc,
};

/// Commands that found the ring to the holding duty full; only the newest of each kind counts.
#[derive(Debug, Default)]
pub(super) struct Unsent {
    duties: Option<Duties>,
    lease: Option<LeaseEnd>,
}

impl Driver {
    pub(super) fn carry_out(&mut self, steps: Vec<Step>) {
        for step in steps {
            self.carry_out_one(step);
        }
    }

    fn carry_out_one(&mut self, step: Step) {
        match step {
            Step::Heartbeat { to, beat } => self.beats.send(to, &beat),
            // Acknowledgements go back as answers of calls; see `hear`.
            Step::Ack { .. } => {}
            Step::Fetch { from, .. } => self.fetch(from),
            Step::FetchConfig { from, .. } => self.fetch_config(Some(from)),
            Step::Duties(duties) => {
                self.unsent.duties = Some(duties);
                self.retry_unsent();
            }
            Step::Lease(lease) => self.lease(lease),
            Step::View(view) => {
                let context = &self.context;
                self.moves.note(&context.events, &context.name, &view);
                self.context.publish(view);
            }
            Step::Lost(lost) => self.lost(lost),
        }
    }

    fn lease(&mut self, lease: LeaseEnd) {
        let before = self.context.lease.swap(Arc::new(lease));
        match (before.is_some(), lease.is_some()) {
            (false, true) => {
                let version = self.member.version();
                self.note(events::LEASE_GAINED, format!("version {version}"));
            }
            (true, false) => self.note(events::LEASE_LOST, "no majority acknowledges".to_owned()),
            _ => {}
        }
        self.unsent.lease = Some(lease);
        self.retry_unsent();
    }

    /// Offers the newest commands to the holding duty until it takes them.
    pub(super) fn retry_unsent(&mut self) {
        if let Some(lease) = self.unsent.lease.take()
            && let Offer::Full(_) = self.rings.hold.offer(HoldCommand::Lease(lease))
        {
            self.unsent.lease = Some(lease);
        }
        if let Some(duties) = self.unsent.duties.take()
            && let Offer::Full(HoldCommand::Duties(duties)) =
                self.rings.hold.offer(HoldCommand::Duties(duties))
        {
            self.unsent.duties = Some(duties);
        }
    }

    fn lost(&self, lost: Lost) {
        let detail = Some(format!("at version {}", self.member.version()));
        let (code, about) = match lost {
            Lost::Target(target) => (
                events::TARGET_LOST,
                About {
                    target: Some(target),
                    detail,
                    ..About::default()
                },
            ),
            Lost::Instance(name) => (
                events::INSTANCE_LOST,
                About {
                    instance: Some(name),
                    detail,
                    ..About::default()
                },
            ),
        };
        self.context.events.note(code, about);
    }

    /// Gets the assignment of a peer beside the member machine.
    fn fetch(&mut self, from: Name) {
        if std::mem::replace(&mut self.fetching, true) {
            return;
        }
        let (context, rings) = (self.context.clone(), self.rings.clone());
        let channel = self.beats.channel(&from);
        tokio::spawn(async move {
            let event = match fetch::assignment(&context, &rings, channel).await {
                Some(assignment) => MemberEvent::Adopt(Arc::new(assignment)),
                None => MemberEvent::FetchFailed,
            };
            rings.itself.send(event).await;
        });
    }
}
