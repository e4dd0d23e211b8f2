//! Sudden and lasting changes of the time that a target takes for requests of one kind.

use std::time::Duration;

/// Ratio of the short to the long average from which a target behaves cold.
const JUMP: f64 = 2.2;

/// Smallest difference of the two averages that counts as a jump.
const JUMP_FLOOR: Duration = Duration::from_millis(2);

/// Weight of a new time in the short average.
const SHORT_WEIGHT: f64 = 0.25;

/// Weight of a new time in the long average.
const LONG_WEIGHT: f64 = 0.01;

/// Multiple of the long average up to which one time counts, so that a jump takes several answers.
const CLIP: f64 = 4.0;

/// Ratio to the average before a jump up to which an answer counts as one of before.
const BACK: f64 = 1.5;

/// Answers in a row that show that a jump is over.
const BACK_ANSWERS: u32 = 2;

/// Answers before the first jump is looked for.
const FEWEST: u32 = 8;

/// What an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing new.
    Usual,
    /// The target has become much slower.
    Slower,
    /// The target is as fast again as before it became slower.
    Back,
}

/// Averages of the times of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    answers: u32,
    short: f64,
    long: f64,
    before: Option<f64>,
    back: u32,
}

impl Pace {
    /// Takes the time of one answer.
    ///
    /// After a jump the new time is the usual one, so that each change counts once.
    pub fn step(&mut self, time: Duration) -> Step {
        let seconds = time.as_secs_f64();
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.short = seconds;
            self.long = seconds;
        }
        let weight = LONG_WEIGHT.max(1.0 / f64::from(self.answers.min(100)));
        let clipped = seconds.min(CLIP * self.long);
        self.short += SHORT_WEIGHT * (clipped - self.short);
        if self.is_back(seconds) {
            return Step::Back;
        }
        let floor = self.long + JUMP_FLOOR.as_secs_f64();
        if self.answers > FEWEST && self.short > (JUMP * self.long).max(floor) {
            let before = self.before.unwrap_or(f64::INFINITY);
            self.before = Some(before.min(self.long));
            self.back = 0;
            self.long = self.short;
            return Step::Slower;
        }
        self.long += weight * (clipped - self.long);
        Step::Usual
    }

    fn is_back(&mut self, seconds: f64) -> bool {
        let Some(before) = self.before else {
            return false;
        };
        self.back = match seconds <= BACK * before {
            true => self.back + 1,
            false => 0,
        };
        if self.back < BACK_ANSWERS {
            return false;
        }
        self.before = None;
        self.long = before;
        self.short = before;
        true
    }
}
