//! Faults, as random operations on a world.

use {
    super::{Event, MS, World},
    quickcheck::{Arbitrary, Gen},
};

#[derive(Clone, Debug)]
pub enum Op {
    Wait(u8),
    CutOne(u8, u8),
    CutPair(u8, u8),
    CutGroup(u8),
    CutTable(u8),
    Heal,
    Pause(u8, u8),
    Kill(u8, u8),
    KillAll(u8),
    Freeze(u8, u8),
    Table(bool),
    Restless(bool),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 32 {
            0..=8 => Self::Wait(a),
            9..=11 => Self::CutOne(a, b),
            12..=13 => Self::CutPair(a, b),
            14..=15 => Self::CutGroup(a),
            16 => Self::CutTable(a),
            17..=19 => Self::Heal,
            20..=22 => Self::Pause(a, b),
            23..=25 => Self::Kill(a, b),
            26 if a < 64 => Self::KillAll(b),
            26..=28 => Self::Freeze(a, b),
            29 => Self::Table(a < 160),
            _ => Self::Restless(a < 160),
        }
    }
}

impl World {
    /// Applies an operation and lets some time pass.
    pub fn apply(&mut self, op: &Op) {
        let n = self.nodes.len();
        let at = |i: u8| usize::from(i) % n;
        match *op {
            Op::Wait(ticks) => self.run(u64::from(ticks) * 4 * MS),
            Op::CutOne(a, b) => _ = self.cuts.insert((at(a), at(b))),
            Op::CutPair(a, b) => self.cuts.extend([(at(a), at(b)), (at(b), at(a))]),
            Op::CutGroup(mask) => self.cut_group(mask),
            Op::CutTable(a) => self.nodes[at(a)].table = false,
            Op::Heal => self.heal(),
            Op::Pause(a, span) => self.pause(at(a), u64::from(span) * 5 * MS),
            Op::Kill(a, span) => {
                self.kill(at(a));
                self.push(u64::from(span) * 4 * MS, Event::Start { node: at(a) });
            }
            Op::KillAll(span) => {
                for node in 0..n {
                    self.kill(node);
                    self.push(u64::from(span) * MS, Event::Start { node });
                }
            }
            Op::Freeze(a, span) => {
                let i = usize::from(a) % self.targets.len();
                let name = self.targets.keys().nth(i).expect("a target").clone();
                self.targets.get_mut(&name).expect("a target").frozen = true;
                self.push(u64::from(span) * 5 * MS, Event::ThawTarget { name });
            }
            Op::Table(up) => self.table_up = up,
            Op::Restless(on) => self.restless = on,
        }
        self.run(10 * MS);
    }

    fn pause(&mut self, node: usize, span: u64) {
        self.nodes[node].paused = true;
        self.push(span, Event::Thaw { node });
    }

    fn cut_group(&mut self, mask: u8) {
        let side = |i: usize| mask >> (i % 8) & 1;
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side(a) != side(b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    fn heal(&mut self) {
        self.cuts.clear();
        for node in &mut self.nodes {
            node.table = true;
        }
    }

    /// Ends every fault.
    pub fn mend(&mut self) {
        self.heal();
        self.table_up = true;
        self.restless = false;
        self.lossy = false;
        for node in 0..self.nodes.len() {
            self.thaw(node);
            self.start(node);
        }
        for name in self.targets.keys().cloned().collect::<Vec<_>>() {
            self.thaw_target(&name);
        }
    }
}
