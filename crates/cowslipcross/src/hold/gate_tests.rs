//! A write right after a pause, and what is said of it.

use {
    super::{Gate, Lease, Meter},
    crate::hold::attempt::{self, Body, Seen},
    http::Request,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, timeout},
    },
};

/// Returns both ends of a connection, the first one behind a gate.
async fn gated(lease: &Lease) -> (Gate, Arc<Meter>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (far, _) = listener.accept().await.unwrap();
    let meter = Arc::new(Meter::default());
    let gate = Gate::new(stream.unwrap(), meter.clone(), Some(lease.clone()));
    (gate, meter, far)
}

fn lease() -> Lease {
    let lease = Lease::default();
    lease.set(Some(Instant::now() + Duration::from_secs(3600)));
    lease
}

#[tokio::test]
async fn nothing_passes_without_a_lease_or_after_the_close() {
    let lease = lease();
    let (mut gate, meter, mut far) = gated(&lease).await;
    gate.write_all(b"one").await.unwrap();
    lease.set(Some(Instant::now()));
    let refused = gate.write_all(b"two").await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::PermissionDenied);
    lease.set(Some(Instant::now() + Duration::from_secs(3600)));
    meter.close();
    let refused = gate.write_all(b"three").await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionAborted);
    assert_eq!(meter.written(), 3);
    drop(gate);
    let mut got = String::new();
    far.read_to_string(&mut got).await.unwrap();
    assert_eq!(got, "one");
}

#[tokio::test]
async fn a_request_whose_lease_ended_before_its_write_is_unsent() {
    let lease = lease();
    let (gate, meter, mut far) = gated(&lease).await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(gate)).await.unwrap();
    let driver = tokio::spawn(driver);
    lease.set(Some(Instant::now()));
    let request = Request::post("/run/k").body(Body::default()).unwrap();
    let seen = attempt::run(&mut sender, request, &meter);
    let seen = timeout(Duration::from_secs(20), seen).await;
    let seen = seen.expect("an end without an answer");
    assert!(matches!(seen, Seen::Unsent), "{seen:?}");
    drop(sender);
    let _ = driver.await;
    let mut got = Vec::new();
    far.read_to_end(&mut got).await.unwrap();
    assert!(got.is_empty());
}

#[tokio::test]
async fn a_request_whose_bytes_left_is_not_called_unsent() {
    let lease = lease();
    let (gate, meter, mut far) = gated(&lease).await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(gate)).await.unwrap();
    tokio::spawn(driver);
    let request = Request::post("/run/k").body(Body::default()).unwrap();
    let closing = async {
        let mut some = [0; 4];
        far.read_exact(&mut some).await.unwrap();
        drop(far);
    };
    let (seen, ()) = tokio::join!(attempt::run(&mut sender, request, &meter), closing);
    assert!(matches!(seen, Seen::Broken(None)), "{seen:?}");
}
