//! One conditional write of the table, whose lost answer is settled by reading back.

use {
    super::{
        Rings,
        fetch::{self, ALONE},
    },
    crate::{ring::Offer, store::ask::Ask},
    cowslip_decide::commit::{Commit, Event, Seen, Step},
    cowslip_platform::{
        Error,
        table::{Condition, Row, Write},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// It is recorded.
    Done,
    /// It is not recorded; the row that stands instead.
    Lost(Option<Seen>),
    /// It is not known whether it is recorded.
    Unknown,
}

/// Replaces the row `pk` of version `replaces`, or writes it if there is none, together with
/// `checks` on other rows.
pub(super) async fn commit(
    rings: &Rings,
    pk: &str,
    replaces: Option<u64>,
    body: String,
    checks: Vec<Write>,
) -> Written {
    let mut commit = Commit::new(replaces, body.as_str().into());
    let when = replaces.map_or(Condition::Absent, Condition::Version);
    let row = Row {
        pk: pk.into(),
        sk: ALONE.into(),
        version: commit.version(),
        body,
        expires: None,
    };
    let mut writes = vec![Write::Put { row, when }];
    writes.extend(checks);
    let mut step = commit.start();
    loop {
        let event = match step {
            Step::Write { after } => {
                sleep(after).await;
                write(rings, &writes).await
            }
            Step::ReadBack { after } => {
                sleep(after).await;
                read_back(rings, pk).await
            }
            Step::Done => return Written::Done,
            Step::Lost { seen } => return Written::Lost(seen),
            Step::GiveUp => return Written::Unknown,
        };
        step = commit.on(event);
    }
}

async fn write(rings: &Rings, writes: &[Write]) -> Event {
    let (reply, end) = oneshot::channel();
    let ask = Ask::Write {
        writes: writes.to_vec(),
        reply,
    };
    let Offer::Taken = rings.store.offer(ask) else {
        return Event::NotSent;
    };
    match end.await {
        Ok(Ok(())) => Event::Answered,
        Ok(Err(Error::Refused { .. })) => Event::Refused,
        Ok(Err(error)) if !error.may_have_happened() => Event::NotSent,
        Ok(Err(_)) | Err(_) => Event::Unknown,
    }
}

async fn read_back(rings: &Rings, pk: &str) -> Event {
    match fetch::row(rings, pk).await {
        Ok(row) => Event::Read(row.map(|row| Seen {
            version: row.version,
            body: row.body.as_str().into(),
        })),
        Err(()) => Event::Unread,
    }
}
