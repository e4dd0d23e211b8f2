//! Moves that even out the load of the targets, few at a time.

use super::{RANGES_PER_TARGET, pieces::Pieces, targets::Targets};

/// Load of the most loaded target over the mean, above which ranges are moved.
pub(super) const TRIGGER: f64 = 1.08;
/// Load of the most loaded target over the mean, at which moving ends.
const GOAL: f64 = 1.02;
/// Share of the hash space that one plan may move for balance.
const MAX_WIDTH: f64 = 0.05;
/// Share of a fair share below which a target is taken for new.
const NEW: f64 = 0.5;
/// Most of the hash space that balance gives to one target, in fair shares: what its loss moves.
const WIDEST: f64 = 1.17;
/// Ranges per target above which none is cut for balance.
const MAX_RANGES: usize = 2 * RANGES_PER_TARGET;
/// Least load of a move, as a share of the mean load of a target.
const MIN_MOVE: f64 = 0.005;

/// Returns the mean load for each slot of the targets that own ranges or may get some.
pub(super) fn mean(pieces: &Pieces, targets: &Targets) -> f64 {
    let total: f64 = pieces.loads.iter().sum();
    total / slots(pieces, targets)
}

fn slots(pieces: &Pieces, targets: &Targets) -> f64 {
    let takes_part = |i: &usize| targets.list[*i].open || pieces.widths[*i] > 0.0;
    let eligible = targets.places(|target| target.eligible);
    let slots: f64 = eligible
        .filter(takes_part)
        .map(|i| targets.list[i].slots)
        .sum();
    slots.max(1.0)
}

/// Moves load from the most to the least loaded targets; returns the number of moves.
pub(super) fn by_rate(pieces: &mut Pieces, targets: &Targets) -> usize {
    let mean = mean(pieces, targets);
    let mut work = Work::new(pieces, targets, mean);
    let most_moves = 4 + targets.list.len() / 4;
    let mut moves = 0;
    while moves < most_moves && work.moved < MAX_WIDTH {
        // What cannot be relieved must not set off moves of others again and again.
        let level = if moves == 0 { TRIGGER } else { GOAL };
        let Some(from) = work.donor().filter(|i| work.relative(*i) > level) else {
            break;
        };
        match work.relieve(from) {
            true => moves += 1,
            false => work.stuck[from] = true,
        }
    }
    moves
}

/// Fills targets that own next to nothing, as far as they bear it.
pub(super) fn by_width(pieces: &mut Pieces, targets: &Targets) {
    let mean = mean(pieces, targets);
    let keys = pieces.list.iter().filter(|piece| piece.single());
    let owners: Vec<usize> = keys.filter_map(|piece| piece.owner).collect();
    let mut work = Work::new(pieces, targets, mean);
    let new = |i: &usize| work.relative(*i) < NEW && !owners.contains(i);
    let receivers: Vec<usize> = targets.open().filter(new).collect();
    for to in receivers {
        while work.relative(to) < 1.0 {
            let Some(from) = work.donor().filter(|from| work.relative(*from) > 1.0) else {
                return;
            };
            let lack = (1.0 - work.relative(to)) * mean * targets.list[to].slots;
            if !work.send(from, to, lack * 1.001) {
                break;
            }
        }
    }
}

struct Work<'a, 'b> {
    pieces: &'a mut Pieces,
    targets: &'a Targets<'b>,
    owned: Vec<Vec<usize>>,
    /// Mean load for each slot.
    mean: f64,
    /// Share of the hash space that is fair for each slot.
    fair: f64,
    /// Targets that have nothing left to give.
    stuck: Vec<bool>,
    /// Share of the hash space that was moved.
    moved: f64,
}

impl<'a, 'b> Work<'a, 'b> {
    fn new(pieces: &'a mut Pieces, targets: &'a Targets<'b>, mean: f64) -> Self {
        Self {
            owned: pieces.owned(targets.list.len()),
            stuck: vec![false; targets.list.len()],
            fair: 1.0 / slots(pieces, targets),
            pieces,
            targets,
            mean,
            moved: 0.0,
        }
    }

    /// Returns the load of a target over the mean.
    fn relative(&self, i: usize) -> f64 {
        self.pieces.loads[i] / (self.mean * self.targets.list[i].slots)
    }

    fn donor(&self) -> Option<usize> {
        let givers = self.targets.places(|target| target.eligible);
        givers
            .filter(|i| !self.stuck[*i])
            .max_by(|a, b| self.relative(*a).total_cmp(&self.relative(*b)))
    }

    /// Returns how much more of the hash space a target may get.
    fn room(&self, i: usize) -> f64 {
        let target = &self.targets.list[i];
        let widest = WIDEST * self.fair * target.slots;
        widest.min(target.bound) - self.pieces.widths[i]
    }

    /// Moves load from `from` to the least loaded target that bears more.
    fn relieve(&mut self, from: usize) -> bool {
        let spare = |i: &usize| self.room(*i) > 0.0;
        let to = self
            .targets
            .open()
            .filter(spare)
            .min_by(|a, b| self.relative(*a).total_cmp(&self.relative(*b)));
        let Some(to) = to.filter(|to| self.relative(*to) < GOAL) else {
            return false;
        };
        let excess = (self.relative(from) - 1.0) * self.targets.list[from].slots;
        let lack = (GOAL - self.relative(to)) * self.targets.list[to].slots;
        let load = excess.min(lack) * self.mean;
        load >= MIN_MOVE * self.mean && self.send(from, to, load)
    }

    /// Moves the largest piece of at most `load`, or cuts one of that load.
    fn send(&mut self, from: usize, to: usize, load: f64) -> bool {
        let room = self.room(to);
        let whole = self.whole(from, load, room);
        let fits = whole.is_some_and(|i| self.pieces.list[i].load >= load / 2.0);
        let Some(i) = (if fits {
            whole
        } else {
            self.part(from, load, room).or(whole)
        }) else {
            return false;
        };
        self.pieces.give(i, Some(to));
        self.moved += self.pieces.list[i].width();
        self.owned[from].retain(|piece| *piece != i);
        self.owned[to].push(i);
        true
    }

    fn whole(&self, from: usize, load: f64, room: f64) -> Option<usize> {
        let pieces = &self.pieces.list;
        let fits = |i: &&usize| pieces[**i].load <= load && pieces[**i].width() <= room;
        let fitting = self.owned[from].iter().filter(fits);
        fitting
            .copied()
            .max_by(|a, b| pieces[*a].load.total_cmp(&pieces[*b].load))
            .filter(|i| pieces[*i].load >= MIN_MOVE * self.mean)
    }

    /// Cuts a piece of `load` from the widest piece of `from`.
    fn part(&mut self, from: usize, load: f64, room: f64) -> Option<usize> {
        if self.pieces.list.len() >= MAX_RANGES * self.targets.list.len() {
            return None;
        }
        let pieces = &self.pieces.list;
        let i = self.owned[from]
            .iter()
            .copied()
            .max_by(|a, b| pieces[*a].width().total_cmp(&pieces[*b].width()))?;
        let piece = &pieces[i];
        let share = (load / piece.load).min(room / piece.width());
        if piece.single() || !(0.0..0.95).contains(&share) {
            return None;
        }
        let cut = piece.load * share;
        if cut < MIN_MOVE * self.mean {
            return None;
        }
        let length = ((piece.end - piece.start) as f64 * share) as u64;
        let start = piece.end - length;
        if start <= piece.start {
            return None;
        }
        Some(self.pieces.cut(i, start, cut))
    }
}
