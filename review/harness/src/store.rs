//! Stand-in for the platform's store: rows, a feed of their changes and conditional writes.

use {
    crate::{
        http::{self, Message, Reply, response},
        json::{Json, decode_base64, encode_base64},
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

type Key = (String, String, String);

struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

struct Shared {
    start: Instant,
    /// What the steady clock showed at the start.
    clock_start: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store whose steady clock shows this time.
    pub fn start(clock_start: Duration) -> Self {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            clock_start,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let served = shared.clone();
        let address = http::serve(listener, move |message, _| served.answer(&message));
        Self { shared, address }
    }

    /// Returns the time that the steady clock shows.
    pub fn clock(&self) -> Duration {
        self.shared.clock()
    }

    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.shared.state.lock().expect("store");
        state.version += 1;
        let row = Row {
            value: value.map(|it| it.as_bytes().to_vec()),
            version: state.version,
        };
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(key, row);
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn clock(&self) -> Duration {
        self.clock_start + self.start.elapsed()
    }

    fn now(&self) -> String {
        format!("{}ms", self.clock().as_millis())
    }

    fn answer(&self, message: &Message) -> Reply {
        let (status, body) = match message.path() {
            "/-/rows-get" => self.read(message),
            "/-/rows-feed" => self.feed(message),
            "/-/rows-tx" => self.write(&message.body),
            _ => (404, "{}".to_owned()),
        };
        Reply::Send(response(status, &[("store-era", "0")], body.as_bytes()))
    }

    fn page(&self, version: u64, rows: &[String]) -> String {
        let rows = rows.join(",");
        let now = self.now();
        format!(r#"{{"Rows":[{rows}],"HasMore":false,"RowVersion":{version},"Now":"{now}"}}"#)
    }

    fn read(&self, message: &Message) -> (u16, String) {
        let state = self.state.lock().expect("store");
        let (table, part, from) = (
            message.query("Table"),
            message.query("part"),
            message.query("From"),
        );
        let rows = state
            .rows
            .iter()
            .filter(|((row_table, row_part, key), row)| {
                *row_table == table && *row_part == part && *key >= from && row.value.is_some()
            });
        let rows: Vec<String> = rows.map(|(key, row)| row_json(key, row)).collect();
        (200, self.page(state.version, &rows))
    }

    fn feed(&self, message: &Message) -> (u16, String) {
        let table = message.query("Table");
        let after: u64 = message.query("after").parse().unwrap_or_default();
        let wait: u64 = message.query("WaitMs").parse().unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("store");
        loop {
            if after > state.version {
                return (410, "{}".to_owned());
            }
            let newer = state.rows.iter();
            let mut newer: Vec<_> = newer
                .filter(|((row_table, ..), row)| *row_table == table && row.version > after)
                .collect();
            newer.sort_by_key(|(_, row)| row.version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let rows: Vec<String> = newer.iter().map(|(key, row)| row_json(key, row)).collect();
                return (200, self.page(state.version, &rows));
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }

    fn write(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().expect("store");
        let current = |row: &Json| {
            let row = state.rows.get(&row_key(row));
            row.filter(|it| it.value.is_some())
                .map_or(0, |it| it.version)
        };
        let expected = call.get("Expected").list();
        if !expected
            .iter()
            .all(|it| it.get("RowVersion").number() == Some(current(it)))
        {
            let rows = expected.iter().filter_map(|it| {
                let key = row_key(it);
                let row = state.rows.get(&key)?;
                Some(row_json(&key, row))
            });
            let rows: Vec<String> = rows.collect();
            return (412, self.page(state.version, &rows));
        }
        state.version += 1;
        let version = state.version;
        for row in call.get("Writes").list() {
            let value = decode_base64(row.get("Value").text());
            state.rows.insert(row_key(row), Row { value, version });
        }
        drop(state);
        self.changed.notify_all();
        (
            200,
            format!(r#"{{"RowVersion":{version},"Now":"{}"}}"#, self.now()),
        )
    }
}

fn row_key(row: &Json) -> Key {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("Table"), field("part"), field("Key"))
}

fn row_json((table, part, key): &Key, row: &Row) -> String {
    let version = row.version;
    let place =
        format!(r#""Table":"{table}","part":"{part}","Key":"{key}","RowVersion":{version}"#);
    match &row.value {
        Some(value) => format!(r#"{{{place},"Value":"{}"}}"#, encode_base64(value)),
        None => format!(r#"{{{place},"Deleted":true}}"#),
    }
}
