//! Owners of keys as the store keeps them: a row has a limit, so owners are named once.

use {
    cowslip_adapter::store::{Row, RowWrite},
    cowslip_decide::{
        names::{Fence, Name},
        owners::{Assignment, AssignmentTable, TargetIncarnation},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Prefix of the keys of the rows with the owners of a service's keys.
pub const OWNERS_PREFIX: &str = "owners/";
/// Prefix of the keys of the parts of such a row that would be too long.
const PARTS_PREFIX: &str = "parts/";
/// Longest value of a row, in bytes; the store bounds its text form, which is a third longer.
const LONGEST: usize = 45_000;

/// Value of a row whose content is in parts.
#[derive(Serialize, Deserialize)]
struct WireParts {
    /// Number of the parts.
    parts: usize,
}

/// Returns the rows for owners of a service: one, or one that names parts.
///
/// # Errors
/// Fails if the owners have no JSON form.
pub fn rows(service: &str, wire: &WireTable) -> serde_json::Result<Vec<RowWrite>> {
    let value = serde_json::to_vec(wire)?;
    let key = format!("{OWNERS_PREFIX}{service}");
    if value.len() <= LONGEST {
        return Ok(vec![RowWrite { key, value }]);
    }
    let parts = value
        .chunks(LONGEST)
        .zip(0..)
        .map(|(part, number)| RowWrite {
            key: part_key(service, number),
            value: part.to_vec(),
        });
    let mut rows: Vec<RowWrite> = parts.collect();
    let parts = WireParts { parts: rows.len() };
    let value = serde_json::to_vec(&parts)?;
    rows.push(RowWrite { key, value });
    Ok(rows)
}

/// Reads owners from their row and its parts, which all were read at one moment.
///
/// # Errors
/// Says what is wrong with them.
pub fn read(service: &str, row: &Row, all: &[Row]) -> Result<WireTable, String> {
    let value = row.value.as_deref().unwrap_or_default();
    let said = |error: serde_json::Error| error.to_string();
    let Ok(WireParts { parts }) = serde_json::from_slice(value) else {
        return serde_json::from_slice(value).map_err(said);
    };
    let mut whole = Vec::new();
    for number in 0..parts {
        let key = part_key(service, number);
        let part = all.iter().find(|it| it.key == key);
        let part = part.and_then(|it| it.value.as_deref());
        whole.extend(part.ok_or_else(|| format!("part {number} is missing"))?);
    }
    serde_json::from_slice(&whole).map_err(said)
}

fn part_key(service: &str, number: usize) -> String {
    format!("{PARTS_PREFIX}{service}/{number:03}")
}

/// Owners of a service's keys as a row has them.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireTable {
    /// Owners: id and time of the start.
    #[serde(rename = "o")]
    owners: Vec<(Name, u64)>,
    /// Last known addresses of the owners, in their order: a report may lapse while its target lives.
    #[serde(rename = "a", default)]
    addresses: Vec<Option<SocketAddr>>,
    /// Pieces, each up to the next one: first key, place of the owner, fence.
    #[serde(rename = "p")]
    pieces: Vec<(u16, Option<usize>, u64)>,
    /// Highest fence that was given out.
    #[serde(rename = "f")]
    fence: u64,
    /// Milliseconds of the store's clock after which the owner of a piece holds it no more, by the
    /// first key of the piece, where that is known.
    #[serde(rename = "e", default, skip_serializing_if = "BTreeMap::is_empty")]
    ends: BTreeMap<u16, u64>,
}

impl WireTable {
    /// Returns a table with the addresses of its owners, as far as they are known.
    pub fn new(
        table: &AssignmentTable,
        address: impl Fn(&TargetIncarnation) -> Option<SocketAddr>,
    ) -> Self {
        let mut places: BTreeMap<&TargetIncarnation, usize> = BTreeMap::new();
        let mut owners = Vec::new();
        let mut addresses = Vec::new();
        let mut place = |life| {
            *places.entry(life).or_insert_with(|| {
                owners.push((life.id.clone(), life.incarnation));
                addresses.push(address(life));
                owners.len() - 1
            })
        };
        let pieces = table.assignments.iter();
        let pieces = pieces.map(|it| (it.first, it.owner.as_ref().map(&mut place), it.fence.0));
        let pieces = pieces.collect();
        let ends = table.assignments.iter();
        let ends = ends.filter_map(|it| Some((it.first, it.expires_at?.as_millis() as u64)));
        Self {
            pieces,
            owners,
            addresses,
            fence: table.highest_fence.0,
            ends: ends.collect(),
        }
    }

    /// Returns the owners with their last known addresses.
    pub fn addresses(&self) -> Vec<(TargetIncarnation, SocketAddr)> {
        let known = self.owners.iter().zip(&self.addresses);
        let known = known.filter_map(|((id, born), address)| {
            let life = TargetIncarnation {
                id: id.clone(),
                incarnation: *born,
            };
            Some((life, (*address)?))
        });
        known.collect()
    }
}

impl TryFrom<WireTable> for AssignmentTable {
    type Error = &'static str;

    fn try_from(wire: WireTable) -> Result<Self, Self::Error> {
        let ends = wire
            .pieces
            .iter()
            .skip(1)
            .map(|(first, ..)| first.checked_sub(1));
        let ends = ends.chain([Some(u16::MAX)]);
        let piece = |(&(first, place, fence), last): (&(u16, Option<usize>, u64), Option<u16>)| {
            let owner = match place {
                None => None,
                Some(place) => {
                    let (id, born) = wire.owners.get(place).ok_or("owner that is not named")?;
                    Some(TargetIncarnation {
                        id: id.clone(),
                        incarnation: *born,
                    })
                }
            };
            Ok(Assignment {
                first,
                last: last.ok_or("two pieces from the first key")?,
                owner,
                fence: Fence(fence),
                expires_at: wire.ends.get(&first).copied().map(Duration::from_millis),
            })
        };
        let pieces: Result<Vec<Assignment>, Self::Error> =
            wire.pieces.iter().zip(ends).map(piece).collect();
        let table = Self {
            assignments: pieces?,
            highest_fence: Fence(wire.fence),
        };
        match table.is_complete() {
            true => Ok(table),
            false => Err("pieces out of order"),
        }
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
