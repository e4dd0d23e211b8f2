//! Case: clients send bodies as long as the operator's configuration lets them.

use {
    crate::{
        deployment::{Deployment, History, is_timeout, removal},
        http::{connect, exchange},
        memory,
        record::Record,
    },
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which the long bodies come.
const TIME: Duration = Duration::from_secs(40);
/// Clients with a kept connection for each instance.
const CLIENTS: usize = 10;
/// Clients that send long bodies to each instance, one after the other.
const UPLOADERS: usize = 4;
/// Bytes of a long body, below `MaxBodyBytes` (67,108,864).
const LONG: usize = 66_000_000;
/// Bytes of the longest body that the sheet's clients send.
const SHORT: usize = 24_000;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> bool {
    let deployment = Deployment::start(
        folder,
        record,
        (4, 6, 3),
        || Box::new(|_, _, _| None),
        Duration::ZERO,
    );
    record.line("serves");
    let (history, stop) = (History::default(), Arc::new(AtomicBool::new(false)));
    let clients = deployment.start_clients(CLIENTS, &history, &stop);
    thread::sleep(Duration::from_secs(5));
    let length = if is_troubled { LONG } else { SHORT };
    record.line(&format!(
        "{UPLOADERS} clients of each instance send bodies of {length} bytes"
    ));
    let end = Instant::now() + TIME;
    let body = Arc::new(vec![b'b'; length]);
    let starts =
        (0..deployment.instances.len()).flat_map(|it| (0..UPLOADERS).map(move |no| (it, no)));
    let uploads = starts.map(|(index, number)| {
        let (callers, body) = (deployment.instances[index].callers, body.clone());
        let record = record.clone();
        thread::spawn(move || {
            for count in 0.. {
                if Instant::now() > end {
                    return;
                }
                let id = format!("u{index}-{number}-{count}");
                let message = removal(
                    &id,
                    ((index * 16_000 + number * 4000) % 65_536) as u64,
                    &body,
                );
                let result = connect(callers, Duration::from_secs(6))
                    .and_then(|mut connection| exchange(&mut connection, &message));
                let outcome = match result {
                    Ok(Some(answer)) => answer.status().to_string(),
                    Err(error) if is_timeout(&error) => "silent".to_owned(),
                    Ok(None) | Err(_) => "cut".to_owned(),
                };
                record.line(&format!("long body {id} at front-{index}: {outcome}"));
                thread::sleep(Duration::from_millis(1500));
            }
        })
    });
    let uploads: Vec<_> = uploads.collect();
    let never = AtomicBool::new(false);
    let watched = memory::enforce_until(&deployment, end, &never);
    uploads.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    memory::judge(&deployment, record, &history, &watched, |_| true)
}
