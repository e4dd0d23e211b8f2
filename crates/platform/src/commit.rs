//! Carries out one conditional write and settles a lost answer by reading back.

use {
    crate::{
        error::Error,
        table::{Condition, Row, Table, Write},
    },
    cowslip_decide::commit::{Commit, Event, Seen, Step},
    tokio::time::sleep,
};

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The row is recorded.
    Done,
    /// The row does not stand; this one does, if any.
    Lost(Option<Row>),
    /// The outcome is not known; the row must be read before anything else is written.
    Unknown,
}

/// Writes `row` over the one with version `row.version - 1`, or over none for version 1.
///
/// All `checks` must hold in the same transaction. The body must differ from that of any other
/// writer, because it tells whose row stands.
pub async fn commit(table: &Table, row: &Row, checks: &[Write]) -> Outcome {
    let replaces = row.version.checked_sub(1).filter(|version| *version > 0);
    let mut writes = vec![Write::Put {
        row: row.clone(),
        when: replaces.map_or(Condition::Absent, Condition::Version),
    }];
    writes.extend_from_slice(checks);
    let mut commit = Commit::new(replaces, row.body.as_str().into());
    let mut step = commit.start();
    loop {
        let event = match step {
            Step::Write { after } => {
                sleep(after).await;
                wrote(table.write(&writes).await)
            }
            Step::ReadBack { after } => {
                sleep(after).await;
                read(table.get(&row.pk, &row.sk).await)
            }
            Step::Done => return Outcome::Done,
            Step::Lost { seen } => return Outcome::Lost(seen.map(|seen| stands(row, seen))),
            Step::GiveUp => return Outcome::Unknown,
        };
        step = commit.on(event);
    }
}

fn wrote(result: Result<(), Error>) -> Event {
    match result {
        Ok(()) => Event::Answered,
        Err(Error::Refused { .. }) => Event::Refused,
        Err(Error::Rejected { .. } | Error::NotSent(_)) => Event::NotSent,
        Err(Error::Unknown(_)) => Event::Unknown,
    }
}

fn read(result: Result<Option<Row>, Error>) -> Event {
    match result {
        Ok(row) => Event::Read(row.map(|row| Seen {
            version: row.version,
            body: row.body.into(),
        })),
        Err(_) => Event::Unread,
    }
}

fn stands(row: &Row, seen: Seen) -> Row {
    Row {
        pk: row.pk.clone(),
        sk: row.sk.clone(),
        version: seen.version,
        body: seen.body.to_string(),
        expires: None,
    }
}
