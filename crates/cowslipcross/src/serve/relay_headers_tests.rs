//! Encoding of the headers between instances: complete, and of one format only.

use {
    super::{RELAY, RelayReply, RelayRequest, RelayTask, take_reply, take_request},
    http::{HeaderMap, HeaderValue},
    quickcheck::quickcheck,
};

fn headers(value: HeaderValue) -> HeaderMap {
    HeaderMap::from_iter([(RELAY, value)])
}

#[test]
fn requests_and_replies_are_decoded_as_they_were_sent() {
    for task in [
        RelayTask::SendIdempotent,
        RelayTask::SendOnce,
        RelayTask::Check,
    ] {
        let request = RelayRequest {
            task,
            incarnation: u64::MAX,
        };
        let mut sent = headers(request.into());
        assert_eq!(take_request(&mut sent), Some(request));
        assert!(sent.is_empty());
    }
    for reply in [
        RelayReply::PassedOn("west".into()),
        RelayReply::PassedOn("two words".into()),
        RelayReply::TargetReached,
        RelayReply::TargetClosed,
        RelayReply::TargetUnreachable,
        RelayReply::CutOff,
        RelayReply::Denied,
    ] {
        let mut sent = headers((&reply).into());
        assert_eq!(take_reply(&mut sent), Some(reply));
    }
}

#[test]
fn other_formats_are_not_decoded() {
    for text in ["", "1", "2 once 7", "1 twice 7", "1 once", "1 once x"] {
        let value = HeaderValue::from_str(text).expect("a value");
        assert_eq!(take_request(&mut headers(value)), None, "{text}");
    }
    for text in ["", "1", "2 closed", "1 closed x", "1 passed-on", "1 other"] {
        let value = HeaderValue::from_str(text).expect("a value");
        assert_eq!(take_reply(&mut headers(value)), None, "{text}");
    }
}

quickcheck! {
    fn any_value_is_decoded_without_panic(bytes: Vec<u8>) -> bool {
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            let _ = take_request(&mut headers(value.clone()));
            let _ = take_reply(&mut headers(value));
        }
        true
    }
}
