//! Case: the steady clock of the store passes one day, and all processes are killed right after a configuration was
//! acknowledged.

use {
    crate::{
        deployment::{Deployment, History, Outcome, Sent, config},
        record::Record,
    },
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const DAY: Duration = Duration::from_secs(86_400);
/// Time from the start of the store to that at which its clock passes one day.
const BEFORE_DAY: Duration = Duration::from_secs(30);
/// Time from then to the final fault.
const AFTER_DAY: Duration = Duration::from_secs(5);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1500);
/// `Recovery`, and the time for which the rule is checked after it.
const RECOVERY: Duration = Duration::from_secs(15);
const CHECKED: Duration = Duration::from_secs(20);
/// Clients with a kept connection for each instance.
const CLIENTS: usize = 8;
/// Least share of the requests that has to be served, before the fault and after it.
const LEAST_SHARE: f64 = 0.25;

fn served_share(sent: &[&Sent]) -> f64 {
    let served = sent
        .iter()
        .filter(|it| it.outcome == Outcome::Status(200))
        .count();
    served as f64 / sent.len().max(1) as f64
}

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> bool {
    let clock_start = if is_troubled {
        DAY - BEFORE_DAY
    } else {
        Duration::ZERO
    };
    let deployment = Deployment::start(
        folder,
        record,
        (4, 6, 3),
        || Box::new(|_, _, _| None),
        clock_start,
    );
    record.line(&format!(
        "serves, the store's clock shows {:?}",
        deployment.store.clock()
    ));
    let (history, stop) = (History::default(), Arc::new(AtomicBool::new(false)));
    let clients = deployment.start_clients(CLIENTS, &history, &stop);
    let fault_at = clock_start + BEFORE_DAY + AFTER_DAY;
    thread::sleep(fault_at.saturating_sub(deployment.store.clock()));
    // Bookings and status checks go to the registry "at times", see the sheet.
    deployment
        .store
        .put("op", "config", Some(&config(8, "boards")));
    let fault_ms = record.now_ms();
    record.line("configuration r8 is acknowledged, all processes are killed");
    deployment.instances.iter().for_each(|it| it.kill());
    thread::sleep(DOWN);
    deployment.instances.iter().for_each(|it| it.restart());
    let back_ms = record.now_ms();
    record.line(&format!(
        "processes are back, the store's clock shows {:?}",
        deployment.store.clock()
    ));
    thread::sleep(RECOVERY + CHECKED);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    let history = history.0.lock().expect("history").clone();
    let before: Vec<&Sent> = history.iter().filter(|it| it.sent_ms < fault_ms).collect();
    let checked_from = back_ms + RECOVERY.as_millis() as u64;
    let after: Vec<&Sent> = history
        .iter()
        .filter(|it| it.sent_ms > checked_from)
        .collect();
    let shares = (served_share(&before), served_share(&after));
    let summary = format!(
        "served {:.3} of {} requests before the final fault, {:.3} of {} later than Recovery after it",
        shares.0,
        before.len(),
        shares.1,
        after.len()
    );
    record.line(&summary);
    println!("{summary}");
    for second in (0..record.now_ms()).step_by(1000) {
        let within = |it: &&Sent| (second..second + 1000).contains(&it.sent_ms);
        let sent: Vec<&Sent> = history.iter().filter(within).collect();
        record.line(&format!(
            "second {}: served {:.2} of {}",
            second / 1000,
            served_share(&sent),
            sent.len()
        ));
    }
    shares.0 >= LEAST_SHARE && shares.1 < LEAST_SHARE
}
