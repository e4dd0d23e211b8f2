//! A deployment of separate processes: platform, targets and instances.

mod files;
mod process;

pub use process::{Process, program, until_signal};

use {
    crate::{
        client,
        measures::Withdrawal,
        target::{options::Faults, record::Record},
    },
    cowslip_settings::document::{self, Document},
    eyre::{Result, WrapErr, ensure, eyre},
    files::Files,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::runtime::{Builder, Runtime},
};

/// Secret of the operators' ports.
const TOKEN: &str = "standin-token";
/// Longest time until a deployment serves.
const READY: Duration = Duration::from_secs(30);
/// Pause between two looks whether it does.
const PAUSE: Duration = Duration::from_millis(100);
/// Keys that must be served before a deployment counts as ready.
const READY_KEYS: usize = 40;

/// What to start.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Document whose addresses are replaced.
    pub document: String,
    /// Instances, spread over the data centres in turn.
    pub instances: usize,
    /// Further arguments for the targets of every service.
    pub targets: Vec<String>,
    /// Threads of each process of targets.
    pub threads: usize,
}

/// An instance and its addresses.
pub struct Instance {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    /// Process; `None` after its end.
    pub process: Option<Process>,
}

/// A target and its addresses.
#[derive(Clone, Debug)]
pub struct TargetAt {
    /// Name.
    pub name: String,
    /// Address for requests.
    pub address: String,
    /// Address of its control port.
    pub control: String,
}

/// A running deployment; its processes end when it is dropped.
pub struct Cluster {
    /// Document in force, with the addresses of this machine.
    pub document: Document,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Targets of all services.
    pub targets: Vec<TargetAt>,
    /// Address of the platform.
    pub platform: String,
    runtime: Runtime,
    files: Files,
    /// Processes of the platform and of the targets.
    _others: Vec<Process>,
}

impl Cluster {
    /// Starts everything, publishes the document and waits until keys are served.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing or does not start, or nothing is served in time.
    pub fn start(layout: &Layout) -> Result<Self> {
        let files = Files::create()?;
        let mut platform = Process::start(&program("standin-platform")?, &[])?;
        let line = platform.lines(1)?.remove(0);
        let address = line.split(' ').next_back().unwrap_or_default().to_owned();
        let (text, targets, mut others) = start_targets(layout)?;
        others.push(platform);
        let document = document::parse(&text, "document.toml")?;
        files.write("document.toml", &text)?;
        let mut cluster = Self {
            instances: instances(layout.instances, &document, &files)?,
            document,
            targets,
            platform: address,
            runtime: Builder::new_current_thread().enable_all().build()?,
            files,
            _others: others,
        };
        cluster.register()?;
        cluster.write_settings()?;
        for place in 0..cluster.instances.len() {
            cluster.start_instance(place)?;
        }
        let file = cluster.files.path("document.toml").display().to_string();
        cluster.operate(&["publish", &file])?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Returns the addresses for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.callers)
            .collect()
    }

    /// Starts an instance, also again.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start_instance(&mut self, place: usize) -> Result<()> {
        let instance = &mut self.instances[place];
        let settings = instance.settings.display().to_string();
        let log = self.files.path(&format!("{}.log", instance.name));
        let process = Process::logged(&program("cowslipcross")?, &["--settings", &settings], &log)?;
        instance.process = Some(process);
        Ok(())
    }

    /// Runs the operators' command and returns what it printed.
    ///
    /// # Errors
    ///
    /// Fails if it ends with another status than 0.
    pub fn operate(&self, args: &[&str]) -> Result<String> {
        let output = self.command(args)?.output()?;
        let errors = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "cowslipctl {args:?}: {errors}");
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Returns the operators' command, ready to run.
    ///
    /// # Errors
    ///
    /// Fails if the program is missing.
    pub fn command(&self, args: &[&str]) -> Result<std::process::Command> {
        let mut command = std::process::Command::new(program("cowslipctl")?);
        command
            .arg("--settings")
            .arg(self.files.path("operator.toml"))
            .args(args);
        Ok(command)
    }

    /// Returns the record of every target.
    ///
    /// # Errors
    ///
    /// Fails if a target does not answer.
    pub fn records(&self) -> Result<Vec<Record>> {
        let each = self.targets.iter().map(|target| self.record(target));
        each.collect()
    }

    /// Returns the record of one target.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn record(&self, target: &TargetAt) -> Result<Record> {
        self.runtime
            .block_on(client::get(&target.control, "/-/record"))
    }

    /// Switches faults of a target.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn fault(&self, target: &TargetAt, faults: &Faults) -> Result<()> {
        self.post(&target.control, "/-/faults", &serde_json::to_value(faults)?)
    }

    /// Returns the status of an instance as JSON.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn status(&self, place: usize) -> Result<serde_json::Value> {
        let address = self.instances[place].operators.to_string();
        let bearer = format!("Bearer {TOKEN}");
        let headers = [("host", "standin"), ("authorization", bearer.as_str())];
        let request = client::request("GET", "/status", &headers, "");
        let answer = self.runtime.block_on(client::send(&address, request))?;
        ensure!(
            answer.status() == 200,
            "status of {address}: {}",
            answer.status()
        );
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Withdraws a data centre and returns the record of it, still open.
    ///
    /// # Errors
    ///
    /// Fails if the operators' command fails.
    pub fn withdraw(&self, data_centre: &str) -> Result<Withdrawal> {
        self.operate(&["withdraw", data_centre])?;
        Ok(Withdrawal {
            data_centre: data_centre.to_owned(),
            from: crate::clock::micros(),
            until: u64::MAX,
        })
    }

    /// Posts JSON and expects status 200.
    ///
    /// # Errors
    ///
    /// Fails if the answer is another.
    pub fn post(&self, address: &str, path: &str, body: &serde_json::Value) -> Result<()> {
        let answer = self.runtime.block_on(client::post(address, path, body))?;
        ensure!(
            answer.status() == 200,
            "{path} at {address}: {}",
            answer.status()
        );
        Ok(())
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// Fails if there is no such answer.
    pub fn get<T: serde::de::DeserializeOwned>(&self, address: &str, path: &str) -> Result<T> {
        self.runtime.block_on(client::get(address, path))
    }

    /// Returns whether a route answers 200 for a key through an instance.
    pub fn served(&self, place: usize, path: &str, method: &str) -> bool {
        let address = self.instances[place].callers.to_string();
        let request = client::request(method, path, &[("host", "standin")], "");
        let answer = self.runtime.block_on(client::send(&address, request));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the log of an instance.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.files.path(&format!("{name}.log"))).unwrap_or_default()
    }

    fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + READY;
        for place in 0..self.instances.len() {
            for path in self.ready_paths() {
                while !self.served(place, &path, "GET") {
                    ensure!(Instant::now() < end, "{path} is not served in time");
                    std::thread::sleep(PAUSE);
                }
            }
        }
        Ok(())
    }

    fn ready_paths(&self) -> Vec<String> {
        let mut paths = Vec::new();
        for service in &self.document.services {
            let Some(route) = service.routes.iter().find(|route| &*route.method == "GET") else {
                continue;
            };
            let path = format!("/{}/{}", service.name, route.name);
            match service.divided {
                true => paths.extend((0..READY_KEYS).map(|key| format!("{path}/ready{key}"))),
                false => paths.push(path),
            }
        }
        paths
    }

    fn register(&self) -> Result<()> {
        for instance in &self.instances {
            let entry = serde_json::json!({"address": instance.peers.to_string(),
                "data_centre": instance.data_centre, "kind": "instance"});
            let path = format!("/-/instances/{}", instance.name);
            let request = client::request("PUT", &path, &[("host", "standin")], entry.to_string());
            self.runtime
                .block_on(client::send(&self.platform, request))?;
        }
        Ok(())
    }

    fn write_settings(&self) -> Result<()> {
        for instance in &self.instances {
            let text = files::instance(instance, &self.instances, &self.platform);
            self.files
                .write(&format!("{}.toml", instance.name), &text)?;
        }
        let text = files::operator(&self.instances, &self.platform);
        self.files.write("operator.toml", &text)
    }
}

fn start_targets(layout: &Layout) -> Result<(String, Vec<TargetAt>, Vec<Process>)> {
    let mut text = layout.document.clone();
    let document = document::parse(&text, "document.toml")?;
    let (mut targets, mut processes) = (Vec::new(), Vec::new());
    let services = document.services.iter();
    for (service, alike) in services.flat_map(|s| files::alike(s).map(move |alike| (s, alike))) {
        let args = files::target_args(service, &alike, layout);
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let mut process = Process::start(&program("standin-target")?, &args)?;
        for line in process.lines(alike.len())? {
            let [_, name, address, control] = line.split(' ').collect::<Vec<_>>()[..] else {
                return Err(eyre!("unexpected line {line:?}"));
            };
            let target = service.targets.iter().find(|target| &*target.name == name);
            let old = &target.ok_or_else(|| eyre!("no target {name:?}"))?.address;
            text = text.replace(&format!("\"{old}\""), &format!("\"{address}\""));
            let [name, address, control] = [name, address, control].map(str::to_owned);
            targets.push(TargetAt {
                name,
                address,
                control,
            });
        }
        processes.push(process);
    }
    Ok((text, targets, processes))
}

fn instances(count: usize, document: &Document, files: &Files) -> Result<Vec<Instance>> {
    let centres: Vec<_> = document.data_centres().into_iter().collect();
    let bind = || TcpListener::bind("127.0.0.1:0").wrap_err("find a free port");
    let ports = (0..3 * count).map(|_| bind()).collect::<Result<Vec<_>>>()?;
    let address = |place: usize| ports[place].local_addr();
    (0..count)
        .map(|place| {
            let name = format!("entry-{}", place + 1);
            Ok(Instance {
                data_centre: centres[place % centres.len()].to_string(),
                callers: address(3 * place)?,
                operators: address(3 * place + 1)?,
                peers: address(3 * place + 2)?,
                settings: files.path(&format!("{name}.toml")),
                name,
                process: None,
            })
        })
        .collect()
}
