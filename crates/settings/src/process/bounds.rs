//! Section `bounds`: times and shares within which the deployment has to react.

use {
    crate::{
        error::Result,
        field::{Field, ValueType},
        reader::Section,
    },
    std::time::Duration,
};

const GRACE: Field = time(
    "bounds.grace",
    "6s",
    "Time after the stop signal at which the process is killed.",
);
const WITHDRAWAL: Field = time(
    "bounds.withdrawal",
    "5s",
    "Time after which a withdrawn data centre gets nothing more.",
);
const MAX_HOLD: Field = time("bounds.max_hold", "10s", "Longest hold of a grant.");
const RETRY_RATIO: Field = share(
    "bounds.retry_ratio",
    "0.2",
    "Repeated sends for each request.",
);
const RETRY_SLACK: Field = share(
    "bounds.retry_slack",
    "30",
    "Repeated sends of all instances beyond that share.",
);
const RETRY_WINDOW: Field = time(
    "bounds.retry_window",
    "10s",
    "Window in which repeated sends are counted.",
);

/// Times and shares within which the deployment has to react.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the stop signal at which the process is killed.
    pub grace: Duration,
    /// Time after which a withdrawn data centre gets nothing more.
    pub withdrawal: Duration,
    /// Longest hold of a grant.
    pub max_ttl: Duration,
    /// Repeated sends for each request.
    pub retry_ratio: f64,
    /// Repeated sends of all instances beyond that share.
    pub retry_slack: f64,
    /// Window in which repeated sends are counted.
    pub retry_window: Duration,
}

impl Bounds {
    /// Every field of the section.
    pub const FIELDS: &'static [Field] = &[
        GRACE,
        WITHDRAWAL,
        MAX_HOLD,
        RETRY_RATIO,
        RETRY_SLACK,
        RETRY_WINDOW,
    ];

    /// Reads the section; absent and empty fields have their defaults.
    pub(crate) fn read(root: &Section<'_>) -> Result<Self> {
        let section = root.section_or_empty("bounds")?;
        Ok(Self {
            grace: section.time(&GRACE)?,
            withdrawal: section.time(&WITHDRAWAL)?,
            max_ttl: section.time(&MAX_HOLD)?,
            retry_ratio: section.share(&RETRY_RATIO)?,
            retry_slack: section.share(&RETRY_SLACK)?,
            retry_window: section.time(&RETRY_WINDOW)?,
        })
    }
}

const fn time(path: &'static str, default: &'static str, description: &'static str) -> Field {
    Field {
        path,
        value_type: ValueType::Duration,
        unit: "",
        default: Some(default),
        description,
    }
}

const fn share(path: &'static str, default: &'static str, description: &'static str) -> Field {
    Field {
        path,
        value_type: ValueType::Decimal,
        unit: "",
        default: Some(default),
        description,
    }
}
