//! The encoded form of a membership, and how members are ordered and chosen.

use {
    super::{Member, Membership, cpu_weight},
    std::{collections::BTreeMap, net::SocketAddr},
};

fn member(number: u8, weight: u8) -> Member {
    Member {
        address: SocketAddr::from(([10, 1, 0, number], 7660)),
        weight,
    }
}

fn membership(weights: &[u8]) -> Membership {
    let members = weights.iter().zip(1..);
    Membership::new(
        members
            .map(|(weight, number)| member(number, *weight))
            .collect(),
    )
}

#[test]
fn a_membership_survives_encoding() {
    for count in [0, 1, 77, 250] {
        let membership = membership(&vec![20; count]);
        assert_eq!(
            Membership::parse(&membership.to_text()),
            Some(membership.clone())
        );
        assert_eq!(membership.members().len(), count);
    }
    assert_eq!(Membership::parse("????"), None);
    assert_eq!(Membership::parse("AAAA"), None);
    assert_ne!(membership(&[20, 20]).hash(), membership(&[20, 21]).hash());
}

#[test]
fn pools_are_distributed_by_weight() {
    let membership = membership(&[10, 10, 10, 10, 50, 50]);
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..7000 {
        let coordinator = membership.select_coordinator(&format!("b{number}"), |_| true);
        *counts.entry(coordinator.expect("a member")).or_default() += 1;
    }
    for member in membership.members() {
        let expected = 50 * u32::from(member.weight);
        let count = counts[&member.address];
        assert!(
            count.abs_diff(expected) < expected / 4,
            "{count} of {expected}"
        );
    }
}

#[test]
fn excluding_a_member_moves_only_its_own_pools() {
    let membership = membership(&[20; 9]);
    let excluded = membership.members()[4].address;
    for number in 0..500 {
        let pool = format!("b{number}");
        let before = membership.select_coordinator(&pool, |_| true);
        let after = membership.select_coordinator(&pool, |it| *it != excluded);
        assert!(before == after || before == Some(excluded));
    }
    assert_eq!(
        Membership::default().select_coordinator("b", |_| true),
        None
    );
}

#[test]
fn weights_are_clamped_to_a_byte() {
    assert_eq!([0.0, 0.1, 1.0, 64.0].map(cpu_weight), [1, 10, 100, 255]);
}

#[test]
fn positions_follow_descending_weight() {
    let membership = membership(&[10, 50, 10, 50]);
    let positions = membership
        .members()
        .iter()
        .map(|it| membership.position(it.address));
    assert_eq!(positions.collect::<Vec<_>>(), [2, 0, 3, 1].map(Some));
    let first = membership.members()[1];
    assert_eq!(
        membership.strongest_except(first.address),
        Some(membership.members()[3])
    );
    assert_eq!(
        membership.position(SocketAddr::from(([9, 9, 9, 9], 1))),
        None
    );
}

#[test]
fn only_addresses_of_members_are_let_in() {
    let membership = membership(&[20, 20]);
    for (number, is_member) in [(1, true), (2, true), (3, false)] {
        let address = member(number, 20).address.ip();
        assert_eq!(membership.has_member(address), is_member, "{address}");
    }
    assert!(!Membership::default().has_member(member(1, 20).address.ip()));
}
