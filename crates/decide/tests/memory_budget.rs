//! Memory that bodies of messages take together.

use cowslip_decide::memory_budget::{ConnectionKind, MemoryBudget};

const MIB: usize = 1 << 20;

#[test]
fn all_bodies_together_stay_within_the_budget_and_give_their_room_back() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut reservations: Vec<_> = (0..20)
        .map(|_| budget.body_reservation(ConnectionKind::Target))
        .collect();
    let taken = reservations
        .iter_mut()
        .filter_map(|it| it.resize(MIB).then_some(()));
    assert_eq!(taken.count(), 12);
    assert_eq!((budget.held(), budget.peak()), (12 * MIB, 12 * MIB));
    assert_eq!(budget.refused_bodies(ConnectionKind::Target), 8);
    drop(reservations);
    assert_eq!((budget.held(), budget.peak()), (0, 12 * MIB));
}

/// Guards against a few large bodies that keep all other requests out.
#[test]
fn small_bodies_have_room_while_large_ones_take_all_of_theirs() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut large = budget.body_reservation(ConnectionKind::Caller);
    assert!(large.resize(8 * MIB));
    assert!(!large.resize(8 * MIB + 1));
    let mut response = budget.body_reservation(ConnectionKind::Target);
    assert!(response.resize(4 * MIB));
    assert!(!response.resize(4 * MIB + 1));
    let mut small: Vec<_> = (0..100)
        .map(|_| budget.body_reservation(ConnectionKind::Caller))
        .collect();
    let taken = small
        .iter_mut()
        .filter_map(|it| it.resize(64 << 10).then_some(()));
    assert_eq!(taken.count(), 64);
    assert_eq!(budget.held(), 16 * MIB);
}

#[test]
fn a_body_that_grows_counts_once() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut reservation = budget.body_reservation(ConnectionKind::Store);
    assert!(reservation.resize(MIB) && reservation.resize(2 * MIB));
    assert_eq!(budget.held(), 2 * MIB);
}

/// Guards against connections of callers that keep everything else out.
#[test]
fn connections_of_callers_leave_reservation_for_all_else() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut connection = budget.connection_reservation(ConnectionKind::Caller);
    assert!(connection.resize(12 * MIB));
    assert!(!connection.resize(12 * MIB + 1));
    assert_eq!(budget.refused_connections(ConnectionKind::Caller), 1);
    assert_eq!(budget.refused_bodies(ConnectionKind::Caller), 0);
    let mut store = budget.connection_reservation(ConnectionKind::Store);
    assert!(store.resize(3 * MIB));
    let mut body = budget.body_reservation(ConnectionKind::Target);
    assert!(body.resize(64 << 10));
}

/// Guards against a connection that cannot give memory back because more than its part is in use.
#[test]
fn less_room_than_before_always_fits() {
    let budget = MemoryBudget::new(16 * MIB);
    let mut connection = budget.connection_reservation(ConnectionKind::Caller);
    assert!(connection.resize(12 * MIB));
    let mut other = budget.connection_reservation(ConnectionKind::Target);
    assert!(other.resize(4 * MIB));
    assert!(connection.resize(11 * MIB));
    assert_eq!((connection.bytes(), budget.held()), (11 * MIB, 15 * MIB));
}
