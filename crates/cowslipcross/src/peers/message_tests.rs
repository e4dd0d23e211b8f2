//! Encoding of messages: complete, short, and malformed ones are noticed.

use {
    super::{FORMAT, Message, WireNotice},
    cowslip_decide::permits::PermitOutcome,
    quickcheck::quickcheck,
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

fn messages() -> [Message; 5] {
    [
        permit_request(),
        Message::TargetNotices(vec![notice()]),
        Message::PermitReturned {
            number: 7,
            outcome: PermitOutcome::Shed.into(),
            slowdown: Some(1.25),
            quiet_ms: Some(1_500),
            notice: Some(notice()),
        },
        Message::LeadershipOffer,
        Message::Members("10.0.0.1:7660=20".into()),
    ]
}

#[test]
fn messages_are_decoded_as_they_were_sent() {
    for message in messages() {
        let bytes = message.encode().expect("bytes");
        assert_eq!(Message::decode(&bytes), Some(message));
    }
}

#[test]
fn a_message_of_a_build_without_a_format_is_not_decoded() {
    for message in messages() {
        let bytes = postcard::to_stdvec(&message).expect("bytes");
        assert_eq!(Message::decode(&bytes), None);
        // Nor does such a build decode one with a format.
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
    for message in messages() {
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
