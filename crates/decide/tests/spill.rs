//! Requests that leave their data centre, under the loads that make leaving pay or not.

mod pool_fixtures;

use {
    cowslip_decide::{
        names::Name,
        permits::{PermitOutcome, PermitReply, PermitRequest, Pool, PoolTarget},
        spill::{CentreUse, ExpectedTimes, Place, Spill},
    },
    pool_fixtures::{SLOTS, is_granted, millis, permit_request, pool_targets, report},
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Time that a target works on a request, and the goal of callers, in ms.
const WORK_MS: u64 = 100;
const GOAL_MS: u64 = 500;
/// Targets of each data centre.
const TARGETS: usize = 4;
/// Requests a second that fit into a data centre, with the one that waits at each target.
const FITTING: u64 = TARGETS as u64 * (SLOTS as u64 + 1) * 1000 / WORK_MS;

/// What callers of one data centre got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    in_goal: usize,
    late: usize,
    refused: usize,
    /// Requests that another data centre's target ran.
    elsewhere: usize,
}

impl Served {
    fn all(self) -> usize {
        self.in_goal + self.late + self.refused
    }
}

fn targets(centres: &[&str]) -> BTreeMap<Name, PoolTarget> {
    let mut all = BTreeMap::new();
    for centre in centres {
        for number in 0..TARGETS {
            let name = format!("{centre}-{number}");
            let mut created = pool_targets(&[(&name, None)]);
            for target in created.values_mut() {
                target.data_centre = (*centre).into();
            }
            all.append(&mut created);
        }
    }
    all
}

/// Plays 10 s in which callers of each data centre send so many requests a second.
fn play(demand: &[(&str, u64)], keeps_home: bool) -> BTreeMap<String, Served> {
    let start = Instant::now();
    let centres: Vec<&str> = demand.iter().map(|(centre, _)| *centre).collect();
    let mut pool: Pool<u8> = Pool::default();
    pool.keep_home(keeps_home);
    pool.update_targets(&targets(&centres), start);
    let mut requests: BTreeMap<(u8, u64), (usize, u64)> = BTreeMap::new();
    let mut running: Vec<(u64, (u8, u64))> = Vec::new();
    let mut served: BTreeMap<String, Served> = BTreeMap::new();
    let mut number = 0;
    for ms in (0..10_000).step_by(5) {
        let now = start + millis(ms);
        let mut replies = Vec::new();
        let (ended, rest) = running.iter().partition::<Vec<_>, _>(|(end, _)| *end <= ms);
        running = rest;
        for (_, id) in ended {
            pool.finish_request(&id, report(PermitOutcome::Served), now);
            let (centre, sent) = requests[&id];
            let counts = served.entry(centres[centre].into()).or_default();
            match ms - sent <= GOAL_MS {
                true => counts.in_goal += 1,
                false => counts.late += 1,
            }
        }
        replies.extend(pool.process_queue(now));
        for (index, (centre, rate)) in demand.iter().enumerate() {
            let before = rate * ms / 1000;
            for _ in before..rate * (ms + 5) / 1000 {
                number += 1;
                let id = (index as u8, number);
                requests.insert(id, (index, ms));
                let request = PermitRequest {
                    data_centre: (*centre).into(),
                    ..permit_request(1, now, GOAL_MS, 2000)
                };
                replies.push((id, pool.request_permit(id, request, now)));
            }
        }
        for (id, reply) in replies {
            let centre = centres[requests[&id].0];
            let counts = served.entry(centre.into()).or_default();
            match &reply {
                PermitReply::Granted(target) => {
                    counts.elsewhere += usize::from(!target.starts_with(centre));
                    running.push((ms + WORK_MS, id));
                }
                PermitReply::Refused(_) => counts.refused += 1,
                PermitReply::Queued => assert!(!is_granted(&reply)),
            }
        }
    }
    served
}

#[test]
fn nobody_leaves_while_the_targets_at_home_suffice() {
    for demand in [20, 60, 75] {
        let served = play(&[("east", demand), ("west", 10)], true);
        let east = served["east"];
        assert_eq!(east.elsewhere, 0, "{demand}: {east:?}");
        assert_eq!(east.in_goal, east.all(), "{demand}: {east:?}");
    }
}

#[test]
fn the_excess_leaves_and_is_served_in_time() {
    let east = play(&[("east", FITTING + 30), ("west", 10)], true)["east"];
    assert!(10 * east.in_goal >= 9 * east.all(), "{east:?}");
    let share = east.elsewhere as f64 / east.all() as f64;
    assert!((0.1..=0.4).contains(&share), "{share}, {east:?}");
    let without = play(&[("east", FITTING + 30), ("west", 10)], false)["east"];
    assert!(east.elsewhere <= without.elsewhere, "{east:?}, {without:?}");
}

#[test]
fn guests_do_not_crowd_out_the_callers_of_a_data_centre() {
    let served = play(&[("east", 400), ("west", 50)], true);
    let west = served["west"];
    assert!(20 * west.in_goal >= 19 * west.all(), "{west:?}");
    // What west leaves unused goes to east, but for the reserve.
    assert!(served["east"].elsewhere >= 50, "{:?}", served["east"]);
}

#[test]
fn nobody_leaves_for_a_data_centre_that_is_as_full() {
    let served = play(&[("east", 130), ("west", 130)], true);
    for (centre, counts) in &served {
        assert!(
            20 * counts.elsewhere <= counts.all(),
            "{centre}: {counts:?}"
        );
    }
}

#[test]
fn requests_go_back_and_forth_only_beyond_the_hysteresis() {
    let mut spill = Spill::default();
    let times = |home: f64| ExpectedTimes {
        home: Some(home),
        elsewhere: Some(0.1),
        goal: 1.0,
    };
    let home: Name = "east".into();
    let places = [0.5, 0.65, 0.5, 0.45, 0.39, 0.5].map(|it| spill.choose_place(&home, times(it)));
    use Place::{Elsewhere, Home};
    assert_eq!(places, [Home, Elsewhere, Elsewhere, Elsewhere, Home, Home]);
}

#[test]
fn leaving_pays_only_if_it_is_faster_with_the_way() {
    let mut spill = Spill::default();
    let home: Name = "east".into();
    let place = |spill: &mut Spill, elsewhere| {
        let times = ExpectedTimes {
            home: Some(0.9),
            elsewhere,
            goal: 1.0,
        };
        spill.choose_place(&home, times)
    };
    assert_eq!(place(&mut spill, Some(0.899)), Place::Home);
    assert_eq!(place(&mut spill, None), Place::Home);
    assert_eq!(place(&mut spill, Some(0.5)), Place::Elsewhere);
}

#[test]
fn a_data_centre_takes_guests_by_the_room_that_its_callers_leave() {
    let centre = |own, guests, waiting| CentreUse {
        slots: 10,
        own,
        guests,
        waiting,
    };
    assert!(centre(0, 9, 0).takes_guest());
    assert!(centre(4, 3, 0).takes_guest());
    assert!(!centre(4, 4, 0).takes_guest());
    assert!(!centre(1, 0, 1).takes_guest());
}
