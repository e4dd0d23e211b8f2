//! Instance list that answers with what was true some time ago.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Most past lists that are kept.
const MAX_HISTORY: usize = 4096;

/// Entry of the list without its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre it stands in.
    pub data_centre: String,
    /// `instance` or `target`.
    pub kind: String,
    /// `live` or `leaving`.
    #[serde(default = "live")]
    pub state: String,
}

/// Entry as it is answered.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Named {
    name: String,
    #[serde(flatten)]
    entry: Entry,
}

/// List with its past.
#[derive(Debug, Default)]
pub(super) struct List {
    now: BTreeMap<String, Entry>,
    past: VecDeque<(Instant, BTreeMap<String, Entry>)>,
}

impl List {
    /// Adds or replaces an entry.
    pub(super) fn put(&mut self, name: &str, entry: Entry) {
        self.now.insert(name.to_owned(), entry);
        self.keep();
    }

    /// Removes an entry.
    pub(super) fn remove(&mut self, name: &str) {
        self.now.remove(name);
        self.keep();
    }

    /// Returns the list as it was `lag` ago.
    pub(super) fn seen(&self, lag: Duration) -> Vec<Named> {
        let now = Instant::now();
        let then = self
            .past
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag);
        let Some((_, entries)) = then else {
            return Vec::new();
        };
        entries
            .iter()
            .map(|(name, entry)| Named {
                name: name.clone(),
                entry: entry.clone(),
            })
            .collect()
    }

    fn keep(&mut self) {
        self.past.push_back((Instant::now(), self.now.clone()));
        if self.past.len() > MAX_HISTORY {
            self.past.pop_front();
        }
    }
}

fn live() -> String {
    "live".to_owned()
}
