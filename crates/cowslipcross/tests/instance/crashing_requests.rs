//! Tests of requests that crash the targets that run them.

use {
    crate::deployment::{Deployment, Instance, booking_request, request, wait_until},
    bytes::Bytes,
    cowslip_adapter_standins::{
        config::build_config,
        target::{FakeTarget, TargetMode, TargetOptions},
    },
    http::StatusCode,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
const CRASHING_PATH: &str = "/lookup/crash";
/// Time from the third crash until all instances have to know of it.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may reach targets later.
const MAX_LATE_CRASHES: usize = 3;
/// Targets of the unsharded service.
const TARGETS: usize = 8;
/// Time between two sends of the request that crashes targets.
const PAUSE: Duration = Duration::from_millis(100);

/// Targets of the unsharded service, which come back under new ids after they have ended.
struct CrashingTargets {
    running: Vec<FakeTarget>,
    crashed_at: Vec<Instant>,
    next_id: usize,
}

impl CrashingTargets {
    async fn start(deployment: &Deployment) -> Self {
        let mut targets = Self {
            running: Vec::new(),
            crashed_at: Vec::new(),
            next_id: 0,
        };
        for _ in 0..TARGETS {
            targets.add(deployment).await;
        }
        targets
    }

    async fn add(&mut self, deployment: &Deployment) {
        let options = TargetOptions {
            id: format!("crashing{}", self.next_id),
            service: "crews".into(),
            sharded: false,
            processing_time: PROCESSING_TIME,
            ..TargetOptions::default()
        };
        self.next_id += 1;
        let target = FakeTarget::start(options).await;
        target.set_mode(TargetMode::CrashOn(CRASHING_PATH));
        target.publish_report(&deployment.store, "ready");
        self.running.push(target);
    }

    /// Replaces the targets that have ended.
    async fn replace_crashed(&mut self, deployment: &Deployment) {
        let (crashed, running): (Vec<FakeTarget>, Vec<FakeTarget>) =
            self.running.drain(..).partition(FakeTarget::has_crashed);
        self.running = running;
        for target in crashed {
            self.crashed_at.push(Instant::now());
            target.remove_report(&deployment.store);
            self.add(deployment).await;
        }
    }

    /// Sends the request that crashes targets to all instances in turn for this time.
    async fn press(&mut self, deployment: &Deployment, time: Duration) {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < time {
            let instance = &deployment.instances[number % deployment.instances.len()];
            let id = format!("crash-{}-{number}", time.as_millis());
            let crashing = request("GET", CRASHING_PATH, &id, "7", Bytes::new());
            let response = instance.send(crashing).await.expect("a response");
            assert_ne!(response.status, StatusCode::OK);
            number += 1;
            sleep(PAUSE).await;
            self.replace_crashed(deployment).await;
        }
    }

    /// Returns the number of targets that have ended later than [`CONTACT`] after the third one.
    fn late_crashes(&self) -> usize {
        let Some(third) = self.crashed_at.get(2) else {
            return 0;
        };
        let late = self.crashed_at.iter();
        late.filter(|at| **at > *third + CONTACT).count()
    }
}

async fn start() -> (Deployment, CrashingTargets) {
    let deployment = Deployment::start(3, 1, 2, PROCESSING_TIME).await;
    for target in &deployment.crews {
        target.remove_report(&deployment.store);
    }
    let targets = CrashingTargets::start(&deployment).await;
    deployment
        .store
        .put("op", "config", build_config("r7", "crews").as_bytes());
    // Long enough for all instances to read both.
    sleep(Duration::from_millis(1000)).await;
    (deployment, targets)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_not_sent_to_further_ones_by_any_instance() {
    let (deployment, mut targets) = start().await;
    targets.press(&deployment, 3 * CONTACT).await;
    let crashes = (targets.late_crashes(), targets.crashed_at.len());
    assert!(crashes.0 <= MAX_LATE_CRASHES, "{crashes:?} late, in all");
    assert!(crashes.1 >= 2, "{crashes:?} late, in all");
    // Others are served.
    for instance in &deployment.instances {
        let other = request("GET", "/lookup/other", "other", "7", Bytes::new());
        let response = instance.send(other).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
        let booked = instance.send(booking_request("booked")).await;
        assert_eq!(booked.expect("a response").status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_still_known_after_the_loss_of_the_leader() {
    let (mut deployment, mut targets) = start().await;
    targets.press(&deployment, CONTACT).await;
    let leader = deployment.find_leader().await;
    drop(deployment.instances.remove(leader));
    let restarted = Instance::start("later", deployment.store.address());
    deployment.instances.push(restarted);
    wait_until(|| deployment.instances[2].is_ready()).await;
    // An instance that has restarted is told by the next leader.
    sleep(CONTACT).await;
    targets.press(&deployment, CONTACT).await;
    let crashes = (targets.late_crashes(), targets.crashed_at.len());
    assert!(crashes.0 <= MAX_LATE_CRASHES, "{crashes:?} late, in all");
}
