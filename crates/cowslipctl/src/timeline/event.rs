//! Events as the operators' ports answer them.

use {
    cowslip_decide::names::Name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Milliseconds of a day.
const DAY: u64 = 86_400_000;

/// Events of one process.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EventPage {
    /// Events, the oldest first.
    pub events: Vec<Event>,
    /// Events that the ring has dropped.
    pub dropped: u64,
    /// Events beyond the rate of their kind, by code.
    pub skipped: BTreeMap<String, u64>,
}

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number in the run of its process.
    pub seq: u64,
    /// Milliseconds since 1970 on the hybrid logical clock.
    pub wall: u64,
    /// Orders the events of one millisecond.
    pub count: u32,
    /// Instance that recorded it.
    pub process: Name,
    /// Data centre of that instance.
    pub data_centre: Name,
    /// Run of that instance.
    pub incarnation: u64,
    /// Number of the kind.
    pub code: String,
    /// Weight.
    pub level: String,
    /// What happened.
    pub text: String,
    /// Request, attempt or order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Key or range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// Target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// Instance that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
}

impl Event {
    /// Returns what the causal order compares.
    pub fn sort_key(&self) -> impl Ord + '_ {
        (
            self.wall,
            self.count,
            &self.process,
            self.incarnation,
            self.seq,
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.wall % DAY;
        let (hours, minutes) = (millis / 3_600_000, millis / 60_000 % 60);
        let (seconds, rest) = (millis / 1000 % 60, millis % 1000);
        write!(
            f,
            "{hours:02}:{minutes:02}:{seconds:02}.{rest:03}+{:<3} ",
            self.count
        )?;
        write!(
            f,
            "{:<16} {} {:<5} {}",
            self.process, self.code, self.level, self.text
        )?;
        let about = [
            ("request", &self.request),
            ("key", &self.key),
            ("target", &self.target),
            ("instance", &self.instance),
        ];
        for (name, value) in about {
            if let Some(value) = value
                .as_ref()
                .filter(|value| !self.text.contains(&***value))
            {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
