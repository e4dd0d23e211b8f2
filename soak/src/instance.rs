//! Instances as processes, ended only by their own ids.

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

/// Time from the start of a process after which it awaits signals, on a busy machine too.
const AWAKE: Duration = Duration::from_millis(300);

/// An instance with its way to the store; its process is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the readiness question.
    pub readiness_address: SocketAddr,
    /// ProxyMode to the store.
    pub store_proxy: Proxy,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    since: Instant,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }
}

impl Instance {
    /// Starts the program of an instance; its settings and its log go to a directory.
    ///
    /// # Errors
    /// Fails if the files cannot be written or the program does not start.
    pub async fn start(
        program: &Path,
        files: &Path,
        name: &str,
        data_centre: &str,
        store: SocketAddr,
    ) -> Result<Self> {
        let store = Proxy::start(Some(store)).await?;
        let [callers, readiness, operators, beats] = [(); 4].map(|()| ports::allocate_address());
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{data_centre}\"\nstore = \"{}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             operators = \"{operators}\"\nheartbeats = \"{beats}\"\n\
             [bounds]\nretry_slack = \"62\"\n",
            store.address
        );
        let settings = files.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut instance = Self {
            name: name.into(),
            caller_address: callers,
            readiness_address: readiness,
            store_proxy: store,
            program: program.into(),
            settings,
            log: files.join(format!("{name}.log")),
            child: None,
            since: Instant::now(),
        };
        instance.spawn()?;
        Ok(instance)
    }

    /// Starts the process, if it does not run.
    ///
    /// # Errors
    /// Fails if the program does not start.
    pub fn spawn(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stderr(log.try_clone()?)
            .stdout(log);
        self.child = Some(ports::spawn_process(&mut command)?);
        self.since = Instant::now();
        Ok(())
    }

    /// Waits until the process awaits signals; before that, most of them end any process.
    pub async fn wait_for_signal_handlers(&self) {
        sleep_until(self.since + AWAKE).await;
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // It may end at this moment.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the end of the process; returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.take()?.wait().ok()?.code()
    }
}
