//! Ranges that need an owner: all of them at first, later those of targets that may own nothing.

use {
    super::{
        RANGES_PER_TARGET,
        pieces::{Piece, Pieces},
        targets::Targets,
    },
    std::collections::BTreeSet,
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
    let mut queue: BTreeSet<(u64, usize)> = targets
        .open()
        .map(|i| (rank(pieces, targets, i), i))
        .collect();
    for i in &orphans {
        let to = receiver(pieces, targets, &queue, pieces.list[*i].width());
        let before = to.map(|to| (rank(pieces, targets, to), to));
        if to.is_some() || had(&pieces.list[*i]) {
            pieces.give(*i, to);
        }
        if let Some((_, to)) = before.filter(|before| queue.remove(before)) {
            queue.insert((rank(pieces, targets, to), to));
        }
    }
    orphans.len()
}

fn owned(piece: &Piece, targets: &Targets) -> bool {
    piece
        .owner
        .is_some_and(|owner| targets.list[owner].eligible)
}

/// Returns the load for each slot as a number of the same order.
fn rank(pieces: &Pieces, targets: &Targets, i: usize) -> u64 {
    (pieces.loads[i].max(0.0) / targets.list[i].slots).to_bits()
}

fn receiver(
    pieces: &Pieces,
    targets: &Targets,
    queue: &BTreeSet<(u64, usize)>,
    width: f64,
) -> Option<usize> {
    let bears = |i: &usize| pieces.widths[*i] + width <= targets.list[*i].bound;
    let fill = |i: usize| pieces.widths[i] / targets.list[i].bound;
    let filling = |a: &usize, b: &usize| fill(*a).total_cmp(&fill(*b));
    let least = queue.iter().map(|(_, i)| *i).find(bears);
    // No target bears it yet, and no key may be without an owner for that.
    let emptiest = || targets.open().min_by(filling);
    let silent = || {
        let eligible = targets.places(|target| target.eligible);
        eligible.min_by_key(|i| rank(pieces, targets, *i))
    };
    least.or_else(emptiest).or_else(silent)
}
