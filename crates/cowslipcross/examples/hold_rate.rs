//! Rate and processor time of the holding duty on loopback.
//!
//! 24 targets with 4 slots on 4 threads answer at once. Run with
//! `cargo run --release -p cowslipcross --example hold_rate`.

use {
    bytes::Bytes,
    cowslip_decide::{
        duty::{Duties, Duty, Granted},
        names::{Fence, Name, Version},
        verdict::{Priority, Verdict},
    },
    cowslip_settings::document::{Document, Route, Service, Target},
    cowslipcross::{
        hold::{self, Context, HoldCommand},
        work::{Aim, Outcome, Ticket, Work},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

const TARGETS: usize = 24;
const THREADS: usize = 4;
const SLOTS: u32 = 4;

/// Requests that wait or run at any moment.
const OUTSTANDING: usize = 192;

/// Requests of the whole run; the first tenth is not counted.
const REQUESTS: usize = 400_000;

async fn answer(mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::with_capacity(4096);
    loop {
        buf.clear();
        while !buf.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut buf).await.ok()? == 0 {
                return None;
            }
        }
        let body = match buf.starts_with(b"GET /-/") {
            true => "{\"start\":\"s\",\"cold\":false,\"leaving\":false,\"load\":0}",
            false => "0123456789",
        };
        let length = body.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nTarget-Start: s\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + body).as_bytes()).await.ok()?;
    }
}

fn targets() -> Vec<SocketAddr> {
    let (found, addresses) = std::sync::mpsc::channel();
    for _ in 0..THREADS {
        let found = found.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(listen(found));
        });
    }
    addresses.iter().take(TARGETS).collect()
}

async fn listen(found: std::sync::mpsc::Sender<SocketAddr>) {
    for _ in 0..TARGETS / THREADS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let _ = found.send(listener.local_addr().expect("an address"));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream));
            }
        });
    }
    std::future::pending().await
}

fn document(addresses: &[SocketAddr]) -> Document {
    let target = |(at, address): (usize, &SocketAddr)| Target {
        name: format!("t{at}").into(),
        address: address.to_string().into(),
        data_centre: "dc".into(),
        slots: SLOTS,
        cold_limit: SLOTS,
        connections: 50,
        checks_fence: false,
    };
    let route = Route {
        name: "get".into(),
        method: "GET".into(),
        priority: Priority::Low,
        repeatable: true,
        deadline_ms: 1000,
    };
    Document {
        services: vec![Service {
            name: "svc".into(),
            divided: true,
            routes: vec![route],
            targets: addresses.iter().enumerate().map(target).collect(),
        }],
        withdrawn: Default::default(),
    }
}

fn duties() -> Duties {
    let range = Granted {
        service: "svc".into(),
        start: 0,
        end: u64::MAX,
        fence: Fence(1),
    };
    let duty = Duty {
        ranges: vec![range],
        taken_over: false,
    };
    let held = (0..TARGETS).map(|at| (format!("t{at}").into(), duty.clone()));
    Duties {
        seq: 1,
        version: Version(1),
        held: held.collect(),
    }
}

struct Names {
    service: Name,
    route: Name,
    targets: Vec<Name>,
}

fn work(names: &Names, n: usize) -> Work {
    Work {
        request: format!("r{n}").into(),
        service: names.service.clone(),
        route: names.route.clone(),
        key: Some(format!("k{n}").into()),
        hash: Some(n as u64),
        aim: Aim::Owner {
            target: names.targets[n % TARGETS].clone(),
            fence: Fence(1),
        },
        priority: Priority::Low,
        repeatable: true,
        deadline: Instant::now() + Duration::from_secs(1),
        order: None,
        method: http::Method::GET,
        media: None,
        body: Bytes::new(),
    }
}

/// Processor time of the thread called `hold`, in seconds, at 100 ticks a second.
fn processor_time() -> Option<f64> {
    let tasks = std::fs::read_dir("/proc/self/task").ok()?.flatten();
    let mut stats = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
    let hold = stats.find(|stat| stat.contains("(hold)"))?;
    let fields: Vec<&str> = hold.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(13)? + ticks(14)?) / 100.0)
}

async fn sent(tickets: &mpsc::Sender<Ticket>, work: Work) -> (Instant, Option<Outcome>) {
    let begun = Instant::now();
    let (reply, end) = oneshot::channel();
    let _ = tickets.send(Ticket { work, reply }).await;
    (begun, end.await.ok())
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let (reports, mut ring) = mpsc::channel(64);
    tokio::spawn(async move { while ring.recv().await.is_some() {} });
    let context = Context {
        instance: "i0".into(),
        events: Default::default(),
        timing: Default::default(),
        reports,
    };
    let duty = hold::start(context).expect("a thread");
    let lease = Instant::now() + Duration::from_secs(3600);
    let document = Arc::new(document(&targets()));
    for command in [
        HoldCommand::Lease(Some(lease)),
        HoldCommand::Document(document),
        HoldCommand::Duties(duties()),
    ] {
        let _ = duty.commands.send(command).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let names = Names {
        service: "svc".into(),
        route: "get".into(),
        targets: (0..TARGETS).map(|at| format!("t{at}").into()).collect(),
    };
    let mut flying = FuturesUnordered::new();
    let mut next = 0..REQUESTS;
    for n in next.by_ref().take(OUTSTANDING) {
        flying.push(sent(&duty.tickets, work(&names, n)));
    }
    let (mut ran, mut times) = (0usize, Vec::with_capacity(REQUESTS));
    let (mut begun, mut busy) = (Instant::now(), 0.0);
    while let Some((since, end)) = flying.next().await {
        if let Some(n) = next.next() {
            flying.push(sent(&duty.tickets, work(&names, n)));
        }
        if times.len() == REQUESTS / 10 {
            (begun, busy, ran) = (Instant::now(), processor_time().unwrap_or(f64::NAN), 0);
        }
        times.push(since.elapsed().as_micros());
        ran += usize::from(end.is_some_and(|end| end.verdict == Verdict::Ran));
    }
    let seconds = begun.elapsed().as_secs_f64();
    let busy = processor_time().unwrap_or(f64::NAN) - busy;
    let counted = REQUESTS - REQUESTS / 10;
    times.sort_unstable();
    let rate = counted as f64 / seconds;
    println!("requests {counted}, ran {ran}, {rate:.0} a second");
    let each = busy * 1e6 / counted as f64;
    println!("processor time of the hold thread {each:.1} us a request");
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize] as f64 / 1000.0;
    println!("p50 {:.2} ms, p99 {:.2} ms", at(0.5), at(0.99));
}
