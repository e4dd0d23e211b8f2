//! Gets the assignment from a peer or from the table.

use {
    super::Rings,
    crate::{context::Context, peer::access::Access, ring::Offer, store::ask::Ask},
    cowslip_decide::assign::Assignment,
    cowslip_platform::{instances::Entry, table::Row},
    cowslip_wire::peer::{FetchAssignmentRequest, peer_client::PeerClient},
    std::{result, time::Duration},
    tokio::{sync::oneshot, time::timeout},
    tonic::transport::Channel,
};

/// Result of a call; the platform duty has noted why one failed.
pub(super) type Result<T> = result::Result<T, ()>;

/// Longest wait for a peer's assignment.
const PEER_LIMIT: Duration = Duration::from_millis(500);
/// Partition key of the assignment's row.
pub(super) const ASSIGNMENT: &str = "assignment";
/// Sort key of rows that stand alone.
pub(super) const ALONE: &str = "-";

/// Returns the assignment that a peer knows, or else the table's.
pub(super) async fn assignment(
    context: &Context,
    rings: &Rings,
    channel: Option<Channel>,
) -> Option<Assignment> {
    if let Some(channel) = channel
        && let Some(assignment) = from_peer(context, channel).await
    {
        return Some(assignment);
    }
    from_table(rings).await
}

async fn from_peer(context: &Context, channel: Channel) -> Option<Assignment> {
    let request = Access::new(context)
        .sign(FetchAssignmentRequest { version: 0 })
        .ok()?;
    let mut client = PeerClient::new(channel).max_decoding_message_size(usize::MAX);
    let reply = timeout(PEER_LIMIT, client.fetch_assignment(request))
        .await
        .ok()?
        .ok()?;
    serde_json::from_slice(&reply.into_inner().assignment).ok()
}

/// Returns the assignment of the table, or `None` if it has none or cannot be reached.
async fn from_table(rings: &Rings) -> Option<Assignment> {
    table_row(rings).await.ok()?
}

/// Reads the assignment of the table; `Err` if it cannot be reached or read.
pub(super) async fn table_row(rings: &Rings) -> Result<Option<Assignment>> {
    let Some(row) = row(rings, ASSIGNMENT).await? else {
        return Ok(None);
    };
    serde_json::from_str(&row.body).map(Some).map_err(drop)
}

/// Reads the row `pk` that stands alone; `Err` if the table cannot be reached.
pub(super) async fn row(rings: &Rings, pk: &str) -> Result<Option<Row>> {
    let (reply, row) = oneshot::channel();
    let ask = Ask::Get {
        pk: pk.into(),
        sk: ALONE.into(),
        reply,
    };
    let Offer::Taken = rings.store.offer(ask) else {
        return Err(());
    };
    row.await.map_err(drop)?.map_err(drop)
}

/// Reads the platform's instance list.
pub(super) async fn list(rings: &Rings) -> Option<Vec<Entry>> {
    let (reply, list) = oneshot::channel();
    let Offer::Taken = rings.store.offer(Ask::List { reply }) else {
        return None;
    };
    list.await.ok()?.ok()
}
