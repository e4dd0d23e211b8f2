//! A small target on a loopback listener, and the holding duty in front of it.
#![allow(dead_code)]

use {
    bytes::Bytes,
    cowslip_decide::{
        duty::{Duties, Duty, Granted, HoldReport},
        key::key_hash,
        names::{Fence, Version},
        verdict::Priority,
    },
    cowslip_settings::document::{Document, Route, Service, Target},
    cowslipcross::{
        hold::{self, Context, Handle, HoldCommand},
        work::{Aim, Outcome, Ticket, Work},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot},
        time::{Instant, sleep, timeout},
    },
};

/// Start, end and fence of ranges.
type Ranges = Vec<(u64, u64, u64)>;

/// What a target has done, by its own record.
#[derive(Default)]
pub struct Record {
    pub start: u64,
    pub leaving: bool,
    pub cold: bool,
    pub frozen: bool,
    pub refuse_grants: bool,
    /// Requests run, by id.
    pub ran: Vec<String>,
    /// Requests that arrived, by key, in order.
    pub arrived: Vec<String>,
    pub cancelled: Vec<String>,
    pub parked: Vec<String>,
    pub running: usize,
    pub most: usize,
    /// Ranges of each accepted grant with their stamp.
    pub grants: Vec<(u64, Ranges)>,
    pub connections: usize,
    pub kill: u64,
}

#[derive(Clone)]
pub struct Fake {
    pub address: SocketAddr,
    record: Arc<Mutex<Record>>,
    begun: Instant,
}

impl Fake {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Self {
            address: listener.local_addr().unwrap(),
            record: Arc::default(),
            begun: Instant::now(),
        };
        let accepting = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        fake
    }

    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap()
    }

    /// Returns the target's own clock in milliseconds.
    pub fn clock(&self) -> u64 {
        1 + self.begun.elapsed().as_millis() as u64
    }

    /// Restarts the target: its connections end and its start id changes.
    pub fn restart(&self) {
        let mut record = self.record();
        record.start += 1;
        record.kill += 1;
        record.running = 0;
        record.most = 0;
    }

    async fn serve(self, mut stream: TcpStream) {
        self.record().connections += 1;
        let run = self.record().kill;
        let _ = self.talk(&mut stream, run).await;
        self.record().connections -= 1;
    }

    async fn talk(&self, stream: &mut TcpStream, run: u64) -> Option<()> {
        let mut buf = Vec::new();
        loop {
            let head = loop {
                if let Some(end) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
                    break String::from_utf8(buf.drain(..end + 4).collect()).ok()?;
                }
                let read = timeout(Duration::from_millis(2), stream.read_buf(&mut buf)).await;
                if self.record().kill != run || matches!(read, Ok(Ok(0) | Err(_))) {
                    return None;
                }
            };
            let header = |name: &str| {
                let line = head
                    .lines()
                    .find(|line| line.to_lowercase().starts_with(name))?;
                Some(line.split_once(": ")?.1.to_owned())
            };
            let length = header("content-length").map_or(0, |text| text.parse().unwrap());
            while buf.len() < length {
                stream.read_buf(&mut buf).await.ok()?;
            }
            let body: Vec<u8> = buf.drain(..length).collect();
            while self.record().frozen {
                sleep(Duration::from_millis(5)).await;
            }
            let mut words = head.split_whitespace();
            let (method, path) = (words.next()?, words.next()?);
            let id = header("cowslip-request").unwrap_or_default();
            let answer = match path.strip_prefix("/-/") {
                Some(rest) => self.control(method, rest, &body),
                None => self.order(path, &id, &body, run).await?,
            };
            if self.record().kill != run {
                return None;
            }
            stream.write_all(&answer).await.ok()?;
            if path.contains("cut") {
                return None;
            }
        }
    }

    fn control(&self, method: &str, rest: &str, body: &[u8]) -> Vec<u8> {
        let mut record = self.record();
        if let Some(id) = rest.strip_prefix("requests/") {
            assert_eq!(method, "DELETE");
            record.cancelled.push(id.to_owned());
            let parked = record.parked.iter().any(|one| one == id);
            return self.answer(&record, 200, "", &format!("{{\"ran\":{}}}", !parked));
        }
        if rest == "health" {
            let (cold, leaving) = (record.cold, record.leaving);
            let start = record.start;
            let json = format!(
                "{{\"start\":\"s{start}\",\"cold\":{cold},\"leaving\":{leaving},\"load\":0}}"
            );
            return self.answer(&record, 200, "", &json);
        }
        let grant: serde_json::Value = serde_json::from_slice(body).unwrap();
        if record.refuse_grants {
            return self.answer(&record, 409, "", "{\"reason\":\"fence\",\"fence\":9}");
        }
        let number = |range: &serde_json::Value, name: &str| range[name].as_str().unwrap().parse();
        let ranges = grant["ranges"].as_array().unwrap().iter().map(|range| {
            let (start, end) = (
                number(range, "start").unwrap(),
                number(range, "end").unwrap(),
            );
            (start, end, range["fence"].as_u64().unwrap())
        });
        let ranges = ranges.collect();
        record
            .grants
            .push((grant["stamp"].as_u64().unwrap(), ranges));
        let stamp = self.clock();
        let start = record.start;
        let json = format!("{{\"start\":\"s{start}\",\"stamp\":{stamp},\"fence\":1}}");
        self.answer(&record, 200, "", &json)
    }

    fn answer(&self, record: &Record, status: u16, extra: &str, body: &str) -> Vec<u8> {
        let (start, length) = (record.start, body.len());
        let leaving = if record.leaving {
            "Target-Leaving: 1\r\n"
        } else {
            ""
        };
        format!(
            "HTTP/1.1 {status} X\r\nTarget-Start: s{start}\r\nContent-Length: {length}\r\n{leaving}{extra}\r\n{body}"
        )
        .into_bytes()
    }

    /// Serves one request; what its key contains says how.
    async fn order(&self, path: &str, id: &str, body: &[u8], run: u64) -> Option<Vec<u8>> {
        let unrun = "Target-Verdict: not-run\r\n";
        self.record().arrived.push(path.to_owned());
        if path.contains("shed") {
            return Some(self.answer(&self.record(), 503, unrun, "shed"));
        }
        if path.contains("barred") {
            return Some(self.answer(&self.record(), 409, unrun, "barred"));
        }
        if path.contains("silent") {
            if path.contains("parked") {
                self.record().parked.push(id.to_owned());
            }
            sleep(Duration::from_secs(3600)).await;
        }
        let running = {
            let mut record = self.record();
            record.running += 1;
            record.most = record.most.max(record.running);
            record.start
        };
        let digits = path.split("sleep").nth(1).unwrap_or_default();
        let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
        sleep(Duration::from_millis(digits.parse().unwrap_or(1))).await;
        let mut record = self.record();
        if record.kill != run {
            return None;
        }
        assert_eq!(running, record.start);
        record.running -= 1;
        record.ran.push(id.to_owned());
        let text = format!("{path} {}", String::from_utf8_lossy(body));
        if path.contains("cut-length") {
            let mut answer = self.answer(&record, 200, "", &text);
            answer.truncate(answer.len() - 1);
            return Some(answer);
        }
        if path.contains("cut-chunk") {
            return Some(
                b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n".into(),
            );
        }
        if path.contains("cut-unmarked") {
            return Some(b"HTTP/1.1 200 X\r\n\r\nabc".into());
        }
        if path.contains("long") {
            return Some(self.answer(&record, 200, "", &"x".repeat(1024 * 1024 + 1)));
        }
        let status = if path.contains("error") { 500 } else { 200 };
        Some(self.answer(&record, status, "", &text))
    }
}

/// The holding duty with its reports.
pub struct Bench {
    pub handle: Handle,
    pub reports: mpsc::Receiver<HoldReport>,
    next: u64,
    seq: u64,
}

/// How a target of a test is held.
#[derive(Clone, Copy)]
pub struct Held {
    pub divided: bool,
    pub fence: bool,
    pub slots: u32,
    pub cold: u32,
}

pub const PLAIN: Held = Held {
    divided: true,
    fence: false,
    slots: 2,
    cold: 1,
};

pub fn document(fakes: &[&Fake], held: Held) -> Document {
    let target = |(at, fake): (usize, &&Fake)| Target {
        name: format!("t{at}").into(),
        address: fake.address.to_string().into(),
        data_centre: "dc".into(),
        slots: held.slots,
        cold_limit: held.cold,
        connections: 20,
        checks_fence: held.fence,
    };
    let route = Route {
        name: "run".into(),
        method: "POST".into(),
        priority: Priority::High,
        repeatable: false,
        deadline_ms: 2000,
    };
    Document {
        services: vec![Service {
            name: "svc".into(),
            divided: held.divided,
            routes: vec![route],
            targets: fakes.iter().enumerate().map(target).collect(),
        }],
        withdrawn: Default::default(),
    }
}

pub fn duty(start: u64, end: u64, fence: u64) -> Duty {
    Duty {
        ranges: vec![Granted {
            service: "svc".into(),
            start,
            end,
            fence: Fence(fence),
        }],
        taken_over: false,
    }
}

impl Bench {
    /// Starts the duty with a lease of an hour and every target held.
    pub async fn start(fakes: &[&Fake], held: Held) -> Self {
        let (reports, ring) = mpsc::channel(1024);
        let context = Context {
            instance: "i0".into(),
            events: Default::default(),
            timing: Default::default(),
            reports,
        };
        let mut bench = Self {
            handle: hold::start(context).unwrap(),
            reports: ring,
            next: 0,
            seq: 0,
        };
        bench.lease(Duration::from_secs(3600)).await;
        let document = HoldCommand::Document(Arc::new(document(fakes, held)));
        bench.command(document).await;
        let one = if held.divided {
            duty(0, u64::MAX, 1)
        } else {
            Duty::default()
        };
        let all = (0..fakes.len()).map(|at| (format!("t{at}"), one.clone()));
        bench.hold(all.collect()).await;
        bench
    }

    pub async fn command(&self, command: HoldCommand) {
        self.handle.commands.send(command).await.unwrap();
    }

    pub async fn lease(&self, left: Duration) {
        self.command(HoldCommand::Lease(Some(Instant::now() + left)))
            .await;
    }

    /// Sends new duties; returns their number.
    pub async fn hold(&mut self, held: BTreeMap<String, Duty>) -> u64 {
        self.seq += 1;
        let duties = Duties {
            seq: self.seq,
            version: Version(self.seq),
            held: held
                .into_iter()
                .map(|(name, duty)| (name.into(), duty))
                .collect(),
        };
        self.command(HoldCommand::Duties(duties)).await;
        self.seq
    }

    /// Waits for a report that `find` maps to something.
    pub async fn report<T>(&mut self, find: impl Fn(HoldReport) -> Option<T>) -> T {
        let waiting = async {
            loop {
                if let Some(found) = find(self.reports.recv().await.unwrap()) {
                    return found;
                }
            }
        };
        timeout(Duration::from_secs(20), waiting)
            .await
            .expect("a report")
    }

    pub async fn settled(&mut self, seq: u64) {
        let settled = |report| (report == HoldReport::Settled { seq }).then_some(());
        self.report(settled).await;
    }

    pub fn work(&mut self, key: &str, aim: Aim) -> Work {
        self.next += 1;
        let divided = matches!(aim, Aim::Owner { .. });
        Work {
            request: format!("r{}", self.next).into(),
            service: "svc".into(),
            route: "run".into(),
            key: Some(key.into()),
            hash: divided.then(|| key_hash(key)),
            aim,
            priority: Priority::High,
            repeatable: false,
            deadline: Instant::now() + Duration::from_secs(20),
            order: None,
            method: http::Method::POST,
            media: None,
            body: Bytes::from(format!("body of {key}")),
        }
    }

    pub fn owned(&mut self, key: &str) -> Work {
        let aim = Aim::Owner {
            target: "t0".into(),
            fence: Fence(1),
        };
        self.work(key, aim)
    }

    pub fn pooled(&mut self, key: &str) -> Work {
        self.work(key, Aim::Pool("svc".into()))
    }

    pub async fn send(&self, work: Work) -> oneshot::Receiver<Outcome> {
        let (reply, end) = oneshot::channel();
        self.handle
            .tickets
            .send(Ticket { work, reply })
            .await
            .unwrap();
        end
    }

    pub async fn end(&self, work: Work) -> Outcome {
        ended(self.send(work).await).await
    }
}

pub async fn ended(end: oneshot::Receiver<Outcome>) -> Outcome {
    timeout(Duration::from_secs(20), end)
        .await
        .expect("an end in time")
        .expect("an end")
}

/// Waits until `done` says so.
pub async fn until(done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(20), waiting)
        .await
        .expect("in time");
}
