//! Ranges of every divided service.

use {
    super::{
        PlanInput, Service, balance, hot, load,
        pieces::{Piece, Pieces},
        place, standby,
        targets::Targets,
    },
    crate::{
        assign::{Assignment, KeyRange},
        names::{Fence, Name, Version},
    },
};

/// Plans the ranges of all divided services.
pub(super) fn plan(input: &PlanInput, next: &mut Assignment) {
    for (name, service) in &input.topology.services {
        if service.divided {
            let current = next.ranges.remove(name).unwrap_or_else(undivided);
            let ranges = ranges(input, service, &current, next.version);
            next.ranges.insert(name.clone(), ranges);
        }
    }
    let gone = |name: &Name| !matches!(input.topology.services.get(name), Some(s) if s.divided);
    for (_, ranges) in next.ranges.iter_mut().filter(|(name, _)| gone(name)) {
        retire(ranges, next.version);
    }
}

fn ranges(
    input: &PlanInput,
    service: &Service,
    current: &[KeyRange],
    version: Version,
) -> Vec<KeyRange> {
    let targets = Targets::new(input, service);
    let mut pieces = Pieces::new(current, &targets, input.losses);
    let rated = load::estimate(&mut pieces, &targets, input.rates);
    place::divide(&mut pieces, &targets);
    let unowned = |piece: &Piece| {
        let after = current.partition_point(|range| range.start <= piece.start);
        current[after - 1].owner.is_empty()
    };
    let orphans = place::vacate(&mut pieces, &targets, |piece| !unowned(piece));
    let calm = input.settled && orphans == 0 && input.losses.targets.is_empty();
    if calm && rated {
        hot::cut(&mut pieces, &targets);
        let moves = balance::by_rate(&mut pieces, &targets);
        if moves == 0 {
            hot::merge(&mut pieces, &targets);
        }
    }
    if calm && !rated {
        balance::by_width(&mut pieces, &targets);
    }
    standby::choose(&mut pieces, &targets, calm);
    pieces.ranges(&targets, version)
}

/// Returns the one range of a service that has not been divided yet.
fn undivided() -> Vec<KeyRange> {
    vec![KeyRange {
        start: 0,
        owner: Name::from(""),
        standby: None,
        fence: Fence(0),
        since: Version(0),
    }]
}

/// Leaves one range without an owner, so that the fences still grow if the service comes back.
fn retire(ranges: &mut Vec<KeyRange>, version: Version) {
    if matches!(ranges.as_slice(), [range] if range.owner.is_empty()) {
        return;
    }
    let highest = ranges.iter().map(|range| range.fence).max();
    *ranges = undivided();
    ranges[0].fence = highest.unwrap_or_default().next().next();
    ranges[0].since = version;
}
