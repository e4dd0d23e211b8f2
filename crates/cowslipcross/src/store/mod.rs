//! The platform duty: every call of the table service, the object store and the instance list.

pub mod ask;
mod batch;
mod orders;
mod watch;

use {
    crate::context::Context,
    ask::Ask,
    batch::Batches,
    cowslip_platform::{instances::Instances, objects::Objects, table::Table},
    cowslip_settings::process::platform::address,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
    watch::Watch,
};

/// Clients of the platform.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Table service.
    pub table: Table,
    /// Object store.
    pub objects: Objects,
    /// Instance list.
    pub list: Instances,
}

impl Clients {
    /// Creates the clients that the settings name.
    pub fn new(context: &Context) -> Self {
        let platform = &context.settings.platform;
        let limit = Duration::from_millis(context.settings.timing.platform_ms);
        Self {
            table: Table::new(address(&platform.table), &platform.table_name, limit),
            objects: Objects::new(address(&platform.objects), &platform.bucket, limit),
            list: Instances::new(address(&platform.instances), limit),
        }
    }
}

/// Carries out what the ring brings, until every sender has gone.
pub async fn serve(context: Arc<Context>, mut asks: mpsc::Receiver<Ask>) {
    let clients = Clients::new(&context);
    let watch = Arc::new(Watch::new(context.clone()));
    let batches = Batches::start(&context, watch.clone(), clients.table.clone());
    while let Some(ask) = asks.recv().await {
        let (context, clients, batches) = (context.clone(), clients.clone(), batches.clone());
        let watch = watch.clone();
        tokio::spawn(async move { carry_out(&context, &watch, &clients, &batches, ask).await });
    }
}

/// Carries out one call; a receiver that has gone does not need its answer.
async fn carry_out(
    context: &Context,
    watch: &Watch,
    clients: &Clients,
    batches: &Batches,
    ask: Ask,
) {
    match ask {
        Ask::Get { pk, sk, reply } => {
            let _ = reply.send(watch.table("get", clients.table.get(&pk, &sk)).await);
        }
        Ask::Write { writes, reply } => {
            let _ = reply.send(watch.table("write", clients.table.write(&writes)).await);
        }
        Ask::Object { key, reply } => {
            let _ = reply.send(watch.objects("object", clients.objects.get(&key)).await);
        }
        Ask::List { reply } => {
            let _ = reply.send(watch.measured("list", clients.list.list()).await);
        }
        Ask::Begin { order, reply } => {
            let _ = reply.send(orders::begin(context, &clients.table, batches, order).await);
        }
        Ask::End {
            order,
            version,
            end,
        } => {
            orders::end(context, batches, order, version, end).await;
        }
    }
}
