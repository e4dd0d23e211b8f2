//! Which requests have the same fingerprints.

use super::{Fingerprints, RequestContent};

const CONTENT: RequestContent<'_> = RequestContent {
    method: "GET",
    host: "front.example",
    path: "/a/b",
    key: Some(7),
    body: b"",
};

#[test]
fn requests_with_the_same_content_have_the_same_fingerprints() {
    let caller = Some([10, 0, 0, 1].into());
    let known = Fingerprints::new(CONTENT, caller);
    assert_eq!(Fingerprints::new(CONTENT, caller), known);
    let other_caller = Fingerprints::new(CONTENT, Some([10, 0, 0, 2].into()));
    assert_eq!(other_caller.content, known.content);
    assert_ne!(other_caller.caller, known.caller);
}

#[test]
fn any_difference_in_content_changes_both_fingerprints() {
    let known = Fingerprints::new(CONTENT, None);
    let others = [
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            host: "other.example",
            ..CONTENT
        },
        RequestContent {
            path: "/a/c",
            ..CONTENT
        },
        RequestContent {
            key: Some(8),
            ..CONTENT
        },
        RequestContent {
            key: None,
            ..CONTENT
        },
        RequestContent {
            body: b"x",
            ..CONTENT
        },
        // The same bytes once they are joined.
        RequestContent {
            host: "front.example/a",
            path: "/b",
            ..CONTENT
        },
    ];
    for other in others {
        let found = Fingerprints::new(other, None);
        assert_ne!(found.content, known.content, "{other:?}");
        assert_ne!(found.caller, known.caller, "{other:?}");
    }
}
