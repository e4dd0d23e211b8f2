//! Slots, queue, cold start and faults of a target.

use {
    super::{
        grants::Grants,
        options::{Faults, Options},
        record::{Breach, Record, Writer},
    },
    crate::clock::micros,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, LogNormal},
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// Time for which a target that fell over is slow.
const FALLEN: Duration = Duration::from_secs(3);
/// Factor on the time of a request while the target is down after a breach.
const FALLEN_FACTOR: f64 = 30.0;
/// Factor on the time of a request while the target is cold.
const COLD_FACTOR: f64 = 3.0;
/// Time after turning cold without a sign in which too many requests do no harm.
const GRACE: Duration = Duration::from_secs(1);
/// Cancelled ids that a target remembers.
const CANCELLED: usize = 10_000;

/// What becomes of a request that arrived.
pub(super) enum Admit {
    /// It runs now.
    Run,
    /// It waits for a slot.
    Wait(oneshot::Receiver<()>),
    /// It is shed.
    Shed,
}

/// All that changes while a target runs.
pub(super) struct State {
    pub(super) grants: Grants,
    pub(super) writer: Writer,
    pub(super) start: String,
    pub(super) leaving: bool,
    pub(super) lie: bool,
    pub(super) silenced: u64,
    pub(super) thaws: u64,
    pub(super) cut: f64,
    pub(super) error: f64,
    pub(super) rng: SmallRng,
    restarts: u64,
    slow: f64,
    limit: Option<usize>,
    successes: u32,
    grace: Option<Instant>,
    fallen: Option<Instant>,
    running: usize,
    waiting: VecDeque<(String, oneshot::Sender<()>)>,
    cancelled: (BTreeSet<String>, VecDeque<String>),
    options: Options,
    spread: LogNormal<f64>,
}

impl State {
    pub(super) fn new(options: &Options) -> Self {
        let record = Record {
            name: options.name.clone(),
            service: options.service.clone(),
            data_centre: options.data_centre.clone(),
            checks_fence: options.checks_fence,
            ..Record::default()
        };
        let at = micros();
        Self {
            grants: Grants::default(),
            writer: Writer::new(record, options.record_limit),
            start: format!("{}-{at}-0", options.name),
            leaving: false,
            lie: false,
            silenced: 0,
            thaws: 0,
            cut: 0.0,
            error: 0.0,
            rng: SmallRng::seed_from_u64(at),
            restarts: 0,
            slow: 1.0,
            limit: options.cold.then_some(options.cold_limit),
            successes: 0,
            grace: None,
            fallen: None,
            running: 0,
            waiting: VecDeque::new(),
            cancelled: Default::default(),
            options: options.clone(),
            spread: LogNormal::new(0.0, options.spread).expect("spread is finite"),
        }
    }

    pub(super) fn cold(&self) -> bool {
        self.limit.is_some()
    }

    pub(super) fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Takes a request in; the caller releases what runs.
    pub(super) fn admit(&mut self, id: &str, now: Instant) -> Admit {
        if self.cancelled.0.contains(id) {
            return Admit::Shed;
        }
        self.note_breach(now);
        if self.running < self.options.slots {
            self.running += 1;
            return Admit::Run;
        }
        if self.waiting.len() >= self.options.queue {
            return Admit::Shed;
        }
        let (wake, woken) = oneshot::channel();
        self.waiting.push_back((id.to_owned(), wake));
        Admit::Wait(woken)
    }

    /// Ends a run and passes its slot to the next request.
    pub(super) fn release(&mut self, good: bool) {
        while let Some((_, wake)) = self.waiting.pop_front() {
            if wake.send(()).is_ok() {
                self.running += 1;
                break;
            }
        }
        self.running -= 1;
        if good {
            self.grow();
        }
    }

    /// Cancels a request; returns whether it ran or may run.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        if self.writer.ran(id) {
            return true;
        }
        self.forget(id);
        if self.cancelled.0.insert(id.to_owned()) {
            self.cancelled.1.push_back(id.to_owned());
        }
        if self.cancelled.1.len() > CANCELLED
            && let Some(old) = self.cancelled.1.pop_front()
        {
            self.cancelled.0.remove(&old);
        }
        false
    }

    /// Takes a request out of the queue.
    pub(super) fn forget(&mut self, id: &str) {
        self.waiting.retain(|(waiting, _)| waiting != id);
    }

    pub(super) fn cancelled(&self, id: &str) -> bool {
        self.cancelled.0.contains(id)
    }

    /// Draws the time of a request that starts now.
    pub(super) fn duration(&mut self, now: Instant) -> Duration {
        let mut factor = self.slow * self.spread.sample(&mut self.rng);
        if self.cold() {
            factor *= COLD_FACTOR;
        }
        if self.fallen.is_some_and(|until| now < until) {
            factor *= FALLEN_FACTOR;
        }
        self.options.service_time.mul_f64(factor)
    }

    pub(super) fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    /// Switches faults, all but the freeze; returns whether connections must be dropped.
    pub(super) fn switch(&mut self, faults: &Faults, now: Instant) -> bool {
        self.slow = faults.slow.unwrap_or(self.slow);
        self.cut = faults.cut.unwrap_or(self.cut);
        self.error = faults.error.unwrap_or(self.error);
        self.lie = faults.lie.unwrap_or(self.lie);
        if let Some(leave) = faults.leave {
            self.leaving = leave;
            self.writer.record.leaving = leave.then(micros);
        }
        if faults.cold {
            self.turn_cold();
            self.grace = Some(now + GRACE);
        }
        if faults.restart || faults.kill {
            self.restart();
        }
        faults.restart || faults.kill
    }

    fn turn_cold(&mut self) {
        self.limit = Some(self.options.cold_limit);
        self.successes = 0;
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.start = format!("{}-{}-{}", self.options.name, micros(), self.restarts);
        self.waiting.clear();
        self.grants.clear(micros(), &mut self.writer.record.held);
        self.turn_cold();
        self.grace = None;
        self.fallen = None;
    }

    fn note_breach(&mut self, now: Instant) {
        let Some(limit) = self.limit else { return };
        let held = self.load() + 1;
        if held <= limit || self.grace.is_some_and(|until| now < until) {
            return;
        }
        self.writer.record.breaches.push(Breach {
            at: micros(),
            held,
            limit,
        });
        self.turn_cold();
        self.fallen = Some(now + FALLEN);
    }

    fn grow(&mut self) {
        let Some(limit) = self.limit else { return };
        self.successes += 1;
        if self.successes < self.options.warmup {
            return;
        }
        self.successes = 0;
        let warm = limit + 1 > self.options.slots;
        self.limit = (!warm).then_some(limit + 1);
    }
}
