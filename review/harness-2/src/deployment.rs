//! Instances as processes, with settings as the template of the deploy file gives them.

use {
    crate::{http, record::Record, store::Store},
    std::{
        fs::{self, File},
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicU16, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// An instance; its process is killed on drop.
pub struct Instance {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a process with the command of the deploy file, in the directory of the repository.
fn start_process(repository: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/cowslipcross")
        .current_dir(repository)
        .env_clear()
        .env("COWSLIPCROSS_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
}

/// Returns an address on which nothing listens, below the ports that outgoing connections get.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (process::id() % 100) as u16 * 100;
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Starts an instance for the first time.
    pub fn start(
        repository: &Path,
        directory: &Path,
        number: usize,
        (zone, cpu): (&str, &str),
        store: SocketAddr,
    ) -> io::Result<Self> {
        let (callers, readiness) = (free_address(), free_address());
        let (operators, heartbeats) = (free_address(), free_address());
        let settings = format!(
            "name = \"front-{zone}-{number}\"\ndata_centre = \"{zone}\"\nstore = \"{store}\"\ncpu = \"{cpu}\"\n\
             memory = \"260\"\nbootstrap = \"true\"\n\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\noperators = \"{operators}\"\nheartbeats = \"{heartbeats}\"\n\n\
             [bounds]\ngrace = \"6s\"\nwithdrawal = \"5000ms\"\nmax_hold = \"10000ms\"\nretry_ratio = \"0.2\"\n\
             retry_slack = \"62\"\nretry_window = \"10s\"\n"
        );
        let path: PathBuf = directory.join(format!("node-{number}.conf"));
        fs::write(&path, settings)?;
        let log = directory.join(format!("log-{number}.txt"));
        let child = start_process(repository, &path, &log)?;
        Ok(Self {
            callers,
            readiness,
            settings: path,
            log,
            child,
        })
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again; from the second start on, `Bootstrap` is false.
    pub fn restart(&mut self, repository: &Path) -> Result<(), String> {
        let settings = fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        let settings = settings.replace("bootstrap = \"true\"", "bootstrap = \"false\"");
        fs::write(&self.settings, settings).map_err(|error| error.to_string())?;
        let started = start_process(repository, &self.settings, &self.log);
        self.child = started.map_err(|error| format!("an instance: {error}"))?;
        Ok(())
    }

    /// Waits until the instance says that it is ready; returns whether it did in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let head = "GET /-/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n";
        while Instant::now() < end {
            let limit = Duration::from_millis(500);
            let answer = http::request(self.readiness, head, b"", limit);
            if answer.is_some_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Writes the configuration: a service that is divided by key, with an idempotent and another route, and three that are
/// not, with a route each that is not idempotent.
pub fn write_config(store: &Store, record: &Record) {
    let columns = r#"["Name","Host","Prefix","RouteKind","Timeout","TargetLatency","Priority","TrafficSplit","MaxAttempts","Service"]"#;
    let config = format!(
        r#"{{"Version":"r7","Routes":{{"Columns":{columns},"Rows":[["look","ficu95.example","/lohu930/","safe","2000ms","600ms",2,null,2,"huvo11a"],["order","ficu95.example","/pufi791/","unsafe","2500ms","800ms",1,null,2,"huvo11a"],["book-1","ficu95.example","/raku1/","unsafe","1500ms","500ms",0,null,2,"wuno96b"],["book-2","ficu95.example","/raku2/","unsafe","1500ms","500ms",0,null,2,"dele69a"],["book-3","ficu95.example","/raku3/","unsafe","1500ms","500ms",0,null,2,"xano55c"]]}},"Services":{{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls","ColdStart","ColdPerS","Sharded","Warm","Grants"],"Rows":[["huvo11a","/health",130,"h1",false,"3s",3.1,true,"3s","call"],["wuno96b","/health",130,"h1",false,"3s",3.1,null,null,null],["dele69a","/health",130,"h1",false,"3s",3.1,null,null,null],["xano55c","/health",130,"h1",false,"3s",3.1,null,null,null]]}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}}}"#
    );
    store.put("op", "config", Some(&config));
    record.line("the operator writes op/config, version r7");
}

/// Sends idempotent and other requests by turns until the program ends, each on a new connection.
pub fn start_callers(instances: &[SocketAddr], callers: usize, record: &Arc<Record>) {
    for caller in 0..callers {
        let (instances, record) = (instances.to_vec(), record.clone());
        thread::spawn(move || {
            let mut key = 7919 * caller;
            for number in 0.. {
                key = (key + 10_007) % 65_536;
                let address = instances[(caller + number) % instances.len()];
                let (method, path) = match number % 5 {
                    0 => ("GET", "/lohu930/2f"),
                    1 => ("POST", "/pufi791/2f"),
                    2 => ("PUT", "/raku1/2f"),
                    3 => ("PUT", "/raku2/2f"),
                    _ => ("PUT", "/raku3/2f"),
                };
                let id = format!("c{caller}-{number}");
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: 4000\r\nX-Shard-Key: {key}\r\nConnection: close\r\n"
                );
                record.send(&id, &format!("{method} {path} key {key}"));
                let answer = http::request(address, &head, b"", Duration::from_secs(5));
                let status = answer.map_or(0, |it| it.status());
                record.answer(&id, status);
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
}
