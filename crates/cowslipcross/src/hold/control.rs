//! Grants, probes and cancellations: short exchanges with the control interface of a target.

use {
    super::{
        attempt::{self, Body, Signs},
        desk::{Arrival, Post},
    },
    bytes::Bytes,
    cowslip_decide::{duty::Granted, names::Name},
    http::{Method, Request, header},
    http_body_util::Full,
    hyper::client::conn::http1::SendRequest,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// Longest time for one exchange.
pub const EXCHANGE: Duration = Duration::from_millis(120);

/// An exchange with the control interface.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Posts the ranges of the target.
    Grant(Grant),
    /// Asks for its health.
    Probe,
    /// Cancels an attempt.
    Cancel {
        /// Number of the request.
        id: u64,
        /// Id of the attempt.
        attempt: Name,
    },
}

/// Ranges that a target may serve until its own clock shows `stamp` + `ttl`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Stamp of the target's clock, or 0.
    pub stamp: u64,
    /// Time at which the stamp was received.
    pub received: Instant,
    /// Ranges.
    pub ranges: Vec<Granted>,
    /// JSON of the post.
    pub json: Bytes,
}

/// End of an exchange.
#[derive(Clone, Debug)]
pub enum Told {
    /// The grant was accepted.
    Granted {
        /// Start id of the target.
        start: Name,
        /// The target's own clock, in milliseconds.
        stamp: u64,
    },
    /// The grant was refused.
    Refused(String),
    /// The health of the target.
    Health(Health),
    /// Whether the cancelled attempt had run or may still run.
    Cancelled {
        /// `false` if it had not run and will not.
        ran: bool,
    },
    /// An answer that says nothing.
    Unclear,
    /// No whole answer came in time.
    Nothing,
}

impl Told {
    /// Returns the start id that the body names.
    pub fn start(&self) -> Option<Name> {
        match self {
            Self::Granted { start, .. } => Some(start.clone()),
            Self::Health(health) => Some(health.start.clone()),
            _ => None,
        }
    }
}

/// Health as the target reports it; it may lag or mislead.
#[derive(Clone, Debug, Deserialize)]
pub struct Health {
    /// Start id.
    pub start: Name,
    /// Whether it says that it is cold.
    #[serde(default)]
    pub cold: bool,
    /// Whether it says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Serialize)]
struct WireGrant<'a> {
    holder: &'a str,
    version: u64,
    stamp: u64,
    ttl_ms: u64,
    ranges: Vec<WireRange<'a>>,
}

#[derive(Serialize)]
struct WireRange<'a> {
    service: &'a str,
    start: String,
    end: String,
    fence: u64,
}

impl<'a> From<&'a Granted> for WireRange<'a> {
    fn from(range: &'a Granted) -> Self {
        Self {
            service: &range.service,
            start: range.start.to_string(),
            end: range.end.to_string(),
            fence: range.fence.0,
        }
    }
}

#[derive(Deserialize)]
struct WireGranted {
    start: Name,
    stamp: u64,
}

#[derive(Deserialize)]
struct WireCancelled {
    ran: bool,
}

/// Returns the JSON of a grant.
pub fn grant_json(
    holder: &str,
    version: u64,
    stamp: u64,
    ttl: Duration,
    ranges: &[Granted],
) -> Bytes {
    let grant = WireGrant {
        holder,
        version,
        stamp,
        ttl_ms: ttl.as_millis() as u64,
        ranges: ranges.iter().map(WireRange::from).collect(),
    };
    serde_json::to_vec(&grant).unwrap_or_default().into()
}

/// Runs one exchange and posts its end together with the connection, if it can be used again.
pub async fn exchange(
    target: Name,
    number: u64,
    mut sender: SendRequest<Body>,
    ask: Ask,
    post: Post,
) {
    let begun = Instant::now();
    let ended = timeout(EXCHANGE, say(&mut sender, &ask)).await;
    let (signs, told) = ended.ok().flatten().unzip();
    let usable = told.is_some() && matches!(timeout(EXCHANGE, sender.ready()).await, Ok(Ok(())));
    let told = Arrival::Told {
        target,
        number,
        begun,
        ask,
        signs,
        told: told.unwrap_or(Told::Nothing),
        sender: usable.then_some(sender),
    };
    post.send(told).await;
}

async fn say(sender: &mut SendRequest<Body>, ask: &Ask) -> Option<(Signs, Told)> {
    let (method, path, body) = match ask {
        Ask::Grant(grant) => (Method::POST, "/-/grants".into(), grant.json.clone()),
        Ask::Probe => (Method::GET, "/-/health".into(), Bytes::new()),
        Ask::Cancel { attempt, .. } => {
            let path = format!("/-/requests/{attempt}");
            (Method::DELETE, path, Bytes::new())
        }
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let signs = attempt::signs(&response);
    let body = attempt::whole(response).await?;
    let told = parse(ask, signs.status, &body);
    Some((signs, told.unwrap_or(Told::Unclear)))
}

fn parse(ask: &Ask, status: u16, body: &[u8]) -> serde_json::Result<Told> {
    Ok(match (ask, status) {
        (Ask::Grant(_), 200) => {
            let granted: WireGranted = serde_json::from_slice(body)?;
            Told::Granted {
                start: granted.start,
                stamp: granted.stamp,
            }
        }
        (Ask::Grant(_), 409) => Told::Refused(String::from_utf8_lossy(body).into_owned()),
        (Ask::Probe, 200) => Told::Health(serde_json::from_slice(body)?),
        (Ask::Cancel { .. }, 200) => {
            let cancelled: WireCancelled = serde_json::from_slice(body)?;
            Told::Cancelled { ran: cancelled.ran }
        }
        _ => Told::Unclear,
    })
}
