//! Threads of the duties.

use {
    std::{
        future::Future,
        io,
        thread::{Builder, JoinHandle},
    },
    tokio::runtime,
};

/// Starts a thread with a runtime of its own that runs `work` to its end.
///
/// # Errors
///
/// Returns the system's error if it starts no thread or no runtime.
pub fn start<F, W>(name: &str, work: W) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
    W: FnOnce() -> F + Send + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(work()))
}
