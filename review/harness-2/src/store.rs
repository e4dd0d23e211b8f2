//! Stand-in for the platform's store: rows, their feed, and transactions.

use {
    crate::{
        http::{Message, Server, response},
        json::{Json, base64},
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    /// Value in Base64, `None` once dropped, and version.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

/// A copy of the store, from which it may come back.
pub struct Copy(Rows);

/// An address at which one machine reaches the store.
#[derive(Clone)]
pub struct Entrance {
    pub address: SocketAddr,
    /// Whether the machine is turned away with 503.
    pub is_busy: Arc<AtomicBool>,
    /// When a transaction of the machine was last carried out.
    pub wrote_at: Arc<Mutex<Option<Instant>>>,
}

struct Shared {
    start: Instant,
    rows: Mutex<Rows>,
    /// Rises by one each time the store comes back from a copy.
    era: Mutex<u64>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            rows: Mutex::default(),
            era: Mutex::default(),
            changed: Condvar::new(),
        });
        Self { shared }
    }

    /// Opens an address of the store for one machine.
    pub fn open(&self) -> Entrance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entrance = Entrance {
            address: listener.local_addr().expect("an address"),
            is_busy: Arc::default(),
            wrote_at: Arc::default(),
        };
        let (shared, serving) = (self.shared.clone(), entrance.clone());
        // It is open until the program ends.
        std::mem::forget(Server::start(listener, move || {
            let (shared, entrance) = (shared.clone(), serving.clone());
            move |request: Message, _: &mut _| Some(shared.serve(&request, &entrance))
        }));
        entrance
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.rows.lock().unwrap().clone())
    }

    /// Comes back from a copy. What was written since is gone, and versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut rows = self.shared.rows.lock().unwrap();
        *rows = copy.0.clone();
        *self.shared.era.lock().unwrap() += 1;
        self.shared.changed.notify_all();
    }

    /// Writes a row with an empty part; `None` drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.shared.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let encoded = value.map(|it| base64(it.as_bytes()));
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (encoded, version));
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn now(&self) -> String {
        format!("{}ms", self.start.elapsed().as_millis())
    }

    fn serve(&self, request: &Message, entrance: &Entrance) -> Vec<u8> {
        if entrance.is_busy.load(Ordering::SeqCst) {
            return self.response(503, "{}");
        }
        let (status, body) = match request.path() {
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request, &entrance.is_busy),
            "/-/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        };
        if status == 200 && request.path() == "/-/rows-tx" {
            *entrance.wrote_at.lock().unwrap() = Some(Instant::now());
        }
        self.response(status, &body)
    }

    fn response(&self, status: u16, body: &str) -> Vec<u8> {
        let era = self.era.lock().unwrap().to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
        response(status, &headers, body.as_bytes())
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let (table, part) = (request.parameter("Table"), request.parameter("part"));
        let from = request.parameter("From");
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((in_table, in_part, key), row)| {
            *in_table == table && *in_part == part && *key >= from && row.0.is_some()
        });
        let found: Vec<String> = found.map(|(key, row)| row_json(key, row)).collect();
        (200, self.page(&found, rows.version))
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        format!(
            r#"{{"Rows":[{}],"HasMore":false,"RowVersion":{version},"Now":"{}"}}"#,
            rows.join(","),
            self.now()
        )
    }

    fn feed(&self, request: &Message, is_busy: &AtomicBool) -> (u16, String) {
        let table = request.parameter("Table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            if is_busy.load(Ordering::SeqCst) {
                return (503, "{}".to_owned());
            }
            // The version is from before the store came back from a copy.
            if after > rows.version {
                return (410, "{}".to_owned());
            }
            let newer = rows.rows.iter();
            let newer = newer.filter(|((in_table, ..), row)| *in_table == table && row.1 > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, row)| row.1);
            let left = end.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let newer: Vec<String> =
                    newer.iter().map(|(key, row)| row_json(key, row)).collect();
                return (200, self.page(&newer, rows.version));
            }
            let step = left.min(Duration::from_millis(20));
            rows = self.changed.wait_timeout(rows, step).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("Expected").list();
        let is_met = |row: &Json| {
            let current = rows.rows.get(&row_key(row)).filter(|it| it.0.is_some());
            row.get("RowVersion").number() == Some(current.map_or(0, |it| it.1))
        };
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|row| {
                let (key, row) = rows.rows.get_key_value(&row_key(row))?;
                Some(row_json(key, row))
            });
            let current: Vec<String> = current.collect();
            return (412, self.page(&current, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("Writes").list() {
            let value = row.get("Value").text().to_owned();
            rows.rows.insert(row_key(row), (Some(value), version));
        }
        self.changed.notify_all();
        (
            200,
            format!(r#"{{"RowVersion":{version},"Now":"{}"}}"#, self.now()),
        )
    }
}

fn row_key(row: &Json) -> RowKey {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("Table"), field("part"), field("Key"))
}

fn row_json((table, part, key): &RowKey, (value, version): &(Option<String>, u64)) -> String {
    let content = match value {
        Some(value) => format!(r#""Value":"{value}""#),
        None => r#""Deleted":true"#.to_owned(),
    };
    format!(
        r#"{{"Table":"{table}","part":"{part}","Key":"{key}",{content},"RowVersion":{version}}}"#
    )
}
