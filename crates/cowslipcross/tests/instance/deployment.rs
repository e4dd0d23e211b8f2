//! A test deployment on loopback: fakes of the store and the targets, instances as real processes.

use {
    bytes::Bytes,
    cowslip_adapter_standins::{
        config::build_config,
        link::{Link, LinkState},
        ports,
        scripted_target::ScriptedTarget,
        store::FakeStore,
        store_view::StoreView,
        target::{FakeTarget, TargetOptions},
    },
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
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

/// Time after which a condition or response counts as missing.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Token for the operators' pages.
pub const TOKEN: &str = "a-long-token";

/// A running instance; the process is killed when this is dropped.
pub struct Instance {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    readiness: SocketAddr,
    operators: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Child,
}

/// A response of an instance.
#[derive(Debug)]
pub struct InstanceResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A store, targets and instances.
pub struct Deployment {
    /// The platform's store.
    pub store: FakeStore,
    /// Targets of the sharded service `boards`.
    pub boards: Vec<FakeTarget>,
    /// Targets of the unsharded service `crews`.
    pub crews: Vec<FakeTarget>,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Links of each instance; empty if they connect to the targets themselves.
    links: Vec<InstanceLinks>,
}

/// An instance's links to all targets.
struct InstanceLinks {
    links: BTreeMap<String, Link>,
    /// Front of the store that names the links as the addresses of the targets.
    view: StoreView,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_file);
        // The log helps to explain a failed test.
        if thread::panicking() {
            eprintln!("log of {}:\n{}", self.callers, self.log());
        }
        let _ = fs::remove_file(&self.log_file);
    }
}

impl Instance {
    /// Starts the program with a settings file and a log file of its own.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_with(name, store, "")
    }

    /// Like [`Self::start`], with further settings in lines of TOML.
    pub fn start_with(name: &str, store: SocketAddr, settings: &str) -> Self {
        let [callers, readiness, operators, heartbeats] =
            [(); 4].map(|()| ports::allocate_address());
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"west\"\nstore = \"{store}\"\ntoken = \"{TOKEN}\"\n\
             bootstrap = true\n{settings}\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             operators = \"{operators}\"\nheartbeats = \"{heartbeats}\"\n\
             [bounds]\ngrace = \"6s\"\nmax_hold = \"10000ms\"\nretry_slack = \"62\"\n"
        );
        let file = std::env::temp_dir().join(format!("cowslip-{name}-{}", heartbeats.port()));
        let (settings_file, log_file) = (file.with_extension("toml"), file.with_extension("log"));
        fs::write(&settings_file, text).expect("settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipcross"));
        command
            .arg("--settings")
            .arg(&settings_file)
            .stdout(File::create(&log_file).expect("a file for the log"));
        let child = ports::spawn_process(&mut command).expect("the program starts");
        Self {
            callers,
            peers: heartbeats,
            readiness,
            operators,
            settings_file,
            log_file,
            child,
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let mut command = Command::new("kill");
        let kill = ports::spawn_process(command.args(["-s", name, &id]));
        let status = kill.expect("kill starts").wait();
        assert!(status.is_ok_and(|it| it.success()), "signal {name}");
    }

    /// Waits for the process to exit and returns its exit code; `None` after 10 s or if a signal
    /// killed it.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        for _ in 0..1000 {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Returns the most memory that the process has used so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let kibibytes: Option<u64> = kibibytes.and_then(|text| text.parse().ok());
        1024 * kibibytes.expect("a peak in kB")
    }

    /// Returns whether the readiness probe succeeds.
    pub async fn is_ready(&self) -> bool {
        let response = fetch(self.readiness, "/-/ready").await;
        response.is_some_and(|it| it.status == StatusCode::OK)
    }

    /// Returns the text of the metrics page.
    pub async fn metrics(&self) -> String {
        let response = self.get_page("/metrics", None).await;
        String::from_utf8_lossy(&response.body).into_owned()
    }

    /// Requests an operators' page.
    pub async fn get_page(&self, path: &str, token: Option<&str>) -> InstanceResponse {
        let mut request = Request::builder().uri(path).header("host", "x");
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::default()).expect("a valid request");
        exchange(self.operators, request).await.expect("a page")
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Sends a request; `None` if the connection ended without a response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Option<InstanceResponse> {
        exchange(self.callers, request).await
    }
}

impl Deployment {
    /// Starts a deployment and waits until every instance is ready and sampled keys have owners.
    pub async fn start(
        instances: usize,
        boards: usize,
        slots: u32,
        processing_time: Duration,
    ) -> Self {
        let store = FakeStore::start().await;
        Self::start_on(store, instances, (boards, slots, processing_time)).await
    }

    /// Like [`Self::start`], on a store that is running; `targets` are the number of targets of the sharded
    /// service, their slots and their processing time.
    pub async fn start_on(
        store: FakeStore,
        instances: usize,
        targets: (usize, u32, Duration),
    ) -> Self {
        let mut deployment = Self::start_targets(store, targets).await;
        for index in 0..instances {
            let instance = Instance::start(&format!("i{index}"), deployment.store.address());
            deployment.instances.push(instance);
        }
        deployment.wait_until_ready().await;
        deployment
    }

    /// Starts a deployment of one instance with this memory, in MiB.
    pub async fn start_with_memory(memory: u32, processing_time: Duration) -> Self {
        let store = FakeStore::start().await;
        let mut deployment = Self::start_targets(store, (1, 2, processing_time)).await;
        let settings = format!("memory = {memory}\n");
        let instance = Instance::start_with("i0", deployment.store.address(), &settings);
        deployment.instances.push(instance);
        deployment.wait_until_ready().await;
        deployment
    }

    /// Like [`Self::start`], with links between each instance and each target that can be cut.
    pub async fn start_with_links(
        instances: usize,
        boards: usize,
        slots: u32,
        processing_time: Duration,
    ) -> Self {
        let store = FakeStore::start().await;
        let mut deployment = Self::start_targets(store, (boards, slots, processing_time)).await;
        for index in 0..instances {
            let links = deployment.open_links().await;
            let instance = Instance::start(&format!("i{index}"), links.view.address());
            deployment.instances.push(instance);
            deployment.links.push(links);
        }
        deployment.wait_until_ready().await;
        deployment
    }

    /// Sets the state of all links of an instance.
    pub fn set_links(&self, instance: usize, state: LinkState) {
        let links = self.links[instance].links.values();
        links.for_each(|link| link.set_state(state));
    }

    async fn open_links(&self) -> InstanceLinks {
        let boards = self.boards.iter().enumerate();
        let boards = boards.map(|(index, target)| (format!("b{index}"), target));
        let crews = self.crews.iter().enumerate();
        let crews = crews.map(|(index, target)| (format!("c{index}"), target));
        let links = boards
            .chain(crews)
            .map(|(id, target)| (id, Link::start(target.address())));
        let links: BTreeMap<String, Link> = links.collect();
        let addresses = links.iter().map(|(id, link)| (id.clone(), link.address));
        let view = StoreView::start(&self.store, addresses.collect()).await;
        InstanceLinks { links, view }
    }

    async fn start_targets(
        store: FakeStore,
        (boards, slots, processing_time): (usize, u32, Duration),
    ) -> Self {
        store.put("op", "config", build_config("r5", "boards").as_bytes());
        let mut deployment = Self {
            store,
            boards: Vec::new(),
            crews: Vec::new(),
            instances: Vec::new(),
            links: Vec::new(),
        };
        for index in 0..boards {
            let options =
                target_options(&format!("b{index}"), "boards", true, slots, processing_time);
            deployment.boards.push(FakeTarget::start(options).await);
        }
        for index in 0..2 {
            let options =
                target_options(&format!("c{index}"), "crews", false, slots, processing_time);
            deployment.crews.push(FakeTarget::start(options).await);
        }
        let all = deployment.boards.iter().chain(&deployment.crews);
        all.for_each(|target| target.publish_report(&deployment.store, "ready"));
        deployment
    }

    /// Gives all keys of the sharded service to a scripted target, and waits until the instances know that.
    pub async fn hand_over_boards(&self, target: &ScriptedTarget) {
        target.publish_report(&self.store, "scripted", "boards");
        for board in &self.boards {
            board.publish_report(&self.store, "draining");
        }
        let is_over = || {
            (0..=65_535)
                .step_by(997)
                .all(|key| self.owner_count(key) == 0)
        };
        wait_until(|| async { target.grant_count() > 0 && is_over() }).await;
        // The instances learn of new owners by heartbeats, or read them from the store.
        sleep(Duration::from_millis(1500)).await;
    }

    /// Waits until every instance is ready and every sampled key has exactly one owner.
    pub async fn wait_until_ready(&self) {
        for instance in &self.instances {
            wait_until(|| instance.is_ready()).await;
        }
        wait_until(|| async {
            (0..=65535u64)
                .step_by(997)
                .all(|key| self.owner_count(key) == 1)
        })
        .await;
        // Heartbeats with the membership arrive within a second.
        sleep(Duration::from_millis(1200)).await;
    }

    /// Returns the index of the instance that leads.
    pub async fn find_leader(&self) -> usize {
        for (index, instance) in self.instances.iter().enumerate() {
            let metrics = instance.metrics().await;
            if metrics.contains("\ncowslipcross_leads 1\n") {
                return index;
            }
        }
        panic!("no instance leads");
    }

    /// Returns how many targets have a grant for a key.
    pub fn owner_count(&self, key: u64) -> usize {
        self.boards
            .iter()
            .filter(|target| target.has_grant(key))
            .count()
    }

    /// Returns how often the targets ran the request with this id.
    pub fn count_executions(&self, id: &str) -> u32 {
        let all = self.boards.iter().chain(&self.crews);
        all.map(|target| target.execution_count(id)).sum()
    }
}

/// Polls until the condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<A: Future<Output = bool>>(condition: impl Fn() -> A) {
    let polling = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, polling)
        .await
        .expect("condition holds in time");
}

/// Returns an idempotent request to the sharded service.
pub fn lookup_request(id: &str, key: u64) -> Request<Full<Bytes>> {
    request("GET", "/lookup/x?a=1", id, &key.to_string(), Bytes::new())
}

/// Returns a non-idempotent request to the sharded service.
pub fn removal_request(id: &str, key: u64) -> Request<Full<Bytes>> {
    request(
        "POST",
        "/remove/x",
        id,
        &key.to_string(),
        Bytes::from_static(b"strip it"),
    )
}

/// Returns a non-idempotent request to the unsharded service.
pub fn booking_request(id: &str) -> Request<Full<Bytes>> {
    request("PUT", "/book/x", id, "7", Bytes::from_static(b"book it"))
}

/// Returns a request with a deadline of 4 s.
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

/// Returns the options of a target; number 0 of a service is in the data centre `east`, the others
/// in `west`.
fn target_options(
    id: &str,
    service: &str,
    sharded: bool,
    slots: u32,
    processing_time: Duration,
) -> TargetOptions {
    TargetOptions {
        id: id.into(),
        service: service.into(),
        data_centre: if id.ends_with('0') { "east" } else { "west" }.into(),
        sharded,
        slots,
        processing_time,
        ..TargetOptions::default()
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Option<InstanceResponse> {
    let request = Request::builder().uri(path).header("host", "x");
    exchange(address, request.body(Full::default()).ok()?).await
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<InstanceResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(driver);
    let response = timeout(WAIT_TIMEOUT, sender.send_request(request)).await;
    let (head, body) = response.expect("a response in time").ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some(InstanceResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
