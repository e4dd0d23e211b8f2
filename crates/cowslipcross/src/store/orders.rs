//! The journal of orders in the table.

use {
    super::{
        Clients,
        ask::{Begun, Order},
        batch::Batches,
    },
    crate::{context::Context, events},
    cowslip_decide::order::{self, Found, Journalled, OrderEnd, OrderRow, OrderStep},
    cowslip_platform::table::{Condition, Row, Write},
    std::time::Duration,
    tokio::time::sleep,
};

/// Partition key of the journal.
const JOURNAL: &str = "order";
/// Times that the end of an order is written until the table has taken it.
const END_TRIES: u32 = 8;
/// Wait before the end of an order is written again; it doubles each time.
const END_WAIT: Duration = Duration::from_millis(100);

/// Journals an order, or finds out what an earlier arrival has left.
pub async fn begin(context: &Context, clients: &Clients, batches: &Batches, order: Order) -> Begun {
    let mut step = write(batches, &order, None).await;
    loop {
        step = match step {
            OrderStep::Read => match read(context, clients, &order).await {
                Ok(found) => order::judge(&order.row, found),
                Err(_) => OrderStep::Refuse,
            },
            OrderStep::Replace { version } => {
                note(context, &order, events::ORDER_TAKEN_OVER);
                write(batches, &order, Some(version)).await
            }
            OrderStep::Send { version } => {
                note(context, &order, events::ORDER_JOURNALLED);
                return Begun::Send(version);
            }
            OrderStep::Answer(end) => {
                note(context, &order, events::ORDER_DUPLICATE);
                return Begun::Answer(end);
            }
            OrderStep::Duplicate => {
                note(context, &order, events::ORDER_DUPLICATE);
                return Begun::Duplicate;
            }
            OrderStep::Mismatch => return Begun::Mismatch,
            OrderStep::Refuse => return Begun::Refused,
        };
    }
}

/// Records the end of an order; until the table takes it, repeats of the order get `duplicate`.
pub async fn end(context: &Context, batches: &Batches, order: Order, version: u64, end: OrderEnd) {
    let row = OrderRow {
        end: Some(end),
        ..order.row.clone()
    };
    let order = Order { row, ..order };
    let mut wait = END_WAIT;
    for _ in 0..END_TRIES {
        let write = put(&order, &order.row, version + 1, Condition::Version(version));
        match batches.write(write).await {
            // A refusal after a lost answer says that the end is recorded already.
            Journalled::Written | Journalled::Refused => {
                return note(context, &order, events::ORDER_ENDED);
            }
            Journalled::Down | Journalled::Unknown => sleep(wait).await,
        }
        wait *= 2;
    }
    note(context, &order, events::ORDER_END_UNRECORDED);
}

async fn write(batches: &Batches, order: &Order, replaces: Option<u64>) -> OrderStep {
    let (version, when) = match replaces {
        None => (1, Condition::Absent),
        Some(version) => (version + 1, Condition::Version(version)),
    };
    let outcome = batches.write(put(order, &order.row, version, when)).await;
    order::journalled(outcome, version)
}

async fn read(
    context: &Context,
    clients: &Clients,
    order: &Order,
) -> cowslip_platform::Result<Option<Found>> {
    let Some(row) = clients.get(context, JOURNAL, &order.id).await? else {
        return Ok(None);
    };
    match serde_json::from_str(&row.body) {
        Ok(found) => Ok(Some(Found {
            version: row.version,
            row: found,
        })),
        Err(error) => Err(cowslip_platform::Error::Unknown(error.to_string())),
    }
}

fn put(order: &Order, row: &OrderRow, version: u64, when: Condition) -> Write {
    // A struct of names, numbers and bytes always has a JSON form.
    let body = serde_json::to_string(row).unwrap_or_default();
    let row = Row {
        pk: JOURNAL.into(),
        sk: order.id.clone(),
        version,
        body,
        expires: Some(order.expires),
    };
    Write::Put { row, when }
}

fn note(context: &Context, order: &Order, code: events::Code) {
    let end = order.row.end.as_ref();
    let end = end.map_or_else(String::new, |end| {
        format!(", {}, status {}", end.verdict, end.status)
    });
    let about = events::About {
        request: Some(order.row.run.clone()),
        detail: Some(format!("order {}{end}", order.id)),
        ..events::About::default()
    };
    context.events.note(code, about);
}
