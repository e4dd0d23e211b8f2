//! The reader of one instance's output stops reading, while callers press on the deployment.

use {
    cowslip_adapter_standins::{
        config::build_config,
        store::FakeStore,
        target::{FakeTarget, TargetOptions},
    },
    cowslip_review_3::*,
    std::{
        io::Read,
        net::TcpStream,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout of the routes in the configuration of the stand-in.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after it at which a request must have an answer (rule CONFIG).
const LATE: Duration = Duration::from_millis(500);
/// Time budget of the requests that are checked; longer than the timeout of their route.
const BUDGET: Duration = Duration::from_secs(5);
/// Callers that keep a connection to each instance, and the pause of each between two requests.
const KEPT_CONNECTIONS: u64 = 20;
const KEPT_PAUSE: Duration = Duration::from_secs(1);
/// Callers, a third of them at each instance, and the pauses of each between two requests: as usual, and in a burst
/// of 2.5 times that.
const CALLERS: u64 = 360;
const USUAL_PAUSE: Duration = Duration::from_millis(1300);
const BURST_PAUSE: Duration = Duration::from_millis(520);
/// Time that a target takes for a request: those of `crews` run 200 requests a second together.
const TARGET_TIME: Duration = Duration::from_millis(30);
/// Length of a burst and of the time between two, and their number.
const BURST_TIME: Duration = Duration::from_millis(6400);
const CALM_TIME: Duration = Duration::from_millis(3000);
const BURSTS: u32 = 8;
/// Time for which the checks go on after the last burst.
const LAST_TIME: Duration = Duration::from_secs(8);
/// Time budget of the callers' requests.
const CALLER_BUDGET: Duration = Duration::from_millis(800);

fn main() {
    let code = match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

fn run() -> std::io::Result<i32> {
    let record = Record::create()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let directory = work_directory()?;
    let (store, _targets) = runtime.block_on(async {
        let store = FakeStore::start().await;
        let mut targets = Vec::new();
        for (service, count) in [("boards", 3), ("crews", 3)] {
            for number in 0..count {
                let options = TargetOptions {
                    id: format!("{service}-{number}"),
                    service: service.into(),
                    sharded: service == "boards",
                    processing_time: TARGET_TIME,
                    ..TargetOptions::default()
                };
                let target = FakeTarget::start(options).await;
                target.publish_report(&store, "ready");
                targets.push(target);
            }
        }
        store.put("op", "config", build_config("r1", "crews").as_bytes());
        (store, targets)
    });
    let trouble = has_trouble();
    let mut instances = Vec::new();
    for number in 0..3 {
        let output = match number {
            0 => Output::Piped,
            _ => Output::ToFile,
        };
        instances.push(Instance::start(&directory, &format!("i{number}"), "west", store.address(), true, output)?);
    }
    // The reader of the output of the first instance: it reads all, or stops once the instance serves.
    let stopped = Arc::new(AtomicBool::new(false));
    let mut kept = Vec::new();
    let stdout = instances[0].child.stdout.take().expect("piped");
    let stderr = instances[0].child.stderr.take().expect("piped");
    let lines = Arc::new(AtomicU64::new(0));
    for mut pipe in [Box::new(stdout) as Box<dyn Read + Send>, Box::new(stderr)] {
        let (stopped, lines) = (stopped.clone(), lines.clone());
        kept.push(thread::spawn(move || {
            let mut buffer = [0; 4096];
            while !stopped.load(Ordering::Relaxed) {
                match pipe.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(length) => {
                        let count = buffer[..length].iter().filter(|it| **it == b'\n').count();
                        lines.fetch_add(count as u64, Ordering::Relaxed);
                    }
                }
            }
            // The pipe stays open.
            pipe
        }));
    }
    let serves = |index: usize, at: std::net::SocketAddr| {
        let mut call = Call::get("/remove/x", &format!("start-{index}"));
        (call.method, call.key) = ("POST", Some(7));
        let sharded = matches!(call.send(at, Duration::from_secs(2)), Outcome::Answer { status: 200, .. });
        let plain = Call::get("/lookup/x", &format!("start-{index}-l"));
        sharded && matches!(plain.send(at, Duration::from_secs(2)), Outcome::Answer { status: 200, .. })
    };
    for (index, instance) in instances.iter().enumerate() {
        let at = instance.callers;
        if !wait_until(Duration::from_secs(15), || instance.is_ready() && serves(index, at)) {
            record.say(format!("{} does not serve", instance.name));
            return Ok(NOT_RUN);
        }
    }
    record.say("all three instances serve");
    stopped.store(trouble, Ordering::Relaxed);
    record.say(match trouble {
        true => "the reader of i0's standard output and error stops reading; i0 runs on",
        false => "the reader of i0's standard output and error goes on reading",
    });
    let start = Instant::now();
    let end = start + BURSTS * (CALM_TIME + BURST_TIME) + LAST_TIME;
    // As the platform does it: an instance that misses two probes in a row gets no new connections until it answers.
    let rotation: Arc<Vec<AtomicBool>> = Arc::new((0..instances.len()).map(|_| AtomicBool::new(true)).collect());
    for (index, instance) in instances.iter().enumerate() {
        let (rotation, readiness, name) = (rotation.clone(), instance.readiness, instance.name.clone());
        let record = record.clone();
        thread::spawn(move || {
            let mut misses = 0;
            while Instant::now() < end {
                thread::sleep(Duration::from_secs(1));
                let outcome = Call::get("/-/ready", "probe").send(readiness, Duration::from_secs(1));
                misses = match outcome {
                    Outcome::Answer { status: 200, .. } => 0,
                    _ => misses + 1,
                };
                if rotation[index].swap(misses < 2, Ordering::Relaxed) != (misses < 2) {
                    record.say(format!("{name} is in rotation: {}", misses < 2));
                }
            }
        });
    }
    let addresses: Arc<Vec<_>> = Arc::new(instances.iter().map(|it| it.callers).collect());
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (addresses, rotation) = (addresses.clone(), rotation.clone());
        callers.push(thread::spawn(move || {
            let mut counts = [(0u64, 0u64); 3];
            let mut sent = 0;
            thread::sleep(USUAL_PAUSE * number as u32 / CALLERS as u32);
            while Instant::now() < end {
                let mut call = Call::get("/lookup/x", &format!("caller-{number}-{sent}"));
                call.deadline = CALLER_BUDGET;
                let sent_at = Instant::now();
                let first = number as usize;
                let index = (first..first + 3).map(|it| it % 3).find(|it| rotation[*it].load(Ordering::Relaxed));
                let index = index.unwrap_or(first % 3);
                let outcome = call.send(addresses[index], CALLER_BUDGET);
                sent += 1;
                counts[index].0 += 1;
                counts[index].1 += u64::from(matches!(outcome, Outcome::Answer { status: 503, .. }));
                let pause = match is_burst(start.elapsed()) {
                    true => BURST_PAUSE,
                    false => USUAL_PAUSE,
                };
                thread::sleep(pause.saturating_sub(sent_at.elapsed()));
            }
            counts
        }));
    }
    // Callers that keep their connections; an open connection stays with its instance. One that gets no answer leaves.
    let mut checks = Vec::new();
    for (index, instance) in instances.iter().enumerate() {
        for caller in 0..KEPT_CONNECTIONS {
            let (at, name, record) = (instance.callers, instance.name.clone(), record.clone());
            checks.push(thread::spawn(move || {
                let mut results = Vec::new();
                let Ok(mut stream) = TcpStream::connect(at) else {
                    return (index, results);
                };
                let _ = stream.set_nodelay(true);
                thread::sleep(KEPT_PAUSE * caller as u32 / KEPT_CONNECTIONS as u32);
                for number in 0.. {
                    if Instant::now() >= end {
                        break;
                    }
                    let mut call = Call::get("/remove/x", &format!("kept-{index}-{caller}-{number}"));
                    (call.method, call.key, call.deadline) = ("POST", Some(caller as u16 * 3203), BUDGET);
                    let sent_at = Instant::now();
                    let outcome = call.send_on(&mut stream, sent_at + ROUTE_TIMEOUT + LATE);
                    let took = sent_at.elapsed();
                    record.line(format!("{} at {name}: {} after {} ms", call.id, outcome.label(), took.as_millis()));
                    let is_answered = matches!(outcome, Outcome::Answer { .. });
                    results.push((outcome, took));
                    if !is_answered {
                        break;
                    }
                    thread::sleep(KEPT_PAUSE.saturating_sub(took));
                }
                (index, results)
            }));
        }
    }
    let mut results: Vec<Vec<(Outcome, Duration)>> = instances.iter().map(|_| Vec::new()).collect();
    for check in checks {
        let (index, checked) = check.join().expect("a caller ends");
        results[index].extend(checked);
    }
    let sums = callers.into_iter().filter_map(|it| it.join().ok()).fold([(0, 0); 3], |sums, counts| {
        [0, 1, 2].map(|it| (sums[it].0 + counts[it].0, sums[it].1 + counts[it].1))
    });
    for (index, (sent, refused)) in sums.iter().enumerate() {
        record.say(format!("i{index}: {sent} requests of callers, {refused} refused with 503"));
    }
    record.say(format!("{} lines of the output of i0 were read", lines.load(Ordering::Relaxed)));
    let mut is_broken = false;
    for (index, checked) in results.iter().enumerate() {
        let at_timeout = checked.iter().filter(|(_, took)| *took >= ROUTE_TIMEOUT).count();
        let unanswered = checked
            .iter()
            .filter(|(outcome, took)| *took >= ROUTE_TIMEOUT && !matches!(outcome, Outcome::Answer { .. }))
            .count();
        let runs = instances[index].is_running();
        record.say(format!(
            "i{index}: {} requests on kept connections, {at_timeout} without an answer at the timeout of their route, \
             {unanswered} of these also half a second later; process runs: {runs}",
            checked.len()
        ));
        is_broken |= at_timeout >= 8 && 2 * unanswered > at_timeout;
    }
    drop(instances);
    let _ = std::fs::remove_dir_all(&directory);
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Returns whether callers send more often at this time after the start.
fn is_burst(elapsed: Duration) -> bool {
    let period = (CALM_TIME + BURST_TIME).as_millis();
    let is_over = elapsed >= BURSTS * (CALM_TIME + BURST_TIME);
    !is_over && elapsed.as_millis() % period >= CALM_TIME.as_millis()
}
