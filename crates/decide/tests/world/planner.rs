//! A simple planner: it repairs what is lost and, if it is restless, changes things at random.

use {
    super::{Dice, Event, MS, PLAN, World},
    cowslip_decide::{
        assign::{Assignment, Holding, KeyRange, Losses},
        member::Member,
        names::{Fence, Name, Version},
    },
    std::collections::BTreeSet,
    tokio::time::Instant,
};

const RANGES: u64 = 5;

struct Planner<'a> {
    member: &'a Member,
    now: Instant,
    alive: BTreeSet<Name>,
    targets: BTreeSet<Name>,
    dice: &'a mut Dice,
}

impl World {
    /// Lets some instance plan with what it knows, and write a little or a lot later.
    pub fn plan(&mut self) {
        self.push(PLAN, Event::Plan);
        let able = |i: &usize| {
            let node = &self.nodes[*i];
            node.up && !node.paused && self.reaches_table(*i)
        };
        let able: Vec<usize> = (0..self.nodes.len()).filter(able).collect();
        let Some(i) = self.dice.pick(able) else {
            return;
        };
        let node = &self.nodes[i];
        let now = node.clock.at(self.time);
        if !self.restless && !node.member.sees_majority() && !node.member.reset_needed(now) {
            return;
        }
        let targets: BTreeSet<Name> = self.targets.keys().cloned().collect();
        let mut alive = node.member.alive(now);
        if alive.is_empty() {
            alive = node.member.returning(now);
        }
        let member = &node.member;
        let dice = &mut self.dice;
        let mut planner = Planner {
            member,
            now,
            alive,
            targets,
            dice,
        };
        let row = planner.next(self.table.as_deref(), self.restless);
        let late = if self.restless && self.dice.one_in(10) {
            700 * MS
        } else {
            5 * MS
        };
        let delay = self.dice.below(late);
        if let Some(row) = row {
            self.push(delay, Event::Write { row });
        }
    }
}

impl Planner<'_> {
    fn next(&mut self, row: Option<&Assignment>, restless: bool) -> Option<Assignment> {
        if self.member.reset_needed(self.now) {
            return Some(self.reset(row));
        }
        let row = row?;
        let mut next = Assignment {
            version: row.version.next(),
            ..row.clone()
        };
        next.reset.clear();
        let losses = match self.member.version() == row.version {
            true => self.member.lost().clone(),
            false => Losses::default(),
        };
        self.repair(&mut next, &losses);
        if restless && self.dice.one_in(2) {
            self.shake(&mut next);
        }
        if restless || self.member.floor() >= row.version {
            self.resize(row, &mut next);
        }
        (next
            != Assignment {
                version: next.version,
                reset: Default::default(),
                ..row.clone()
            })
        .then_some(next)
    }

    fn reset(&mut self, row: Option<&Assignment>) -> Assignment {
        let mut next = row.cloned().unwrap_or_else(|| self.first());
        next.version = next.version.next();
        next.reset = self.member.incarnations(self.now);
        for range in next.ranges.values_mut().flatten() {
            range.since = next.version;
            range.fence = Fence(range.fence.0 + 2);
        }
        for holding in next.holdings.values_mut() {
            holding.since = next.version;
        }
        next
    }

    fn first(&mut self) -> Assignment {
        let members: BTreeSet<Name> = self.member.incarnations(self.now).into_keys().collect();
        let mut row = Assignment {
            members,
            ..Assignment::default()
        };
        for i in 0..RANGES {
            let range = KeyRange {
                start: u64::MAX / RANGES * i,
                owner: self.dice.pick(self.targets.clone()).expect("a target"),
                standby: self.dice.pick(self.targets.clone()),
                fence: Fence(1),
                since: Version(0),
            };
            row.ranges.entry("s".into()).or_default().push(range);
        }
        for target in self.targets.clone() {
            let holding = Holding {
                holder: self.dice.pick(row.members.clone()).expect("a member"),
                standby: self.dice.pick(row.members.clone()),
                since: Version(0),
                pool: None,
            };
            row.holdings.insert(target, holding);
        }
        row
    }

    fn repair(&mut self, next: &mut Assignment, losses: &Losses) {
        let version = next.version;
        let healthy: BTreeSet<Name> = self.targets.difference(&losses.targets).cloned().collect();
        for range in next.ranges.values_mut().flatten() {
            let ok = |name: &Name| healthy.contains(name);
            if !ok(&range.owner) {
                let standby = range.standby.take().filter(ok);
                let step = if standby.is_some() { 1 } else { 2 };
                let Some(owner) = standby.or_else(|| self.dice.pick(healthy.clone())) else {
                    continue;
                };
                range.owner = owner;
                range.fence = Fence(range.fence.0 + step);
                range.since = version;
            } else if range.standby.as_ref().is_none_or(|name| !ok(name)) {
                range.fence = Fence(range.fence.0 + 2);
            } else {
                continue;
            }
            let others = healthy.iter().filter(|name| **name != range.owner);
            range.standby = self.dice.pick(others.cloned());
        }
        let alive: BTreeSet<Name> = self.alive.intersection(&next.members).cloned().collect();
        for holding in next.holdings.values_mut() {
            let ok = |name: &Name| alive.contains(name);
            if losses.instances.contains(&holding.holder) || !next.members.contains(&holding.holder)
            {
                let standby = holding.standby.take().filter(ok);
                let Some(holder) = standby.or_else(|| self.dice.pick(alive.clone())) else {
                    continue;
                };
                holding.holder = holder;
                holding.since = version;
            }
            if holding
                .standby
                .as_ref()
                .is_none_or(|name| !ok(name) || *name == holding.holder)
            {
                let others = alive.iter().filter(|name| **name != holding.holder);
                holding.standby = self.dice.pick(others.cloned());
            }
        }
    }

    /// Moves, splits or merges a range, or moves a holding.
    fn shake(&mut self, next: &mut Assignment) {
        let version = next.version;
        let ranges = next.ranges.values_mut().next().expect("a service");
        let i = self.dice.below(ranges.len() as u64) as usize;
        match self.dice.below(5) {
            0 => {
                ranges[i].owner = self.dice.pick(self.targets.clone()).expect("a target");
                ranges[i].fence = Fence(ranges[i].fence.0 + 2);
                ranges[i].since = version;
            }
            1 if ranges.len() < 10 => {
                let mut half = ranges[i].clone();
                half.start += 1 + self.dice.below(u64::MAX / 100);
                if ranges
                    .get(i + 1)
                    .is_none_or(|range| half.start < range.start)
                {
                    ranges.insert(i + 1, half);
                }
            }
            2 if i + 1 < ranges.len() => {
                let gone = ranges.remove(i + 1);
                let key =
                    |range: &KeyRange| (range.owner.clone(), range.standby.clone(), range.fence);
                if key(&gone) == key(&ranges[i]) {
                    ranges[i].since = ranges[i].since.max(gone.since);
                } else {
                    ranges[i].fence = Fence(gone.fence.max(ranges[i].fence).0 + 2);
                    ranges[i].since = version;
                }
            }
            3 => {
                ranges[i].standby = self.dice.pick(self.targets.clone());
                ranges[i].fence = Fence(ranges[i].fence.0 + 2);
            }
            _ => {
                let target = self.dice.pick(self.targets.clone()).expect("a target");
                let holding = next.holdings.get_mut(&target).expect("a holding");
                if let Some(holder) = self.dice.pick(next.members.clone()) {
                    holding.holder = holder;
                    holding.since = version;
                }
            }
        }
    }

    /// Adds or removes one member, once everybody has left the versions before `row`.
    fn resize(&mut self, row: &Assignment, next: &mut Assignment) {
        if self.member.version() != row.version || self.member.floor() < row.version {
            return;
        }
        let idle = |name: &&Name| {
            let holdings = row.holdings.values().chain(next.holdings.values());
            let mut named = holdings.flat_map(|h| [Some(&h.holder), h.standby.as_ref()]);
            !named.any(|holder| holder == Some(*name))
        };
        let idle: Vec<Name> = next.members.iter().filter(idle).cloned().collect();
        let shrinks = next.members.len() > 3 && self.dice.one_in(4);
        if let Some(name) = self.dice.pick(idle).filter(|_| shrinks) {
            next.members.remove(&name);
            return;
        }
        if let Some(name) = self.alive.iter().find(|name| !next.members.contains(*name)) {
            next.members.insert(name.clone());
        }
    }
}
