//! Sends and receives messages over UDP.

use {
    crate::{
        context::Context,
        peers::{
            assignments,
            extensible::{self, ExtensibleMessage},
            formats,
            fragments::{self, Reassembler},
            heartbeat_protocol,
            message::Message,
        },
        serve::{crashing_requests, organisations, permits},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{Instant, sleep},
    },
};

/// Delay before the next receive after the socket reported an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// UDP socket with the number of the next message, which identifies its fragments.
pub struct PeerSocket {
    socket: UdpSocket,
    next_number: Cell<u32>,
}

impl PeerSocket {
    /// Wraps a bound socket; message numbers start at a random one.
    pub fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            next_number: Cell::new(rand::random()),
        }
    }

    /// Returns the datagrams of an encoded message; `None` if it is too long or could not be encoded.
    fn to_datagrams(&self, message: Option<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
        let bytes = message?;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        fragments::split(number, bytes)
    }
}

/// Receives and handles messages of other instances; never returns.
pub async fn receive_messages(context: Rc<Context>) {
    // Larger than any datagram that instances send.
    let mut buffer = vec![0; 2 * fragments::MAX_DATAGRAM_BYTES];
    let mut reassembler = Reassembler::default();
    loop {
        let Ok((length, from)) = context.peer_socket.socket.recv_from(&mut buffer).await else {
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let Some(bytes) = reassembler.add_datagram(from, &buffer[..length], Instant::now()) else {
            continue;
        };
        if handle_bytes(&context, &bytes, from).is_none() {
            formats::record_unreadable(&context, &bytes, from);
        }
    }
}

/// Handles an encoded message; returns `None` if it cannot be read.
fn handle_bytes(context: &Context, bytes: &[u8], from: SocketAddr) -> Option<()> {
    match bytes.first() {
        Some(&extensible::FORMAT_BYTE) => {
            handle_extensible(context, ExtensibleMessage::decode(bytes)?, from);
        }
        _ => handle_message(context, Message::decode(bytes)?, from),
    }
    Some(())
}

fn handle_extensible(context: &Context, message: ExtensibleMessage, from: SocketAddr) {
    match message {
        ExtensibleMessage::Announcement(body) => formats::handle_announcement(context, body, from),
        ExtensibleMessage::SpokenFormat(body) => formats::handle_spoken(context, body),
        ExtensibleMessage::Usage(body) => organisations::handle_usage(context, &body, from),
        ExtensibleMessage::Admissions(body) => organisations::handle_admissions(context, &body),
    }
}

fn handle_message(context: &Context, message: Message, from: SocketAddr) {
    match message {
        Message::Heartbeat(body) => heartbeat_protocol::handle_heartbeat(context, body, from),
        Message::Members(members) => heartbeat_protocol::handle_members(context, &members),
        Message::AssignmentsRequest(name) => assignments::handle_request(context, &name, from),
        Message::Assignments(name, update) => assignments::handle_response(context, &name, &update),
        Message::LeadershipOffer => {
            context.offered_at.set(Some(Instant::now()));
            context.refresh_requested.notify_one();
        }
        Message::Report(report) => heartbeat_protocol::handle_report(context, report, from),
        Message::TargetNotices(all) => heartbeat_protocol::handle_notices(context, all),
        Message::Crashes(crashes) => crashing_requests::handle_crashes(context, crashes),
        Message::BlocksLifted(requests) => crashing_requests::handle_lifted(context, requests),
        permit_message => permits::handle_message(context, permit_message, from),
    }
}

/// Sends a message without waiting, as datagrams may be lost anyway: those that the socket cannot
/// take at once are dropped and counted as bad ones.
pub fn try_send(context: &Context, message: &Message, recipient: SocketAddr) {
    try_send_bytes(context, message.encode(), recipient);
}

/// Like [`try_send`], for messages with numbered fields.
pub fn try_send_extensible(context: &Context, message: &ExtensibleMessage, recipient: SocketAddr) {
    try_send_bytes(context, message.encode(), recipient);
}

fn try_send_bytes(context: &Context, message: Option<Vec<u8>>, recipient: SocketAddr) {
    let Some(datagrams) = context.peer_socket.to_datagrams(message) else {
        return context.metrics.count_bad_datagram();
    };
    for datagram in datagrams {
        if context
            .peer_socket
            .socket
            .try_send_to(&datagram, recipient)
            .is_err()
        {
            context.metrics.count_bad_datagram();
        }
    }
}

/// Sends a message to several instances, one after the other; waits until the socket accepts each.
pub async fn send_to_all(context: &Context, message: &Message, recipients: &[SocketAddr]) {
    let Some(datagrams) = context.peer_socket.to_datagrams(message.encode()) else {
        return context.metrics.count_bad_datagram();
    };
    for address in recipients {
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
