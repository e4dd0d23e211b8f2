//! Elections of several instances on one planner row, with lost answers and lost leases.

mod common;

use {
    common::{Dice, seeds},
    cowslip_decide::{
        elect::{Elect, Planner, Standing, Step},
        names::{Epoch, Incarnation, Name},
    },
    std::{collections::BTreeSet, time::Duration},
    tokio::time::Instant,
};

const TICK: Duration = Duration::from_millis(50);

fn standing(leased: bool, lost: &BTreeSet<Name>) -> Standing<'_> {
    Standing {
        leased,
        lost,
        members: 12,
    }
}

/// Carries out the calls that `step` asks for; `lossy` loses answers after their effect.
fn carry_out(
    elect: &mut Elect,
    step: Step,
    row: &mut Option<Planner>,
    at: (Standing, Instant),
    lossy: bool,
) -> Step {
    let (standing, now) = at;
    match step {
        Step::Read if lossy => elect.failed(None, standing, now),
        Step::Read => {
            let next = elect.read(row.as_ref(), standing, now);
            carry_out(elect, next, row, at, lossy)
        }
        Step::Take { replaces, row: new } => {
            let stands = row.as_ref().map(|row| row.epoch.0);
            if stands != replaces {
                return elect.failed(row.as_ref(), standing, now);
            }
            assert_eq!(new.epoch.0, stands.unwrap_or(0) + 1);
            *row = Some(new);
            if lossy {
                return elect.failed(None, standing, now);
            }
            elect.taken(standing, now)
        }
        other => other,
    }
}

#[test]
fn one_planner_an_epoch_and_always_one_in_the_end() {
    seeds(60, |seed| {
        let dice = &mut Dice::new(seed);
        let mut now = Instant::now();
        let mut row = None;
        let mut elects: Vec<Elect> = (0..12)
            .map(|i| Elect::new(format!("i{i}").into(), Incarnation(1), now))
            .collect();
        let mut leased = [true; 12];
        let mut owners = std::collections::BTreeMap::<Epoch, Name>::new();
        let mut planning = BTreeSet::new();
        for tick in 0..600 {
            let calm = tick > 400;
            let i = dice.below(12);
            leased[i] = calm || !dice.once_in(3);
            let lost: BTreeSet<Name> = (0..12)
                .filter(|i| !leased[*i])
                .map(|i| format!("i{i}").into())
                .collect();
            planning.clear();
            for i in 0..12 {
                let standing = standing(leased[i] || calm, &lost);
                let lossy = !calm && dice.once_in(3);
                let step = elects[i].step(standing, now);
                let step = carry_out(&mut elects[i], step, &mut row, (standing, now), lossy);
                if let Step::Plan { epoch } = step {
                    assert!(standing.leased, "plans without a lease");
                    let owner = owners.entry(epoch).or_insert(format!("i{i}").into());
                    assert_eq!(**owner, format!("i{i}"), "two planners in epoch {epoch}");
                    planning.insert(i);
                }
            }
            for i in planning.clone() {
                let said = elects[i].planner().cloned();
                let said = said.expect("a planner knows itself");
                let listeners = elects.iter_mut().filter(|_| calm || !dice.once_in(4));
                listeners.for_each(|other| other.hear(&said, now));
            }
            now += TICK;
        }
        assert_eq!(planning.len(), 1, "seed {seed}: not one planner in calm");
        assert!(owners.len() > 1, "seed {seed}: the planner never changed");
    });
}

#[test]
fn a_planner_stops_without_a_lease_and_when_it_hears_of_a_newer_epoch() {
    let none = BTreeSet::new();
    let now = Instant::now();
    let mut elect = Elect::new("a".into(), Incarnation(1), now);
    let mut row = None;
    let later = now + Duration::from_secs(2);
    let plan = |elect: &mut Elect, row: &mut Option<Planner>, leased, now| {
        let step = elect.step(standing(leased, &none), now);
        carry_out(elect, step, row, (standing(leased, &none), now), false)
    };
    let idle = plan(&mut elect, &mut row, false, later);
    assert!(
        matches!(idle, Step::Idle { .. }),
        "a candidate needs a lease"
    );
    let later = later + Duration::from_secs(2);
    let first = plan(&mut elect, &mut row, true, later);
    assert_eq!(first, Step::Plan { epoch: Epoch(1) });
    let stopped = plan(&mut elect, &mut row, false, later);
    assert!(matches!(stopped, Step::Idle { .. }));
    let later = later + Duration::from_secs(2);
    let again = plan(&mut elect, &mut row, true, later);
    assert_eq!(again, Step::Plan { epoch: Epoch(2) });

    let newer = Planner {
        epoch: Epoch(3),
        instance: "b".into(),
        incarnation: Incarnation(1),
    };
    elect.hear(&newer, later);
    let stopped = plan(&mut elect, &mut row, true, later);
    assert!(matches!(stopped, Step::Idle { .. }));
    // The row that stands is older than what was heard: it must not be replaced.
    let much_later = later + Duration::from_secs(9);
    let waits = plan(&mut elect, &mut row, true, much_later);
    assert!(matches!(waits, Step::Idle { .. }));
    assert_eq!(row.map(|row| row.epoch), Some(Epoch(2)));
}

#[test]
fn a_planner_that_is_heard_is_left_alone_and_one_that_is_lost_is_replaced() {
    let now = Instant::now();
    let mut elect = Elect::new("a".into(), Incarnation(1), now);
    let planner = Planner {
        epoch: Epoch(4),
        instance: "b".into(),
        incarnation: Incarnation(1),
    };
    let none = BTreeSet::new();
    let mut at = now;
    for _ in 0..100 {
        elect.hear(&planner, at);
        let step = elect.step(standing(true, &none), at);
        assert!(matches!(step, Step::Idle { .. }));
        at += TICK;
    }
    let almost = at + Duration::from_millis(900);
    let step = elect.clone().step(standing(true, &none), almost);
    assert!(matches!(step, Step::Idle { .. }), "not silent for long");
    let silent = at + Duration::from_millis(1300);
    assert_eq!(
        elect.clone().step(standing(true, &none), silent),
        Step::Read
    );
    let lost = BTreeSet::from(["b".into()]);
    let soon = at + Duration::from_millis(300);
    assert_eq!(elect.step(standing(true, &lost), soon), Step::Read);
    let step = elect.read(Some(&planner), standing(true, &lost), soon);
    assert!(matches!(
        step,
        Step::Take {
            replaces: Some(4),
            ..
        }
    ));
}
