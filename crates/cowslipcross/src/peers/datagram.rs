//! Sends and receives messages.

use {
    crate::{
        context::Context,
        peers::{
            assignment_updates,
            fragments::{self, Fragments},
            heartbeat_protocol,
            message::Message,
        },
        serve::permit,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{Instant, sleep},
    },
};

/// Pause after the socket failed.
const PAUSE: Duration = Duration::from_millis(500);

/// Socket for messages.
pub struct PeerSocket {
    socket: UdpSocket,
    next: Cell<u32>,
}

impl PeerSocket {
    /// Creates the port of a socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            next: Cell::new(rand::random()),
        }
    }

    /// Returns the datagrams of a message.
    fn datagrams(&self, message: &Message) -> Option<Vec<Vec<u8>>> {
        let bytes = serde_json::to_vec(message).ok()?;
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        fragments::split(number, bytes)
    }
}

/// Takes messages of other instances for ever.
pub async fn receive_messages(context: Rc<Context>) {
    let mut buffer = vec![0; 2 * fragments::LONGEST];
    let mut fragments = Fragments::default();
    loop {
        let Ok((length, from)) = context.peer_socket.socket.recv_from(&mut buffer).await else {
            sleep(PAUSE).await;
            continue;
        };
        let Some(bytes) = fragments.take(from, &buffer[..length], Instant::now()) else {
            continue;
        };
        match serde_json::from_slice(&bytes) {
            Ok(message) => take(&context, message, from),
            Err(_) => context.metrics.count_bad_datagram(),
        }
    }
}

fn take(context: &Context, message: Message, from: SocketAddr) {
    match message {
        Message::Heartbeat(heartbeat) => {
            heartbeat_protocol::handle_heartbeat(context, heartbeat, from)
        }
        Message::Members(members) => heartbeat_protocol::update_membership(context, &members),
        Message::AssignmentsRequest(service) => {
            assignment_updates::handle_request(context, &service, from)
        }
        Message::Assignments(service, recorded) => {
            assignment_updates::handle_response(context, &service, &recorded)
        }
        Message::LeadershipOffer => context.refresh_requested.notify_one(),
        Message::Report(report) => heartbeat_protocol::handle_report(context, report, from),
        about_permits => permit::take(context, about_permits, from),
    }
}

/// Sends a message unless that would have to wait; datagrams may be lost anyway.
pub fn try_send(context: &Context, message: &Message, to: SocketAddr) {
    let Some(datagrams) = context.peer_socket.datagrams(message) else {
        return context.metrics.count_bad_datagram();
    };
    for datagram in datagrams {
        if context
            .peer_socket
            .socket
            .try_send_to(&datagram, to)
            .is_err()
        {
            context.metrics.count_bad_datagram();
        }
    }
}

/// Sends a message to several instances, one after the other.
pub async fn send_to_all(context: &Context, message: &Message, to: &[SocketAddr]) {
    let Some(datagrams) = context.peer_socket.datagrams(message) else {
        return context.metrics.count_bad_datagram();
    };
    for address in to {
        for datagram in &datagrams {
            if context
                .peer_socket
                .socket
                .send_to(datagram, address)
                .await
                .is_err()
            {
                context.metrics.count_bad_datagram();
            }
        }
    }
}
