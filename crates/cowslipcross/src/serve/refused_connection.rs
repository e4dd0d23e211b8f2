//! End of a caller's connection for whose request there is no memory.

use {
    crate::serve::caller_response,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time for which a caller that goes on sending is read.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 512;

/// Refuses the first request on a connection from which nothing was read yet.
pub async fn refuse_first(mut stream: TcpStream) {
    let mut discarded = [0; DISCARD_BYTES];
    // A response that came before its request would be none for the caller.
    let begun = timeout(DISCARD_TIME, stream.read(&mut discarded)).await;
    if matches!(begun, Ok(Ok(length)) if length > 0) {
        refuse(stream).await;
    }
}

/// Tells the caller that the request which it has begun to send has not run, and closes the connection once the caller
/// has closed it or has sent for too long: it would lose the response if the connection were closed while it sends.
pub async fn refuse(stream: TcpStream) {
    // A caller that has gone needs no response.
    let _ = timeout(DISCARD_TIME, respond(stream)).await;
}

async fn respond(mut stream: TcpStream) -> io::Result<()> {
    let mut discarded = [0; DISCARD_BYTES];
    stream
        .write_all(&caller_response::no_memory_message())
        .await?;
    stream.shutdown().await?;
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
