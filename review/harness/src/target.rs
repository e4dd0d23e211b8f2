//! Stand-in for a server: reports itself, accepts grants, and runs one request for each slot.

use {
    crate::{
        http::{self, Message, Reply, response},
        json::Json,
        record::Record,
        store::Store,
    },
    std::{
        cell::RefCell,
        collections::BTreeMap,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(870);
const KEYS: usize = 1 << 16;
const QUEUE: u32 = 8;

/// How a server answers a request that it runs; `None` for the usual answer.
pub type Behaviour = dyn Fn(&Target, &Message, &TcpStream) -> Option<Reply> + Send + Sync;

thread_local! {
    /// Answer to send once more when the next request arrives; each connection has a thread of its own.
    static LATE: RefCell<Option<Message>> = const { RefCell::new(None) };
}

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub sharded: bool,
    pub slots: u32,
    pub work: Duration,
}

struct State {
    expiry: Vec<Option<Instant>>,
    fence: Vec<u64>,
    running: u32,
    waiting: u32,
    running_keys: BTreeMap<u64, u32>,
}

pub struct Target {
    pub options: Options,
    address: SocketAddr,
    born: u64,
    /// Whether the server is in trouble: then its behaviour answers.
    pub is_troubled: AtomicBool,
    /// Per cent of the requests that the server turns away without running them.
    pub shed_percent: AtomicU64,
    /// Per cent of its answers that the server sends once more, late.
    pub extra_percent: AtomicU64,
    /// Answers, and those sent once more, since `extra_percent` was set.
    pub answers: AtomicU64,
    pub extras: AtomicU64,
    random: AtomicU64,
    sequence: AtomicU64,
    state: Mutex<State>,
    freed: Condvar,
    record: Record,
    /// Request ids in the order of their runs.
    pub runs: Mutex<BTreeMap<String, u32>>,
    behaviour: Box<Behaviour>,
}

impl Target {
    /// Starts a server that reports itself to the store.
    pub fn start(
        options: Options,
        store: &Store,
        record: &Record,
        behaviour: Box<Behaviour>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let since_epoch = std::time::UNIX_EPOCH.elapsed().expect("time of day");
        let target = Arc::new(Self {
            options,
            address,
            born: since_epoch.as_millis() as u64,
            is_troubled: AtomicBool::new(false),
            shed_percent: AtomicU64::new(0),
            extra_percent: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            random: AtomicU64::new(u64::from(address.port())),
            sequence: AtomicU64::new(0),
            state: Mutex::new(State {
                expiry: vec![None; KEYS],
                fence: vec![0; KEYS],
                running: 0,
                waiting: 0,
                running_keys: BTreeMap::new(),
            }),
            freed: Condvar::new(),
            record: record.clone(),
            runs: Mutex::default(),
            behaviour,
        });
        let served = target.clone();
        http::serve(listener, move |message, stream| {
            served.answer(&message, stream)
        });
        let (reported, store) = (target.clone(), store.clone());
        thread::spawn(move || {
            loop {
                reported.report(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        target
    }

    fn report(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Options {
            id,
            service,
            zone,
            slots,
            ..
        } = &self.options;
        let (address, born) = (self.address, self.born);
        let report = format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"ready","ColdRemaining":"0ms","Sequence":{sequence},"born":{born}}}"#
        );
        store.put("servers", id, Some(&report));
    }

    fn answer(&self, message: &Message, stream: &TcpStream) -> Reply {
        let id = message
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let named = message.header("x-target-instance");
        if named.is_some_and(|it| it != self.options.id) {
            return refusal(421, &id);
        }
        match message.path() {
            "/health" => Reply::Send(response(200, &[("x-instance-id", &self.options.id)], b"")),
            "/-/grant" => {
                let reply = self.grant(&message.body, &id);
                match self.is_troubled.load(Ordering::Relaxed) {
                    true => (self.behaviour)(self, message, stream).unwrap_or(reply),
                    false => reply,
                }
            }
            "/-/release" => self.release(&message.body, &id),
            _ => {
                self.send_late(stream);
                self.answers.fetch_add(1, Ordering::Relaxed);
                match self.sheds() {
                    true => self.shed(message, &id),
                    false => self.run(message, &id, stream),
                }
            }
        }
    }

    /// Returns whether to turn the next request away.
    fn sheds(&self) -> bool {
        let next = |it: u64| it.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let drawn = self
            .random
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |it| Some(next(it)));
        let drawn = drawn.unwrap_or_else(|it| it) >> 33;
        drawn % 100 < self.shed_percent.load(Ordering::Relaxed)
    }

    /// Turns a request away; of an unsafe one, the refusal may come once more.
    fn shed(&self, message: &Message, id: &str) -> Reply {
        let refusal = refusal_message(503, id);
        let (answers, extras) = (self.answers.load(Ordering::Relaxed), &self.extras);
        let allowed = answers * self.extra_percent.load(Ordering::Relaxed) / 100;
        let is_unsafe = !message.first.starts_with("GET");
        if is_unsafe && extras.load(Ordering::Relaxed) < allowed {
            extras.fetch_add(1, Ordering::Relaxed);
            LATE.set(Some(refusal.clone()));
        }
        self.record
            .line(&format!("turned away {} {id}", self.options.id));
        Reply::Send(refusal)
    }

    /// Sends an earlier answer on this connection once more, where the next one is expected.
    fn send_late(&self, stream: &TcpStream) {
        if let Some(late) = LATE.take() {
            let id = late.header("x-request-id").unwrap_or_default();
            self.record
                .line(&format!("extra answer {} {id}", self.options.id));
            // A connection that was closed meanwhile gets nothing.
            let _ = http::write_message(stream, &late);
        }
    }

    fn grant(&self, body: &[u8], id: &str) -> Reply {
        let Some((first, last, fence, ttl)) = parse_command(body) else {
            return refusal(400, id);
        };
        let mut state = self.state.lock().expect("target");
        if state.fence[first..=last].iter().any(|it| *it > fence) {
            return Reply::Send(response(409, &[("x-request-id", id)], b""));
        }
        state.expiry[first..=last].fill(Some(Instant::now() + ttl));
        state.fence[first..=last].fill(fence);
        Reply::Send(response(200, &[("x-request-id", id)], b""))
    }

    fn release(&self, body: &[u8], id: &str) -> Reply {
        let Some((first, last, fence, _)) = parse_command(body) else {
            return refusal(400, id);
        };
        let mut state = self.state.lock().expect("target");
        state.expiry[first..=last].fill(None);
        state.fence[first..=last]
            .iter_mut()
            .for_each(|it| *it = fence.max(*it));
        while state
            .running_keys
            .range(first as u64..=last as u64)
            .next()
            .is_some()
        {
            state = self.freed.wait(state).expect("target");
        }
        Reply::Send(response(
            200,
            &[("x-request-id", id), ("x-handover", "h")],
            b"",
        ))
    }

    fn run(&self, message: &Message, id: &str, stream: &TcpStream) -> Reply {
        let key = message
            .header("x-shard-key")
            .and_then(|it| it.parse::<u64>().ok());
        let mut state = self.state.lock().expect("target");
        let is_held = |state: &State| {
            let expiry = key.and_then(|it| state.expiry[it as usize]);
            expiry.is_some_and(|it| it > Instant::now())
        };
        if self.options.sharded && !is_held(&state) {
            return refusal(421, id);
        }
        if state.waiting >= QUEUE {
            return refusal(503, id);
        }
        state.waiting += 1;
        while state.running >= self.options.slots {
            state = self.freed.wait(state).expect("target");
        }
        state.waiting -= 1;
        if self.options.sharded && !is_held(&state) {
            return refusal(421, id);
        }
        state.running += 1;
        if let Some(key) = key {
            *state.running_keys.entry(key).or_default() += 1;
        }
        drop(state);
        *self
            .runs
            .lock()
            .expect("runs")
            .entry(id.to_owned())
            .or_default() += 1;
        self.record.line(&format!("ran {} {id}", self.options.id));
        let reply = match self.is_troubled.load(Ordering::Relaxed) {
            true => (self.behaviour)(self, message, stream),
            false => None,
        };
        let reply = reply.unwrap_or_else(|| {
            thread::sleep(self.options.work);
            self.usual_answer(message, id)
        });
        let mut state = self.state.lock().expect("target");
        state.running -= 1;
        if let Some(key) = key {
            let count = state.running_keys.entry(key).or_default();
            *count -= 1;
            if *count == 0 {
                state.running_keys.remove(&key);
            }
        }
        drop(state);
        self.freed.notify_all();
        reply
    }

    fn usual_answer(&self, message: &Message, id: &str) -> Reply {
        let slots = self.options.slots;
        let load = format!("1,0,{slots},100");
        let body = format!("{} {}", self.options.id, message.body.len());
        let headers = [
            ("x-request-id", id),
            ("x-response-signature", "s"),
            ("x-backend-load", load.as_str()),
        ];
        Reply::Send(response(200, &headers, body.as_bytes()))
    }
}

fn refusal(status: u16, id: &str) -> Reply {
    Reply::Send(refusal_message(status, id))
}

fn refusal_message(status: u16, id: &str) -> Message {
    response(
        status,
        &[("x-request-id", id), ("x-not-executed", "1")],
        b"",
    )
}

fn parse_command(body: &[u8]) -> Option<(usize, usize, u64, Duration)> {
    let command = Json::parse(body)?;
    let (first, last) = (command.get("From").number()?, command.get("To").number()?);
    let ttl = command
        .get("Hold")
        .text()
        .trim_end_matches("ms")
        .parse()
        .unwrap_or(0);
    let is_valid = first <= last && last < KEYS as u64;
    let fence = command.get("fence").number()?;
    is_valid.then_some((
        first as usize,
        last as usize,
        fence,
        Duration::from_millis(ttl),
    ))
}
