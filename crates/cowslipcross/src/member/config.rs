//! Follows the configuration: from the table's row and the object store, or from a peer.

use {
    super::{MemberEvent, Rings, driver::Driver, fetch::ALONE},
    crate::{
        config::Config,
        context::Context,
        events::{self, About},
        hold::HoldCommand,
        peer::access::Access,
        ring::Offer,
        store::ask::Ask,
    },
    cowslip_decide::names::{Name, Version},
    cowslip_settings::document::{self, Document},
    cowslip_wire::peer::{FetchDocumentRequest, peer_client::PeerClient},
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout},
    },
    tonic::transport::Channel,
};

/// Partition key of the configuration's row.
const CONFIG: &str = "config";
/// Longest wait for a peer's document.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Body of the configuration's row.
#[derive(Deserialize)]
struct ConfigRow {
    hash: String,
}

/// End of a call for the configuration.
#[derive(Debug)]
pub enum Outcome {
    /// There is nothing newer.
    Current,
    /// The platform or the peer cannot be reached.
    Unreachable(String),
    /// The document of this version cannot be used.
    Refused(Version, String),
    /// A newer configuration.
    New(Box<Config>),
}

/// When the configuration is looked for.
#[derive(Debug)]
pub(super) struct Follow {
    period: Duration,
    next: Instant,
    busy: bool,
    /// Document that the holding duty has not taken yet.
    unsent: Option<Arc<Document>>,
}

impl Follow {
    /// Looks for the configuration at once.
    pub(super) fn new(context: &Context, now: Instant) -> Self {
        let period = Duration::from_millis(context.settings.timing.poll_ms);
        Self {
            period,
            next: now,
            busy: false,
            unsent: None,
        }
    }
}

impl Driver {
    /// Looks for a newer configuration in the table when it is time to.
    pub(super) fn follow_config(&mut self, now: Instant) {
        self.hand_document();
        if now < self.follow.next || self.follow.busy {
            return;
        }
        self.follow.next = now + self.follow.period;
        self.fetch_config(None);
    }

    /// Gets the configuration from a peer, or from the platform.
    pub(super) fn fetch_config(&mut self, from: Option<Name>) {
        if std::mem::replace(&mut self.follow.busy, true) {
            return;
        }
        let current = self.config_version();
        let (context, rings) = (self.context.clone(), self.rings.clone());
        let channel = from.and_then(|from| self.beats.channel(&from));
        tokio::spawn(async move {
            let outcome = match channel {
                Some(channel) => from_peer(&context, channel, current).await,
                None => from_platform(&rings, current).await,
            };
            rings.itself.send(MemberEvent::Config(outcome)).await;
        });
    }

    pub(super) fn configured(&mut self, outcome: Outcome, now: Instant) {
        self.follow.busy = false;
        match outcome {
            Outcome::Current => {}
            // The platform duty has noted what does not answer.
            Outcome::Unreachable(_) => {}
            Outcome::Refused(version, why) => {
                self.note(events::CONFIG_REFUSED, format!("version {version}: {why}"));
            }
            Outcome::New(config) => self.put_in_force(*config, now),
        }
    }

    fn put_in_force(&mut self, config: Config, now: Instant) {
        let current = self.context.config.load_full();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= config.version)
        {
            return;
        }
        self.note(
            events::CONFIG_IN_FORCE,
            format!("version {}", config.version),
        );
        self.note_withdrawals(current.as_deref(), &config);
        self.follow.unsent = Some(config.document.clone());
        self.member.config(config.version);
        self.context.config.store(Some(Arc::new(config)));
        self.hand_document();
        self.plan(now);
    }

    fn note_withdrawals(&self, old: Option<&Config>, new: &Config) {
        let none = std::collections::BTreeSet::new();
        let before = old.map_or(&none, |old| &old.document.withdrawn);
        let after = &new.document.withdrawn;
        let note = |code, name: &Name| {
            let about = About {
                detail: Some(name.to_string()),
                ..About::default()
            };
            self.context.events.note(code, about);
        };
        after
            .difference(before)
            .for_each(|name| note(events::DATA_CENTRE_WITHDRAWN, name));
        before
            .difference(after)
            .for_each(|name| note(events::DATA_CENTRE_RESTORED, name));
    }

    /// Gives the document to the holding duty until its ring takes it.
    fn hand_document(&mut self) {
        let Some(document) = self.follow.unsent.take() else {
            return;
        };
        if let Offer::Full(_) = self
            .rings
            .hold
            .offer(HoldCommand::Document(document.clone()))
        {
            self.follow.unsent = Some(document);
        }
    }
}

async fn from_peer(context: &Context, channel: Channel, current: Version) -> Outcome {
    let request = match Access::new(context).sign(FetchDocumentRequest { version: current.0 }) {
        Ok(request) => request,
        Err(status) => return Outcome::Unreachable(status.to_string()),
    };
    let mut client = PeerClient::new(channel).max_decoding_message_size(usize::MAX);
    match timeout(PEER_LIMIT, client.fetch_document(request)).await {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            judge(Version(reply.version), reply.text, current)
        }
        Ok(Err(status)) => Outcome::Unreachable(status.to_string()),
        Err(_) => Outcome::Unreachable(format!("no answer in {} ms", PEER_LIMIT.as_millis())),
    }
}

async fn from_platform(rings: &Rings, current: Version) -> Outcome {
    let (reply, row) = oneshot::channel();
    let ask = Ask::Get {
        pk: CONFIG.into(),
        sk: ALONE.into(),
        reply,
    };
    let Offer::Taken = rings.store.offer(ask) else {
        return Outcome::Unreachable("ring to the platform duty is full".to_owned());
    };
    let row = match row.await {
        Ok(Ok(Some(row))) => row,
        Ok(Ok(None)) => return Outcome::Current,
        Ok(Err(error)) => return Outcome::Unreachable(error.to_string()),
        Err(_) => return Outcome::Unreachable("the platform duty has ended".to_owned()),
    };
    let version = Version(row.version);
    if version <= current {
        return Outcome::Current;
    }
    match serde_json::from_str::<ConfigRow>(&row.body) {
        Ok(row) => from_objects(rings, version, &row.hash, current).await,
        Err(error) => Outcome::Refused(version, error.to_string()),
    }
}

/// Reads the document of a row; its hash must be the row's.
async fn from_objects(rings: &Rings, version: Version, hash: &str, current: Version) -> Outcome {
    let (reply, object) = oneshot::channel();
    let Offer::Taken = rings.store.offer(Ask::Object {
        key: hash.into(),
        reply,
    }) else {
        return Outcome::Unreachable("ring to the platform duty is full".to_owned());
    };
    let bytes = match object.await {
        Ok(Ok(Some(bytes))) => bytes,
        Ok(Ok(None)) => {
            return Outcome::Refused(version, format!("object {hash:?} does not exist"));
        }
        Ok(Err(error)) => return Outcome::Unreachable(error.to_string()),
        Err(_) => return Outcome::Unreachable("the platform duty has ended".to_owned()),
    };
    let Ok(text) = String::from_utf8(bytes.to_vec()) else {
        return Outcome::Refused(version, format!("object {hash:?} is not UTF-8"));
    };
    if document::hash(&text) != hash {
        return Outcome::Refused(version, format!("object {hash:?} has another hash"));
    }
    judge(version, text, current)
}

fn judge(version: Version, text: String, current: Version) -> Outcome {
    if version <= current {
        return Outcome::Current;
    }
    match document::parse(&text, "configuration") {
        Ok(document) => Outcome::New(Box::new(Config::new(version, document, text.into()))),
        Err(error) => Outcome::Refused(version, error.to_string()),
    }
}
