//! The log of a process: one line an event.

use {
    spdlog::{
        Level, LevelFilter, Logger,
        formatter::{PatternFormatter, pattern},
        sink::StdStreamSink,
    },
    std::sync::Arc,
};

/// Result of making a logger.
pub type Result<T> = std::result::Result<T, spdlog::Error>;

/// Returns a logger that writes events of `least` and above to standard error.
///
/// # Errors
/// Passes on what the logging library refuses.
pub fn stderr(least: Level) -> Result<Arc<Logger>> {
    let layout = pattern!("{date} {time}.{millisecond} {level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(PatternFormatter::new(layout))
        .build_arc()?;
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(least))
        .flush_level_filter(LevelFilter::All)
        .build_arc()
}

/// Returns a logger that writes events of `least` and above to standard output, each as it is given.
///
/// # Errors
/// Passes on what the logging library refuses.
pub fn stdout(least: Level) -> Result<Arc<Logger>> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(least))
        .flush_level_filter(LevelFilter::All)
        .build_arc()
}
