//! Keeps late copies of a response from being taken for the answer to a later attempt.
//!
//! A faulty target may send a response once more where the next one on its connection is expected. Its request
//! id tells it from the answers to other requests, but not from the answer to a later attempt of the same
//! request, which has the same id. So a request that may be sent again is not sent on a connection on which one
//! of its attempts was answered.

use tokio::time::Instant;

/// Requests that are kept for one connection. A connection with more of them is closed, so that the memory of
/// a connection to a target that refuses all requests is bounded.
const MAX_REQUESTS: usize = 64;

/// Hash of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdHash(pub u64);

/// What to do with a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFate {
    /// Keep it for other requests.
    Keep,
    /// Close it, as a copy of the response might be taken for the answer to any request.
    Close,
}

/// Requests that were answered on a connection and may be sent again, with their deadlines.
#[derive(Clone, Debug, Default)]
pub struct UnsettledRequests(Vec<(RequestIdHash, Instant)>);

impl UnsettledRequests {
    /// Records a response after which the request may be sent again until its deadline. `id` is the id that the
    /// response names, if it does.
    pub fn record_response(
        &mut self,
        id: Option<RequestIdHash>,
        deadline: Instant,
        now: Instant,
    ) -> ConnectionFate {
        self.0.retain(|(_, until)| *until > now);
        match id {
            Some(id) if self.0.len() < MAX_REQUESTS => {
                self.0.push((id, deadline));
                ConnectionFate::Keep
            }
            _ => ConnectionFate::Close,
        }
    }

    /// Returns whether an attempt of this request may be sent on the connection.
    pub fn admits(&self, id: RequestIdHash) -> bool {
        self.0.iter().all(|(known, _)| *known != id)
    }
}
