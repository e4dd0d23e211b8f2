//! Events of this duty, under the names that it uses.

pub use crate::events::{
    CONNECTION_SILENT as LINK_RETIRED, DUTIES_SETTLED, GRANT_REFUSED, MAY_HAVE_RUN, TARGET_COLD,
    TARGET_LEAVING, TARGET_SILENT,
};
