//! The member duty: heartbeats, leases, losses, the assignment and the configuration in force.
//!
//! It drives the member machine of `cowslip_decide`; calls that may take long run beside it and
//! come back as events, so that neither a slow peer nor a slow table delays a heartbeat.

mod beats;
mod config;
mod driver;
mod fetch;
mod known;
mod moves;
mod planner;
mod publish;
mod steps;
mod write;

use {
    crate::{
        context::Context,
        duty,
        events::{self, About},
        hold::HoldCommand,
        ring::{Offer, Ring},
        store::ask::Ask,
    },
    cowslip_decide::{
        assign::Assignment,
        duty::HoldReport,
        member::{Ack, Timing},
    },
    cowslip_settings::process::timing as settings,
    cowslip_wire::peer,
    driver::Driver,
    std::{io, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// Period of the member machine's clock.
const TICK: Duration = Duration::from_millis(10);
/// Reports of the holding duty that wait for this one.
const REPORTS: usize = 256;

/// What other duties and calls tell the member duty.
#[derive(Debug)]
pub enum MemberEvent {
    /// A peer's heartbeat.
    Beat {
        /// The heartbeat.
        beat: Box<peer::Heartbeat>,
        /// Receives the acknowledgement, or `None` if there is none.
        reply: oneshot::Sender<Option<peer::Ack>>,
    },
    /// A peer has acknowledged a heartbeat.
    Acked(Ack),
    /// A report of the holding duty.
    Report(HoldReport),
    /// A peer asks for the assignment.
    Fetched {
        /// Receives it.
        reply: oneshot::Sender<peer::FetchAssignmentReply>,
    },
    /// An assignment has come from a peer or from the table.
    Adopt(Arc<Assignment>),
    /// A call for the assignment has ended without one.
    FetchFailed,
    /// A call for the configuration has ended.
    Config(config::Outcome),
    /// A call of the planner has ended.
    Planned(planner::Outcome),
}

/// Rings of the member duty.
#[derive(Clone, Debug)]
pub struct Rings {
    /// Ring to this duty itself, for calls that run beside it.
    pub itself: Ring<MemberEvent>,
    /// Ring to the holding duty.
    pub hold: Ring<HoldCommand>,
    /// Ring to the platform duty.
    pub store: Ring<Ask>,
}

/// Returns the periods and bounds that the settings name.
pub fn timing(settings: &settings::Timing) -> Timing {
    Timing {
        heartbeat: Duration::from_millis(settings.heartbeat_ms),
        lease: Duration::from_millis(settings.lease_ms),
        drift_percent: settings.drift_percent as u32,
        grant: Duration::from_millis(settings.grant_ms),
        renewal: Duration::from_millis(settings.renewal_ms),
        target_silence: Duration::from_millis(settings.silence_ms),
    }
}

/// Returns the ring on which the holding duty reports to the member duty.
///
/// # Errors
///
/// Returns the system's error if it starts no thread.
pub fn reports(
    context: &Context,
    members: Ring<MemberEvent>,
) -> io::Result<mpsc::Sender<HoldReport>> {
    let (reports, mut taken) = mpsc::channel(REPORTS);
    let events = context.events.clone();
    duty::start("reports", move || async move {
        while let Some(report) = taken.recv().await {
            // A full ring is told once; the report waits, because some are made only once, and the
            // holding duty sees its own ring fill up.
            if let Offer::Full(event) = members.offer(MemberEvent::Report(report)) {
                let detail = Some("ring to the member duty".to_owned());
                let about = About {
                    detail,
                    ..About::default()
                };
                events.note(events::RING_FULL, about);
                members.send(event).await;
            }
        }
    })?;
    Ok(reports)
}

/// Runs the member machine until `stop` turns true.
pub async fn serve(
    context: Arc<Context>,
    mut events: mpsc::Receiver<MemberEvent>,
    rings: Rings,
    mut stop: watch::Receiver<bool>,
) {
    let mut driver = Driver::new(context, rings);
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => return,
            _ = tick.tick() => driver.tick(),
            event = events.recv() => match event {
                Some(event) => driver.take(event),
                None => return,
            },
        }
    }
}
