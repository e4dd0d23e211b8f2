//! One conditional write of a row, whose lost answer is settled by reading back.
//!
//! The row is replaced only if it still has the version that the writer read. The whole body is
//! the id of the write: it names the epoch or the run of its writer, so that two writers never
//! write the same one. After an unknown outcome or a refusal the row is read before anything else
//! is written, because the write may have taken effect or may still do so later.

use std::{sync::Arc, time::Duration};

/// Tries of the write and of reading back before the caller is told to give up.
const MAX_TRIES: u32 = 12;
/// Pause before the first retry.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a retry.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub body: Arc<str>,
}

/// What happened to the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write was answered: it is recorded.
    Answered,
    /// A condition of the write failed.
    Refused,
    /// The write did not happen: not sent, or rejected whole.
    NotSent,
    /// The write was sent and no answer came.
    Unknown,
    /// The row as it is now, or `None` if there is none.
    Read(Option<Seen>),
    /// The row could not be read.
    Unread,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the write after a pause.
    Write {
        /// Pause before.
        after: Duration,
    },
    /// Read the row after a pause.
    ReadBack {
        /// Pause before.
        after: Duration,
    },
    /// The write is recorded.
    Done,
    /// The write does not stand: another row replaced the old one, or this write itself, or
    /// another condition of the transaction failed.
    Lost {
        /// Row that stands instead.
        seen: Option<Seen>,
    },
    /// The outcome stays unknown; the row must be read before anything else is written.
    GiveUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Writing,
    Reading { refused: bool },
    Ended,
}

/// One conditional write.
#[derive(Clone, Debug)]
pub struct Commit {
    replaces: Option<u64>,
    body: Arc<str>,
    state: State,
    tries: u32,
}

impl Commit {
    /// Creates the write of `body` over the row with version `replaces`, or over no row.
    pub fn new(replaces: Option<u64>, body: Arc<str>) -> Self {
        Self {
            replaces,
            body,
            state: State::Writing,
            tries: 0,
        }
    }

    /// Returns the version that the row has after this write.
    pub fn version(&self) -> u64 {
        self.replaces.map_or(1, |version| version + 1)
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Write {
            after: Duration::ZERO,
        }
    }

    /// Takes what happened to the last step and returns the next one.
    ///
    /// An event that does not belong to the last step is taken for an unknown outcome.
    pub fn on(&mut self, event: Event) -> Step {
        match (self.state, event) {
            (State::Ended, _) => Step::GiveUp,
            (State::Writing, Event::Answered) => self.end(Step::Done),
            (State::Writing, Event::NotSent) => self.write(),
            (State::Writing, Event::Refused) => self.read(true),
            (State::Writing, _) => self.read(false),
            (State::Reading { refused }, Event::Read(seen)) => self.judge(refused, seen),
            (State::Reading { refused }, _) => self.read(refused),
        }
    }

    fn judge(&mut self, refused: bool, seen: Option<Seen>) -> Step {
        let version = seen.as_ref().map(|seen| seen.version);
        if version == Some(self.version()) && seen.as_ref().is_some_and(|s| s.body == self.body) {
            return self.end(Step::Done);
        }
        // Nobody replaced the row: the write is repeated, unless another condition refuses it.
        if version == self.replaces && !refused {
            return self.write();
        }
        self.end(Step::Lost { seen })
    }

    fn write(&mut self) -> Step {
        self.state = State::Writing;
        self.retry(|after| Step::Write { after })
    }

    fn read(&mut self, refused: bool) -> Step {
        let first = matches!(self.state, State::Writing);
        self.state = State::Reading { refused };
        if first {
            return Step::ReadBack {
                after: Duration::ZERO,
            };
        }
        self.retry(|after| Step::ReadBack { after })
    }

    fn retry(&mut self, step: impl Fn(Duration) -> Step) -> Step {
        self.tries += 1;
        if self.tries >= MAX_TRIES {
            return self.end(Step::GiveUp);
        }
        step(MAX_PAUSE.min(FIRST_PAUSE * 2_u32.pow(self.tries.min(8) - 1)))
    }

    fn end(&mut self, step: Step) -> Step {
        self.state = State::Ended;
        step
    }
}
