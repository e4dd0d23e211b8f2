//! The latest events of a process.

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
    /// Number in this run of the process, from 1 and without gaps.
    pub seq: u64,
    /// When it happened.
    #[serde(flatten)]
    pub stamp: HybridTimestamp,
    /// Instance that recorded it.
    pub process: Name,
    /// Data centre of that instance.
    pub data_centre: Name,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Number of the kind.
    pub code: String,
    /// Weight.
    pub level: Level,
    /// What happened, in words.
    pub text: String,
    /// Request or attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Name>,
    /// Key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<Name>,
    /// Target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// Instance that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instance: Option<Name>,
}

/// Events of a process for an operator.
#[derive(Clone, Debug, Serialize)]
pub struct EventPage {
    /// Events, the oldest first.
    pub events: Vec<Event>,
    /// Events that the ring has dropped since the start of the process.
    pub dropped: u64,
    /// Events beyond the rate of their kind, by code, that were counted only.
    pub skipped: BTreeMap<String, u64>,
}

/// A bounded queue of events.
#[derive(Debug)]
pub(super) struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
    seq: u64,
    dropped: u64,
    rates: BTreeMap<u16, Rate>,
}

/// Events of one kind within one second.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    count: u32,
    skipped: u64,
}

impl Event {
    pub(super) fn new(
        origin: &Origin,
        stamp: HybridTimestamp,
        kind: &EventKind,
        about: EventFields,
    ) -> Self {
        Self {
            seq: 0,
            stamp,
            process: origin.process.clone(),
            data_centre: origin.data_centre.clone(),
            incarnation: origin.incarnation,
            code: kind.code.to_string(),
            level: kind.level,
            text: kind.format_text(&about),
            request: about.request,
            key: about.key,
            target: about.target,
            instance: about.instance,
        }
    }

    /// Returns the event as one line of JSON.
    pub(super) fn json(&self) -> String {
        // Its fields are texts and numbers, which always have a JSON form.
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
            rates: BTreeMap::new(),
        }
    }

    /// Returns whether an event of this kind is within the rate, and counts it if not.
    pub fn admit(&mut self, kind: &EventKind, stamp: HybridTimestamp) -> bool {
        match kind.rate {
            Some(limit) => self
                .rates
                .entry(kind.code.0)
                .or_default()
                .admit(stamp, limit),
            None => true,
        }
    }

    /// Numbers and keeps an event, and drops the oldest one from a full ring.
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
        let skipped = self.rates.iter().filter(|(_, rate)| rate.skipped > 0);
        EventPage {
            events: self.events.range(from..).cloned().collect(),
            dropped: self.dropped,
            skipped: skipped
                .map(|(code, rate)| (super::EventCode(*code).to_string(), rate.skipped))
                .collect(),
        }
    }
}

impl Rate {
    fn admit(&mut self, stamp: HybridTimestamp, limit: u32) -> bool {
        let second = stamp.wall / 1000;
        if second > self.second {
            (self.second, self.count) = (second, 0);
        }
        if self.count >= limit {
            self.skipped += 1;
            return false;
        }
        self.count += 1;
        true
    }
}
