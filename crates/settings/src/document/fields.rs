//! The fields of a document.

use crate::field::{Field, Kind};

/// Methods that a route may have.
const METHODS: &[&str] = &["GET", "POST", "PUT", "PATCH", "DELETE"];

/// Words of the priorities, the highest first.
const PRIORITIES: &[&str] = &["high", "middle", "low"];

pub(super) const WITHDRAWN: Field = Field {
    default: Some("[]"),
    ..field(
        "withdrawn",
        Kind::Names,
        "Data centres that get no new work.",
    )
};
pub(super) const SERVICE: Field = field(
    "service.name",
    Kind::Name,
    "First segment of the path of its requests; unique.",
);
pub(super) const DIVIDED: Field = field(
    "service.divided",
    Kind::Flag,
    "Whether each key has one owning target; its requests then need a key.",
);
pub(super) const ROUTE: Field = field(
    "service.route.name",
    Kind::Name,
    "Second segment of the path; unique in its service.",
);
pub(super) const METHOD: Field = field(
    "service.route.method",
    Kind::Word(METHODS),
    "HTTP method of its requests.",
);
pub(super) const PRIORITY: Field = field(
    "service.route.priority",
    Kind::Word(PRIORITIES),
    "Rank in every queue; the lowest is refused first.",
);
pub(super) const REPEATABLE: Field = field(
    "service.route.repeatable",
    Kind::Flag,
    "Whether running a request twice is harmless.",
);
pub(super) const DEADLINE: Field = Field {
    unit: "ms",
    ..field(
        "service.route.deadline_ms",
        Kind::Number(1, 600_000),
        "Longest time from arrival to answer.",
    )
};
pub(super) const TARGET: Field = field(
    "service.target.name",
    Kind::Name,
    "Name, unique over all services.",
);
pub(super) const ADDRESS: Field = field(
    "service.target.address",
    Kind::Address,
    "Address, that of no other target.",
);
pub(super) const DATA_CENTRE: Field = field(
    "service.target.data_centre",
    Kind::Name,
    "Data centre it stands in.",
);
pub(super) const SLOTS: Field = Field {
    unit: "requests",
    ..field(
        "service.target.slots",
        Kind::Number(1, 10_000),
        "Requests that it runs at the same time once warm.",
    )
};
pub(super) const COLD_LIMIT: Field = Field {
    unit: "requests",
    ..field(
        "service.target.cold_limit",
        Kind::Number(1, 10_000),
        "Requests that it bears at the same time while cold; at most `slots`.",
    )
};
pub(super) const CONNECTIONS: Field = Field {
    unit: "connections",
    ..field(
        "service.target.connections",
        Kind::Number(1, 100_000),
        "Connections that it bears over all instances; at least `slots`.",
    )
};
pub(super) const CHECKS_FENCE: Field = field(
    "service.target.checks_fence",
    Kind::Flag,
    "Whether it accepts grants and refuses requests with an older fence.",
);

/// Every field of a document, in the order of the docs.
pub const FIELDS: &[Field] = &[
    WITHDRAWN,
    SERVICE,
    DIVIDED,
    ROUTE,
    METHOD,
    PRIORITY,
    REPEATABLE,
    DEADLINE,
    TARGET,
    ADDRESS,
    DATA_CENTRE,
    SLOTS,
    COLD_LIMIT,
    CONNECTIONS,
    CHECKS_FENCE,
];

const fn field(path: &'static str, kind: Kind, meaning: &'static str) -> Field {
    Field {
        path,
        kind,
        unit: "",
        default: None,
        meaning,
    }
}
