//! Standby of each range: which target owns it once the owner is lost.

use super::{
    pieces::{Piece, Pieces},
    targets::Targets,
};

/// Chooses a standby for each piece that needs one.
///
/// The standbys of one owner are spread over all targets of other data centres, so that its load
/// spreads if it is lost. In calm, standbys that crowd on one target are chosen anew.
pub(super) fn choose(pieces: &mut Pieces, targets: &Targets, calm: bool) {
    let candidates = candidates(targets);
    let mut choice = Choice {
        targets,
        candidates: &candidates,
        pairs: vec![0; targets.list.len()],
        totals: vec![0; targets.list.len()],
    };
    let owned = pieces.owned(targets.list.len());
    for piece in &mut pieces.list {
        piece.standby = piece.standby.filter(|standby| choice.fits(piece, *standby));
        if let Some(standby) = piece.standby {
            choice.totals[standby] += 1;
        }
    }
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
    candidates: &'a [usize],
    /// Standbys that the owner at hand has at each target.
    pairs: Vec<usize>,
    /// Standbys that all owners have at each target.
    totals: Vec<usize>,
}

impl Choice<'_, '_> {
    /// Returns whether a recorded standby may stay.
    fn fits(&self, piece: &Piece, standby: usize) -> bool {
        let Some(owner) = piece.owner.filter(|owner| *owner != standby) else {
            return false;
        };
        self.targets.list[standby].eligible && (!self.near(owner, standby) || !self.far(owner))
    }

    fn near(&self, owner: usize, standby: usize) -> bool {
        self.targets.list[owner].centre == self.targets.list[standby].centre
    }

    /// Returns whether any target of another data centre may be standby.
    fn far(&self, owner: usize) -> bool {
        self.candidates.iter().any(|i| !self.near(owner, *i))
    }

    fn fill(&mut self, pieces: &mut Pieces, owner: usize, owned: &[usize], calm: bool) {
        self.pairs.fill(0);
        let most = match calm {
            true => self.most(owner, owned.len()),
            false => usize::MAX,
        };
        let mut open = Vec::new();
        for i in owned {
            match pieces.list[*i].standby {
                Some(standby) if self.pairs[standby] < most => self.pairs[standby] += 1,
                Some(standby) => {
                    self.totals[standby] -= 1;
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
                self.totals[standby] += 1;
            }
        }
    }

    /// Returns the most standbys that an owner may have at one target.
    fn most(&self, owner: usize, owned: usize) -> usize {
        let far = self.candidates.iter().filter(|i| !self.near(owner, **i));
        let places = match far.count() {
            0 => self.candidates.len().saturating_sub(1),
            far => far,
        };
        owned.div_ceil(places.max(1)) + 1
    }

    fn best(&self, owner: usize) -> Option<usize> {
        let others = self.candidates.iter().copied().filter(|i| *i != owner);
        others.min_by_key(|i| (self.near(owner, *i), self.pairs[*i], self.totals[*i], *i))
    }
}
