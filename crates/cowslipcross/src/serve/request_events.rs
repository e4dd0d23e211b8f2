//! Events about attempts of requests.

use {
    crate::{
        context::Context,
        events::{EventCode, EventFields},
        serve::request::CallerRequest,
    },
    cowslip_decide::names::Name,
    tokio::time::Instant,
};

/// Records an event about an attempt of a request, with the data that decided it.
pub fn record(
    context: &Context,
    code: EventCode,
    request: &CallerRequest,
    target: &Name,
    cause: &str,
) {
    let detail = format!(
        "{cause}, content {}, service {}, {}, {} ms left",
        request.fingerprints.content,
        request.service,
        context.describe_views(&request.service),
        request
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
    );
    let fields = EventFields {
        request: request.id.to_str().ok().map(Name::from),
        key: request.key.map(|key| key.to_string().into()),
        target: Some(target.clone()),
        detail: Some(detail),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}
