//! Recorded owners come back as they were, fit a row, and broken rows are refused.

use {
    super::{WireTable, rows},
    cowslip_adapter::store::{Row, RowWrite},
    cowslip_decide::{
        names::Fence,
        owners::{AssignmentTable, TargetIncarnation},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// An address with as many characters as any.
const ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(100, 200, 201, 202), 65_535));

/// Longest value of a row of the store, in bytes.
const ROW: usize = 65_536;

fn table(targets: u16, pieces: u16) -> AssignmentTable {
    let mut table = AssignmentTable::default();
    for at in 1..pieces {
        table.split_around(at * (u16::MAX / pieces), u16::MAX);
    }
    for (piece, at) in table.assignments.iter_mut().zip(0u64..) {
        piece.owner = Some(TargetIncarnation {
            id: format!("i-{:010x}", at % u64::from(targets)).into(),
            incarnation: 1_785_804_039_008 + at % u64::from(targets),
        });
        piece.fence = Fence(100_000 + at);
    }
    table.highest_fence = Fence(200_000);
    table
}

fn written(table: &AssignmentTable) -> Vec<u8> {
    let address = |_: &TargetIncarnation| Some(ADDRESS);
    serde_json::to_vec(&WireTable::new(table, address)).expect("JSON")
}

fn read(row: &[u8]) -> Result<AssignmentTable, String> {
    let wire: WireTable = serde_json::from_slice(row).map_err(|error| error.to_string())?;
    AssignmentTable::try_from(wire).map_err(str::to_owned)
}

#[test]
fn a_table_comes_back_as_it_was() {
    let mut partly = table(3, 7);
    partly.assignments[2].owner = None;
    partly.assignments[4].expires_at = Some(Duration::from_millis(1_234));
    for table in [
        AssignmentTable::default(),
        table(1, 1),
        table(25, 150),
        partly,
    ] {
        assert_eq!(read(&written(&table)), Ok(table));
    }
}

#[test]
fn the_addresses_of_owners_come_back_and_may_be_missing() {
    let table = table(2, 4);
    let second = table.assignments[1].owner.clone().expect("an owner");
    let known = |life: &TargetIncarnation| (*life == second).then_some(ADDRESS);
    let wire = WireTable::new(&table, known);
    assert_eq!(wire.addresses(), [(second.clone(), ADDRESS)]);
    let without = r#"{"o":[["a",1]],"p":[[0,0,1]],"f":1}"#;
    let wire: WireTable = serde_json::from_str(without).expect("a table");
    assert!(wire.addresses().is_empty());
}

#[test]
fn owners_of_a_large_deployment_come_back_from_several_rows() {
    for (targets, pieces, count) in [(300, 800, 1), (800, 1600, 3), (3000, 6000, 8)] {
        let table = table(targets, pieces);
        let wire = WireTable::new(&table, |_| Some(ADDRESS));
        let puts = rows("boards", &wire).expect("rows");
        assert_eq!(puts.len(), count, "{targets} targets, {pieces} pieces");
        let longest = puts.iter().map(|it| it.value.len()).max();
        // In the text form four bytes stand for three.
        assert!(longest.is_some_and(|it| it * 4 / 3 <= ROW));
        let mut all: Vec<Row> = puts.into_iter().map(row).collect();
        let head = all.iter().find(|it| it.key == "owners/boards").cloned();
        let head = head.expect("the row that the others are parts of");
        let read = super::read("boards", &head, &all).expect("owners");
        assert_eq!(AssignmentTable::try_from(read), Ok(table));
        all.retain(|it| it.key != "parts/boards/001");
        let partly = super::read("boards", &head, &all);
        assert_eq!(partly.is_err(), count > 1, "a part is missing");
    }
}

fn row(put: RowWrite) -> Row {
    Row {
        key: put.key,
        value: Some(put.value),
        version: 1,
    }
}

#[test]
fn broken_rows_are_refused() {
    for row in [
        r#"{"o":[],"p":[],"f":1}"#,
        r#"{"o":[],"p":[[0,0,1]],"f":1}"#,
        r#"{"o":[],"p":[[5,null,1]],"f":1}"#,
        r#"{"o":[],"p":[[0,null,1],[0,null,2]],"f":1}"#,
        r#"{"o":[],"p":[[0,null,1],[9,null,2],[4,null,3]],"f":1}"#,
    ] {
        assert!(read(row.as_bytes()).is_err(), "{row}");
    }
}
