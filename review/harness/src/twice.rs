//! Case: servers that turn requests away also send some of their answers once more, late.

use {
    crate::{
        deployment::{Deployment, History, Outcome},
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

/// Spells of the disruption, and the pause after each.
const SPELLS: usize = 8;
const PAUSE: Duration = Duration::from_millis(1500);
/// Length of a spell.
const SPELL: Duration = Duration::from_secs(5);
/// Per cent of the requests that all servers of the registry turn away in a spell.
const SHED_PERCENT: u64 = 20;
/// Per cent of their answers that some of the servers send once more, and the number of these servers.
const EXTRA_PERCENT: u64 = 3;
const EXTRA_SERVERS: usize = 3;
/// Clients with a kept connection for each instance.
const CLIENTS: usize = 4;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> bool {
    let no_behaviour = || -> Box<crate::target::Behaviour> { Box::new(|_, _, _| None) };
    let deployment = Deployment::start(folder, record, (8, 6, 3), no_behaviour, Duration::ZERO);
    record.line("serves");
    let (history, stop) = (History::default(), Arc::new(AtomicBool::new(false)));
    let clients = deployment.start_clients(CLIENTS, &history, &stop);
    thread::sleep(Duration::from_secs(3));
    for spell in 0..SPELLS {
        if is_troubled {
            record.line(&format!("spell {spell} begins"));
            for (index, server) in deployment.boards.iter().enumerate() {
                let is_extra = (index + spell) % deployment.boards.len() < EXTRA_SERVERS;
                server.answers.store(0, Ordering::Relaxed);
                server.extras.store(0, Ordering::Relaxed);
                let extra_percent = if is_extra { EXTRA_PERCENT } else { 0 };
                server.extra_percent.store(extra_percent, Ordering::Relaxed);
                server.shed_percent.store(SHED_PERCENT, Ordering::Relaxed);
            }
        }
        thread::sleep(SPELL);
        for server in &deployment.boards {
            server.extra_percent.store(0, Ordering::Relaxed);
            server.shed_percent.store(0, Ordering::Relaxed);
            let (answers, extras) = (&server.answers, &server.extras);
            record.line(&format!(
                "{}: {} of {} answers sent once more",
                server.options.id,
                extras.load(Ordering::Relaxed),
                answers.load(Ordering::Relaxed)
            ));
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    let history = history.0.lock().expect("history").clone();
    let (mut twice, mut refused) = (0, 0);
    for sent in history.iter().filter(|it| !it.is_safe) {
        let runs = deployment.runs(&sent.id);
        if runs > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE {} ran {runs} times: {:?}",
                sent.id, sent.outcome
            ));
        }
        if runs > 0 && matches!(sent.outcome, Outcome::Status(408 | 421 | 429 | 503)) {
            refused += 1;
            record.line(&format!(
                "REFUSED {} ran {runs} times: {:?}",
                sent.id, sent.outcome
            ));
        }
    }
    let summary = format!(
        "{twice} unsafe requests ran more than once, {refused} ran and were answered as not run, of {} requests",
        history.len()
    );
    record.line(&summary);
    println!("{summary}");
    twice > 0
}
