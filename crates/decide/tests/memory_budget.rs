//! Memory that bodies of messages take together.

use cowslip_decide::memory_budget::{ConnectionKind, MemoryBudget};

const MIB: usize = 1 << 20;

#[test]
fn all_bodies_together_stay_within_the_budget_and_give_their_room_back() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut rooms: Vec<_> = (0..20)
        .map(|_| budget.open_room(ConnectionKind::Target))
        .collect();
    let taken = rooms.iter_mut().filter_map(|it| it.grow(MIB).then_some(()));
    assert_eq!(taken.count(), 12);
    assert_eq!((budget.held(), budget.peak()), (12 * MIB, 12 * MIB));
    assert_eq!(budget.refused(ConnectionKind::Target), 8);
    drop(rooms);
    assert_eq!((budget.held(), budget.peak()), (0, 12 * MIB));
}

/// Guards against a few large bodies that keep all other requests out.
#[test]
fn small_bodies_have_room_while_large_ones_take_all_of_theirs() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut large = budget.open_room(ConnectionKind::Caller);
    assert!(large.grow(8 * MIB));
    assert!(!large.grow(8 * MIB + 1));
    let mut response = budget.open_room(ConnectionKind::Target);
    assert!(response.grow(4 * MIB));
    assert!(!response.grow(4 * MIB + 1));
    let mut small: Vec<_> = (0..100)
        .map(|_| budget.open_room(ConnectionKind::Caller))
        .collect();
    let taken = small
        .iter_mut()
        .filter_map(|it| it.grow(64 << 10).then_some(()));
    assert_eq!(taken.count(), 64);
    assert_eq!(budget.held(), 16 * MIB);
}

#[test]
fn a_body_that_grows_counts_once() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut room = budget.open_room(ConnectionKind::Store);
    assert!(room.grow(MIB) && room.grow(2 * MIB));
    assert_eq!(budget.held(), 2 * MIB);
}
