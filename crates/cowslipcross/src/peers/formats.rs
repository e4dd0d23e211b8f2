//! Announces the formats that this instance reads, and follows the one that the deployment speaks.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        peers::{
            datagram,
            extensible::{Announcement, ExtensibleMessage, SpokenFormat},
        },
    },
    cowslip_decide::{
        formats::{Formats, LATEST_FORMAT},
        names::StoreVersion,
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::SocketAddr,
    },
    tokio::time::Instant,
};

/// Most senders of messages that cannot be read of which the log tells.
const MAX_LOGGED_SENDERS: usize = 100;

/// Formats that the instances read.
#[derive(Default)]
pub struct PeerFormats {
    formats: RefCell<Formats<SocketAddr>>,
    /// Format of which the log told last.
    logged: Cell<u16>,
    /// Senders of messages that could not be read, with their first byte.
    unreadable: RefCell<BTreeSet<(SocketAddr, u8)>>,
}

impl PeerFormats {
    /// Returns the format that the deployment speaks.
    pub fn spoken(&self) -> u16 {
        self.formats.borrow().spoken()
    }
}

/// Announces the formats that this instance reads to the leader.
pub fn announce(context: &Context) {
    let own = context.settings.listen.heartbeats;
    let announcement = Announcement {
        latest: LATEST_FORMAT,
    };
    match context.leader_address.get() {
        Some(leader) if leader == own => handle_announcement(context, announcement, own),
        Some(leader) => {
            let message = ExtensibleMessage::Announcement(announcement);
            datagram::try_send_extensible(context, &message, leader);
        }
        None => {}
    }
}

/// Records what formats another instance reads.
pub fn handle_announcement(context: &Context, announcement: Announcement, from: SocketAddr) {
    let mut formats = context.formats.formats.borrow_mut();
    formats.record_announcement(from, announcement.latest, Instant::now());
}

/// Tells all members, as leader, which format the deployment speaks, if that is due.
pub fn tell_members(context: &Context, members: &[SocketAddr], is_settled: bool) {
    let all = members.iter().copied();
    let mut formats = context.formats.formats.borrow_mut();
    let Some(format) = formats.next_to_tell(all, is_settled, Instant::now()) else {
        return;
    };
    drop(formats);
    record_change(context);
    let message = ExtensibleMessage::SpokenFormat(SpokenFormat {
        leader: context.election.borrow().row_version().into(),
        format,
    });
    let own = context.settings.listen.heartbeats;
    for member in members.iter().filter(|it| **it != own) {
        datagram::try_send_extensible(context, &message, *member);
    }
}

/// Follows the format that the leader tells, unless a later leader is known.
pub fn handle_spoken(context: &Context, spoken: SpokenFormat) {
    if StoreVersion::from(spoken.leader) < context.election.borrow().row_version() {
        return;
    }
    let mut formats = context.formats.formats.borrow_mut();
    formats.record_told(spoken.format, Instant::now());
    drop(formats);
    record_change(context);
}

/// Follows a heartbeat of the leader, which may be of a build that does not tell the format.
pub fn handle_heartbeat(context: &Context) {
    let mut formats = context.formats.formats.borrow_mut();
    formats.record_heartbeat(Instant::now());
    drop(formats);
    record_change(context);
}

/// Counts a message that cannot be read, by its first byte, and logs each sender once.
pub fn record_unreadable(context: &Context, bytes: &[u8], from: SocketAddr) {
    context.metrics.count_bad_datagram();
    let format = bytes.first().copied().unwrap_or_default();
    context.metrics.count_unreadable(format);
    let mut known = context.formats.unreadable.borrow_mut();
    if known.len() < MAX_LOGGED_SENDERS && known.insert((from, format)) {
        let fields = EventFields {
            instance: Some(from.to_string().into()),
            detail: Some(format!("first byte {format:#04x}, {} bytes", bytes.len())),
            ..EventFields::default()
        };
        context.events.record(events::MESSAGE_UNREADABLE, fields);
    }
}

fn record_change(context: &Context) {
    let spoken = context.formats.spoken();
    if context.formats.logged.replace(spoken) != spoken {
        let detail = format!("format {spoken}, this build reads up to {LATEST_FORMAT}");
        context.record_event(events::FORMAT_CHANGED, detail);
    }
}
