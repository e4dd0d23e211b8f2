//! Load of each range, estimated from the rates of the targets and their most frequent keys.

use {
    super::{pieces::Pieces, targets::Targets},
    crate::names::Name,
    std::collections::BTreeMap,
};

/// Sets the load of every piece, if the rate of every target that may own ranges is known.
///
/// A target's rate is divided by width, but for the keys that its holder reports as frequent.
pub(super) fn estimate(
    pieces: &mut Pieces,
    targets: &Targets,
    rates: &BTreeMap<Name, f64>,
) -> bool {
    let rate = |place: usize| rates.get(targets.list[place].name).copied();
    let owned = pieces.owned(targets.list.len());
    let known = |i: &usize| rate(*i).is_some() || (owned[*i].is_empty() && !targets.list[*i].open);
    if !targets.places(|target| target.eligible).all(|i| known(&i)) {
        return false;
    }
    let mut loads = vec![0.0; pieces.list.len()];
    for (place, owned) in owned.iter().enumerate() {
        if let Some(rate) = rate(place) {
            spread(pieces, targets, (place, rate), owned, &mut loads);
        }
    }
    if loads.iter().sum::<f64>() <= 0.0 {
        return false;
    }
    for (piece, load) in pieces.list.iter_mut().zip(loads) {
        piece.load = load;
    }
    pieces.weigh(targets.list.len(), |piece| piece.load);
    true
}

fn spread(
    pieces: &Pieces,
    targets: &Targets,
    (place, rate): (usize, f64),
    owned: &[usize],
    loads: &mut [f64],
) {
    let mut cool = rate;
    for (hash, thousandths) in hottest(targets, place) {
        let within = |i: &&usize| (pieces.list[**i].start..=pieces.list[**i].end).contains(&hash);
        if let Some(i) = owned.iter().find(within) {
            let load = rate * f64::from(thousandths) / 1000.0;
            loads[*i] += load;
            cool -= load;
        }
    }
    let width: f64 = owned.iter().map(|i| pieces.list[*i].width()).sum();
    for i in owned {
        loads[*i] += cool.max(0.0) * pieces.list[*i].width() / width;
    }
}

/// Returns the most frequent key hashes of a target with their shares in thousandths.
pub(super) fn hottest(targets: &Targets, place: usize) -> impl Iterator<Item = (u64, u32)> {
    let load = targets.list[place].load;
    load.into_iter()
        .flat_map(|load| load.hottest.iter().copied())
}
