//! Instances as processes, callers, and the record of a case.

pub mod proxy;

use {
    cowslip_adapter_standins::ports,
    std::{
        collections::BTreeMap,
        fs::{self, File},
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the case brings about its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Returns the program that `deploy/system.toml` names.
pub fn program() -> PathBuf {
    PathBuf::from(std::env::var("PROGRAM").unwrap_or("target/release/cowslipcross".into()))
}

/// Writes lines with the time since the start to a file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or("record.txt".into());
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// What becomes of the output of an instance.
pub enum Output {
    /// It goes to a file.
    ToFile,
    /// It goes to two pipes, which the case reads or not.
    Piped,
}

/// A running instance; dropping it kills the process.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub child: Child,
    directory: PathBuf,
    store: SocketAddr,
    zone: String,
    extra: String,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Instance {
    /// Starts the program of the deploy file with settings like those of `deploy/instance.toml`.
    pub fn start(
        directory: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
        output: Output,
    ) -> io::Result<Self> {
        let [callers, readiness, operators, peers] = [(); 4].map(|()| ports::allocate_address());
        let extra = format!(
            "[listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\noperators = \"{operators}\"\n\
             heartbeats = \"{peers}\"\n"
        );
        let child = spawn(directory, name, zone, store, &extra, bootstrap, output)?;
        Ok(Self {
            name: name.into(),
            callers,
            readiness,
            peers,
            child,
            directory: directory.into(),
            store,
            zone: zone.into(),
            extra,
        })
    }

    /// Starts the process again, which must have ended, as a later start of the system.
    pub fn restart(&mut self, output: Output) -> io::Result<()> {
        self.child = spawn(&self.directory, &self.name, &self.zone, self.store, &self.extra, false, output)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        let call = Call::get("/-/ready", "ready");
        matches!(call.send(self.readiness, Duration::from_millis(500)), Outcome::Answer { status: 200, .. })
    }
}

fn spawn(
    directory: &Path,
    name: &str,
    zone: &str,
    store: SocketAddr,
    extra: &str,
    bootstrap: bool,
    output: Output,
) -> io::Result<Child> {
    let text = format!(
        "name = \"{name}\"\ndata_centre = \"{zone}\"\nstore = \"{store}\"\ncpu = \"0.2\"\nmemory = \"260\"\n\
         bootstrap = \"{bootstrap}\"\n{extra}\
         [bounds]\ngrace = \"6s\"\nwithdrawal = \"5000ms\"\nmax_hold = \"10000ms\"\nretry_ratio = \"0.2\"\n\
         retry_slack = \"62\"\nretry_window = \"10s\"\n"
    );
    let settings = directory.join(format!("{name}.toml"));
    fs::write(&settings, text)?;
    let mut command = Command::new(program());
    command.env("COWSLIPCROSS_NODE_FILE", &settings).stdin(Stdio::null());
    match output {
        Output::ToFile => {
            let log = File::options().create(true).append(true).open(directory.join(format!("{name}.log")))?;
            command.stderr(log.try_clone()?).stdout(log);
        }
        Output::Piped => {
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
        }
    }
    let child = ports::spawn_process(&mut command)?;
    // Lets the script end the process if this one is ended first.
    if let Ok(path) = std::env::var("PIDS") {
        let mut file = File::options().create(true).append(true).open(path)?;
        writeln!(file, "{}", child.id())?;
    }
    Ok(child)
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<u16>,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answer { status: u16, headers: BTreeMap<String, String>, body: Vec<u8> },
    /// No connection was established.
    NoConnection,
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the time.
    Silence,
}

impl Outcome {
    /// Returns the status, or a word for the other ends.
    pub fn label(&self) -> String {
        match self {
            Self::Answer { status, .. } => status.to_string(),
            Self::NoConnection => "no connection".into(),
            Self::Closed => "closed".into(),
            Self::Silence => "no answer".into(),
        }
    }
}

impl Call {
    /// Creates a GET request.
    pub fn get(path: &str, id: &str) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            id: id.into(),
            key: None,
            deadline: Duration::from_secs(2),
            body: Vec::new(),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let key = self.key.map_or(String::new(), |it| format!("X-Shard-Key: {it}\r\n"));
        let length = match self.body.is_empty() && self.method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", self.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{length}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis()
        );
        [head.into_bytes(), self.body.clone()].concat()
    }

    /// Sends the request on a new connection and waits for the answer for that long.
    pub fn send(&self, to: SocketAddr, wait: Duration) -> Outcome {
        let deadline = Instant::now() + wait;
        let Ok(mut stream) = TcpStream::connect_timeout(&to, wait.min(Duration::from_secs(1))) else {
            return Outcome::NoConnection;
        };
        let _ = stream.set_nodelay(true);
        self.send_on(&mut stream, deadline)
    }

    /// Sends the request on an open connection.
    pub fn send_on(&self, stream: &mut TcpStream, deadline: Instant) -> Outcome {
        if stream.write_all(&self.bytes()).is_err() {
            return Outcome::Closed;
        }
        read_answer(stream, deadline)
    }
}

fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Outcome {
    let (mut received, mut buffer) = (Vec::new(), [0; 16 << 10]);
    loop {
        if let Some(answer) = parse_answer(&received) {
            return answer;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Silence;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return Outcome::Closed,
            Ok(length) => received.extend(&buffer[..length]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Outcome::Silence;
            }
            Err(_) => return Outcome::Closed,
        }
    }
}

/// Parses an answer with a length; `None` while it is not whole.
fn parse_answer(received: &[u8]) -> Option<Outcome> {
    let end = received.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let body = &received[end + 4..];
    (body.len() >= length).then(|| Outcome::Answer { status, headers, body: body[..length].to_vec() })
}

/// Returns a temporary directory of this process, which is empty.
pub fn work_directory() -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("cowslip-review-3-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path)?;
    Ok(path)
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
