//! Count of open connections to a target.

use {
    super::{ConnectError, TargetConnections},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::{memory_budget::MemoryBudget, unsettled::RequestIdHash},
    std::{future::ready, net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        select,
        task::{LocalSet, spawn_local},
        time::Instant,
    },
};

const BUDGET_BYTES: usize = 1 << 20;

fn connections_to(address: SocketAddr) -> TargetConnections {
    let report = TargetReport {
        id: "a".into(),
        service: "s".into(),
        address,
        data_centre: "west".into(),
        slots: 2,
        draining: false,
        cold_remaining: Duration::ZERO,
        sequence: 1,
        incarnation: 1,
    };
    TargetConnections::new(&report, MemoryBudget::new(BUDGET_BYTES))
}

#[tokio::test]
async fn a_target_that_has_ended_is_not_alive_however_many_connections_it_had() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connections = connections_to(listener.local_addr().expect("an address"));
    LocalSet::new()
        .run_until(async {
            for _ in 0..2 {
                let opened = connections.open(2).await.expect("a connection");
                connections.return_idle(opened, None);
            }
            assert_eq!(connections.check().await, Ok(()));
            drop(listener);
            assert_eq!(connections.check().await, Err(ConnectError::Closed));
        })
        .await;
}

#[tokio::test]
async fn a_connection_that_was_given_up_before_it_was_open_does_not_count() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connections = connections_to(listener.local_addr().expect("an address"));
    LocalSet::new()
        .run_until(async {
            for _ in 0..3 {
                // Drops the future after its first poll.
                select! {
                    biased;
                    _ = connections.open(1) => {}
                    () = ready(()) => {}
                }
            }
            let opened = connections.open(1).await;
            assert!(opened.is_ok(), "{:?}", opened.err());
            assert_eq!(
                connections.open(1).await.err(),
                Some(ConnectError::LimitReached)
            );
        })
        .await;
}

/// Guards against a request that fails because the only connections that the target accepts from this instance
/// have carried an answer to it.
#[tokio::test]
async fn a_connection_on_which_a_request_was_refused_makes_reservation_for_another_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connections = connections_to(listener.local_addr().expect("an address"));
    let (refused, other) = (RequestIdHash(1), RequestIdHash(2));
    LocalSet::new()
        .run_until(async {
            let mut opened = connections.open(1).await.expect("a connection");
            let now = Instant::now();
            let deadline = now + Duration::from_secs(2);
            opened
                .unsettled
                .record_response(Some(refused), deadline, now);
            connections.return_idle(opened, None);
            assert!(connections.take_idle(refused).is_none());
            let opened = connections.open(1).await.expect("another connection");
            assert_eq!(opened.usage.connection, 2);
            assert!(
                connections.take_idle(other).is_none(),
                "the first one is closed"
            );
            assert_eq!(connections.open_count.get(), 1);
        })
        .await;
}

/// Guards against an answer that says that a request may have run, although no target had read it.
#[tokio::test]
async fn a_connection_that_the_target_resets_at_once_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connections = connections_to(listener.local_addr().expect("an address"));
    LocalSet::new()
        .run_until(async {
            spawn_local(async move {
                loop {
                    let (stream, _) = listener.accept().await.expect("a connection");
                    // Resets the connection when it is dropped.
                    stream.set_zero_linger().expect("a socket");
                }
            });
            let opened = connections.open(2).await;
            assert_eq!(opened.err(), Some(ConnectError::Reset));
            assert!(!connections.has_idle());
            assert_eq!(connections.check().await, Ok(()), "the target runs");
            // Neither of them counts as open.
            assert_eq!(connections.open(1).await.err(), Some(ConnectError::Reset));
            assert_eq!(connections.open_count.get(), 0);
        })
        .await;
}
