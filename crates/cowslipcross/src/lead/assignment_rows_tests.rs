//! Assignments survive a round trip through their rows, rows fit the store's limit, and invalid
//! rows are rejected.

use {
    super::{AssignmentRowValue, encode},
    cowslip_adapter::store::{Row, RowWrite},
    cowslip_decide::{
        names::{Fence, StoreVersion},
        owners::{AssignmentTable, TargetIncarnation},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// Address whose text has the greatest length.
const ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(100, 200, 201, 202), 65_535));

/// The store's limit for the base64 form of a row's value.
const STORE_LIMIT_BYTES: usize = 65_536;

fn table(target_count: u16, assignment_count: u16) -> AssignmentTable {
    let mut table = AssignmentTable::default();
    for index in 1..assignment_count {
        table.split_around(index * (u16::MAX / assignment_count), u16::MAX);
    }
    for (assignment, index) in table.assignments.iter_mut().zip(0u64..) {
        assignment.owner = Some(TargetIncarnation {
            id: format!("i-{:010x}", index % u64::from(target_count)).into(),
            incarnation: 1_785_804_039_008 + index % u64::from(target_count),
        });
        assignment.fence = Fence(100_000 + index);
    }
    table.highest_fence = Fence(200_000);
    table
}

fn encode_table(table: &AssignmentTable) -> Vec<u8> {
    let find_address = |_: &TargetIncarnation| Some(ADDRESS);
    serde_json::to_vec(&AssignmentRowValue::new(table, find_address)).expect("JSON")
}

fn decode_value(json: &[u8]) -> Result<AssignmentTable, String> {
    let value: AssignmentRowValue =
        serde_json::from_slice(json).map_err(|error| error.to_string())?;
    AssignmentTable::try_from(value).map_err(str::to_owned)
}

#[test]
fn tables_survive_a_round_trip() {
    let mut partial = table(3, 7);
    partial.assignments[2].owner = None;
    partial.assignments[4].expires_at = Some(Duration::from_millis(1_234));
    for table in [
        AssignmentTable::default(),
        table(1, 1),
        table(25, 150),
        partial,
    ] {
        assert_eq!(decode_value(&encode_table(&table)), Ok(table));
    }
}

#[test]
fn addresses_of_owners_are_optional() {
    let table = table(2, 4);
    let second = table.assignments[1].owner.clone().expect("an owner");
    let find_address = |target: &TargetIncarnation| (*target == second).then_some(ADDRESS);
    let value = AssignmentRowValue::new(&table, find_address);
    assert_eq!(value.addresses(), [(second.clone(), ADDRESS)]);
    let without_addresses = r#"{"o":[["a",1]],"p":[[0,0,1]],"f":1}"#;
    let value: AssignmentRowValue = serde_json::from_str(without_addresses).expect("a table");
    assert!(value.addresses().is_empty());
}

#[test]
fn large_tables_survive_a_round_trip_through_several_rows() {
    for (target_count, assignment_count, row_count) in
        [(300, 800, 1), (800, 1600, 3), (3000, 6000, 8)]
    {
        let table = table(target_count, assignment_count);
        let row_value = AssignmentRowValue::new(&table, |_| Some(ADDRESS));
        let writes = encode("boards", &row_value).expect("rows");
        assert_eq!(
            writes.len(),
            row_count,
            "{target_count} targets, {assignment_count} assignments"
        );
        let longest = writes.iter().map(|it| it.value.len()).max();
        // Base64 encodes three bytes as four characters.
        assert!(longest.is_some_and(|it| it * 4 / 3 <= STORE_LIMIT_BYTES));
        let mut all_rows: Vec<Row> = writes.into_iter().map(stored_row).collect();
        let head = all_rows
            .iter()
            .find(|it| it.key == "owners/boards")
            .cloned();
        let head = head.expect("row of the service");
        let decoded = super::decode("boards", &head, &all_rows).expect("assignments");
        assert_eq!(AssignmentTable::try_from(decoded), Ok(table));
        all_rows.retain(|it| it.key != "parts/boards/001");
        let partial = super::decode("boards", &head, &all_rows);
        assert_eq!(partial.is_err(), row_count > 1, "decoding without a part");
    }
}

fn stored_row(write: RowWrite) -> Row {
    Row {
        key: write.key,
        value: Some(write.value),
        version: StoreVersion { era: 0, number: 1 },
    }
}

#[test]
fn invalid_rows_are_rejected() {
    for json in [
        r#"{"o":[],"p":[],"f":1}"#,
        r#"{"o":[],"p":[[0,0,1]],"f":1}"#,
        r#"{"o":[],"p":[[5,null,1]],"f":1}"#,
        r#"{"o":[],"p":[[0,null,1],[0,null,2]],"f":1}"#,
        r#"{"o":[],"p":[[0,null,1],[9,null,2],[4,null,3]],"f":1}"#,
    ] {
        assert!(decode_value(json.as_bytes()).is_err(), "{json}");
    }
}
