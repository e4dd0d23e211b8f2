//! Notes which ranges have come to a target that this instance holds.

use {
    crate::events::{self, About, Events},
    cowslip_decide::{
        assign::Owner,
        member::View,
        names::{Fence, Name},
    },
    std::collections::BTreeMap,
};

/// Latest owner of each range by the first hash of the range.
type Owners = BTreeMap<u64, (Name, Fence)>;

/// The owners of all ranges, as the views so far gave them.
#[derive(Debug, Default)]
pub(super) struct Moves {
    services: BTreeMap<Name, Owners>,
}

/// A range that has another owner or another fence than before.
#[derive(Debug, PartialEq, Eq)]
struct Move {
    start: u64,
    to: Name,
    fence: Fence,
    from: Option<Name>,
}

impl Moves {
    /// Takes a view and notes each move to a target that the instance `name` holds.
    pub fn note(&mut self, events: &Events, name: &Name, view: &View) {
        for (service, ranges) in &view.assignment.ranges {
            let starts = ranges.iter().map(|range| range.start);
            let owners = view.owners(service).iter().map(Option::as_ref);
            let moves = self.take(service, starts.zip(owners));
            let held = |it: &&Move| view.holder(&it.to) == Some(name);
            for it in moves.iter().filter(held) {
                events.note(events::RANGE_MOVED, it.about(service));
            }
        }
    }

    /// Replaces the owners of a service; a range that has none at the moment keeps its latest one.
    fn take<'a>(
        &mut self,
        service: &Name,
        ranges: impl Iterator<Item = (u64, Option<&'a Owner>)>,
    ) -> Vec<Move> {
        let former = self.services.remove(service).unwrap_or_default();
        let (mut owners, mut moves) = (Owners::new(), Vec::new());
        for (start, owner) in ranges {
            let before = former.range(..=start).next_back().map(|(_, owner)| owner);
            let now = owner.map(|owner| (owner.target.clone(), owner.fence));
            if let Some((to, fence)) = now.as_ref().filter(|now| before != Some(*now)) {
                moves.push(Move {
                    start,
                    to: to.clone(),
                    fence: *fence,
                    from: before.map(|(target, _)| target.clone()),
                });
            }
            if let Some(latest) = now.or_else(|| before.cloned()) {
                owners.insert(start, latest);
            }
        }
        self.services.insert(service.clone(), owners);
        moves
    }
}

impl Move {
    fn about(&self, service: &Name) -> About {
        let from = self.from.as_deref().unwrap_or("no owner");
        About {
            key: Some(format!("{service}/{:016x}", self.start).into()),
            target: Some(self.to.clone()),
            detail: Some(format!("fence {}, after {from}", self.fence)),
            ..About::default()
        }
    }
}

#[cfg(test)]
#[path = "moves_tests.rs"]
mod tests;
