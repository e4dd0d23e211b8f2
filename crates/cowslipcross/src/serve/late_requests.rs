//! Requests that become complete, or still wait for a target, while the instance stops.

use {
    crate::{context::Context, serve::request::CallerRequest},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    tokio::{
        task::spawn_local,
        time::{Instant, sleep_until},
    },
};

/// Returns whether a request with this deadline that is complete now is taken.
pub fn is_taken(context: &Context, deadline: Instant) -> bool {
    let shutdown = context.shutdown();
    shutdown.is_none_or(|it| it.takes(deadline, Instant::now()))
}

/// Waits until an incomplete request with this deadline would not be taken any more.
pub async fn wait_until_refused(context: &Context, deadline: Instant) {
    let mut shutdown = context.shutdown.subscribe();
    // The sender is part of the context, so that it outlives this.
    if let Ok(begun) = shutdown.wait_for(Option::is_some).await.map(|it| *it)
        && let Some(shutdown) = begun
    {
        sleep_until(shutdown.refuse_at(deadline)).await;
    }
}

/// Returns until when a request may be sent to a target.
pub fn send_until(context: &Context, request: &CallerRequest) -> Instant {
    let shutdown = context.shutdown();
    shutdown.map_or(request.deadline, |it| {
        it.send_until(request.deadline, request.route.latency_goal)
    })
}

/// Reads the rest of a body and drops it. A caller that is still sending would lose the response if the connection
/// were closed.
pub fn discard(mut body: Incoming) {
    spawn_local(async move { while let Some(Ok(_)) = body.frame().await {} });
}
