//! JSON format of the rows that contain a service's assignments. It is compact, and split over
//! several rows if necessary, because the store limits the size of a row.

use {
    cowslip_adapter::store::{Row, RowWrite},
    cowslip_decide::{
        names::{Fence, Name},
        owners::{Assignment, AssignmentTable, TargetIncarnation},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Key prefix of the row with the assignments of a service.
pub const OWNERS_PREFIX: &str = "owners/";
/// Key prefix of the rows with the parts of a value that is too long for one row.
const PARTS_PREFIX: &str = "parts/";
/// Longest value of a row; the store limits the base64 form, which is a third longer.
const MAX_VALUE_BYTES: usize = 45_000;

/// Value of a service's row when the assignments are in parts.
#[derive(Serialize, Deserialize)]
struct MultipartValue {
    /// Number of parts.
    #[serde(rename = "parts")]
    part_count: usize,
}

/// Returns the key of the row with a service's assignments.
pub fn row_key(service: &str) -> String {
    format!("{OWNERS_PREFIX}{service}")
}

/// Returns the rows for the assignments of a service: one row, or the parts and then the row that
/// refers to them.
///
/// # Errors
/// Fails if the value cannot be serialised.
pub fn encode(
    service: &str,
    assignments: &AssignmentRowValue,
) -> serde_json::Result<Vec<RowWrite>> {
    let value = serde_json::to_vec(assignments)?;
    let key = row_key(service);
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(vec![RowWrite { key, value }]);
    }
    let parts = value
        .chunks(MAX_VALUE_BYTES)
        .zip(0..)
        .map(|(part, number)| RowWrite {
            key: part_key(service, number),
            value: part.to_vec(),
        });
    let mut rows: Vec<RowWrite> = parts.collect();
    let multipart = MultipartValue {
        part_count: rows.len(),
    };
    let value = serde_json::to_vec(&multipart)?;
    rows.push(RowWrite { key, value });
    Ok(rows)
}

/// Decodes the assignments of a service from their row; the parts are in `all_rows`, which were
/// read together with the row.
///
/// # Errors
/// Fails if the JSON is invalid or a part is missing.
pub fn decode(service: &str, row: &Row, all_rows: &[Row]) -> Result<AssignmentRowValue, String> {
    let value = row.value.as_deref().unwrap_or_default();
    let describe = |error: serde_json::Error| error.to_string();
    let Ok(MultipartValue { part_count }) = serde_json::from_slice(value) else {
        return serde_json::from_slice(value).map_err(describe);
    };
    let mut joined = Vec::new();
    for number in 0..part_count {
        let key = part_key(service, number);
        let part = all_rows.iter().find(|it| it.key == key);
        let part = part.and_then(|it| it.value.as_deref());
        joined.extend(part.ok_or_else(|| format!("part {number} is missing"))?);
    }
    serde_json::from_slice(&joined).map_err(describe)
}

fn part_key(service: &str, number: usize) -> String {
    format!("{PARTS_PREFIX}{service}/{number:03}")
}

/// Assignments of a service as they are stored. Owners are listed once and referred to by index.
#[derive(Debug, Serialize, Deserialize)]
pub struct AssignmentRowValue {
    /// Owners: id and incarnation.
    #[serde(rename = "o")]
    owners: Vec<(Name, u64)>,
    /// Last known address of each owner, in the same order: an owner may still run although its
    /// report has expired.
    #[serde(rename = "a", default)]
    addresses: Vec<Option<SocketAddr>>,
    /// Assignments, each up to the next one: first key, index of the owner, fence.
    #[serde(rename = "p")]
    assignments: Vec<(u16, Option<usize>, u64)>,
    /// Highest fence assigned so far.
    #[serde(rename = "f")]
    highest_fence: u64,
    /// Time of the store's clock in milliseconds at which the owner's last grant has expired, by
    /// the first key of the assignment; only where that is known.
    #[serde(rename = "e", default, skip_serializing_if = "BTreeMap::is_empty")]
    expiries: BTreeMap<u16, u64>,
}

impl AssignmentRowValue {
    /// Creates the stored form of a table; `find_address` returns an owner's last known address.
    pub fn new(
        table: &AssignmentTable,
        find_address: impl Fn(&TargetIncarnation) -> Option<SocketAddr>,
    ) -> Self {
        let mut indices: BTreeMap<&TargetIncarnation, usize> = BTreeMap::new();
        let mut owners = Vec::new();
        let mut addresses = Vec::new();
        let mut owner_index = |target| {
            *indices.entry(target).or_insert_with(|| {
                owners.push((target.id.clone(), target.incarnation));
                addresses.push(find_address(target));
                owners.len() - 1
            })
        };
        let assignments = table.assignments.iter();
        let assignments = assignments.map(|it| {
            (
                it.first,
                it.owner.as_ref().map(&mut owner_index),
                it.fence.0,
            )
        });
        let assignments = assignments.collect();
        let expiries = table.assignments.iter();
        let expiries =
            expiries.filter_map(|it| Some((it.first, it.expires_at?.as_millis() as u64)));
        Self {
            assignments,
            owners,
            addresses,
            highest_fence: table.highest_fence.0,
            expiries: expiries.collect(),
        }
    }

    /// Returns the owners whose address is known, with that address.
    pub fn addresses(&self) -> Vec<(TargetIncarnation, SocketAddr)> {
        let known = self.owners.iter().zip(&self.addresses);
        let known = known.filter_map(|((id, incarnation), address)| {
            let target = TargetIncarnation {
                id: id.clone(),
                incarnation: *incarnation,
            };
            Some((target, (*address)?))
        });
        known.collect()
    }
}

impl TryFrom<AssignmentRowValue> for AssignmentTable {
    type Error = &'static str;

    fn try_from(value: AssignmentRowValue) -> Result<Self, Self::Error> {
        let last_keys = value
            .assignments
            .iter()
            .skip(1)
            .map(|(first, ..)| first.checked_sub(1));
        let last_keys = last_keys.chain([Some(u16::MAX)]);
        let assignment =
            |(&(first, owner_index, fence), last): (&(u16, Option<usize>, u64), Option<u16>)| {
                let owner = match owner_index {
                    None => None,
                    Some(index) => {
                        let (id, incarnation) =
                            value.owners.get(index).ok_or("owner index out of range")?;
                        Some(TargetIncarnation {
                            id: id.clone(),
                            incarnation: *incarnation,
                        })
                    }
                };
                Ok(Assignment {
                    first,
                    last: last.ok_or("more than one assignment starts at key 0")?,
                    owner,
                    fence: Fence(fence),
                    expires_at: value
                        .expiries
                        .get(&first)
                        .copied()
                        .map(Duration::from_millis),
                })
            };
        let assignments: Result<Vec<Assignment>, Self::Error> = value
            .assignments
            .iter()
            .zip(last_keys)
            .map(assignment)
            .collect();
        let table = Self {
            assignments: assignments?,
            highest_fence: Fence(value.highest_fence),
        };
        match table.is_complete() {
            true => Ok(table),
            false => Err("assignments out of order or incomplete"),
        }
    }
}

#[cfg(test)]
#[path = "assignment_rows_tests.rs"]
mod tests;
