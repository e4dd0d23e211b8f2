//! A small deployment: a store, servers of two services, instances, and clients with kept connections.

use {
    crate::{
        http::{Message, connect, exchange, request},
        instance::Instance,
        record::Record,
        store::Store,
        target::{Behaviour, Options, Target},
    },
    std::{
        io::BufReader,
        net::{SocketAddr, TcpStream},
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "ficu95.example";
const ZONES: [&str; 2] = ["sapporo", "otaru"];
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// The configuration of the operator; bounds and limits are those that `fleetbench wire` shows for a small site.
/// `desk` is the service of bookings and status checks.
pub fn config(version: u32, desk: &str) -> String {
    format!(
        r#"{{"Version":"r{version}","Routes":{{"Columns":["Name","Host","Prefix","RouteKind","Timeout","TargetLatency","Priority","TrafficSplit","MaxAttempts","Service"],"Rows":[["lookup","{HOST}","/lookup/","safe","2000ms","600ms",2,null,2,"boards"],["removal","{HOST}","/remove/","unsafe","2500ms","800ms",1,null,2,"boards"],["booking","{HOST}","/book/","unsafe","1500ms","500ms",0,null,2,"{desk}"],["status","{HOST}","/status/","safe","1000ms","300ms",1,null,2,"{desk}"]]}},"Services":{{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls","ColdStart","ColdPerS","Sharded","Warm","Grants"],"Rows":[["boards","/health",130,"h1",false,"3s",3.1,true,"3s","call"],["crews","/health",130,"h1",false,"3s",3.1,null,null,null]]}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}}}"#
    )
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub boards: Vec<Arc<Target>>,
    pub crews: Vec<Arc<Target>>,
    pub instances: Vec<Arc<Instance>>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Status(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// No answer within the time limit.
    Silent,
}

/// A request of a client with a kept connection.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub instance: usize,
    /// Whether it may run more than once.
    pub is_safe: bool,
    /// When it was sent, in milliseconds of the record.
    pub sent_ms: u64,
    /// Whether an earlier request on the same connection was answered.
    pub is_kept: bool,
    pub outcome: Outcome,
}

#[derive(Clone, Default)]
pub struct History(pub Arc<Mutex<Vec<Sent>>>);

pub fn fail(text: &str) -> ! {
    eprintln!("could not run: {text}");
    // `exit` runs no destructors; the caller's script ends what is left.
    std::process::exit(2)
}

impl Deployment {
    pub fn start(
        folder: &Path,
        record: &Record,
        counts: (usize, usize, usize),
        behaviour: impl Fn() -> Box<Behaviour>,
        clock_start: Duration,
    ) -> Self {
        let store = Store::start(clock_start);
        store.put("op", "config", Some(&config(7, "crews")));
        let (instances, boards, crews) = counts;
        let start_target = |service: &str, number: usize| {
            let options = Options {
                id: format!("i-{service}-{number}"),
                service: service.to_owned(),
                zone: ZONES[number % 2].to_owned(),
                sharded: service == "boards",
                slots: 2,
                work: Duration::from_millis(40),
            };
            Target::start(options, &store, record, behaviour())
        };
        let boards: Vec<_> = (0..boards).map(|it| start_target("boards", it)).collect();
        let crews: Vec<_> = (0..crews).map(|it| start_target("crews", it)).collect();
        let instances = (0..instances).map(|it| {
            let name = format!("front-{it}");
            Arc::new(Instance::start(folder, &name, ZONES[it % 2], store.address))
        });
        let deployment = Self {
            record: record.clone(),
            instances: instances.collect(),
            store,
            boards,
            crews,
        };
        deployment.wait_until_served(Duration::from_secs(20));
        deployment
    }

    /// Waits until each instance serves sampled keys.
    pub fn wait_until_served(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        for (index, instance) in self.instances.iter().enumerate() {
            for key in (0..65_536u64).step_by(5003) {
                let mut number = 0;
                while !self.is_served(
                    instance.callers,
                    &format!("start-{index}-{key}-{number}"),
                    key,
                ) {
                    if Instant::now() > deadline {
                        for instance in &self.instances {
                            instance.kill();
                        }
                        fail("the deployment does not serve");
                    }
                    number += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    fn is_served(&self, callers: SocketAddr, id: &str, key: u64) -> bool {
        let Ok(mut connection) = connect(callers, Duration::from_secs(3)) else {
            return false;
        };
        let sent = lookup(id, key);
        matches!(exchange(&mut connection, &sent), Ok(Some(it)) if it.status() == 200)
    }

    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.boards.iter().chain(&self.crews)
    }

    pub fn runs(&self, id: &str) -> u32 {
        let count = |it: &Arc<Target>| it.runs.lock().expect("runs").get(id).copied();
        self.targets().filter_map(count).sum()
    }

    /// Starts clients with kept connections: so many for each instance.
    pub fn start_clients(
        &self,
        count: usize,
        history: &History,
        stop: &Arc<AtomicBool>,
    ) -> Vec<JoinHandle<()>> {
        let numbers = (0..self.instances.len()).flat_map(|it| (0..count).map(move |no| (it, no)));
        let start = |(index, number): (usize, usize)| {
            let client = Client {
                name: format!("c{index}-{number}"),
                instance: self.instances[index].clone(),
                index,
                record: self.record.clone(),
                history: history.clone(),
                stop: stop.clone(),
                random: AtomicU64::new((1 + index * 100 + number) as u64 * 0x9E37_79B9_7F4A_7C15),
            };
            thread::spawn(move || client.run())
        };
        numbers.map(start).collect()
    }
}

/// Returns a lookup of a key.
pub fn lookup(id: &str, key: u64) -> Message {
    let key = key.to_string();
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-shard-key", key.as_str()),
        ("x-deadline-ms", "4000"),
    ];
    request("GET", &format!("/lookup/{key}"), &headers, b"")
}

/// Returns a removal: an unsafe request with a body.
pub fn removal(id: &str, key: u64, body: &[u8]) -> Message {
    let key = key.to_string();
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-shard-key", key.as_str()),
        ("x-deadline-ms", "5000"),
    ];
    request("POST", "/remove/x", &headers, body)
}

/// Returns a booking: an unsafe request, which goes to either service.
pub fn booking(id: &str, key: u64) -> Message {
    let key = key.to_string();
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-shard-key", key.as_str()),
        ("x-deadline-ms", "3000"),
    ];
    request("PUT", "/book/x", &headers, b"crew")
}

/// Returns a status check, which goes to either service.
pub fn status(id: &str, key: u64) -> Message {
    let key = key.to_string();
    let headers = [
        ("host", HOST),
        ("x-request-id", id),
        ("x-shard-key", key.as_str()),
        ("x-deadline-ms", "2000"),
    ];
    request("GET", "/status/x", &headers, b"")
}

struct Client {
    name: String,
    instance: Arc<Instance>,
    index: usize,
    record: Record,
    history: History,
    stop: Arc<AtomicBool>,
    random: AtomicU64,
}

impl Client {
    fn draw(&self) -> u64 {
        let mut state = self.random.load(Ordering::Relaxed) | 1;
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.random.store(state, Ordering::Relaxed);
        state >> 20
    }

    fn run(&self) {
        let mut connection: Option<(BufReader<TcpStream>, bool)> = None;
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(PAUSE);
            let (mut open, is_kept) = match connection.take() {
                Some(open) => open,
                None => match connect(self.instance.callers, Duration::from_secs(4)) {
                    Ok(open) => (open, false),
                    Err(_) => continue,
                },
            };
            let id = format!("{}-{number}", self.name);
            let key = self.draw() % 65_536;
            // The mix of the sheet.
            let message = match self.draw() % 96 {
                0..47 => lookup(&id, key),
                47..63 => removal(&id, key, b"removal"),
                63..79 => booking(&id, key),
                _ => status(&id, key),
            };
            let sent_ms = self.record.now_ms();
            self.record.line(&format!(
                "sent {id} to {}: {}",
                self.instance.name, message.first
            ));
            let outcome = match exchange(&mut open, &message) {
                Ok(Some(answer)) => {
                    let closes = answer.header("connection").is_some_and(|it| it == "close");
                    if !closes {
                        connection = Some((open, true));
                    }
                    Outcome::Status(answer.status())
                }
                Err(error) if is_timeout(&error) => Outcome::Silent,
                Ok(None) | Err(_) => Outcome::Cut,
            };
            let kept = if is_kept { "kept" } else { "new" };
            let name = &self.instance.name;
            self.record.line(&format!(
                "answer {id} at {name}, {kept} connection: {outcome:?}"
            ));
            self.history.0.lock().expect("history").push(Sent {
                id,
                instance: self.index,
                is_safe: message.first.starts_with("GET"),
                sent_ms,
                is_kept,
                outcome,
            });
        }
    }
}

pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
