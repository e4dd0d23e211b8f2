//! Numbers of the events of this duty.

use crate::events::Code;

/// A target is back at its cold limit; the detail says why.
pub const TARGET_COLD: Code = Code(501);

/// A target refused a grant because it has seen a higher fence.
pub const GRANT_REFUSED: Code = Code(502);

/// A target has answered nothing for longer than the bound.
pub const TARGET_SILENT: Code = Code(503);

/// A target says that it is leaving.
pub const TARGET_LEAVING: Code = Code(504);

/// A connection without progress was closed while others of its target work.
pub const LINK_RETIRED: Code = Code(505);

/// New duties are in force here and nothing else is in flight or granted.
pub const DUTIES_SETTLED: Code = Code(506);

/// An attempt ended without a whole answer after it may have been sent.
pub const MAY_HAVE_RUN: Code = Code(507);
