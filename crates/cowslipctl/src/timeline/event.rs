//! Events as returned by `/events` on the operators' ports.

use {
    cowslip_decide::names::Name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// Response of `/events` of one instance.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EventPage {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Number of events that the ring buffer has dropped.
    pub dropped: u64,
    /// Number of events skipped by the rate limit of their code, by code.
    pub skipped: BTreeMap<String, u64>,
}

/// An event recorded by an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within the incarnation of the instance.
    pub seq: u64,
    /// Milliseconds since 1970 on the hybrid logical clock.
    pub wall: u64,
    /// Logical counter of that clock, which orders events of one millisecond.
    pub count: u32,
    /// Instance that recorded the event.
    pub process: Name,
    /// Data centre of that instance.
    pub data_centre: Name,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Code of the event type, such as `CC0701`.
    pub code: String,
    /// Log level.
    pub level: String,
    /// Message.
    pub text: String,
    /// ID of a request, an attempt or a command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Key or key range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// ID of a target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// Instance that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
}

impl Event {
    /// Returns the key by which events are sorted in causal order.
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
        // Time of day in UTC, then the logical counter.
        let millis = self.wall % DAY_MS;
        let (hours, minutes) = (millis / 3_600_000, millis / 60_000 % 60);
        let (seconds, fraction) = (millis / 1000 % 60, millis % 1000);
        write!(
            f,
            "{hours:02}:{minutes:02}:{seconds:02}.{fraction:03}+{:<3} ",
            self.count
        )?;
        write!(
            f,
            "{:<16} {} {:<5} {}",
            self.process, self.code, self.level, self.text
        )?;
        let details = [
            ("request", &self.request),
            ("key", &self.key),
            ("target", &self.target),
            ("instance", &self.instance),
        ];
        // Details that the message already contains are left out.
        for (name, value) in details {
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
