//! The platform duty: every call of the table service, the object store and the instance list.

pub mod ask;
mod batch;
mod health;
mod orders;

use {
    crate::context::Context,
    ask::Ask,
    batch::Batches,
    cowslip_platform::{
        Result,
        instances::Instances,
        objects::Objects,
        table::{Row, Table, Write},
    },
    cowslip_settings::process::platform::address,
    health::Health,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
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
    /// Whether they answer.
    pub health: Arc<Healths>,
}

/// Whether each service of the platform answers.
#[derive(Debug)]
pub struct Healths {
    table: Health,
    objects: Health,
    list: Health,
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
            health: Arc::new(Healths {
                table: Health::table(),
                objects: Health::objects(),
                list: Health::list(),
            }),
        }
    }

    /// Reads a row of the table.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn get(&self, context: &Context, pk: &str, sk: &str) -> Result<Option<Row>> {
        self.health
            .table
            .watch(context, self.table.get(pk, sk))
            .await
    }

    /// Carries out a transaction of the table.
    ///
    /// # Errors
    ///
    /// Says which conditions failed, or whether the write may have happened.
    pub async fn write(&self, context: &Context, writes: &[Write]) -> Result<()> {
        self.health
            .table
            .watch(context, self.table.write(writes))
            .await
    }
}

/// Carries out what the ring brings, until every sender has gone.
pub async fn serve(context: Arc<Context>, mut asks: mpsc::Receiver<Ask>) {
    let clients = Clients::new(&context);
    let batches = Batches::start(context.clone(), clients.clone());
    while let Some(ask) = asks.recv().await {
        let (context, clients, batches) = (context.clone(), clients.clone(), batches.clone());
        tokio::spawn(async move { carry_out(&context, &clients, &batches, ask).await });
    }
}

/// Carries out one call; a receiver that has gone does not need its answer.
async fn carry_out(context: &Context, clients: &Clients, batches: &Batches, ask: Ask) {
    match ask {
        Ask::Get { pk, sk, reply } => {
            let _ = reply.send(clients.get(context, &pk, &sk).await);
        }
        Ask::Write { writes, reply } => {
            let _ = reply.send(clients.write(context, &writes).await);
        }
        Ask::Object { key, reply } => {
            let _ = reply.send(
                clients
                    .health
                    .objects
                    .watch(context, clients.objects.get(&key))
                    .await,
            );
        }
        Ask::List { reply } => {
            let _ = reply.send(
                clients
                    .health
                    .list
                    .watch(context, clients.list.list())
                    .await,
            );
        }
        Ask::Begin { order, reply } => {
            let _ = reply.send(orders::begin(context, clients, batches, order).await);
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
