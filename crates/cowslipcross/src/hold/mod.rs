//! The duty of a holder: everything that this instance sends to targets.
//!
//! One thread with its own runtime takes [`Ticket`]s and [`HoldCommand`]s from bounded rings. A
//! ticket waits in the lane of its target or pool, is sent when a slot is free, and ends with the
//! verdict that is true. `links` opens connections, `attempt` sends one request on one, `sites`
//! follows the duties, `grants` renews grants and probes, `watch` finds what is silent or given up.

mod attempt;
mod control;
mod desk;
mod gate;
mod grants;
mod lanes;
mod links;
mod orders;
mod site;
mod sites;
mod watch;

use {
    crate::{events::Events, work::Ticket},
    cowslip_decide::{
        duty::{Duties, HoldReport, LeaseEnd},
        member::Timing,
        names::Name,
    },
    cowslip_settings::document::Document,
    desk::Desk,
    std::{
        io,
        sync::Arc,
        thread::{Builder, JoinHandle},
    },
    tokio::{runtime, sync::mpsc},
};

/// Tickets that wait for the thread of this duty.
pub const TICKETS: usize = 1024;

/// Commands that wait for the thread of this duty.
pub const COMMANDS: usize = 64;

/// What the rest of the instance tells this duty.
#[derive(Clone, Debug)]
pub enum HoldCommand {
    /// Replaces what this instance may send.
    Duties(Duties),
    /// Replaces the time until which this instance may send.
    Lease(LeaseEnd),
    /// Replaces the configuration in force.
    Document(Arc<Document>),
    /// Refuses new tickets, finishes those taken, releases the grants and ends the thread.
    Stop,
}

/// What this duty needs of its instance.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of this instance.
    pub instance: Name,
    /// Events of this process.
    pub events: Events,
    /// Periods and bounds that all instances share.
    pub timing: Timing,
    /// Ring of the member thread; a report that finds it full is posted again.
    pub reports: mpsc::Sender<HoldReport>,
}

/// The running duty.
#[derive(Debug)]
pub struct Handle {
    /// Ring for attempts; a full one is an explicit refusal by the sender.
    pub tickets: mpsc::Sender<Ticket>,
    /// Ring for commands.
    pub commands: mpsc::Sender<HoldCommand>,
    /// Thread of the duty, which ends after [`HoldCommand::Stop`].
    pub thread: JoinHandle<()>,
}

/// Starts the thread of this duty.
///
/// # Errors
///
/// Returns the error of the system when it can start no thread or no runtime.
pub fn start(context: Context) -> io::Result<Handle> {
    let (tickets, ticket_ring) = mpsc::channel(TICKETS);
    let (commands, command_ring) = mpsc::channel(COMMANDS);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = Builder::new().name("hold".into()).spawn(move || {
        runtime.block_on(Desk::new(context).run(ticket_ring, command_ring));
    })?;
    Ok(Handle {
        tickets,
        commands,
        thread,
    })
}
