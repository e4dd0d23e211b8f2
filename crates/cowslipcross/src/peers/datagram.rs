//! Sends and receives messages.

use {
    crate::{
        context::Context,
        peers::{
            beat,
            fragments::{self, Fragments},
            message::Message,
            owners,
        },
        serve::permits,
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
pub struct Port {
    socket: UdpSocket,
    next: Cell<u32>,
}

impl Port {
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
pub async fn receive(context: Rc<Context>) {
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
        Message::Beat(heartbeat) => beat::hear(context, heartbeat, from),
        Message::Members(members) => beat::join(context, &members),
        Message::Missed(service) => owners::missed(context, &service, from),
        Message::Owners(service, recorded) => owners::replace(context, &service, &recorded),
        Message::Lead => context.refresh_requested.notify_one(),
        Message::Report(report) => beat::reported(context, report, from),
        about_permits => permits::handle_message(context, about_permits, from),
    }
}

/// Sends a message unless that would have to wait; datagrams may be lost anyway.
pub fn send_now(context: &Context, message: &Message, to: SocketAddr) {
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
pub async fn send_all(context: &Context, message: &Message, to: &[SocketAddr]) {
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
