//! Commits of racing writers against a table whose answers are lost and whose writes are late.

mod common;

use {
    common::{Dice, seeds},
    cowslip_decide::commit::{Commit, Event, Seen, Step},
    std::sync::Arc,
};

/// A write on its way: what it replaces, its body and the epoch that it names.
#[derive(Clone)]
struct Sent {
    replaces: Option<u64>,
    body: Arc<str>,
    epoch: usize,
}

#[derive(Default)]
struct Model {
    history: Vec<Seen>,
    late: Vec<Sent>,
    epoch: usize,
}

impl Model {
    fn row(&self) -> Option<Seen> {
        self.history.last().cloned()
    }

    fn apply(&mut self, write: &Sent) -> bool {
        let version = self.row().map(|row| row.version);
        let held = version == write.replaces && self.epoch == write.epoch;
        if held {
            self.history.push(Seen {
                version: version.map_or(1, |version| version + 1),
                body: write.body.clone(),
            });
        }
        held
    }

    fn receive(&mut self, write: Sent, dice: &mut Dice) -> Event {
        match dice.below(6) {
            0 => Event::NotSent,
            1 => Event::Unknown,
            2 => {
                self.apply(&write);
                Event::Unknown
            }
            3 => {
                self.late.push(write);
                Event::Unknown
            }
            _ if self.apply(&write) => Event::Answered,
            _ => Event::Refused,
        }
    }
}

struct Writer {
    commit: Commit,
    step: Step,
    write: Sent,
    unknown: bool,
}

fn start(model: &Model, name: usize, turn: usize) -> Writer {
    let replaces = model.row().map(|row| row.version);
    let body: Arc<str> = format!("{name}/{turn}").into();
    let commit = Commit::new(replaces, body.clone());
    Writer {
        step: commit.start(),
        commit,
        write: Sent {
            replaces,
            body,
            epoch: model.epoch,
        },
        unknown: false,
    }
}

fn turn(writer: &mut Writer, model: &mut Model, dice: &mut Dice) -> Event {
    match writer.step {
        Step::Write { .. } => {
            assert!(!writer.unknown, "wrote again before reading back");
            let event = model.receive(writer.write.clone(), dice);
            writer.unknown = matches!(event, Event::Unknown | Event::Refused);
            event
        }
        _ if dice.once_in(4) => Event::Unread,
        _ => {
            writer.unknown = false;
            Event::Read(model.row())
        }
    }
}

fn check(writer: &Writer, model: &Model) {
    let version = writer.commit.version();
    let recorded = model.history.get(version as usize - 1);
    let mine = recorded.is_some_and(|row| row.body == writer.write.body);
    match &writer.step {
        Step::Done => assert!(mine, "done, but not recorded"),
        Step::Lost { seen } => {
            let superseded = seen.as_ref().is_some_and(|row| row.version > version);
            assert!(!mine || superseded, "lost, but recorded");
        }
        _ => {}
    }
}

#[test]
fn a_write_is_done_exactly_if_it_is_recorded() {
    seeds(400, |seed| {
        let dice = &mut Dice::new(seed);
        let model = &mut Model::default();
        let mut writers: Vec<Writer> = (0..3).map(|name| start(model, name, 0)).collect();
        for at in 1..200 {
            if dice.once_in(25) {
                model.epoch += 1;
            }
            if let Some(late) = (dice.once_in(3)).then(|| model.late.pop()).flatten() {
                model.apply(&late);
            }
            let name = dice.below(writers.len());
            let writer = &mut writers[name];
            let event = turn(writer, model, dice);
            writer.step = writer.commit.on(event);
            check(writer, model);
            if !matches!(writer.step, Step::Write { .. } | Step::ReadBack { .. }) {
                writers[name] = start(model, name, at);
            }
        }
        assert!(model.history.len() > 5, "seed {seed}: nothing was written");
    });
}

#[test]
fn an_outage_ends_in_giving_up_with_growing_pauses() {
    let mut commit = Commit::new(Some(7), "body".into());
    assert_eq!(commit.version(), 8);
    let mut step = commit.on(Event::Unknown);
    let mut last = std::time::Duration::ZERO;
    let mut tries = 0;
    while let Step::ReadBack { after } = step {
        assert!(after >= last);
        last = after;
        tries += 1;
        step = commit.on(Event::Unread);
    }
    assert_eq!((step, tries), (Step::GiveUp, 12));
    assert_eq!(commit.on(Event::Answered), Step::GiveUp);
}
