//! Timeouts of calls to the store: all tasks learn from each other's calls how long it takes to answer.

use {
    crate::context::Context,
    cowslip_adapter::{Error, Result},
    std::time::Duration,
    tokio::time::Instant,
};

/// Makes a call with the present timeout, and records how long it took. `call` gets the timeout.
///
/// # Errors
/// Fails like the call.
pub async fn timed<T, F>(context: &Context, call: impl FnOnce(Duration) -> F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let timeout = context.store_timeout.get().get();
    let sent_at = Instant::now();
    let result = call(timeout).await;
    record(context, timeout, sent_at.elapsed(), result.as_ref().err());
    result
}

fn record(context: &Context, timeout: Duration, elapsed: Duration, error: Option<&Error>) {
    let mut next = context.store_timeout.get();
    match error.is_none_or(Error::is_answer) {
        true => next.record_answer(elapsed),
        false if elapsed >= timeout => next.record_timeout(),
        // The connection failed, which tells nothing of the time that an answer takes.
        false => {}
    }
    context.store_timeout.set(next);
}
