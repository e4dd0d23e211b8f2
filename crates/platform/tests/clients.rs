//! Clients against the platform stand-in, with and without faults.

use {
    cowslip_platform::{
        Error,
        instances::{Instances, State},
        objects::Objects,
        table::{Condition, Row, Table, Write},
    },
    cowslip_standins::platform::{Entry, Faults, Handle, serve},
    std::time::Duration,
    tokio::{net::TcpListener, time::sleep},
};

const LIMIT: Duration = Duration::from_secs(5);

async fn platform() -> (Handle, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handle = serve(listener).unwrap();
    let address = handle.address().to_string();
    (handle, address)
}

fn row(sk: &str, version: u64, body: &str) -> Row {
    Row {
        pk: "p".into(),
        sk: sk.into(),
        version,
        body: body.to_owned(),
        expires: None,
    }
}

fn put(row: Row, when: Condition) -> Write {
    Write::Put { row, when }
}

#[tokio::test]
async fn transactions_are_atomic_and_name_the_failed_conditions() {
    let (_handle, address) = platform().await;
    let table = Table::new(&address, "t", LIMIT);
    assert_eq!(table.get("p", "a").await, Ok(None));
    let first = put(row("a", 1, "one"), Condition::Absent);
    assert_eq!(table.write(std::slice::from_ref(&first)).await, Ok(()));
    let both = [first, put(row("b", 1, "other"), Condition::Absent)];
    let refused = Err(Error::Refused { items: vec![0] });
    assert_eq!(table.write(&both).await, refused);
    assert_eq!(table.get("p", "b").await, Ok(None));

    let check = |version| Write::Check {
        pk: "p".into(),
        sk: "a".into(),
        when: Condition::Version(version),
    };
    let second = put(row("b", 1, "b"), Condition::Absent);
    let old = table.write(&[second.clone(), check(2)]).await;
    assert_eq!(old, Err(Error::Refused { items: vec![1] }));
    assert_eq!(table.write(&[second, check(1)]).await, Ok(()));
    let next = put(row("a", 2, "two"), Condition::Version(1));
    assert_eq!(table.write(&[next]).await, Ok(()));
    let rows = table.query("p").await.unwrap();
    assert_eq!(rows, [row("a", 2, "two"), row("b", 1, "b")]);
    assert_eq!(table.query("q").await, Ok(Vec::new()));
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_the_write_took_effect() {
    let (handle, address) = platform().await;
    let table = Table::new(&address, "t", LIMIT);
    handle.set_faults(Faults {
        lose_answers: true,
        ..Faults::default()
    });
    let write = [put(row("a", 1, "one"), Condition::Absent)];
    let lost = table.write(&write).await.unwrap_err();
    assert!(lost.may_have_happened(), "{lost}");
    assert_eq!(table.get("p", "a").await, Ok(Some(row("a", 1, "one"))));
    assert_eq!((handle.counts().writes, handle.counts().reads), (1, 1));
}

#[tokio::test]
async fn a_write_that_times_out_may_take_effect_later() {
    let (handle, address) = platform().await;
    let table = Table::new(&address, "t", Duration::from_millis(100));
    handle.set_faults(Faults {
        slow_ms: 400,
        ..Faults::default()
    });
    let write = [put(row("a", 1, "one"), Condition::Absent)];
    assert!(table.write(&write).await.unwrap_err().may_have_happened());
    handle.set_faults(Faults::default());
    while table.get("p", "a").await.unwrap().is_none() {
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn nobody_listening_is_not_sent_and_an_outage_has_no_effect() {
    let (handle, address) = platform().await;
    let write = [put(row("a", 1, "one"), Condition::Absent)];
    let table = Table::new(&address, "t", LIMIT);
    handle.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(table.write(&write).await.unwrap_err().may_have_happened());
    handle.set_faults(Faults::default());
    assert_eq!(table.get("p", "a").await, Ok(None));

    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = free.local_addr().unwrap().to_string();
    drop(free);
    let table = Table::new(&nobody, "t", LIMIT);
    let error = table.write(&write).await.unwrap_err();
    assert!(matches!(error, Error::NotSent(_)), "{error}");
    let error = Instances::new(&nobody, LIMIT).list().await.unwrap_err();
    assert!(matches!(error, Error::NotSent(_)), "{error}");
}

#[tokio::test]
async fn objects_are_read_as_written() {
    let (_handle, address) = platform().await;
    let objects = Objects::new(&address, "documents", LIMIT);
    assert_eq!(objects.get("x").await, Ok(None));
    objects.put("x", "text".into()).await.unwrap();
    assert_eq!(objects.get("x").await, Ok(Some("text".into())));
    let other = Objects::new(&address, "others", LIMIT);
    assert_eq!(other.get("x").await, Ok(None));
}

#[tokio::test]
async fn the_instance_list_lags() {
    let (handle, address) = platform().await;
    let list = Instances::new(&address, LIMIT);
    let entry = Entry {
        address: "127.0.0.1:1".to_owned(),
        data_centre: "east".to_owned(),
        kind: "instance".to_owned(),
        state: "live".to_owned(),
    };
    handle.register("i1", entry.clone());
    let seen = list.list().await.unwrap();
    assert_eq!((&*seen[0].name, seen[0].state), ("i1", State::Live));
    let state = "leaving".to_owned();
    handle.register("i1", Entry { state, ..entry });
    handle.set_faults(Faults {
        lag_ms: 3_600_000,
        ..Faults::default()
    });
    assert_eq!(list.list().await, Ok(Vec::new()));
    handle.set_faults(Faults::default());
    assert_eq!(list.list().await.unwrap()[0].state, State::Leaving);
    handle.remove("i1");
    assert_eq!(list.list().await, Ok(Vec::new()));
}
