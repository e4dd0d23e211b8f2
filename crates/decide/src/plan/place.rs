//! Ranges that need an owner: all of them at first, later those of targets that may own nothing.

use super::{
    RANGES_PER_TARGET,
    pieces::{Piece, Pieces},
    targets::Targets,
};

/// Divides a service that has not been divided yet.
pub(super) fn divide(pieces: &mut Pieces, targets: &Targets) {
    let eligible = targets.places(|target| target.eligible).count();
    let whole = match pieces.list.as_slice() {
        [piece] if piece.owner.is_none() && eligible > 0 => piece.clone(),
        _ => return,
    };
    let count = (targets.list.len() * RANGES_PER_TARGET) as u64;
    let step = u64::MAX / count + 1;
    let part = |i: u64| Piece {
        start: i * step,
        end: if i + 1 == count {
            u64::MAX
        } else {
            (i + 1) * step - 1
        },
        ..whole.clone()
    };
    pieces.list = (0..count).map(part).collect();
    pieces.weigh(targets.list.len(), Piece::width);
}

/// Gives every piece without an eligible owner to the least loaded target that bears it.
///
/// A piece that no target may own is left without an owner. `had` tells the pieces that are
/// recorded without one, whose fence need not change.
pub(super) fn vacate(
    pieces: &mut Pieces,
    targets: &Targets,
    had: impl Fn(&Piece) -> bool,
) -> usize {
    let mut orphans: Vec<usize> = (0..pieces.list.len())
        .filter(|i| !owned(&pieces.list[*i], targets))
        .collect();
    orphans.sort_by(|a, b| pieces.list[*b].load.total_cmp(&pieces.list[*a].load));
    for i in &orphans {
        let to = receiver(pieces, targets, &pieces.list[*i]);
        if to.is_some() || had(&pieces.list[*i]) {
            pieces.give(*i, to);
        }
    }
    orphans.len()
}

fn owned(piece: &Piece, targets: &Targets) -> bool {
    piece
        .owner
        .is_some_and(|owner| targets.list[owner].eligible)
}

fn receiver(pieces: &Pieces, targets: &Targets, piece: &Piece) -> Option<usize> {
    let width = piece.width();
    let bears = |i: &usize| pieces.widths[*i] + width <= targets.list[*i].bound;
    let relative = |i: usize| (pieces.loads[i] + piece.load) / targets.list[i].slots;
    let least = |a: &usize, b: &usize| relative(*a).total_cmp(&relative(*b));
    let filling = |a: &usize, b: &usize| {
        let fill = |i: usize| pieces.widths[i] / targets.list[i].bound;
        fill(*a).total_cmp(&fill(*b))
    };
    targets
        .open()
        .filter(bears)
        .min_by(least)
        // No target bears it yet, and no key may be without an owner for that.
        .or_else(|| targets.open().min_by(filling))
        .or_else(|| targets.places(|target| target.eligible).min_by(least))
}
