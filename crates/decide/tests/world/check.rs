//! What must hold at every moment, by the targets' own record, and in the end.

use {
    super::World,
    cowslip_decide::{duty::Granted, names::Name},
};

impl World {
    /// Notes the first breach of a rule.
    pub fn check(&mut self) {
        self.check_keys();
        self.check_holders();
        self.check_versions();
    }

    fn breach(&mut self, what: String) {
        let time = self.time;
        self.fault
            .get_or_insert_with(|| format!("at {time} us: {what}"));
    }

    /// No two targets accept requests for one key, and fences of a key only grow.
    fn check_keys(&mut self) {
        let all = self.grants();
        for (i, (name, range)) in all.iter().enumerate() {
            for (other, twin) in &all[i + 1..] {
                if name != other && range.start <= twin.end && twin.start <= range.end {
                    return self.breach(format!("{name} {range:?} and {other} {twin:?}"));
                }
            }
            let last = self.owners.entry(range.start).or_insert((0, name.clone()));
            let now = (range.fence.0, name.clone());
            if now.0 < last.0 || now.0 == last.0 && now.1 != last.1 {
                let what = format!("fence of {} went from {last:?} to {now:?}", range.start);
                return self.breach(what);
            }
            *last = now;
        }
    }

    fn grants(&self) -> Vec<(Name, Granted)> {
        let all = self.targets.iter().flat_map(|(name, target)| {
            let ranges = target.accepts(self.time).iter();
            ranges.map(|range| (name.clone(), range.clone()))
        });
        all.collect()
    }

    /// No two instances may send to one target.
    fn check_holders(&mut self) {
        for target in self.targets.keys().cloned().collect::<Vec<_>>() {
            let holders = self.holders(&target);
            if holders.len() > 1 {
                return self.breach(format!("{holders:?} may send to {target}"));
            }
        }
    }

    /// Returns the instances that may send to `target` now.
    pub fn holders(&self, target: &Name) -> Vec<Name> {
        let sends = self.nodes.iter().filter(|node| {
            let now = node.clock.at(self.time);
            node.up && !node.paused && node.hold.may_send(target, now)
        });
        sends.map(|node| node.name.clone()).collect()
    }

    /// No instance knows a version that is not recorded.
    fn check_versions(&mut self) {
        let recorded = self.table.as_ref().map_or(0, |row| row.version.0);
        let ahead = |version: u64| version > recorded;
        if self.nodes.iter().any(|node| ahead(node.member.version().0)) {
            self.breach("a version is not recorded".into());
        }
    }

    /// Returns whether every key has an owner that accepts requests and a holder that sends them.
    pub fn is_served(&self) -> bool {
        let mut ranges: Vec<(u64, u64)> = self
            .grants()
            .into_iter()
            .filter(|(target, _)| !self.holders(target).is_empty())
            .map(|(_, range)| (range.start, range.end))
            .collect();
        ranges.sort_unstable();
        let mut next = Some(0);
        for (start, end) in ranges {
            if next == Some(start) {
                next = end.checked_add(1);
            }
        }
        next.is_none()
    }

    /// Describes every instance and the recorded row.
    pub fn describe(&self) -> String {
        let nodes = self.nodes.iter().map(|node| {
            let now = node.clock.at(self.time);
            format!("{:?}\n", node.member.status(now))
        });
        format!("{}{:?}", nodes.collect::<String>(), self.table)
    }

    /// Returns how long, of the next `span` microseconds, some key is not served.
    pub fn outage(&mut self, span: u64) -> u64 {
        let end = self.time + span;
        let (mut outage, mut since) = (0, None);
        while self.time < end && self.fault.is_none() {
            self.run(1_000);
            match self.is_served() {
                true => since = None,
                false => {
                    let since = *since.get_or_insert(self.time - 1_000);
                    outage = outage.max(self.time - since);
                }
            }
        }
        outage
    }

    /// Returns whether every instance routes every key.
    pub fn is_routed(&self) -> bool {
        self.nodes.iter().all(|node| {
            let view = node.view.as_ref();
            view.is_some_and(|view| view.pending() == 0)
        })
    }
}
