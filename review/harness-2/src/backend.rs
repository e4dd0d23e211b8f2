//! Stand-in for a backend of a service that is divided by key.

use {
    crate::{
        http::{Message, Server, response},
        json::Json,
        record::Record,
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Number of keys.
pub const KEYS: usize = 65536;

/// One life of a backend.
pub struct Backend {
    pub id: String,
    pub service: String,
    /// Whether its service is divided by key.
    is_sharded: bool,
    pub address: SocketAddr,
    pub zone: String,
    pub born: u64,
    pub started_at: Instant,
    /// Time for which it is cold after its start.
    pub cold: Duration,
    pub is_up: AtomicBool,
    /// Whether it is partitioned from the store.
    pub is_cut: AtomicBool,
    pub sequence: AtomicU64,
    /// Answers so far, and how many of them were sent a second time.
    pub answers: AtomicU32,
    pub copies: AtomicU32,
    /// Whether it sends a second copy of the answer by which it tells that another backend was meant.
    copies_421: bool,
    keys: Mutex<Keys>,
    running: AtomicU32,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
}

struct Keys {
    /// Fence and end of the hold of each key.
    holds: Vec<Option<(u64, Instant)>>,
    /// Highest fence that was seen of each key.
    seen: Vec<u64>,
}

/// How a backend is started.
pub struct Options {
    pub id: String,
    pub service: String,
    pub is_sharded: bool,
    pub address: SocketAddr,
    pub zone: String,
    pub cold: Duration,
    pub copies_421: bool,
}

/// Work of one request at a service that is divided by key, and at another one.
const KEYED_WORK: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(600);

impl Backend {
    pub fn start(options: Options, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(options.address).expect("the backend's address");
        let address = listener.local_addr().expect("an address");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let backend = Arc::new(Self {
            id: options.id,
            service: options.service,
            is_sharded: options.is_sharded,
            address,
            zone: options.zone,
            born: since_epoch.map_or(0, |it| it.as_millis() as u64),
            started_at: Instant::now(),
            cold: options.cold,
            is_up: AtomicBool::new(true),
            is_cut: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            answers: AtomicU32::new(0),
            copies: AtomicU32::new(0),
            copies_421: options.copies_421,
            keys: Mutex::new(Keys {
                holds: vec![None; KEYS],
                seen: vec![0; KEYS],
            }),
            running: AtomicU32::new(0),
            record,
            server: Mutex::default(),
        });
        backend
            .record
            .line(&format!("backend {} starts at {address}", backend.id));
        let serving = backend.clone();
        let server = Server::start(listener, move || {
            let backend = serving.clone();
            // Answer that is sent once more where the next one is expected.
            let mut extra: Option<Vec<u8>> = None;
            move |request: Message, _: &mut _| backend.handle(&request, &mut extra)
        });
        *backend.server.lock().unwrap() = Some(server);
        backend
    }

    /// Ends like a process that crashes: it closes its connections and sends nothing.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.record.line(&format!("backend {} crashes", self.id));
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
    }

    /// Returns the entry in the store.
    pub fn entry(&self) -> String {
        let cold = self.cold.saturating_sub(self.started_at.elapsed());
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":2,"State":"ready","ColdRemaining":"{}ms","Sequence":{sequence},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            cold.as_millis(),
            self.born
        )
    }

    /// Adds one to the count of each key that the backend holds now.
    pub fn count_held(&self, counts: &mut [u8]) {
        if !self.is_up.load(Ordering::SeqCst) {
            return;
        }
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        for (count, hold) in counts.iter_mut().zip(&keys.holds) {
            *count += u8::from(hold.is_some_and(|(_, end)| end > now));
        }
    }

    /// Returns the fence with which the backend holds a key now.
    pub fn fence(&self, key: usize) -> Option<u64> {
        let hold = self.keys.lock().unwrap().holds[key];
        let is_held = |end: Instant| self.is_up.load(Ordering::SeqCst) && end > Instant::now();
        hold.filter(|(_, end)| is_held(*end))
            .map(|(fence, _)| fence)
    }

    fn handle(&self, request: &Message, extra: &mut Option<Vec<u8>>) -> Option<Vec<u8>> {
        let late = extra.take();
        let answer = self.answer(request);
        if !self.is_up.load(Ordering::SeqCst) {
            return None;
        }
        self.answers.fetch_add(1, Ordering::SeqCst);
        if answer.starts_with(b"HTTP/1.1 421") && self.copies_421 && request.path() == "/-/grant" {
            *extra = Some(answer.clone());
        }
        let Some(mut late) = late else {
            return Some(answer);
        };
        self.copies.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!(
            "backend {} sends its earlier 421 once more before the answer to {}",
            self.id, request.first
        ));
        late.extend(answer);
        Some(late)
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let wanted = request.header("x-target-instance");
        if wanted.is_some_and(|it| it != self.id) {
            self.record.line(&format!(
                "backend {} answers 421 to {}, which is for {}",
                self.id,
                request.first,
                wanted.unwrap_or_default()
            ));
            // As `fleetbench wire` shows it.
            return response(421, &[("X-Instance-Id", &self.id)], b"");
        }
        match request.path() {
            "/-/grant" => self.grant(request),
            "/-/release" => self.release(request),
            _ => self.run(request),
        }
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        let Some((range, fence, call)) = read_range(request) else {
            return response(400, &[], b"");
        };
        let hold = call.get("Hold").text().strip_suffix("ms");
        let Some(hold) = hold
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis)
        else {
            return response(400, &[], b"");
        };
        let id = request.header("x-request-id").unwrap_or_default();
        let mut keys = self.keys.lock().unwrap();
        if keys.seen[range.clone()].iter().any(|seen| *seen > fence) {
            return response(409, &[("X-Request-Id", id)], b"");
        }
        let is_new = keys.holds[range.clone()]
            .iter()
            .any(|it| it.is_none_or(|it| it.0 != fence));
        let end = Instant::now() + hold;
        keys.seen[range.clone()].fill(fence);
        keys.holds[range.clone()].fill(Some((fence, end)));
        drop(keys);
        if is_new {
            self.record.line(&format!(
                "backend {} takes the grant of {}-{}, fence {fence}, {} ms",
                self.id,
                range.start,
                range.end - 1,
                hold.as_millis()
            ));
        }
        response(200, &[("X-Request-Id", id)], b"")
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        let Some((range, fence, _)) = read_range(request) else {
            return response(400, &[], b"");
        };
        self.keys.lock().unwrap().holds[range.clone()].fill(None);
        while self.running.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(2));
        }
        self.record.line(&format!(
            "backend {} has released {}-{}, fence {fence}",
            self.id,
            range.start,
            range.end - 1
        ));
        let id = request.header("x-request-id").unwrap_or_default();
        response(
            200,
            &[("X-Request-Id", id), ("X-Handover", "5c0e7a21")],
            b"",
        )
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-request-id").unwrap_or_default();
        let key = request
            .header("x-shard-key")
            .and_then(|it| it.parse::<usize>().ok());
        let is_held = key.is_some_and(|key| key < KEYS && self.fence(key).is_some());
        if self.is_sharded && !is_held {
            return response(421, &[("X-Request-Id", id), ("X-Not-Executed", "1")], b"");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.record.run(id, &self.id, key.unwrap_or(0));
        thread::sleep(if self.is_sharded { KEYED_WORK } else { WORK });
        self.running.fetch_sub(1, Ordering::SeqCst);
        let load = format!("{},0,2,100", self.running.load(Ordering::SeqCst));
        let headers = [
            ("X-Request-Id", id),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Backend-Load", &load),
        ];
        response(200, &headers, id.as_bytes())
    }
}

fn read_range(request: &Message) -> Option<(std::ops::Range<usize>, u64, Json)> {
    let call = Json::parse(&String::from_utf8_lossy(&request.body))?;
    let (first, last) = (call.get("From").number()?, call.get("To").number()?);
    let fence = call.get("fence").number()?;
    (first <= last && last < KEYS as u64).then_some((
        first as usize..last as usize + 1,
        fence,
        call,
    ))
}
