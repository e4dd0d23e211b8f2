//! Encoding of messages: complete, short, and malformed ones are noticed.

use {
    super::{
        AssignmentUpdate, FORMAT, InstanceReport, LeaderHeartbeat, Message, WireAssignment,
        WireBlock, WireCrash, WireNotice,
    },
    crate::{peers::recorded_tests::recorded_bytes, views::target_updates::TargetUpdateMessage},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::{crashes::Fingerprint, names::StoreVersion, permits::PermitOutcome},
    quickcheck::quickcheck,
    std::{collections::BTreeMap, time::Duration},
};

fn permit_request() -> Message {
    Message::PermitRequest {
        number: 1_000,
        service: "boards".into(),
        target: Some("i-7f3a91c2b4".into()),
        priority: 1,
        deadline_ms: 4_000,
        goal_ms: 600,
        data_centre: "west".into(),
        excluded: Vec::new(),
    }
}

fn notice() -> WireNotice {
    WireNotice("a".into(), 1_764_838_800_123, true, Some(1_500), 1 << 60)
}

fn crash() -> WireCrash {
    WireCrash(
        Fingerprint(7),
        Fingerprint(8),
        "i-02d9e6b4".into(),
        1_764_838_800_123,
    )
}

fn assignments() -> AssignmentUpdate {
    AssignmentUpdate {
        version: StoreVersion { era: 1, number: 70 },
        base_version: StoreVersion { era: 1, number: 68 },
        assignments: vec![
            WireAssignment(0, 4095, Some(("a".into(), 1_764_838_800_123)), 12),
            WireAssignment(4096, u16::MAX, None, 13),
        ],
        large_table: false,
    }
}

fn heartbeat() -> LeaderHeartbeat {
    let report = TargetReport {
        id: "b".into(),
        service: "boards".into(),
        address: "10.1.0.9:8080".parse().expect("an address"),
        data_centre: "west".into(),
        slots: 2,
        draining: false,
        cold_remaining: Duration::from_millis(2_500),
        incarnation: 1_764_838_800_456,
        sequence: 4,
    };
    LeaderHeartbeat {
        timestamp: 1 << 60,
        leader_version: StoreVersion { era: 1, number: 71 },
        assignment_updates: BTreeMap::from([("boards".into(), assignments())]),
        instance_count: 76,
        membership_hash: 0xfeed_beef,
        config_version: StoreVersion { era: 0, number: 7 },
        target_update: TargetUpdateMessage {
            version: StoreVersion { era: 1, number: 69 },
            age_ms: Some(320),
            base_version: StoreVersion { era: 1, number: 60 },
            changes: vec![("a".into(), None), ("b".into(), Some((&report).into()))],
        },
        notices: vec![notice()],
        blocks: vec![WireBlock(Fingerprint(7), 600_000)],
        lifted: vec![Fingerprint(9)],
    }
}

fn instance_report() -> InstanceReport {
    InstanceReport {
        timestamp: 1 << 60,
        weight: 20,
        can_lead: true,
        membership_hash: 0xfeed_beef,
        config_version: StoreVersion { era: 0, number: 7 },
        key_counts: BTreeMap::from([("boards".into(), vec![(40_010, 300), (7, 2)])]),
        service_times: BTreeMap::from([("a".into(), 130)]),
        notices: vec![notice()],
        crashes: vec![crash()],
        lifted: vec![Fingerprint(9)],
    }
}

/// Returns a message of each kind, with the name under which its bytes are recorded.
fn messages() -> [(&'static str, Message); 14] {
    [
        ("heartbeat", Message::Heartbeat(heartbeat())),
        ("members", Message::Members("10.0.0.1:7660=20".into())),
        (
            "assignments_request",
            Message::AssignmentsRequest("boards".into()),
        ),
        (
            "assignments",
            Message::Assignments("boards".into(), assignments()),
        ),
        ("leadership_offer", Message::LeadershipOffer),
        ("report", Message::Report(instance_report())),
        ("target_notices", Message::TargetNotices(vec![notice()])),
        ("crashes", Message::Crashes(vec![crash()])),
        ("blocks_lifted", Message::BlocksLifted(vec![Fingerprint(9)])),
        ("permit_request", permit_request()),
        (
            "permit_granted",
            Message::PermitGranted {
                number: 1_000,
                target: "a".into(),
            },
        ),
        ("permit_queued", Message::PermitQueued { number: 1_000 }),
        (
            "permit_refused",
            Message::PermitRefused {
                number: 1_000,
                wait_ms: 400,
            },
        ),
        (
            "permit_returned",
            Message::PermitReturned {
                number: 7,
                outcome: PermitOutcome::Shed.into(),
                slowdown: Some(1.25),
                quiet_ms: Some(1_500),
                notice: Some(notice()),
            },
        ),
    ]
}

/// Instances of the released builds send these bytes, and read no others of this format.
#[test]
fn released_messages_are_read_and_sent_as_they_were() {
    let recorded = include_str!("recorded/format_80.txt");
    for (name, message) in messages() {
        let bytes = recorded_bytes(recorded, name);
        assert_eq!(message.encode(), Some(bytes.clone()), "{name}");
        assert_eq!(Message::decode(&bytes), Some(message), "{name}");
    }
}

#[test]
fn messages_are_decoded_as_they_were_sent() {
    for (_, message) in messages() {
        let bytes = message.encode().expect("bytes");
        assert_eq!(Message::decode(&bytes), Some(message));
    }
}

#[test]
fn a_message_of_a_build_without_a_format_is_not_decoded() {
    for (_, message) in messages() {
        let bytes = postcard::to_stdvec(&message).expect("bytes");
        assert_eq!(Message::decode(&bytes), None);
        // Nor does such a build decode one with a format, except for a heartbeat: before a variant
        // numbered 0, the format reads as part of that number. No such build runs any more.
        if matches!(message, Message::Heartbeat(_)) {
            continue;
        }
        let bytes = message.encode().expect("bytes");
        let decoded: postcard::Result<Message> = postcard::from_bytes(&bytes);
        assert!(decoded.is_err(), "{message:?}");
    }
}

#[test]
fn a_permit_request_takes_few_bytes() {
    let bytes = permit_request().encode().expect("bytes");
    assert!(bytes.len() <= 40, "{} bytes", bytes.len());
}

#[test]
fn a_truncated_message_is_not_decoded() {
    for (_, message) in messages() {
        let bytes = message.encode().expect("bytes");
        for length in 0..bytes.len() {
            let decoded = Message::decode(&bytes[..length]);
            assert!(decoded.is_none(), "{length} bytes of {message:?}");
        }
    }
}

quickcheck! {
    fn any_bytes_are_decoded_without_panic(kind: u8, bytes: Vec<u8>) -> bool {
        // Most kinds of message are numbered below 16.
        let bytes = [&[FORMAT, kind % 16][..], &bytes].concat();
        let _ = Message::decode(&bytes);
        true
    }
}
