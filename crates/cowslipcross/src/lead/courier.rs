//! Orders of the leader to the owners of keys.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
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

/// Longest time for the answer to a grant.
const GRANT_LIMIT: Duration = Duration::from_millis(500);
/// Longest time from the look at the lease to the arrival of a grant; without processor time it may
/// be sent after its limit.
pub const FLIGHT: Duration = Duration::from_millis(800);
/// Longest time for the answer to a release, which waits for the work on the keys.
const RELEASE_LIMIT: Duration = Duration::from_millis(2500);

/// Sends orders, and knows where the targets are.
#[derive(Default)]
pub struct Courier {
    clients: RefCell<BTreeMap<SocketAddr, Clients>>,
}

/// Connections to a target for orders.
#[derive(Clone)]
struct Clients {
    /// Grants go one after the other, so that they need one connection.
    grants: Rc<Mutex<Client>>,
    /// Releases wait for work at the target, so each has its own call.
    releases: Rc<Client>,
}

impl Courier {
    /// Sends an order to its target, unless this instance is no longer the leader, or `current` says
    /// that it no longer is the keeper's. An order may wait for those before it.
    pub async fn carry(
        &self,
        context: &Context,
        order: &Command,
        current: impl Fn() -> bool,
    ) -> CommandOutcome {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = order;
        if matches!(order, Command::Release { .. }) {
            let about = about(assignment, format!("fence {}", assignment.fence));
            context.events.record(events::RELEASE_STARTED, about);
        }
        let end = match &assignment.owner {
            Some(owner) => {
                let current = || context.is_leader() && current();
                self.send(context, order, owner, current).await
            }
            None => Err(unsent("keys without an owner")),
        };
        let cause = end.as_ref().err().map(ToString::to_string);
        let done = end.unwrap_or_else(|error| of_error(&error));
        note(context, order, &done, cause);
        done
    }

    async fn send(
        &self,
        context: &Context,
        order: &Command,
        owner: &TargetIncarnation,
        current: impl Fn() -> bool,
    ) -> Result<CommandOutcome> {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = order;
        let clients = self.clients(context, &owner.id);
        let clients = clients.ok_or_else(|| unsent("address not known"))?;
        match order {
            Command::Grant { ttl, handover, .. } => {
                let grant = Grant {
                    first_key: assignment.first,
                    last_key: assignment.last,
                    fence: assignment.fence,
                    ttl: *ttl,
                    handover: handover.clone(),
                };
                let client = clients.grants.lock().await;
                if !current() {
                    return Err(unsent("no longer leader"));
                }
                let granted = commands::send_grant(&client, &owner.id, &grant, GRANT_LIMIT).await;
                granted.map(of_grant)
            }
            Command::Release { .. } if !current() => Err(unsent("no longer leader")),
            Command::Release { .. } => {
                let keys = (assignment.first, assignment.last);
                let client = &clients.releases;
                commands::send_release(client, &owner.id, keys, assignment.fence, RELEASE_LIMIT)
                    .await
                    .map(CommandOutcome::Released)
            }
        }
    }

    /// Returns the connections to a target, where it is or last was.
    fn clients(&self, context: &Context, id: &Name) -> Option<Clients> {
        let address = context.target_addresses.borrow().get(id)?.socket_address;
        let mut clients = self.clients.borrow_mut();
        let clients = clients.entry(address).or_insert_with(|| Clients {
            grants: Rc::new(Mutex::new(Client::new(address))),
            releases: Rc::new(Client::new(address)),
        });
        Some(clients.clone())
    }
}

fn of_grant(granted: GrantOutcome) -> CommandOutcome {
    match granted {
        GrantOutcome::Accepted => CommandOutcome::Accepted,
        GrantOutcome::StaleFence => CommandOutcome::StaleFence,
    }
}

fn of_error(error: &Error) -> CommandOutcome {
    match error {
        // Another target has the address: the owner's process has ended.
        Error::Misdirected => CommandOutcome::TargetEnded,
        // A target that has as many connections as it may have refuses further ones, too.
        Error::ConnectRefused | Error::NotSent(_) => CommandOutcome::Unsent,
        Error::Rejected { status, .. } if commands::is_not_executed(*status) => {
            CommandOutcome::Unsent
        }
        // A faulty target may answer anything else although it has carried the order out.
        Error::Rejected { .. } | Error::OutcomeUnknown(_) | Error::Malformed { .. } => {
            CommandOutcome::Unknown
        }
    }
}

fn unsent(cause: &str) -> Error {
    Error::NotSent(cause.into())
}

fn note(context: &Context, order: &Command, done: &CommandOutcome, cause: Option<String>) {
    context.metrics.count_command(order, done);
    let (Command::Grant { assignment, .. } | Command::Release { assignment }) = order;
    let (code, what) = match (order, done) {
        (Command::Grant { .. }, CommandOutcome::Accepted) => return,
        (Command::Grant { .. }, CommandOutcome::StaleFence) => {
            (events::GRANT_REFUSED, "higher fence seen")
        }
        (Command::Release { .. }, CommandOutcome::Released(_)) => {
            (events::ASSIGNMENT_RELEASED, "released")
        }
        (_, CommandOutcome::TargetEnded) => (events::COMMAND_FAILED, "process has ended"),
        (_, CommandOutcome::Unsent) => (events::COMMAND_FAILED, "not sent"),
        _ => (events::COMMAND_FAILED, "no answer"),
    };
    let cause = cause.map(|it| format!(": {it}")).unwrap_or_default();
    let about = about(
        assignment,
        format!("{what}, fence {}{cause}", assignment.fence),
    );
    context.events.record(code, about);
}

fn about(assignment: &Assignment, detail: String) -> EventFields {
    EventFields {
        key: Some(format!("{}-{}", assignment.first, assignment.last).into()),
        target: assignment.owner.as_ref().map(|it| it.id.clone()),
        detail: Some(detail),
        ..EventFields::default()
    }
}
