//! What other duties ask of the platform duty.

use {
    bytes::Bytes,
    cowslip_decide::{
        names::Name,
        order::{OrderEnd, OrderRow},
    },
    cowslip_platform::{
        Result,
        instances::Entry,
        table::{Row, Write},
    },
    tokio::sync::oneshot,
};

/// An order to journal.
#[derive(Clone, Debug)]
pub struct Order {
    /// Service and id of the order.
    pub id: Name,
    /// Row to write.
    pub row: OrderRow,
    /// Time from which the table may drop the row, in seconds since 1970.
    pub expires: u64,
}

/// Whether an order may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begun {
    /// It is journalled under this version: send it.
    Send(u64),
    /// Its recorded end is the answer.
    Answer(OrderEnd),
    /// An earlier arrival is in progress or its end is unknown.
    Duplicate,
    /// The id belongs to another order.
    Mismatch,
    /// The table cannot be reached; the order was not sent.
    Refused,
}

/// A call of the platform.
#[derive(Debug)]
pub enum Ask {
    /// Reads a row.
    Get {
        /// Partition key.
        pk: Name,
        /// Sort key.
        sk: Name,
        /// Receives the row.
        reply: oneshot::Sender<Result<Option<Row>>>,
    },
    /// Carries out a transaction.
    Write {
        /// Items of the transaction.
        writes: Vec<Write>,
        /// Receives its end.
        reply: oneshot::Sender<Result<()>>,
    },
    /// Reads an object.
    Object {
        /// Key of the object.
        key: Name,
        /// Receives the object.
        reply: oneshot::Sender<Result<Option<Bytes>>>,
    },
    /// Reads the instance list.
    List {
        /// Receives the entries.
        reply: oneshot::Sender<Result<Vec<Entry>>>,
    },
    /// Journals an order before it is sent.
    Begin {
        /// The order.
        order: Order,
        /// Receives whether it may be sent.
        reply: oneshot::Sender<Begun>,
    },
    /// Records the end of an order.
    End {
        /// The order.
        order: Order,
        /// Version of its row.
        version: u64,
        /// Its end.
        end: OrderEnd,
    },
}
