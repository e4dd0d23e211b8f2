//! A child process that ends with its owner.

use {
    eyre::{Result, WrapErr, ensure, eyre},
    std::{
        collections::BTreeSet,
        env, fs,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::Builder,
        signal::unix::{self, SignalKind},
        time::sleep,
    },
};

static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Pause between two looks whether a process has ended.
const PAUSE: Duration = Duration::from_millis(10);

/// A child process; it is killed when this is dropped.
pub struct Process {
    child: Child,
}

/// Returns the path of a program of the workspace, beside the running one.
///
/// # Errors
///
/// Fails if it was not built.
pub fn program(name: &str) -> Result<PathBuf> {
    let running = env::current_exe()?;
    let mut directory = running.parent().ok_or_else(|| eyre!("no directory"))?;
    if directory.ends_with("deps") {
        directory = directory.parent().ok_or_else(|| eyre!("no directory"))?;
    }
    let path = directory.join(name);
    ensure!(
        path.exists(),
        "no program {name:?}: build the whole workspace first"
    );
    Ok(path)
}

/// Runs a scenario until it ends; a signal to stop kills every child first.
///
/// # Errors
///
/// Passes on the error of the scenario; fails if a signal stopped it.
pub fn until_signal<T: Send + 'static>(
    scenario: impl FnOnce() -> Result<T> + Send + 'static,
) -> Result<T> {
    let scenario = thread::spawn(scenario);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let signalled = runtime.block_on(async {
        let mut terminate = unix::signal(SignalKind::terminate())?;
        let mut interrupt = unix::signal(SignalKind::interrupt())?;
        while !scenario.is_finished() {
            tokio::select! {
                _ = terminate.recv() => return Ok(true),
                _ = interrupt.recv() => return Ok(true),
                () = sleep(PAUSE) => {}
            }
        }
        std::io::Result::Ok(false)
    })?;
    if signalled {
        for id in lock().iter() {
            // It may have ended by itself.
            let _ = signal("KILL", *id);
        }
        return Err(eyre!("stopped by a signal"));
    }
    scenario
        .join()
        .map_err(|_| eyre!("the scenario panicked"))?
}

impl Process {
    /// Starts a program whose output can be read.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start(program: &Path, args: &[&str]) -> Result<Self> {
        let mut command = Command::new(program);
        command.args(args).stdout(Stdio::piped());
        Self::spawn(command)
    }

    /// Starts a program that writes to a file.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn logged(program: &Path, args: &[&str], log: &Path) -> Result<Self> {
        let file = fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).stdout(file.try_clone()?).stderr(file);
        Self::spawn(command)
    }

    fn spawn(mut command: Command) -> Result<Self> {
        command.stdin(Stdio::null());
        let program = command.get_program().to_owned();
        let child = command
            .spawn()
            .wrap_err_with(|| format!("start {program:?}"))?;
        lock().insert(child.id());
        Ok(Self { child })
    }

    /// Reads the first lines of the output.
    ///
    /// # Errors
    ///
    /// Fails if the process ends before.
    pub fn lines(&mut self, count: usize) -> Result<Vec<String>> {
        let output = self
            .child
            .stdout
            .take()
            .ok_or_else(|| eyre!("output was read"))?;
        let lines = BufReader::new(output).lines().take(count);
        let lines = lines.collect::<std::io::Result<Vec<_>>>()?;
        ensure!(lines.len() == count, "process ended at its start");
        Ok(lines)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist.
    pub fn signal(&self, name: &str) -> Result<()> {
        signal(name, self.id())
    }

    /// Waits for the end.
    ///
    /// # Errors
    ///
    /// Fails if the process goes on for longer than `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(Instant::now() < end, "process {} goes on", self.id());
            thread::sleep(PAUSE);
        }
    }

    /// Returns the processor time used so far, in seconds, and the resident memory in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist.
    pub fn usage(&self) -> Result<(f64, u64)> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let after = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = after.split_whitespace().collect();
        let number = |place: usize| -> Result<u64> {
            Ok(fields
                .get(place)
                .ok_or_else(|| eyre!("short stat"))?
                .parse()?)
        };
        let ticks = number(11)? + number(12)?;
        Ok((ticks as f64 / TICKS, number(21)? * PAGE))
    }
}

/// Clock ticks of a second in `/proc`.
const TICKS: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

fn signal(name: &str, id: u32) -> Result<()> {
    let status = Command::new("kill")
        .args([format!("-{name}"), id.to_string()])
        .status()?;
    ensure!(status.success(), "signal {name} to {id}");
    Ok(())
}

fn lock() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock().remove(&self.child.id());
    }
}
