//! Instances as processes; signals go to their own process IDs only.

use {
    crate::{Result, proxy::Proxy},
    cowslip_adapter_standins::ports,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Time after the start of a process within which it installs its signal handlers, even on a busy
/// machine.
const SIGNAL_HANDLER_DELAY: Duration = Duration::from_millis(300);

/// An instance and the proxy between it and the store; dropping it kills the process.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the readiness check.
    pub readiness_address: SocketAddr,
    /// Proxy through which the instance reaches the store.
    pub store_proxy: Proxy,
    /// Programs that the instance runs in turn, one after each restart.
    programs: Vec<PathBuf>,
    /// Starts of the process; the first one is that of the whole system.
    start_count: usize,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    started_at: Instant,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }
}

impl Instance {
    /// Starts an instance; its settings and its log are written to `work_directory`. After each restart it
    /// runs the next of `programs`.
    ///
    /// # Errors
    /// Fails if the files cannot be written or the program does not start.
    pub async fn start(
        programs: Vec<PathBuf>,
        work_directory: &Path,
        name: &str,
        data_centre: &str,
        store_address: SocketAddr,
    ) -> Result<Self> {
        let store_proxy = Proxy::start(Some(store_address)).await?;
        let [
            caller_address,
            readiness_address,
            operator_address,
            heartbeat_address,
        ] = [(); 4].map(|()| ports::allocate_address());
        let settings = format!(
            "name = \"{name}\"\ndata_centre = \"{data_centre}\"\nstore = \"{}\"\n\
             [listen]\ncallers = \"{caller_address}\"\nreadiness = \"{readiness_address}\"\n\
             operators = \"{operator_address}\"\nheartbeats = \"{heartbeat_address}\"\n\
             [bounds]\nretry_slack = \"62\"\n",
            store_proxy.address
        );
        let settings_path = work_directory.join(format!("{name}.toml"));
        fs::write(&settings_path, settings)?;
        let mut instance = Self {
            name: name.into(),
            caller_address,
            readiness_address,
            store_proxy,
            programs,
            start_count: 0,
            settings_path,
            log_path: work_directory.join(format!("{name}.log")),
            child: None,
            started_at: Instant::now(),
        };
        instance.spawn()?;
        Ok(instance)
    }

    /// Starts the process, if it is not running.
    ///
    /// # Errors
    /// Fails if the program does not start.
    pub fn spawn(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let program = &self.programs[self.start_count % self.programs.len()];
        let mut command = Command::new(program);
        command
            .arg("--settings")
            .arg(&self.settings_path)
            .arg("--set")
            .arg(format!("bootstrap={}", self.start_count == 0))
            .stderr(log.try_clone()?)
            .stdout(log);
        self.child = Some(ports::spawn_process(&mut command)?);
        self.start_count += 1;
        self.started_at = Instant::now();
        Ok(())
    }

    /// Waits until the process has its signal handlers; before that, most signals would end it.
    pub async fn wait_for_signal_handlers(&self) {
        sleep_until(self.started_at + SIGNAL_HANDLER_DELAY).await;
    }

    /// Sends a signal to the process, if it is running; otherwise its ID may be another process's.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // The process may have ended after the check.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the end of the process; returns its exit code, or `None` if there is none.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.take()?.wait().ok()?.code()
    }
}
