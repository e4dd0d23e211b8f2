//! Messages that exceed a datagram are reassembled whatever the order of their fragments, and
//! incomplete or malformed ones take a bounded amount of memory.

use {
    super::{MAX_DATAGRAM_BYTES, MAX_INCOMPLETE, REASSEMBLY_TIMEOUT, Reassembler, split},
    std::net::SocketAddr,
    tokio::time::Instant,
};

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn message(length: usize) -> Vec<u8> {
    (0..length).map(|index| b'{' + (index % 3) as u8).collect()
}

#[test]
fn split_messages_are_reassembled_from_datagrams_within_the_limit() {
    let now = Instant::now();
    for length in [
        1,
        MAX_DATAGRAM_BYTES,
        MAX_DATAGRAM_BYTES + 1,
        20_000,
        80_000,
    ] {
        let message = message(length);
        let datagrams = split(7, message.clone()).expect("not too long");
        assert!(datagrams.iter().all(|it| it.len() <= MAX_DATAGRAM_BYTES));
        let mut reassembler = Reassembler::default();
        let mut found = None;
        for datagram in datagrams.iter().rev() {
            assert_eq!(found, None, "complete before its last fragment");
            found = reassembler.add_datagram(peer(1), datagram, now);
        }
        assert_eq!(found, Some(message));
    }
    assert_eq!(split(7, message(100_000)), None);
}

#[test]
fn messages_with_the_same_number_from_two_peers_are_kept_apart() {
    let now = Instant::now();
    let mut reassembler = Reassembler::default();
    let (left, right) = (message(3000), vec![b'{'; 3000]);
    let split_message = |message: &Vec<u8>| split(1, message.clone()).expect("not too long");
    let mut completed = Vec::new();
    for (a, b) in split_message(&left).iter().zip(&split_message(&right)) {
        completed.extend(reassembler.add_datagram(peer(1), a, now));
        completed.extend(reassembler.add_datagram(peer(2), b, now));
    }
    assert_eq!(completed, [left, right]);
}

#[test]
fn incomplete_messages_are_limited_and_expire() {
    let now = Instant::now();
    let mut reassembler = Reassembler::default();
    let first_fragment = |number| split(number, message(3000)).expect("not too long")[0].clone();
    for number in 0..2 * MAX_INCOMPLETE as u32 {
        assert_eq!(
            reassembler.add_datagram(peer(1), &first_fragment(number), now),
            None
        );
    }
    assert_eq!(reassembler.incomplete.len(), MAX_INCOMPLETE);
    reassembler.add_datagram(peer(1), &first_fragment(9999), now + REASSEMBLY_TIMEOUT);
    assert_eq!(reassembler.incomplete.len(), 1);
}

#[test]
fn malformed_fragments_are_ignored() {
    let now = Instant::now();
    let mut reassembler = Reassembler::default();
    for malformed in [
        // No complete header.
        &[0xf1][..],
        // Index 3 of 2 fragments.
        &[0xf1, 0, 0, 0, 1, 3, 2, 9],
        // More fragments than a message may have.
        &[0xf1, 0, 0, 0, 1, 0, 255],
    ] {
        assert_eq!(reassembler.add_datagram(peer(1), malformed, now), None);
    }
}
