//! Holder of each target and the standby of the holder.

use {
    super::{PlanInput, pools::pools},
    crate::{
        assign::{Assignment, Holding},
        names::Name,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Holdings that one plan moves for balance.
const MAX_MOVES: usize = 2;

/// Targets that must have the same holder.
struct Unit {
    pool: Option<Name>,
    targets: BTreeSet<Name>,
    holder: Option<Name>,
    standby: Option<Name>,
}

/// Plans the holder of every target that is not withdrawn.
pub(super) fn plan(input: &PlanInput, next: &mut Assignment) {
    let mut units = units(input, next);
    let mut choice = Choice::new(input, next);
    units.iter().for_each(|unit| choice.count(unit));
    for unit in &mut units {
        choice.repair(unit);
    }
    if input.settled && input.losses.instances.is_empty() {
        (0..MAX_MOVES).for_each(|_| choice.level(&mut units));
    }
    let old = std::mem::take(&mut next.holdings);
    for unit in units {
        record(unit, &old, next);
    }
}

fn units(input: &PlanInput, next: &Assignment) -> Vec<Unit> {
    let mut units = Vec::new();
    for (name, service) in &input.topology.services {
        if !service.divided {
            let pools = pools(input, next, name, service);
            units.extend(
                pools
                    .into_iter()
                    .map(|(pool, targets)| (Some(pool), targets)),
            );
            continue;
        }
        let withdrawn = |centre: &Name| input.topology.withdrawn.contains(centre);
        let stays = service
            .targets
            .iter()
            .filter(|(_, t)| !withdrawn(&t.data_centre));
        units.extend(stays.map(|(name, _)| (None, BTreeSet::from([name.clone()]))));
    }
    let unit = |(pool, targets)| unit(input, next, pool, targets);
    units.into_iter().map(unit).collect()
}

fn unit(input: &PlanInput, next: &Assignment, pool: Option<Name>, targets: BTreeSet<Name>) -> Unit {
    let mut recorded = targets
        .iter()
        .filter_map(|target| next.holdings.get(target));
    let recorded = recorded.find(|holding| holding.pool == pool);
    let lost = |name: &&Name| input.losses.instances.contains(*name);
    let standby = recorded.and_then(|holding| holding.standby.as_ref());
    let holder = recorded.map(|holding| &holding.holder);
    let failed = holder.as_ref().is_some_and(lost);
    Unit {
        pool,
        targets,
        holder: if failed { standby } else { holder }.cloned(),
        standby: standby.filter(|_| !failed).cloned(),
    }
}

fn record(unit: Unit, old: &BTreeMap<Name, Holding>, next: &mut Assignment) {
    let Some(holder) = unit.holder else {
        return;
    };
    for target in unit.targets {
        let before = old.get(&target).filter(|before| before.holder == holder);
        let holding = Holding {
            holder: holder.clone(),
            standby: unit.standby.clone(),
            since: before.map_or(next.version, |before| before.since),
            pool: unit.pool.clone(),
        };
        next.holdings.insert(target, holding);
    }
}

struct Choice<'a> {
    input: &'a PlanInput<'a>,
    /// Instances that may hold.
    able: BTreeSet<Name>,
    /// Instances that may get more.
    open: BTreeSet<Name>,
    /// Targets held by each instance.
    held: BTreeMap<Name, usize>,
    /// Standbys by holder and standby, and by standby alone.
    pairs: BTreeMap<(Name, Name), usize>,
    totals: BTreeMap<Name, usize>,
}

impl<'a> Choice<'a> {
    fn new(input: &'a PlanInput<'a>, next: &Assignment) -> Self {
        let lost = &input.losses.instances;
        let member = |name: &&Name| !lost.contains(*name);
        let members: BTreeSet<Name> = next.members.iter().filter(member).cloned().collect();
        let heard = |name: &&Name| input.instances.get(*name).is_none_or(|i| !i.leaving);
        let staying: BTreeSet<Name> = members.iter().filter(heard).cloned().collect();
        let able = if staying.is_empty() { members } else { staying };
        let withdrawn = &input.topology.withdrawn;
        let good = |name: &&Name| {
            let instance = input.instances.get(*name);
            instance.is_some_and(|instance| !withdrawn.contains(&instance.data_centre))
        };
        let good: BTreeSet<Name> = able.iter().filter(good).cloned().collect();
        Self {
            input,
            open: if good.is_empty() { able.clone() } else { good },
            able,
            held: BTreeMap::new(),
            pairs: BTreeMap::new(),
            totals: BTreeMap::new(),
        }
    }

    fn count(&mut self, unit: &Unit) {
        self.add(unit, |count, targets| count + targets);
    }

    fn discount(&mut self, unit: &Unit) {
        self.add(unit, |count, targets| count.saturating_sub(targets));
    }

    fn add(&mut self, unit: &Unit, sum: impl Fn(usize, usize) -> usize) {
        let targets = unit.targets.len();
        if let Some(holder) = &unit.holder {
            let held = self.held.entry(holder.clone()).or_default();
            *held = sum(*held, targets);
        }
        if let (Some(holder), Some(standby)) = (&unit.holder, &unit.standby) {
            let pair = (holder.clone(), standby.clone());
            let pairs = self.pairs.entry(pair).or_default();
            *pairs = sum(*pairs, targets);
            let total = self.totals.entry(standby.clone()).or_default();
            *total = sum(*total, targets);
        }
    }

    /// Replaces a holder or a standby that cannot be one.
    fn repair(&mut self, unit: &mut Unit) {
        let holder = unit
            .holder
            .as_ref()
            .filter(|name| self.able.contains(*name));
        let standby = unit
            .standby
            .as_ref()
            .filter(|name| self.standby(holder, name));
        if holder.is_some() && standby.is_some() {
            return;
        }
        let (holder, standby) = (holder.cloned(), standby.cloned());
        self.discount(unit);
        unit.holder = holder.or_else(|| self.least());
        unit.standby = standby.filter(|name| Some(name) != unit.holder.as_ref());
        if unit.standby.is_none() {
            unit.standby = unit.holder.as_ref().and_then(|holder| self.best(holder));
        }
        self.count(unit);
    }

    /// Returns whether a recorded standby may stay.
    fn standby(&self, holder: Option<&Name>, name: &Name) -> bool {
        holder.is_some_and(|holder| holder != name && self.pool(holder).contains(name))
    }

    /// Returns the instances that may be standby of `holder`, itself among them.
    fn pool(&self, holder: &Name) -> &BTreeSet<Name> {
        let others = self.open.len() - usize::from(self.open.contains(holder));
        if others > 0 { &self.open } else { &self.able }
    }

    fn held(&self, name: &Name) -> usize {
        self.held.get(name).copied().unwrap_or(0)
    }

    fn least(&self) -> Option<Name> {
        self.open.iter().min_by_key(|name| self.held(name)).cloned()
    }

    fn best(&self, holder: &Name) -> Option<Name> {
        let centre = |name: &Name| self.input.instances.get(name).map(|i| &i.data_centre);
        let others = self.pool(holder).iter().filter(|name| *name != holder);
        let best = others.min_by_key(|name| {
            let pair = (holder.clone(), (*name).clone());
            let pairs = self.pairs.get(&pair).copied().unwrap_or(0);
            let total = self.totals.get(*name).copied().unwrap_or(0);
            (centre(name) == centre(holder), pairs, total)
        });
        best.cloned()
    }

    /// Moves one unit from the instance that holds most to the one that holds least.
    fn level(&mut self, units: &mut [Unit]) {
        let most = self.open.iter().max_by_key(|name| self.held(name)).cloned();
        let (Some(most), Some(least)) = (most, self.least()) else {
            return;
        };
        let gap = self.held(&most) - self.held(&least);
        let movable =
            |unit: &&mut Unit| unit.holder.as_ref() == Some(&most) && unit.targets.len() < gap;
        let Some(unit) = units.iter_mut().find(movable) else {
            return;
        };
        self.discount(unit);
        unit.holder = Some(least.clone());
        unit.standby = self.best(&least);
        self.count(unit);
    }
}
