//! Standby of each range: which target owns it once the owner is lost.

use {
    super::{
        pieces::{Piece, Pieces},
        targets::Targets,
    },
    std::collections::BTreeSet,
};

/// Chooses a standby for each piece that needs one.
///
/// The standbys of one owner are spread over all targets of other data centres, so that its load
/// spreads if it is lost. In calm, standbys that crowd on one target are chosen anew.
pub(super) fn choose(pieces: &mut Pieces, targets: &Targets, calm: bool) {
    let mut choice = Choice::new(targets);
    let owned = pieces.owned(targets.list.len());
    for piece in &mut pieces.list {
        piece.standby = piece.standby.filter(|standby| choice.fits(piece, *standby));
        if let Some(standby) = piece.standby {
            choice.totals[standby] += 1;
        }
    }
    choice.queue = choice
        .candidates
        .iter()
        .map(|i| (choice.totals[*i], *i))
        .collect();
    for (owner, owned) in owned.iter().enumerate() {
        choice.fill(pieces, owner, owned, calm);
    }
}

fn candidates(targets: &Targets) -> Vec<usize> {
    let warm: Vec<usize> = targets.places(|t| t.open && t.bound >= 1.0).collect();
    if warm.len() > 1 {
        return warm;
    }
    targets.places(|target| target.eligible).collect()
}

struct Choice<'a, 'b> {
    targets: &'a Targets<'b>,
    candidates: Vec<usize>,
    /// Number of candidates in each data centre.
    centres: Vec<usize>,
    /// Standbys that the owner at hand has at each target.
    pairs: Vec<usize>,
    /// Standbys that all owners have at each target.
    totals: Vec<usize>,
    /// Candidates ordered by their totals.
    queue: BTreeSet<(usize, usize)>,
}

impl<'a, 'b> Choice<'a, 'b> {
    fn new(targets: &'a Targets<'b>) -> Self {
        let count = targets.list.len();
        let candidates = candidates(targets);
        let mut centres = vec![0; count];
        for i in &candidates {
            centres[targets.list[*i].centre] += 1;
        }
        Self {
            targets,
            candidates,
            centres,
            pairs: vec![0; count],
            totals: vec![0; count],
            queue: BTreeSet::new(),
        }
    }

    /// Returns whether a recorded standby may stay.
    fn fits(&self, piece: &Piece, standby: usize) -> bool {
        let Some(owner) = piece.owner.filter(|owner| *owner != standby) else {
            return false;
        };
        let eligible = self.targets.list[standby].eligible;
        eligible && (!self.near(owner, standby) || self.far(owner) == 0)
    }

    fn near(&self, owner: usize, standby: usize) -> bool {
        self.targets.list[owner].centre == self.targets.list[standby].centre
    }

    /// Returns the number of candidates in other data centres.
    fn far(&self, owner: usize) -> usize {
        self.candidates.len() - self.centres[self.targets.list[owner].centre]
    }

    fn fill(&mut self, pieces: &mut Pieces, owner: usize, owned: &[usize], calm: bool) {
        let most = match calm {
            true => self.most(owner, owned.len()),
            false => usize::MAX,
        };
        let mut open = Vec::new();
        for i in owned {
            match pieces.list[*i].standby {
                Some(standby) if self.pairs[standby] < most => self.pairs[standby] += 1,
                Some(standby) => {
                    self.count(standby, |total| total - 1);
                    open.push(*i);
                }
                None => open.push(*i),
            }
        }
        for i in open {
            let standby = self.best(owner);
            pieces.list[i].standby = standby;
            if let Some(standby) = standby {
                self.pairs[standby] += 1;
                self.count(standby, |total| total + 1);
            }
        }
        let standbys = owned.iter().filter_map(|i| pieces.list[*i].standby);
        standbys.for_each(|standby| self.pairs[standby] = 0);
    }

    fn count(&mut self, standby: usize, change: impl Fn(usize) -> usize) {
        let queued = self.queue.remove(&(self.totals[standby], standby));
        self.totals[standby] = change(self.totals[standby]);
        if queued {
            self.queue.insert((self.totals[standby], standby));
        }
    }

    /// Returns the most standbys that an owner may have at one target.
    fn most(&self, owner: usize, owned: usize) -> usize {
        let places = match self.far(owner) {
            0 => self.candidates.len().saturating_sub(1),
            far => far,
        };
        owned.div_ceil(places.max(1)) + 1
    }

    fn best(&self, owner: usize) -> Option<usize> {
        let unpaired = |i: &usize| !self.near(owner, *i) && self.pairs[*i] == 0;
        // Nearly always one of the first, so that the work does not grow with the targets.
        let first = self.queue.iter().map(|(_, i)| *i).find(unpaired);
        let others = self.candidates.iter().copied().filter(|i| *i != owner);
        first.or_else(|| {
            others.min_by_key(|i| (self.near(owner, *i), self.pairs[*i], self.totals[*i], *i))
        })
    }
}
