//! Files of a deployment, in a directory that goes with it.

use {
    super::{Instance, Layout, TOKEN},
    cowslip_settings::document::{Service, Target},
    eyre::{Result, WrapErr},
    std::{
        collections::BTreeMap,
        env, fs,
        path::{Path, PathBuf},
        process,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// Variable that keeps the directory when it is set.
const KEEP: &str = "COWSLIP_KEEP_FILES";

static COUNT: AtomicU64 = AtomicU64::new(0);

/// A directory that is removed when this is dropped.
pub(super) struct Files(PathBuf);

impl Files {
    pub(super) fn create() -> Result<Self> {
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cowslip-standins-{}-{number}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).wrap_err_with(|| format!("create {}", path.display()))?;
        Ok(Self(path))
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub(super) fn write(&self, name: &str, text: &str) -> Result<()> {
        write(&self.path(name), text)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        if env::var_os(KEEP).is_none() {
            // What cannot be removed is left to the system's own cleaning.
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn write(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).wrap_err_with(|| format!("write {}", path.display()))
}

/// Returns the settings of an instance.
pub(super) fn instance(instance: &Instance, all: &[Instance], platform: &str) -> String {
    let mut text = format!(
        "name = \"{}\"\ndata_centre = \"{}\"\ndeployment = \"standins\"\ntoken = \"{TOKEN}\"\n\
         [listen]\ncallers = \"{}\"\npeers = \"{}\"\noperators = \"{}\"\n\
         [platform]\ntable = \"http://{platform}\"\nobjects = \"http://{platform}\"\n\
         instances = \"http://{platform}\"\n[peers]\n",
        instance.name, instance.data_centre, instance.callers, instance.peers, instance.operators,
    );
    for peer in all {
        text += &format!("{} = \"{}\"\n", peer.name, peer.peers);
    }
    text
}

/// Returns the settings of the operators' command.
pub(super) fn operator(all: &[Instance], platform: &str) -> String {
    let mut text = format!(
        "author = \"standins\"\ntoken = \"{TOKEN}\"\n\
         [platform]\ntable = \"http://{platform}\"\nobjects = \"http://{platform}\"\n[instances]\n"
    );
    for instance in all {
        text += &format!("{} = \"{}\"\n", instance.name, instance.operators);
    }
    text
}

/// Returns the targets of a service in groups that differ in name and data centre only.
pub(super) fn alike(service: &Service) -> impl Iterator<Item = Vec<&Target>> {
    let mut groups: BTreeMap<_, Vec<&Target>> = BTreeMap::new();
    for target in &service.targets {
        let limits = (target.slots, target.cold_limit, target.connections);
        groups
            .entry((limits, target.checks_fence))
            .or_default()
            .push(target);
    }
    groups.into_values()
}

/// Returns the arguments for targets of a service that are alike.
pub(super) fn target_args(service: &Service, targets: &[&Target], layout: &Layout) -> Vec<String> {
    let joined = |words: Vec<&str>| words.join(",");
    let first = targets[0];
    let mut args: Vec<String> = vec![
        "--names".to_owned(),
        joined(targets.iter().map(|target| &*target.name).collect()),
        "--data-centre".to_owned(),
        joined(targets.iter().map(|target| &*target.data_centre).collect()),
        format!("--service={}", service.name),
        format!("--threads={}", layout.threads),
        format!("--slots={}", first.slots),
        format!("--cold-limit={}", first.cold_limit),
        format!("--connections={}", first.connections),
    ];
    if !first.checks_fence {
        args.push("--unfenced".to_owned());
    }
    args.extend(layout.targets.iter().cloned());
    args
}
