//! A connection ends when its time is over.

use {
    super::{Bounds, LIFE},
    std::{io::ErrorKind, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
        time::Instant,
    },
};

#[tokio::test(start_paused = true)]
async fn a_connection_ends_after_its_life() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
    let _client = client.expect("a connection");
    let (stream, _) = server.expect("a connection");
    let start = Instant::now();
    let mut bounded = Bounds::default().wrap(stream).await.expect("a place");
    let end = bounded.read(&mut [0]).await.expect_err("nothing to read");
    assert_eq!(end.kind(), ErrorKind::TimedOut);
    assert!(start.elapsed() >= LIFE && start.elapsed() < LIFE + Duration::from_secs(1));
}
