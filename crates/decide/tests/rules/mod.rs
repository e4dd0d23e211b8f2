//! Single rules of the member machine that random runs hit too seldom.

use {
    crate::world::{MS, SECOND, World},
    cowslip_decide::{
        assign::{Assignment, Holding, KeyRange, Losses},
        duty::{Duties, HoldReport},
        member::{Ack, Heartbeat, Member, Settled, Step, Timing, View},
        names::{Fence, Incarnation, Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

fn calm(nodes: usize) -> World {
    let mut world = World::new(7, nodes, 4);
    world.run(5 * SECOND);
    assert_eq!(world.fault, None);
    world
}

fn cut_off(world: &mut World, node: usize) {
    for other in 0..world.nodes.len() {
        world.cuts.extend([(node, other), (other, node)]);
    }
}

fn now(world: &World, node: usize) -> Instant {
    world.nodes[node].clock.at(world.time)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Lets a node send its next heartbeat, to nobody.
fn beat(world: &mut World, node: usize) -> Heartbeat {
    let at = now(world, node) + millis(60);
    let steps = world.nodes[node].member.tick(at);
    let beats = steps.into_iter().find_map(|step| match step {
        Step::Heartbeat { beat, .. } => Some((*beat).clone()),
        _ => None,
    });
    beats.expect("a heartbeat")
}

fn acks(steps: &[Step]) -> bool {
    steps.iter().any(|step| matches!(step, Step::Ack { .. }))
}

fn view(steps: Vec<Step>) -> Option<View> {
    let views = steps.into_iter().filter_map(|step| match step {
        Step::View(view) => Some(view),
        _ => None,
    });
    views.last()
}

/// Returns the next version of the recorded row, changed by `change`.
fn next(world: &World, change: impl FnOnce(&mut Assignment)) -> Arc<Assignment> {
    let mut row = (**world.table.as_ref().expect("a row")).clone();
    row.version = row.version.next();
    row.reset.clear();
    change(&mut row);
    Arc::new(row)
}

#[test]
fn a_lost_sender_is_not_acknowledged() {
    let mut world = calm(3);
    world.table_up = false;
    let before = beat(&mut world, 2);
    let at = now(&world, 0);
    assert!(acks(&world.nodes[0].member.hear(at, before)));
    cut_off(&mut world, 2);
    world.run(SECOND);
    let name = world.nodes[2].name.clone();
    assert!(world.nodes[0].member.lost().instances.contains(&name));
    let after = beat(&mut world, 2);
    let at = now(&world, 0);
    assert!(!acks(&world.nodes[0].member.hear(at, after)));
}

#[test]
fn a_lease_counts_from_sending() {
    let mut world = calm(3);
    for node in 0..3 {
        cut_off(&mut world, node);
    }
    world.run(280 * MS);
    let sent = now(&world, 0) + millis(60);
    let seq = beat(&mut world, 0).seq;
    let member = &mut world.nodes[0].member;
    for waited in (10..=240).step_by(10) {
        member.tick(sent + millis(waited));
    }
    assert!(!member.has_lease(sent + millis(240)));
    let (from, incarnation) = ("i1".into(), Incarnation(1));
    let echo = incarnation;
    member.acked(
        sent + millis(250),
        Ack {
            from,
            incarnation,
            echo,
            seq,
        },
    );
    assert!(member.has_lease(sent + millis(299)));
    assert!(!member.has_lease(sent + millis(300)));
}

#[test]
fn a_sender_behind_is_not_acknowledged() {
    let mut world = calm(3);
    let old = beat(&mut world, 1);
    let row = next(&world, |_| ());
    let at = now(&world, 0);
    world.nodes[0].member.adopt(at, row);
    assert!(!acks(&world.nodes[0].member.hear(at, old)));
}

/// A planner that does not know of a loss gives the range another standby: it must wait until
/// nobody can send to the first one any more.
#[test]
fn another_standby_waits_for_all_members() {
    let mut world = calm(3);
    let row = world.table.clone().expect("a row");
    let ranges = &row.ranges["s"];
    let range = ranges
        .iter()
        .find(|range| range.standby.as_ref() != Some(&range.owner));
    let (owner, start) = range
        .map(|range| (range.owner.clone(), range.start))
        .expect("a range");
    world.table_up = false;
    world.targets.get_mut(&owner).expect("a target").frozen = true;
    world.run(SECOND);
    let in_force = world.nodes[0]
        .view
        .as_ref()
        .and_then(|view| view.owner("s", start));
    let standby = in_force
        .map(|owner| owner.target.clone())
        .expect("a standby");
    assert_ne!(standby, owner);
    for node in 0..3 {
        cut_off(&mut world, node);
    }
    let third = world
        .targets
        .keys()
        .find(|name| **name != owner && **name != standby);
    let third = third.cloned();
    let row = next(&world, |row| {
        for range in row
            .ranges
            .values_mut()
            .flatten()
            .filter(|range| range.start == start)
        {
            range.standby.clone_from(&third);
            range.fence = Fence(range.fence.0 + 2);
        }
    });
    let at = now(&world, 0);
    let view = view(world.nodes[0].member.adopt(at, row)).expect("a view");
    assert!(view.losses.targets.contains(&owner));
    assert_eq!(view.owner("s", start), None);
}

/// A second run of `a` among `a` to `e`, with a recorded row and nothing else.
struct Fresh {
    member: Member,
    at: Instant,
    row: Arc<Assignment>,
    steps: Vec<Step>,
}

/// Version 3: `t1` owns all keys, `t2` is its standby; `a` holds both.
fn row() -> Assignment {
    let range = KeyRange {
        start: 0,
        owner: "t1".into(),
        standby: Some("t2".into()),
        fence: Fence(1),
        since: Version(3),
    };
    let holding = Holding {
        holder: "a".into(),
        standby: Some("b".into()),
        since: Version(3),
        pool: None,
    };
    Assignment {
        version: Version(3),
        members: ["a", "b", "c", "d", "e"].map(Name::from).into(),
        ranges: BTreeMap::from([("s".into(), vec![range])]),
        holdings: ["t1", "t2"].map(|t| (t.into(), holding.clone())).into(),
        ..Assignment::default()
    }
}

fn fresh(row: Assignment) -> Fresh {
    let started = Instant::now();
    let row = Arc::new(row);
    let timing = Timing::default();
    let member = Member::new("a".into(), Incarnation(2), BTreeSet::new(), timing, started);
    let at = started + timing.remains();
    let mut fresh = Fresh {
        member,
        at,
        row: row.clone(),
        steps: Vec::new(),
    };
    fresh.member.adopt(started, row);
    fresh
}

/// A member that started over with a reset, has a lease and knows that the row is in force.
fn leased(mut row: Assignment) -> Fresh {
    row.reset.insert("a".into(), Incarnation(2));
    let mut fresh = fresh(row);
    let others: Vec<Name> = fresh.row.members.iter().skip(1).cloned().collect();
    for from in &others {
        fresh.hear(fresh.beat(from));
    }
    fresh.at += millis(50);
    fresh.steps = fresh.member.tick(fresh.at);
    let seq = fresh.steps.iter().find_map(|step| match step {
        Step::Heartbeat { beat, .. } => Some(beat.seq),
        _ => None,
    });
    let (seq, incarnation, echo) = (seq.expect("a heartbeat"), Incarnation(1), Incarnation(2));
    for from in others {
        fresh.steps = fresh.member.acked(
            fresh.at,
            Ack {
                from,
                incarnation,
                echo,
                seq,
            },
        );
    }
    let settled = HoldReport::Settled {
        seq: fresh.duties().seq,
    };
    fresh.member.report(fresh.at, settled);
    assert!(fresh.member.has_lease(fresh.at));
    fresh
}

impl Fresh {
    fn beat(&self, from: &str) -> Heartbeat {
        Heartbeat {
            from: from.into(),
            incarnation: Incarnation(1),
            seq: 1,
            version: self.row.version,
            config: Version(0),
            synced: true,
            leased: true,
            floor: Version(3),
            quiet: Version(3),
            losses: Losses::default(),
            doubts: BTreeSet::new(),
            silent: BTreeSet::new(),
            settled: Some(Settled {
                version: Version(3),
                targets: BTreeSet::new(),
            }),
            withheld: BTreeSet::new(),
            seen: BTreeMap::from([("a".into(), Incarnation(2))]),
            loads: None,
        }
    }

    /// A heartbeat whose sender has settled the loss of `t1`.
    fn gave_up(&self, from: &str) -> Heartbeat {
        let mut beat = self.beat(from);
        beat.seq = 2;
        beat.losses.targets.insert("t1".into());
        let targets = beat.losses.targets.clone();
        beat.settled = Some(Settled {
            version: Version(3),
            targets,
        });
        beat
    }

    fn hear(&mut self, beat: Heartbeat) -> bool {
        let steps = self.member.hear(self.at, beat);
        let acked = acks(&steps);
        self.steps.extend(steps);
        acked
    }

    /// Returns the newest duties and settles them.
    fn duties(&mut self) -> Duties {
        let duties = self.steps.iter().rev().find_map(|step| match step {
            Step::Duties(duties) => Some(duties.clone()),
            _ => None,
        });
        let settled = |seq| HoldReport::Settled { seq };
        let duties = duties.unwrap_or_default();
        let steps = self.member.report(self.at, settled(duties.seq));
        self.steps.extend(steps);
        duties
    }

    fn owner(&mut self) -> Option<Name> {
        let view = view(self.steps.clone())?;
        view.owner("s", 0).map(|owner| owner.target.clone())
    }

    fn adopt(&mut self, version: u64, since: u64) -> Duties {
        let mut row = (*self.row).clone();
        row.version = Version(version);
        row.reset.clear();
        for holding in row.holdings.values_mut() {
            holding.since = Version(since);
        }
        self.steps = self.member.adopt(self.at, Arc::new(row));
        self.duties()
    }
}

#[test]
fn a_restarted_member_keeps_the_doubts_of_others() {
    let mut fresh = fresh(row());
    for from in ["b", "c", "d"] {
        assert!(!fresh.member.synced());
        let mut beat = fresh.beat(from);
        if from == "c" {
            beat.doubts.insert("e".into());
        }
        fresh.hear(beat);
    }
    assert!(fresh.member.synced());
    assert!(!fresh.hear(fresh.beat("e")));
}

#[test]
fn a_restarted_member_waits_for_answers_to_this_run() {
    let mut fresh = fresh(row());
    for from in ["b", "c", "d", "e"] {
        let mut beat = fresh.beat(from);
        beat.seen.insert("a".into(), Incarnation(1));
        assert!(!fresh.hear(beat) && !fresh.member.synced());
    }
}

#[test]
fn a_promise_outlives_a_restart() {
    let mut fresh = fresh(row());
    let end = fresh.at;
    fresh.at -= millis(1);
    for from in ["b", "c", "d", "e"] {
        assert!(!fresh.hear(fresh.beat(from)));
    }
    assert!(!fresh.member.synced());
    fresh.member.tick(end);
    assert!(fresh.member.synced());
}

#[test]
fn what_is_held_goes_on_at_the_next_version_only() {
    let mut fresh = leased(row());
    assert_eq!(fresh.adopt(4, 4).held.len(), 2);
    let mut fresh = leased(row());
    assert_eq!(fresh.adopt(5, 5).held.len(), 0);
    let mut fresh = leased(row());
    assert_eq!(fresh.adopt(5, 3).held.len(), 2);
}

#[test]
fn what_is_carried_on_ends_with_the_lease() {
    let mut fresh = leased(row());
    assert_eq!(fresh.adopt(4, 4).held.len(), 2);
    for _ in 0..30 {
        fresh.at += millis(10);
        let steps = fresh.member.tick(fresh.at);
        fresh.steps.extend(steps);
    }
    assert!(!fresh.member.has_lease(fresh.at));
    assert_eq!(fresh.duties().held.len(), 0);
}

#[test]
fn a_standby_waits_for_the_grants_of_a_lost_instance() {
    let mut fresh = leased(row());
    for from in ["b", "c", "d"] {
        let mut beat = fresh.gave_up(from);
        beat.losses.instances.insert("e".into());
        fresh.hear(beat);
        fresh.duties();
    }
    let due = fresh.at + Timing::default().surely(Timing::default().grant);
    let steps = fresh.member.tick(due - millis(1));
    fresh.steps.extend(steps);
    assert_eq!(fresh.owner(), None);
    let steps = fresh.member.tick(due);
    fresh.steps.extend(steps);
    assert_eq!(fresh.owner().as_deref(), Some("t2"));
}

#[test]
fn a_report_ends_with_its_run() {
    for later in [false, true] {
        let mut fresh = leased(row());
        for from in ["e", "d", "c", "b"] {
            let mut beat = fresh.gave_up(from);
            if later && from == "b" {
                beat.seen.insert("e".into(), Incarnation(2));
            }
            fresh.hear(beat);
            fresh.duties();
        }
        let standby = (!later).then_some("t2");
        assert_eq!(fresh.owner().as_deref(), standby);
    }
}

#[test]
fn a_promise_outlives_leaving_and_joining() {
    let mut fresh = leased(row());
    let mut beat = fresh.beat("e");
    beat.seq = 2;
    assert!(fresh.hear(beat));
    let promised = fresh.at + Timing::default().promise();
    for (version, there) in [(4, false), (5, true)] {
        let mut row = (*fresh.row).clone();
        row.version = Version(version);
        row.reset.clear();
        if !there {
            row.members.remove("a");
        }
        fresh.member.adopt(fresh.at, Arc::new(row));
    }
    for from in ["b", "c", "d"] {
        let mut beat = fresh.beat(from);
        beat.seq = 2;
        beat.version = Version(5);
        beat.doubts.insert("e".into());
        fresh.hear(beat);
    }
    fresh.member.tick(promised - millis(1));
    assert!(!fresh.member.synced());
    fresh.member.tick(promised);
    assert!(fresh.member.synced());
}

#[test]
fn one_that_was_paused_suspects_nobody_at_once() {
    let mut fresh = leased(row());
    fresh.at += millis(5_000);
    let steps = fresh.member.tick(fresh.at);
    let silent = steps.iter().any(|step| match step {
        Step::Heartbeat { beat, .. } => !beat.silent.is_empty(),
        _ => false,
    });
    assert!(!silent && !fresh.member.has_lease(fresh.at));
}

#[test]
fn a_holder_leaves_the_loss_of_most_of_its_targets_to_the_planner() {
    let mut row = row();
    let second = KeyRange {
        start: 1 << 63,
        owner: "t2".into(),
        standby: Some("t3".into()),
        ..row.ranges["s"][0].clone()
    };
    row.ranges.entry("s".into()).or_default().push(second);
    let mut fresh = leased(row);
    for target in ["t1", "t2"] {
        let target = target.into();
        fresh.member.report(fresh.at, HoldReport::Silent { target });
    }
    assert_eq!(fresh.member.lost().targets, ["t1".into()].into());
    assert_eq!(fresh.member.withheld(), ["t2".into()].into());
    fresh.member.tick(fresh.at + millis(500));
    assert_eq!(fresh.member.withheld(), BTreeSet::new());
}
