//! Clients of the table service, the object store and the instance list.
//!
//! Each client belongs to the runtime of the thread that uses it. Every call ends within its
//! timeout, and every error says whether the write may have happened.

pub mod commit;
pub mod error;
pub mod instances;
pub mod objects;
pub mod table;

mod http;
mod items;

pub use error::{Error, Result};
