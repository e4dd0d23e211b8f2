//! A deployment on loopback: the store and targets as stand-ins, instances as real processes.

use {
    bytes::Bytes,
    cowslip_adapter_standins::{
        config::build_config,
        ports,
        store::FakeStore,
        target::{FakeTarget, TargetOptions},
    },
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command},
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Secret for operators' pages.
pub const TOKEN: &str = "a-long-token";

/// An instance; its process is killed when this is dropped.
pub struct Instance {
    /// Address for callers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// An answer of an instance.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A deployment.
pub struct World {
    /// The platform's store.
    pub store: FakeStore,
    /// Targets of the divided service.
    pub boards: Vec<FakeTarget>,
    /// Targets of the undivided service.
    pub crews: Vec<FakeTarget>,
    /// Instances.
    pub instances: Vec<Instance>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // An instance that has ended by itself can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        // What it decided explains the failure of a test.
        if thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("log of {}:\n{log}", self.callers);
        }
        let _ = fs::remove_file(&self.log);
    }
}

impl Instance {
    /// Starts the program.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        let [callers, readiness, operators, beats] = [(); 4].map(|()| ports::allocate_address());
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"west\"\nstore = \"{store}\"\ntoken = \"{TOKEN}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             operators = \"{operators}\"\nheartbeats = \"{beats}\"\n\
             [bounds]\ngrace = \"6s\"\nmax_hold = \"10000ms\"\nretry_slack = \"62\"\n"
        );
        let file = std::env::temp_dir().join(format!("cowslip-{name}-{}", beats.port()));
        let (settings, log) = (file.with_extension("toml"), file.with_extension("log"));
        fs::write(&settings, text).expect("settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipcross"));
        command
            .arg("--settings")
            .arg(&settings)
            .stdout(File::create(&log).expect("a file for the log"));
        let child = ports::spawn_process(&mut command).expect("the program starts");
        Self {
            callers,
            readiness,
            operators,
            settings,
            log,
            child,
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        let sent = ports::spawn_process(command.args(["-s", name, &id]));
        let ended = sent.expect("kill starts").wait();
        assert!(ended.is_ok_and(|it| it.success()), "signal {name}");
    }

    /// Waits for the end of the process and returns its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        for _ in 0..1000 {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Returns whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = get(self.readiness, "/-/ready").await;
        answer.is_some_and(|it| it.status == StatusCode::OK)
    }

    /// Returns the metrics.
    pub async fn metrics(&self) -> String {
        let answer = self.page("/metrics", None).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Returns a page for operators.
    pub async fn page(&self, path: &str, token: Option<&str>) -> Answer {
        let mut request = Request::builder().uri(path).header("host", "x");
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::default()).expect("a valid request");
        exchange(self.operators, request).await.expect("a page")
    }

    /// Sends a request; `None` if the connection ended without an answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        exchange(self.callers, request).await
    }
}

impl World {
    /// Starts a deployment and waits until every instance is ready and every key is served.
    pub async fn start(instances: usize, boards: usize, slots: u32, work: Duration) -> Self {
        let store = FakeStore::start().await;
        store.put("op", "config", build_config("r5", "boards").as_bytes());
        let mut world = Self {
            store,
            boards: Vec::new(),
            crews: Vec::new(),
            instances: Vec::new(),
        };
        for at in 0..boards {
            let options = options(&format!("b{at}"), "boards", true, slots, work);
            world.boards.push(FakeTarget::start(options).await);
        }
        for at in 0..2 {
            let options = options(&format!("c{at}"), "crews", false, slots, work);
            world.crews.push(FakeTarget::start(options).await);
        }
        let all = world.boards.iter().chain(&world.crews);
        all.for_each(|target| target.publish_report(&world.store, "ready"));
        for at in 0..instances {
            let instance = Instance::start(&format!("i{at}"), world.store.address());
            world.instances.push(instance);
        }
        world.settle().await;
        world
    }

    /// Waits until every instance is ready and keys all over are owned.
    pub async fn settle(&self) {
        for instance in &self.instances {
            until(|| instance.is_ready()).await;
        }
        until(|| async { (0..=65535u64).step_by(997).all(|key| self.owners(key) == 1) }).await;
        // Heartbeats with the members follow within a second.
        sleep(Duration::from_millis(1200)).await;
    }

    /// Returns how many targets hold a key.
    pub fn owners(&self, key: u64) -> usize {
        self.boards
            .iter()
            .filter(|target| target.has_grant(key))
            .count()
    }

    /// Returns how often the request with this id ran anywhere.
    pub fn runs(&self, id: &str) -> u32 {
        let all = self.boards.iter().chain(&self.crews);
        all.map(|target| target.execution_count(id)).sum()
    }
}

/// Waits until something is so.
pub async fn until<A: Future<Output = bool>>(check: impl Fn() -> A) {
    let waiting = async {
        while !check().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, waiting)
        .await
        .expect("it happens in time");
}

/// Returns a lookup of a board.
pub fn lookup(id: &str, key: u64) -> Request<Full<Bytes>> {
    request("GET", "/lookup/x?a=1", id, &key.to_string(), Bytes::new())
}

/// Returns an order that may not be repeated.
pub fn order(id: &str, key: u64) -> Request<Full<Bytes>> {
    request(
        "POST",
        "/remove/x",
        id,
        &key.to_string(),
        Bytes::from_static(b"strip it"),
    )
}

/// Returns a request to the undivided service.
pub fn booking(id: &str) -> Request<Full<Bytes>> {
    request("PUT", "/book/x", id, "7", Bytes::from_static(b"book it"))
}

/// Returns a request.
pub fn request(method: &str, path: &str, id: &str, key: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "front.example")
        .header("x-request-id", id)
        .header("x-shard-key", key)
        .header("x-deadline-ms", "4000")
        .body(Full::new(body))
        .expect("a valid request")
}

fn options(id: &str, service: &str, divided: bool, slots: u32, work: Duration) -> TargetOptions {
    TargetOptions {
        id: id.into(),
        service: service.into(),
        data_centre: if id.ends_with('0') { "east" } else { "west" }.into(),
        sharded: divided,
        slots,
        processing_time: work,
        ..TargetOptions::default()
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let request = Request::builder().uri(path).header("host", "x");
    exchange(address, request.body(Full::default()).ok()?).await
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(driver);
    let answer = timeout(PATIENCE, sender.send_request(request)).await;
    let (head, body) = answer.expect("an answer in time").ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
