//! Encoding of messages with numbered fields: builds may add fields, and released bytes stay readable.

use {
    super::{
        Admissions, Announcement, ExtensibleMessage, FORMAT_BYTE, OrganisationAdmission,
        OrganisationUsage, SpokenFormat, UsageReport, WireVersion,
    },
    crate::peers::recorded_tests::recorded_bytes,
    minicbor::Encoder,
    quickcheck::quickcheck,
};

fn spoken() -> ExtensibleMessage {
    ExtensibleMessage::SpokenFormat(SpokenFormat {
        leader: WireVersion { era: 1, number: 70 },
        format: 2,
    })
}

fn usage() -> ExtensibleMessage {
    let used = OrganisationUsage {
        name: "bureau".into(),
        asked: 300,
        admitted: -2,
    };
    ExtensibleMessage::Usage(UsageReport { used: vec![used] })
}

fn admissions() -> ExtensibleMessage {
    let limited = OrganisationAdmission {
        name: "bureau".into(),
        ratio: 2_500,
        steady: 3_000,
        wait_ms: 400,
    };
    ExtensibleMessage::Admissions(Admissions {
        leader: WireVersion { era: 1, number: 70 },
        limited: vec![limited],
    })
}

#[test]
fn released_messages_are_read() {
    let recorded = include_str!("recorded/format_81.txt");
    let expected = [
        (
            "announcement",
            ExtensibleMessage::Announcement(Announcement { latest: 2 }),
        ),
        ("spoken_format", spoken()),
        ("usage", usage()),
        ("admissions", admissions()),
    ];
    for (name, message) in expected {
        let bytes = recorded_bytes(recorded, name);
        assert_eq!(ExtensibleMessage::decode(&bytes), Some(message), "{name}");
    }
}

#[test]
fn fields_of_a_later_build_are_skipped() {
    let mut bytes = vec![FORMAT_BYTE];
    let mut encoder = Encoder::new(&mut bytes);
    let written = encoder.array(2).and_then(|it| it.u8(0));
    let written = written
        .and_then(|it| it.array(1))
        .and_then(|it| it.array(3));
    let written = written
        .and_then(|it| it.u16(7))
        .and_then(|it| it.str("later"));
    written.and_then(|it| it.array(0)).expect("bytes");
    let latest = ExtensibleMessage::Announcement(Announcement { latest: 7 });
    assert_eq!(ExtensibleMessage::decode(&bytes), Some(latest));
}

#[test]
fn unknown_variants_and_truncated_messages_are_not_read() {
    let bytes = spoken().encode().expect("bytes");
    for length in 0..bytes.len() {
        assert_eq!(ExtensibleMessage::decode(&bytes[..length]), None);
    }
    let mut unknown = vec![FORMAT_BYTE];
    let mut encoder = Encoder::new(&mut unknown);
    let written = encoder.array(2).and_then(|it| it.u8(200));
    written.and_then(|it| it.array(0)).expect("bytes");
    assert_eq!(ExtensibleMessage::decode(&unknown), None);
}

quickcheck! {
    fn any_bytes_are_read_without_panic(bytes: Vec<u8>) -> bool {
        let mut message = vec![FORMAT_BYTE];
        message.extend(bytes);
        ExtensibleMessage::decode(&message).is_none_or(|it| it.encode().is_some())
    }
}
