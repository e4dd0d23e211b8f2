//! Sends the leader's commands to the owners of keys.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        views::target_notices,
    },
    cowslip_adapter::{
        Error, Result,
        commands::{self, Grant, GrantOutcome},
        http_client::Client,
    },
    cowslip_decide::{
        names::Name,
        owners::{Assignment, Command, CommandOutcome, TargetIncarnation},
    },
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::Mutex,
};

/// Timeout of the call that sends a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time from the check of the lease, right before a grant is sent, to the grant's arrival;
/// part of the grant's latest expiry. It exceeds [`GRANT_TIMEOUT`], since a process that gets no
/// CPU time may send the grant after the timeout.
pub const DELIVERY_LIMIT: Duration = Duration::from_millis(800);
/// Timeout of the call that sends a release; the target answers once work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sends commands over connections that it keeps for each target.
#[derive(Default)]
pub struct CommandSender {
    clients: RefCell<BTreeMap<SocketAddr, TargetClients>>,
}

/// HTTP clients for the commands to one target.
#[derive(Clone)]
struct TargetClients {
    /// Locked for each grant: grants are sent one after the other, over one connection.
    grants: Rc<Mutex<Client>>,
    /// Releases wait for work at the target, so they are sent concurrently.
    releases: Rc<Client>,
}

impl CommandSender {
    /// Sends a command to the owner of its keys and records the outcome.
    ///
    /// A grant may wait for earlier ones. Right before the send, the command is dropped if this
    /// instance no longer leads, or if `is_current` returns false because the state machine that
    /// issued the command was dropped or replaced.
    pub async fn send(
        &self,
        context: &Context,
        command: &Command,
        is_current: impl Fn() -> bool,
    ) -> CommandOutcome {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
        if matches!(command, Command::Release { .. }) {
            let fields = event_fields(assignment, format!("fence {}", assignment.fence));
            context.events.record(events::RELEASE_STARTED, fields);
        }
        let result = match &assignment.owner {
            Some(owner) => {
                let may_send = || context.is_leader() && is_current();
                let is_own_address = context.target_addresses.borrow().get(owner).is_some();
                let sent = self.send_to_owner(context, command, owner, may_send).await;
                match sent {
                    // The address is that of a later start, or of somebody who only claims to be one.
                    Err(Error::Misdirected) if !is_own_address => {
                        Err(not_sent_error("the owner's own address is unknown"))
                    }
                    sent => sent,
                }
            }
            None => Err(not_sent_error("keys have no owner")),
        };
        let cause = result.as_ref().err().map(ToString::to_string);
        let outcome = result.unwrap_or_else(|error| outcome_of_error(&error));
        record_outcome(context, command, &outcome, cause);
        outcome
    }

    async fn send_to_owner(
        &self,
        context: &Context,
        command: &Command,
        owner: &TargetIncarnation,
        may_send: impl Fn() -> bool,
    ) -> Result<CommandOutcome> {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
        let clients = self.target_clients(context, &owner.id);
        let clients = clients.ok_or_else(|| not_sent_error("target address unknown"))?;
        match command {
            Command::Grant {
                ttl,
                handover,
                is_fencing,
                ..
            } => {
                let grant = Grant {
                    first: assignment.first,
                    last: assignment.last,
                    fence: assignment.fence,
                    ttl: *ttl,
                    handover: handover.clone(),
                    is_fencing: *is_fencing,
                };
                let client = clients.grants.lock().await;
                if !may_send() {
                    return Err(not_sent_error("no longer leader"));
                }
                let granted = commands::send_grant(&client, &owner.id, &grant, GRANT_TIMEOUT).await;
                if let Ok(response) = &granted {
                    let (leaving, limit) = (response.leaving, response.rate_limit);
                    target_notices::record_command_response(context, owner, leaving, limit);
                }
                granted.map(|it| outcome_of_grant(it.outcome))
            }
            Command::Release { .. } if !may_send() => Err(not_sent_error("no longer leader")),
            Command::Release { .. } => {
                let keys = (assignment.first, assignment.last);
                let client = &clients.releases;
                commands::send_release(client, &owner.id, keys, assignment.fence, RELEASE_TIMEOUT)
                    .await
                    .map(CommandOutcome::Released)
            }
        }
    }

    /// Returns the clients of a target's last known address; `None` if no address is known.
    fn target_clients(&self, context: &Context, id: &Name) -> Option<TargetClients> {
        let address = context.target_addresses.borrow().latest(id)?;
        let budget = &context.memory_budget;
        let mut clients = self.clients.borrow_mut();
        let clients = clients.entry(address).or_insert_with(|| TargetClients {
            grants: Rc::new(Mutex::new(Client::for_target(address, budget.clone()))),
            releases: Rc::new(Client::for_target(address, budget.clone())),
        });
        Some(clients.clone())
    }
}

fn outcome_of_grant(granted: GrantOutcome) -> CommandOutcome {
    match granted {
        GrantOutcome::Accepted => CommandOutcome::Accepted,
        GrantOutcome::StaleFence => CommandOutcome::StaleFence,
    }
}

fn outcome_of_error(error: &Error) -> CommandOutcome {
    match error {
        // Another target has the owner's address: its process has ended.
        Error::Misdirected => CommandOutcome::TargetEnded,
        // A refused connection does not mean that the process has ended: a target at its connection
        // limit refuses further ones, too.
        Error::ConnectRefused | Error::NotSent(_) | Error::Rejected { .. } => {
            CommandOutcome::Unsent
        }
        Error::OutcomeUnknown(_) | Error::Malformed { .. } | Error::Restored { .. } => {
            CommandOutcome::Unknown
        }
    }
}

fn not_sent_error(cause: &str) -> Error {
    Error::NotSent(cause.into())
}

/// Counts the outcome and records an event unless a grant was accepted.
fn record_outcome(
    context: &Context,
    command: &Command,
    outcome: &CommandOutcome,
    cause: Option<String>,
) {
    context.metrics.count_command(command, outcome);
    let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
    let (code, summary) = match (command, outcome) {
        (Command::Grant { .. }, CommandOutcome::Accepted) => return,
        (Command::Grant { .. }, CommandOutcome::StaleFence) => {
            (events::GRANT_REFUSED, "target has a higher fence")
        }
        (Command::Release { .. }, CommandOutcome::Released(_)) => {
            (events::ASSIGNMENT_RELEASED, "released")
        }
        (_, CommandOutcome::TargetEnded) => (events::COMMAND_FAILED, "target process has ended"),
        (_, CommandOutcome::Unsent) => (events::COMMAND_FAILED, "not sent"),
        _ => (events::COMMAND_FAILED, "no valid response"),
    };
    let cause = cause.map(|it| format!(": {it}")).unwrap_or_default();
    let fields = event_fields(
        assignment,
        format!("{summary}, fence {}{cause}", assignment.fence),
    );
    context.events.record(code, fields);
}

fn event_fields(assignment: &Assignment, detail: String) -> EventFields {
    EventFields {
        key: Some(format!("{}-{}", assignment.first, assignment.last).into()),
        target: assignment.owner.as_ref().map(|it| it.id.clone()),
        detail: Some(detail),
        ..EventFields::default()
    }
}
