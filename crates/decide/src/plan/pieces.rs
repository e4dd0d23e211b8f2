//! Working copy of the ranges of one service.

use {
    super::targets::Targets,
    crate::{
        assign::{KeyRange, Losses},
        names::{Fence, Name, Version},
    },
};

/// Size of the hash space.
const SPACE: f64 = 18_446_744_073_709_551_616.0;

/// A range that can be given away, cut and merged.
#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) start: u64,
    /// Last hash.
    pub(super) end: u64,
    /// `None` for a range that nobody owns.
    pub(super) owner: Option<usize>,
    pub(super) standby: Option<usize>,
    pub(super) fence: Fence,
    pub(super) since: Version,
    /// Whether owner or fence changed.
    pub(super) moved: bool,
    /// Load in the unit of the whole service's loads.
    pub(super) load: f64,
}

/// All ranges of one service, in no order while they are worked on.
pub(super) struct Pieces {
    pub(super) list: Vec<Piece>,
    /// Load of each target.
    pub(super) loads: Vec<f64>,
    /// Share of the hash space of each target.
    pub(super) widths: Vec<f64>,
}

impl Piece {
    pub(super) fn width(&self) -> f64 {
        ((self.end - self.start) as f64 + 1.0) / SPACE
    }

    /// Returns whether this is one key that was cut out.
    pub(super) fn single(&self) -> bool {
        self.start == self.end
    }
}

impl Pieces {
    /// Takes the ranges as they are after the losses; the load is the width.
    pub(super) fn new(ranges: &[KeyRange], targets: &Targets, losses: &Losses) -> Self {
        let ends = ranges.iter().skip(1).map(|range| range.start - 1);
        let list = ranges
            .iter()
            .zip(ends.chain([u64::MAX]))
            .map(|(range, end)| piece(range, end, targets, losses))
            .collect();
        let mut pieces = Self {
            list,
            loads: Vec::new(),
            widths: Vec::new(),
        };
        pieces.weigh(targets.list.len(), Piece::width);
        pieces
    }

    /// Sets the load of every piece.
    pub(super) fn weigh(&mut self, targets: usize, load: impl Fn(&Piece) -> f64) {
        self.loads = vec![0.0; targets];
        self.widths = vec![0.0; targets];
        for piece in &mut self.list {
            piece.load = load(piece);
            if let Some(owner) = piece.owner {
                self.loads[owner] += piece.load;
                self.widths[owner] += piece.width();
            }
        }
    }

    /// Gives a piece to another target, or to nobody, with a fence above its standby's.
    pub(super) fn give(&mut self, i: usize, to: Option<usize>) {
        let piece = &mut self.list[i];
        let (load, width) = (piece.load, piece.width());
        if let Some(from) = piece.owner {
            self.loads[from] -= load;
            self.widths[from] -= width;
        }
        if let Some(to) = to {
            self.loads[to] += load;
            self.widths[to] += width;
        }
        piece.owner = to;
        piece.standby = piece.standby.filter(|standby| Some(*standby) != to);
        piece.fence = piece.fence.next().next();
        piece.moved = true;
    }

    /// Cuts a piece before `start`; returns the place of the new piece, which has `load`.
    pub(super) fn cut(&mut self, i: usize, start: u64, load: f64) -> usize {
        let piece = &mut self.list[i];
        let mut tail = piece.clone();
        tail.start = start;
        tail.load = load;
        piece.end = start - 1;
        piece.load -= load;
        self.list.push(tail);
        self.list.len() - 1
    }

    /// Returns the places of the pieces of each target.
    pub(super) fn owned(&self, targets: usize) -> Vec<Vec<usize>> {
        let mut owned = vec![Vec::new(); targets];
        for (i, piece) in self.list.iter().enumerate() {
            if let Some(owner) = piece.owner {
                owned[owner].push(i);
            }
        }
        owned
    }

    /// Returns the places of the pieces in the order of their hashes.
    pub(super) fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.list.len()).collect();
        order.sort_unstable_by_key(|i| self.list[*i].start);
        order
    }

    /// Returns the ranges to record as `version`.
    pub(super) fn ranges(&self, targets: &Targets, version: Version) -> Vec<KeyRange> {
        let name = |place: usize| targets.list[place].name.clone();
        let range = |i: usize| {
            let piece = &self.list[i];
            KeyRange {
                start: piece.start,
                owner: piece.owner.map_or_else(|| Name::from(""), name),
                standby: piece.standby.map(name),
                fence: piece.fence,
                since: if piece.moved { version } else { piece.since },
            }
        };
        self.order().into_iter().map(range).collect()
    }
}

fn piece(range: &KeyRange, end: u64, targets: &Targets, losses: &Losses) -> Piece {
    let owner = range.owner_given(losses);
    let moved = owner.as_ref().is_some_and(|owner| owner.standby);
    let standby = range.standby.as_ref().filter(|_| !moved);
    Piece {
        start: range.start,
        end,
        fence: owner.as_ref().map_or(range.fence, |owner| owner.fence),
        owner: owner.and_then(|owner| targets.place(&owner.target)),
        standby: standby.and_then(|name| targets.place(name)),
        since: range.since,
        moved,
        load: 0.0,
    }
}
