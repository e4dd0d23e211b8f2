//! Keys that are frequent enough to be a range of their own.

use super::{
    balance::{self, TRIGGER},
    load::hottest,
    pieces::Pieces,
    targets::Targets,
};

/// Load of a key that is cut out, as a share of the mean load of a target.
const HOT: f64 = 0.2;
/// Load of a key that is merged back, as a share of the mean load of a target.
const COOL: f64 = 0.1;

/// Cuts frequent keys of overloaded targets out of their ranges; no owner changes by it.
pub(super) fn cut(pieces: &mut Pieces, targets: &Targets) {
    let mean = balance::mean(pieces, targets);
    for place in 0..targets.list.len() {
        let slots = targets.list[place].slots;
        if pieces.loads[place] <= TRIGGER * mean * slots {
            continue;
        }
        for (hash, thousandths) in hottest(targets, place) {
            let load = pieces.loads[place] * f64::from(thousandths) / 1000.0;
            if load >= HOT * mean * slots {
                cut_key(pieces, place, hash, load);
            }
        }
    }
}

fn cut_key(pieces: &mut Pieces, owner: usize, hash: u64, load: f64) {
    let found = pieces
        .list
        .iter()
        .position(|piece| piece.owner == Some(owner) && (piece.start..=piece.end).contains(&hash));
    let Some(i) = found.filter(|i| !pieces.list[*i].single()) else {
        return;
    };
    let piece = &pieces.list[i];
    let (start, end, width) = (piece.start, piece.end, piece.width());
    let cool = (piece.load - load).max(0.0);
    let mut key = i;
    if hash > start {
        key = pieces.cut(i, hash, 0.0);
        let head = pieces.list[i].width() / width;
        pieces.list[i].load = cool * head;
        pieces.list[key].load = load + cool * (1.0 - head);
    }
    if hash < end {
        let tail = pieces.list[key].load - load;
        pieces.cut(key, hash + 1, tail);
    }
}

/// Merges one key that has cooled with the range before it.
///
/// The merged range gets a fence above both, unless nothing but the cut told them apart.
pub(super) fn merge(pieces: &mut Pieces, targets: &Targets) {
    let mean = balance::mean(pieces, targets);
    let order = pieces.order();
    let cooled = order.windows(2).find_map(|pair| {
        let (before, key) = (&pieces.list[pair[0]], &pieces.list[pair[1]]);
        let slots = targets.list[key.owner?].slots;
        let cool = key.single() && !before.single() && key.load < COOL * mean * slots;
        (cool && before.owner.is_some()).then_some((pair[0], pair[1]))
    });
    let Some((before, key)) = cooled else {
        return;
    };
    let after = order
        .iter()
        .copied()
        .find(|i| Some(pieces.list[*i].start) == pieces.list[key].end.checked_add(1))
        .filter(|i| pieces.list[*i].owner == pieces.list[before].owner);
    let after = after.filter(|i| !pieces.list[*i].single());
    let parts: Vec<usize> = [Some(key), after].into_iter().flatten().collect();
    join(pieces, before, parts);
    pieces.weigh(targets.list.len(), |piece| piece.load);
}

fn join(pieces: &mut Pieces, first: usize, mut parts: Vec<usize>) {
    let mut whole = pieces.list[first].clone();
    let alike = parts.iter().all(|i| {
        let part = &pieces.list[*i];
        part.owner == whole.owner && part.fence == whole.fence
    });
    for part in parts.iter().map(|i| &pieces.list[*i]) {
        whole.end = whole.end.max(part.end);
        whole.load += part.load;
        whole.fence = whole.fence.max(part.fence);
        whole.since = whole.since.max(part.since);
    }
    if !alike {
        whole.fence = whole.fence.next().next();
        whole.moved = true;
    }
    pieces.list[first] = whole;
    parts.sort_unstable();
    for i in parts.into_iter().rev() {
        pieces.list.remove(i);
    }
}
