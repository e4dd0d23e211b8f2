//! Which loads of targets a planner gets to see.

use {
    cowslip_decide::{
        assign::Losses,
        duty::{HoldReport, Load},
        member::{Heartbeat, Member, Timing},
        names::{Incarnation, Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

fn loads(target: &str) -> BTreeMap<Name, Load> {
    BTreeMap::from([(target.into(), Load::default())])
}

fn beat(from: &str) -> Heartbeat {
    Heartbeat {
        from: from.into(),
        incarnation: Incarnation(1),
        seq: 1,
        version: Version(0),
        config: Version(0),
        synced: false,
        leased: false,
        floor: Version(0),
        quiet: Version(0),
        losses: Losses::default(),
        doubts: BTreeSet::new(),
        silent: BTreeSet::new(),
        settled: None,
        withheld: BTreeSet::new(),
        seen: BTreeMap::new(),
        loads: Some(loads("t1")),
    }
}

#[test]
fn loads_of_a_holder_that_is_not_heard_any_more_are_left_out() {
    let now = Instant::now();
    let contacts = BTreeSet::from(["b".into()]);
    let mut member = Member::new("a".into(), Incarnation(1), contacts, Timing::default(), now);
    member.report(now, HoldReport::Loads(loads("t0")));
    member.hear(now, beat("b"));
    let names = |at| -> Vec<Name> { member.loads(at).into_keys().cloned().collect() };
    assert_eq!(names(now), ["t0".into(), "t1".into()]);
    let later = now + Duration::from_secs(1);
    assert_eq!(names(later), ["t0".into()]);
}
