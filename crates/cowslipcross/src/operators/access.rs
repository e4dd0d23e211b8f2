//! Checks the token of a request.

use http::{HeaderMap, header::AUTHORIZATION};

/// Word before the token in its header.
const SCHEME: &str = "Bearer ";

/// Returns whether the headers bear the token.
pub(super) fn granted(headers: &HeaderMap, token: &str) -> bool {
    let given = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME));
    given.is_some_and(|given| same(given.as_bytes(), token.as_bytes()))
}

/// Compares in a time that does not tell how many bytes are right.
fn same(left: &[u8], right: &[u8]) -> bool {
    let differing = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && differing == 0
}
