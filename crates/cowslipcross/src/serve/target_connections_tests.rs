//! Count of open connections to a target.

use {
    super::{ConnectError, TargetConnections},
    cowslip_adapter::targets::TargetReport,
    std::{future::ready, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, select, task::LocalSet},
};

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
    TargetConnections::new(&report)
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
