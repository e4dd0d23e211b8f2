//! Platform stand-in: table service, object store and instance list in memory, with faults.

mod faults;
mod list;
mod objects;
mod serve;
mod table;

pub use {
    faults::{Counts, Faults},
    list::Entry,
    serve::{Handle, serve},
};
