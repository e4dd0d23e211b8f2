//! One request of a caller, from a kept connection to its end.

use {
    super::{Fault, Kind, Plan, Sent, Tally, balance::Balance},
    crate::clock::micros,
    bytes::Bytes,
    cowslip_decide::verdict::Verdict,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// Time that a caller waits beyond its deadline.
const PATIENCE: Duration = Duration::from_secs(3);
/// Attempts to find an entry that accepts a connection.
const ATTEMPTS: usize = 4;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A request that is due.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) id: String,
    pub(super) kind: usize,
    pub(super) key: String,
    pub(super) keyed: bool,
    pub(super) due: Instant,
}

/// What the requests of one thread share.
pub(super) struct Worker {
    kinds: Vec<Kind>,
    body: usize,
    history: bool,
    direct: bool,
    balance: Arc<Balance>,
    idle: Vec<Mutex<Vec<Sender>>>,
    tally: Mutex<Tally>,
    open: AtomicUsize,
    done: Notify,
}

/// A whole answer.
type Answer = Response<Bytes>;

impl Worker {
    pub(super) fn new(plan: &Plan, balance: Arc<Balance>) -> Self {
        Self {
            kinds: plan.kinds.clone(),
            body: plan.body,
            history: plan.history,
            direct: plan.direct,
            idle: (0..balance.len()).map(|_| Mutex::default()).collect(),
            balance,
            tally: Mutex::default(),
            open: AtomicUsize::new(0),
            done: Notify::new(),
        }
    }

    /// Sends a request after a delay, in a task of its own.
    pub(super) fn spawn(self: Arc<Self>, mut call: Call, delay: Duration) {
        self.open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
                call.due += delay;
            }
            let sent = self.send(&call).await;
            let mut tally = self.tally.lock().expect("no holder panics");
            tally.add(&self.kinds, sent, self.history);
            drop(tally);
            if self.open.fetch_sub(1, Ordering::SeqCst) == 1 {
                self.done.notify_one();
            }
        });
    }

    /// Waits until every request has ended and returns the figures.
    pub(super) async fn finish(&self) -> Tally {
        while self.open.load(Ordering::SeqCst) > 0 {
            self.done.notified().await;
        }
        std::mem::take(&mut *self.tally.lock().expect("no holder panics"))
    }

    async fn send(&self, call: &Call) -> Sent {
        let kind = &self.kinds[call.kind];
        let body = self.body_of(call);
        let behind = call.due.elapsed();
        let end = timeout(kind.deadline + PATIENCE, self.exchange(call, &body)).await;
        let answered = micros();
        let waited = call.due.elapsed();
        let mut sent = Sent {
            id: call.id.clone(),
            kind: call.kind,
            key: call.key.clone(),
            keyed: call.keyed,
            sent: answered - waited.max(behind).as_micros() as u64,
            answered,
            status: 0,
            verdict: None,
            reason: None,
            request: None,
            instance: None,
            fault: Some(Fault::Lost),
        };
        if let Ok(Some(answer)) = end {
            self.judge(&mut sent, &answer, &body);
        }
        sent
    }

    fn body_of(&self, call: &Call) -> Bytes {
        if self.kinds[call.kind].method == http::Method::GET {
            return Bytes::new();
        }
        let mut body = format!("{} ", call.id);
        while body.len() < self.body {
            body.push('.');
        }
        body.into()
    }

    async fn exchange(&self, call: &Call, body: &Bytes) -> Option<Answer> {
        let (place, mut sender) = self.connection().await?;
        let answer = sender.send_request(self.request(call, body)).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle[place]
                .lock()
                .expect("no holder panics")
                .push(sender);
        }
        Some(Response::from_parts(head, body))
    }

    async fn connection(&self) -> Option<(usize, Sender)> {
        for _ in 0..ATTEMPTS {
            let place = self.balance.next();
            loop {
                let idle = self.idle[place].lock().expect("no holder panics").pop();
                match idle {
                    Some(sender) if sender.is_ready() => return Some((place, sender)),
                    Some(_) => {}
                    None => break,
                }
            }
            let Some(stream) = self.balance.connect(place).await else {
                continue;
            };
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            return Some((place, sender));
        }
        None
    }

    fn request(&self, call: &Call, body: &Bytes) -> Request<Full<Bytes>> {
        let kind = &self.kinds[call.kind];
        let mut path = String::with_capacity(48);
        let service = (!self.direct).then_some(kind.service.as_str());
        let key = (!call.key.is_empty()).then_some(call.key.as_str());
        for part in [service, Some(&kind.route), key].into_iter().flatten() {
            path.push('/');
            path.push_str(part);
        }
        let deadline = kind.deadline.as_millis() as u64;
        let mut request = Request::builder()
            .method(kind.method.clone())
            .uri(path)
            .header("host", "standin")
            .header("request-deadline-ms", deadline);
        if call.keyed {
            request = request.header("idempotency-key", &call.id);
        }
        request
            .body(Full::new(body.clone()))
            .expect("parts are valid")
    }

    fn judge(&self, sent: &mut Sent, answer: &Answer, body: &Bytes) {
        let word = |name| answer.headers().get(name)?.to_str().ok();
        sent.status = answer.status().as_u16();
        sent.reason = word("cowslip-reason").map(str::to_owned);
        sent.request = word("cowslip-request").map(str::to_owned);
        sent.instance = word("cowslip-instance").map(str::to_owned);
        sent.verdict = match self.direct {
            true if sent.status == 200 => Some(Verdict::Ran),
            true => Some(Verdict::NotRun),
            false => word("cowslip-verdict").and_then(|verdict| verdict.parse().ok()),
        };
        sent.fault = match sent.verdict {
            None => Some(Fault::Unjudged),
            Some(Verdict::Ran) if sent.status == 200 => {
                (!belongs(answer.body(), &sent.key, body)).then_some(Fault::Foreign)
            }
            Some(_) => None,
        };
    }
}

/// Returns whether an answer echoes the key and the body.
fn belongs(answer: &[u8], key: &str, body: &[u8]) -> bool {
    let mut parts = answer.splitn(2, |byte| *byte == b'\n');
    let head = parts.next().unwrap_or_default();
    let echo = parts.next().unwrap_or_default();
    let named = head.splitn(2, |byte| *byte == b' ').nth(1);
    named == Some(key.as_bytes()) && echo == body
}
