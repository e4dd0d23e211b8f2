//! The leader's row in the store: its content, and writes of it.

use {
    crate::{context::Context, lead::leader_loop},
    cowslip_adapter::store::{RowWrite, VersionCheck},
    cowslip_decide::{
        election::{LocalTime, StoreTimestamp},
        names::{Name, StoreVersion},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Key of the leader's row.
pub const ROW_KEY: &str = "leader";

/// Value of the leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRowValue {
    /// Name of the leader.
    pub name: Name,
    /// Run id of the leader; empty after it released the row.
    pub run: String,
    /// Address of the leader's UDP socket.
    pub heartbeats: SocketAddr,
    /// Milliseconds of the store's clock, read before the write, from which the lease counts.
    #[serde(default)]
    #[serde(rename = "told")]
    pub lease_start: Option<u64>,
    /// Milliseconds of the store's clock after which no grant is in force; only in a released row.
    #[serde(rename = "granted")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grants_expire: Option<u64>,
    /// Milliseconds of the store's clock until which grants of an earlier era of the store may be in
    /// force; absent if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown_until: Option<u64>,
}

/// Returns the store timestamp for the leader's row. If none is known, it is zero: a lease from
/// there has expired already, and the response brings a timestamp for the next write.
pub fn timestamp_to_write(context: &Context, now: LocalTime) -> StoreTimestamp {
    let timestamp = context.election.borrow().store_timestamp();
    timestamp.unwrap_or(StoreTimestamp {
        store_time: Duration::ZERO,
        sent_at: LocalTime {
            monotonic: now.monotonic,
            since_boot: Duration::ZERO,
        },
    })
}

pub fn check(key: &str, version: StoreVersion) -> VersionCheck {
    VersionCheck {
        key: key.into(),
        version,
    }
}

/// Returns the time of the store's clock after which none of this leader's grants is in force.
pub fn own_grants_end(context: &Context) -> Option<Duration> {
    Some(context.store_time_bound()?.latest + leader_loop::remaining_grant_time(context)?)
}

/// Returns the leader's row to write. `release` is `Some` to release the row, with the time after
/// which no grant of this leader is in force, if that is known.
pub fn new_row(
    context: &Context,
    time: StoreTimestamp,
    release: Option<Option<Duration>>,
) -> RowWrite {
    let unknown_until = context.unknown_until.get();
    let row = LeaderRowValue {
        name: context.settings.name.clone(),
        run: match release {
            None => context.run_id.clone(),
            Some(_) => String::new(),
        },
        // Rounded up to whole milliseconds.
        grants_expire: release.flatten().map(|until| until.as_millis() as u64 + 1),
        heartbeats: context.settings.listen.heartbeats,
        lease_start: Some(time.store_time.as_millis() as u64),
        unknown_until: unknown_until
            .filter(|end| *end > time.store_time)
            .map(|end| end.as_millis() as u64 + 1),
    };
    RowWrite {
        key: ROW_KEY.into(),
        // Serialising strings and numbers does not fail.
        value: serde_json::to_vec(&row).unwrap_or_default(),
    }
}
