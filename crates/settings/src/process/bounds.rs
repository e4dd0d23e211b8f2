//! Section `bounds`: time limits and retry budget of the deployment.

use {
    crate::{
        error::Result,
        field::{DataType, Field},
        reader::Section,
    },
    std::time::Duration,
};

const GRACE_FIELD: Field = duration_field(
    "bounds.grace",
    "6s",
    "Time from the stop signal until the platform kills the process.",
);
const WITHDRAWAL_FIELD: Field = duration_field(
    "bounds.withdrawal",
    "5s",
    "Time within which a withdrawn data centre must stop getting requests.",
);
const MAX_TTL_FIELD: Field = duration_field("bounds.max_hold", "10s", "Maximum TTL of a grant.");
const RETRY_RATIO_FIELD: Field = decimal_field(
    "bounds.retry_ratio",
    "0.2",
    "Allowed ratio of retries to requests.",
);
const RETRY_SLACK_FIELD: Field = decimal_field(
    "bounds.retry_slack",
    "30",
    "Retries allowed beyond `retry_ratio` in a `retry_window`, for all instances together.",
);
const RETRY_WINDOW_FIELD: Field = duration_field(
    "bounds.retry_window",
    "10s",
    "Sliding window over which retries are counted.",
);

/// Time limits and retry budget of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal until the platform kills the process.
    pub grace: Duration,
    /// Time within which a withdrawn data centre must stop getting requests.
    pub withdrawal: Duration,
    /// Maximum TTL of a grant; setting `bounds.max_hold`.
    pub max_ttl: Duration,
    /// Allowed ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond `retry_ratio` in a `retry_window`, for all instances together.
    pub retry_slack: f64,
    /// Sliding window over which retries are counted.
    pub retry_window: Duration,
}

impl Bounds {
    /// All fields of the section, in the order of the docs.
    pub const FIELDS: &'static [Field] = &[
        GRACE_FIELD,
        WITHDRAWAL_FIELD,
        MAX_TTL_FIELD,
        RETRY_RATIO_FIELD,
        RETRY_SLACK_FIELD,
        RETRY_WINDOW_FIELD,
    ];

    /// Reads the section; missing and empty fields get their defaults.
    pub(crate) fn from_root(root: &Section<'_>) -> Result<Self> {
        let section = root.read_section_or_empty("bounds")?;
        Ok(Self {
            grace: section.read_duration(&GRACE_FIELD)?,
            withdrawal: section.read_duration(&WITHDRAWAL_FIELD)?,
            max_ttl: section.read_duration(&MAX_TTL_FIELD)?,
            retry_ratio: section.read_decimal(&RETRY_RATIO_FIELD)?,
            retry_slack: section.read_decimal(&RETRY_SLACK_FIELD)?,
            retry_window: section.read_duration(&RETRY_WINDOW_FIELD)?,
        })
    }
}

const fn duration_field(
    path: &'static str,
    default: &'static str,
    description: &'static str,
) -> Field {
    Field {
        path,
        data_type: DataType::DurationText,
        unit: "",
        default: Some(default),
        description,
    }
}

const fn decimal_field(
    path: &'static str,
    default: &'static str,
    description: &'static str,
) -> Field {
    Field {
        path,
        data_type: DataType::Decimal,
        unit: "",
        default: Some(default),
        description,
    }
}
