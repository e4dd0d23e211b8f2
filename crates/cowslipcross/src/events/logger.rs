//! The log of a process: one line per event.

use {
    spdlog::{
        Level, LevelFilter, Logger, ThreadPool,
        formatter::{PatternFormatter, pattern},
        sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
    },
    std::{num::NonZeroUsize, sync::Arc},
};

/// Lines queued for the writer thread; further ones are dropped.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(1024).unwrap();

/// Result of building a logger.
pub type Result<T> = std::result::Result<T, spdlog::Error>;

/// Returns a logger that writes lines of `min_level` and above, unformatted, to standard output.
///
/// A separate thread writes, and lines are dropped when its queue is full, so that a blocked reader
/// of the output does not block the process.
///
/// # Errors
/// Fails if the logging library rejects the sink or the logger.
pub fn stdout(min_level: Level) -> Result<Arc<Logger>> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    let writer = ThreadPool::builder().capacity(QUEUE_CAPACITY).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(writer)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .build_arc()
}
