//! Whether a request leaves its data centre for a target in another one.
//!
//! Traffic between data centres is slower and costs money, yet a data centre's own targets are sometimes
//! too few. Answers within the latency goal are worth the same, so leaving pays only while a request is
//! expected to miss its goal at home, and to be answered earlier elsewhere. As each request that leaves
//! shortens the wait at home, only the excess leaves. Requests of a data centre's own callers go before
//! those of guests.

use {crate::names::Name, std::collections::BTreeSet};

/// Part of the time left until the latency goal beyond which the expected time at home makes requests
/// leave. Response times vary, so that a request closer to the goal would often miss it.
const LEAVE_RATIO: f64 = 0.6;
/// Part of that time at which requests stay again; lower, so that single long requests do not make the
/// others go back and forth.
const STAY_RATIO: f64 = 0.4;
/// Seconds for the way to another data centre of the region and back, with the larger spread there.
const CROSSING_TIME_S: f64 = 0.005;
/// Part of a data centre's slots that guests leave free while its own callers use some.
const RESERVED_RATIO: f64 = 0.2;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// To a target in its data centre, or into the queue for one.
    Home,
    /// To a target in another data centre.
    Elsewhere,
}

/// Expected seconds until a request is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedTimes {
    /// At home, waiting included; `None` if the data centre has no target for the request.
    pub home: Option<f64>,
    /// At the best target elsewhere that takes guests now; `None` if there is none.
    pub elsewhere: Option<f64>,
    /// Until the latency goal.
    pub goal: f64,
}

/// Use of a data centre's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CentreUse {
    /// Requests that its targets run concurrently.
    pub slots: u32,
    /// Requests of its own callers at them.
    pub own: u32,
    /// Requests of other data centres' callers at them.
    pub guests: u32,
    /// Requests of its own callers that wait.
    pub waiting: u32,
}

impl CentreUse {
    /// Returns whether the data centre takes a request of another one's callers.
    pub fn takes_guest(&self) -> bool {
        if self.own + self.waiting == 0 {
            return true;
        }
        let usable = (1.0 - RESERVED_RATIO) * f64::from(self.slots);
        self.waiting == 0 && f64::from(self.own + self.guests) < usable
    }
}

/// Data centres whose requests leave at present.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    leaving: BTreeSet<Name>,
}

impl Spill {
    /// Decides where a request of a data centre's caller goes.
    pub fn choose_place(&mut self, home: &Name, times: ExpectedTimes) -> Place {
        let Some(at_home) = times.home else {
            return Place::Elsewhere;
        };
        let ratio = match self.leaving.contains(home) {
            true => STAY_RATIO,
            false => LEAVE_RATIO,
        };
        if at_home <= ratio * times.goal {
            self.leaving.remove(home);
            return Place::Home;
        }
        self.leaving.insert(home.clone());
        match times.elsewhere {
            Some(elsewhere) if elsewhere + CROSSING_TIME_S < at_home => Place::Elsewhere,
            _ => Place::Home,
        }
    }

    /// Returns the number of data centres whose requests leave at present.
    pub fn leaving_centres(&self) -> usize {
        self.leaving.len()
    }
}
