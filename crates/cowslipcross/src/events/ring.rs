//! Ring buffer of the latest events of a process.

use {
    super::{
        EventFields, HybridTimestamp, Origin,
        catalogue::{EventKind, Level},
    },
    cowslip_decide::names::{Incarnation, Name},
    serde::Serialize,
    std::collections::{BTreeMap, VecDeque},
};

/// A recorded event.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Sequence number in this run of the process, from 1 without gaps.
    pub seq: u64,
    /// Hybrid timestamp of the event.
    #[serde(flatten)]
    pub stamp: HybridTimestamp,
    /// Instance that recorded the event.
    pub process: Name,
    /// Data centre of that instance.
    pub data_centre: Name,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Number of the kind, such as `CC0101`.
    pub code: String,
    /// Severity.
    pub level: Level,
    /// What happened, as text.
    pub text: String,
    /// Request id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Key or range of keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// Target id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// Name of the instance that the event concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
}

/// Response to an operator's request for events.
#[derive(Clone, Debug, Serialize)]
pub struct EventPage {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Events dropped from the full ring since the start of the process.
    pub dropped: u64,
    /// Number of events by code that exceeded the rate of their kind and were not recorded.
    pub skipped: BTreeMap<String, u64>,
}

/// Ring buffer of events with a rate limit per kind.
#[derive(Debug)]
pub(super) struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
    seq: u64,
    dropped: u64,
    rate_limits: BTreeMap<u16, RateLimit>,
}

/// Rate limit of one kind, counted per second of wall-clock time.
#[derive(Debug, Default)]
struct RateLimit {
    second: u64,
    count: u32,
    skipped: u64,
}

impl Event {
    pub(super) fn new(
        origin: &Origin,
        timestamp: HybridTimestamp,
        kind: &EventKind,
        fields: EventFields,
    ) -> Self {
        let fields = fields.shortened();
        Self {
            seq: 0,
            stamp: timestamp,
            process: origin.process.clone(),
            data_centre: origin.data_centre.clone(),
            incarnation: origin.incarnation,
            code: kind.code.to_string(),
            level: kind.level,
            text: kind.format_text(&fields),
            request: fields.request,
            key: fields.key,
            target: fields.target,
            instance: fields.instance,
        }
    }

    /// Returns the event as one line of JSON.
    pub(super) fn to_json(&self) -> String {
        // Serialization cannot fail: the fields are strings and numbers.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Ring {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            events: VecDeque::new(),
            seq: 0,
            dropped: 0,
            rate_limits: BTreeMap::new(),
        }
    }

    /// Returns whether an event of this kind is within its rate; counts it as skipped if not.
    pub fn admit(&mut self, kind: &EventKind, timestamp: HybridTimestamp) -> bool {
        match kind.rate {
            Some(max_rate) => self
                .rate_limits
                .entry(kind.code.0)
                .or_default()
                .admit(timestamp, max_rate),
            None => true,
        }
    }

    /// Assigns the sequence number and stores the event; a full ring drops its oldest event.
    pub fn push(&mut self, mut event: Event) -> Event {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.seq += 1;
        event.seq = self.seq;
        self.events.push_back(event.clone());
        event
    }

    pub fn page(&self, after: u64) -> EventPage {
        let from = self.events.partition_point(|event| event.seq <= after);
        let skipped = self
            .rate_limits
            .iter()
            .filter(|(_, limit)| limit.skipped > 0);
        EventPage {
            events: self.events.range(from..).cloned().collect(),
            dropped: self.dropped,
            skipped: skipped
                .map(|(code, limit)| (super::EventCode(*code).to_string(), limit.skipped))
                .collect(),
        }
    }
}

impl RateLimit {
    /// Counts an event and returns whether it is within the rate.
    fn admit(&mut self, timestamp: HybridTimestamp, max_rate: u32) -> bool {
        let second = timestamp.wall / 1000;
        if second > self.second {
            (self.second, self.count) = (second, 0);
        }
        if self.count >= max_rate {
            self.skipped += 1;
            return false;
        }
        self.count += 1;
        true
    }
}
