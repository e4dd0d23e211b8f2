//! Instances: the program of the deploy file as processes, with settings like those of a small deployment.

use {
    crate::record::Record,
    std::{
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command},
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// `MemoryMb` of a machine of the small deployments, as `DEPLOY.md` has it.
pub const MEMORY_MB: u64 = 260;

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// First of the ports that are tried, and their number; they lie below the system's ephemeral ports, which outgoing
/// connections may take meanwhile.
const PORTS: (u32, u32) = (14_000, 16_000);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address at which nothing listens.
fn free_address() -> SocketAddr {
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(131) + next) % PORTS.1;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (PORTS.0 + offset) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Writes settings as the platform's template `deploy/instance.toml` yields them, and starts the program.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let [callers, readiness, operators, heartbeats] = [(); 4].map(|()| free_address());
        let instance = Self {
            name: name.to_owned(),
            callers,
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
        };
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{zone}\"\nstore = \"{store}\"\ncpu = \"0.2\"\n\
             bootstrap = \"true\"\n\n[listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             operators = \"{operators}\"\nheartbeats = \"{heartbeats}\"\n\n[bounds]\ngrace = \"6s\"\n\
             withdrawal = \"5000ms\"\nmax_hold = \"10000ms\"\nretry_ratio = \"0.2\"\n\
             retry_slack = \"62\"\nretry_window = \"10s\"\n"
        );
        fs::write(&instance.settings, text).expect("settings can be written");
        instance.spawn();
        instance
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let mut command = Command::new("target/release/cowslipcross");
        command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("COWSLIPCROSS_NODE_FILE", &self.settings)
            .stderr(log.try_clone().expect("a log"))
            .stdout(log);
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("target/release/cowslipcross: {error}");
            std::process::exit(2)
        });
        *self.child.lock().expect("child") = Some(child);
    }

    /// Starts the process again; only at the first start of the whole system `bootstrap` is true.
    pub fn restart(&self) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("bootstrap = \"true\"", "bootstrap = \"false\"");
        fs::write(&self.settings, text).expect("settings can be written");
        self.spawn();
    }

    pub fn id(&self) -> Option<u32> {
        self.child.lock().expect("child").as_ref().map(Child::id)
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("child").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of the process in MiB.
    pub fn memory_mb(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kib = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.unwrap_or_default() >> 10
    }

    /// Ends a process that holds more than its machine's memory, as the platform does, and starts it again
    /// after a short delay; returns whether it did.
    pub fn enforce_memory(&self, record: &Record) -> bool {
        let memory = self.memory_mb();
        if memory <= MEMORY_MB {
            return false;
        }
        self.kill();
        record.line(&format!(
            "ended {} holds {memory} MB of {MEMORY_MB} MB",
            self.name
        ));
        std::thread::sleep(Duration::from_millis(500));
        self.restart();
        record.line(&format!("started {}", self.name));
        true
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
