//! Headers between an instance that cannot reach a target and one that passes its requests on.

use {
    cowslip_decide::names::Name,
    http::{HeaderMap, HeaderName, HeaderValue},
    std::str::FromStr,
};

/// Header of both requests and responses; its value begins with the [`FORMAT`].
pub const RELAY: HeaderName = HeaderName::from_static("cowslipcross-relay");

/// Number of the format. Requests and responses of another one are not understood.
const FORMAT: &str = "1";

/// What an instance is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayTask {
    /// Pass on a request that may run more than once.
    SendIdempotent,
    /// Pass on a request that may run once at most.
    SendOnce,
    /// Connect to the target, and send nothing.
    Check,
}

/// What an instance is asked to do with a target; the target's id is a header of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// What to do.
    pub task: RelayTask,
    /// Incarnation of the target.
    pub incarnation: u64,
}

/// What the instance did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayReply {
    /// The response is the target's. Holds the instance's data centre.
    PassedOn(Name),
    /// The instance has connected to the target, for a check.
    TargetReached,
    /// Nothing listens at the target's address.
    TargetClosed,
    /// The instance could not connect to the target, either.
    TargetUnreachable,
    /// The instance reaches no targets itself.
    CutOff,
    /// The instance sends nothing to the target: it does not know this incarnation, or the target must
    /// not get requests from it now.
    Denied,
}

impl From<RelayRequest> for HeaderValue {
    fn from(request: RelayRequest) -> Self {
        let task = match request.task {
            RelayTask::SendIdempotent => "idempotent",
            RelayTask::SendOnce => "once",
            RelayTask::Check => "check",
        };
        to_value(&format!("{FORMAT} {task} {}", request.incarnation))
    }
}

impl FromStr for RelayRequest {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split(' ');
        if parts.next() != Some(FORMAT) {
            return Err(());
        }
        let task = match parts.next() {
            Some("idempotent") => RelayTask::SendIdempotent,
            Some("once") => RelayTask::SendOnce,
            Some("check") => RelayTask::Check,
            _ => return Err(()),
        };
        let incarnation = parts.next().ok_or(())?.parse().map_err(drop)?;
        Ok(Self { task, incarnation })
    }
}

impl From<&RelayReply> for HeaderValue {
    fn from(reply: &RelayReply) -> Self {
        to_value(&match reply {
            RelayReply::PassedOn(data_centre) => format!("{FORMAT} passed-on {data_centre}"),
            RelayReply::TargetReached => format!("{FORMAT} reached"),
            RelayReply::TargetClosed => format!("{FORMAT} closed"),
            RelayReply::TargetUnreachable => format!("{FORMAT} unreachable"),
            RelayReply::CutOff => format!("{FORMAT} cut-off"),
            RelayReply::Denied => format!("{FORMAT} denied"),
        })
    }
}

impl FromStr for RelayReply {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.splitn(3, ' ');
        if parts.next() != Some(FORMAT) {
            return Err(());
        }
        match (parts.next(), parts.next()) {
            (Some("passed-on"), Some(data_centre)) => Ok(Self::PassedOn(data_centre.into())),
            (Some("reached"), None) => Ok(Self::TargetReached),
            (Some("closed"), None) => Ok(Self::TargetClosed),
            (Some("unreachable"), None) => Ok(Self::TargetUnreachable),
            (Some("cut-off"), None) => Ok(Self::CutOff),
            (Some("denied"), None) => Ok(Self::Denied),
            _ => Err(()),
        }
    }
}

/// Removes the request to an instance from the headers and returns it; `None` if there is none, or one of
/// another format.
pub fn take_request(headers: &mut HeaderMap) -> Option<RelayRequest> {
    headers.remove(RELAY)?.to_str().ok()?.parse().ok()
}

/// Removes the reply of an instance from the headers and returns it; `None` if there is none, or one of
/// another format.
pub fn take_reply(headers: &mut HeaderMap) -> Option<RelayReply> {
    headers.remove(RELAY)?.to_str().ok()?.parse().ok()
}

fn to_value(text: &str) -> HeaderValue {
    // Names of data centres may hold other characters; a value without one counts as no reply.
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(FORMAT))
}

#[cfg(test)]
#[path = "relay_headers_tests.rs"]
mod tests;
