//! A running instance; all that must last lies in the platform's store.
//!
//! Every instance reads the configuration and the targets from the store. One of them, the leader,
//! records who owns which keys and grants them; the others follow the recorded owners. All duties
//! of an instance are tasks of one thread: a fifth of a core gains nothing from more.

use {
    crate::{
        context::Context,
        endpoints,
        events::{self, EventFields},
        lead::{keep, seat},
        peers::{datagram, heartbeat_protocol},
        serve::{entry, permit},
        shutdown,
        views::{config, targets},
    },
    cowslip_settings::{overrides::Overrides, process},
    eyre::WrapErr,
    std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket, UdpSocket},
        signal::unix::{Signal, SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Result of a run.
pub type Result<T> = eyre::Result<T>;

/// Connections that the system keeps until they are accepted.
const BACKLOG: u32 = 1024;

/// Period in which the log tells what was left out of it.
const THINNED: Duration = Duration::from_secs(5);

/// Runs an instance with the settings of a file until a signal stops it.
///
/// # Errors
/// Fails if the settings are not valid or an address cannot be listened on.
pub fn run(path: PathBuf, overrides: Overrides) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(path, overrides))
}

async fn serve(path: PathBuf, overrides: Overrides) -> Result<()> {
    // First of all: until they are awaited, signals end the process.
    let terminate = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let settings = process::load(&path, &overrides)?;
    let listen = settings.listen.clone();
    let callers = bind(listen.callers)?;
    let readiness = bind(listen.readiness)?;
    let beats = UdpSocket::bind(listen.heartbeats)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", listen.heartbeats))?;
    let context = Rc::new(Context::new(settings, beats)?);
    note_start(&context);
    spawn_local(endpoints::serve_readiness(context.clone(), readiness));
    match bind(listen.operators) {
        Ok(listener) => drop(spawn_local(endpoints::serve_operators(
            context.clone(),
            listener,
        ))),
        Err(error) => {
            context.record_event(events::TASK_FAILED, format!("operators' port: {error:#}"))
        }
    }
    spawn_local(config::watch_config(context.clone()));
    spawn_local(targets::poll_targets(context.clone()));
    spawn_local(datagram::receive_messages(context.clone()));
    spawn_local(heartbeat_protocol::send_reports(context.clone()));
    spawn_local(permit::serve(context.clone()));
    spawn_local(seat::hold(context.clone()));
    spawn_local(keep::keep(context.clone()));
    spawn_local(tell_thinned(context.clone()));
    spawn_local(reloads(context.clone(), path, overrides, reload));
    let conns = entry::Conns::default();
    let accepting = spawn_local(entry::accept(context.clone(), callers, conns.clone()));
    shutdown::drain_after_signal(terminate, &context, &conns, accepting).await;
    Ok(())
}

fn note_start(context: &Context) {
    let detail = format!(
        "callers {}, store {}",
        context.settings.listen.callers, context.settings.store
    );
    context.events.record(
        events::INSTANCE_STARTED,
        EventFields {
            detail: Some(detail),
            ..EventFields::default()
        },
    );
}

/// Reads the settings again at each hang-up signal; what is wrong leaves the former in force.
async fn reloads(context: Rc<Context>, path: PathBuf, overrides: Overrides, mut signal: Signal) {
    while signal.recv().await.is_some() {
        match process::load(&path, &overrides) {
            Ok(settings) => {
                *context.bounds.borrow_mut() = settings.bounds;
                context.record_event(events::SETTINGS_RELOADED, "bounds in force".into());
            }
            Err(error) => context.record_event(events::SETTINGS_RELOAD_FAILED, error.to_string()),
        }
    }
}

/// Tells now and then how many events were left out of the log.
async fn tell_thinned(context: Rc<Context>) {
    let mut told = BTreeMap::new();
    loop {
        sleep(THINNED).await;
        let skipped = context.events.events_after(u64::MAX).skipped;
        if skipped != told {
            let kinds = skipped
                .iter()
                .map(|(code, count)| format!("{code}: {count}"));
            let kinds: Vec<String> = kinds.collect();
            context.record_event(events::EVENTS_SKIPPED, kinds.join(", "));
            told = skipped;
        }
    }
}

/// Listens on an address.
fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().wrap_err_with(|| format!("cannot listen on {address}"))
}
