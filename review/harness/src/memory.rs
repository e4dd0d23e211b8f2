//! Watches the memory of instances and counts what their ends cost callers.

use {
    crate::{
        deployment::{Deployment, History, Outcome},
        record::Record,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Cut requests at one instance that the rule LOST allows.
const ALLOWED_LOST: usize = 3;

/// What the platform saw of each instance.
#[derive(Debug)]
pub struct Watched {
    peak_mb: Vec<u64>,
    ends: Vec<u32>,
}

/// Plays the platform until `end`: a process that holds more than its machine's memory is ended and started again.
pub fn enforce_until(deployment: &Deployment, end: Instant, stop: &AtomicBool) -> Watched {
    let record = &deployment.record;
    let watch = |instance: &crate::instance::Instance| {
        let (mut peak, mut ends) = (0, 0);
        while Instant::now() < end && !stop.load(Ordering::Relaxed) {
            peak = instance.memory_mb().max(peak);
            ends += u32::from(instance.enforce_memory(record));
            thread::sleep(Duration::from_millis(5));
        }
        (peak, ends)
    };
    let watched: Vec<(u64, u32)> = thread::scope(|scope| {
        let threads = deployment
            .instances
            .iter()
            .map(|it| scope.spawn(|| watch(it)));
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .map(|it| it.join().expect("watch"))
            .collect()
    });
    Watched {
        peak_mb: watched.iter().map(|it| it.0).collect(),
        ends: watched.iter().map(|it| it.1).collect(),
    }
}

/// Counts, for each instance, the requests from kept connections that were passed on to a sound server and whose
/// connection ended without an answer; returns whether the rule LOST was broken.
pub fn judge(
    deployment: &Deployment,
    record: &Record,
    history: &History,
    watched: &Watched,
    is_sound: impl Fn(&str) -> bool,
) -> bool {
    let history = history.0.lock().expect("history").clone();
    let mut lost = vec![0; deployment.instances.len()];
    for sent in &history {
        let is_cut = sent.outcome == Outcome::Cut && sent.is_kept;
        if is_cut && deployment.runs(&sent.id) > 0 && is_sound(&sent.id) {
            record.line(&format!("lost {} at front-{}", sent.id, sent.instance));
            lost[sent.instance] += 1;
        }
    }
    let summary = format!(
        "peak memory {:?} MB, ended over the limit {:?} times, requests lost {lost:?} of {}",
        watched.peak_mb,
        watched.ends,
        history.len()
    );
    record.line(&summary);
    println!("{summary}");
    lost.iter().any(|it| *it > ALLOWED_LOST)
}
