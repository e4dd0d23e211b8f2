//! Starts the tasks of an instance, which keeps nothing on disk: durable data is in the platform's
//! store.
//!
//! Every instance reads the configuration and the targets from the store. One of them, the leader,
//! assigns keys to targets, records the assignments and grants them; the others use the recorded
//! assignments. All tasks run on one thread: an instance may be limited to a fifth of a core, with
//! which further threads gain nothing.

use {
    crate::{
        context::Context,
        endpoints,
        events::{self, EventFields},
        lead::{election_loop, leader_loop},
        peers::{datagram, heartbeat_protocol},
        serve::{coordinator, organisations, relay_server, server},
        stop,
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

/// Result of starting or running an instance.
pub type Result<T> = eyre::Result<T>;

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Interval of the events that report which events were skipped by their rate limit.
const SKIPPED_REPORT_INTERVAL: Duration = Duration::from_secs(5);

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
    // Registered first: until then these signals terminate the process.
    let terminate = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let settings = process::load(&path, &overrides)?;
    let listen = settings.listen.clone();
    let callers = bind(listen.callers)?;
    let readiness = bind(listen.readiness)?;
    let peer_socket = UdpSocket::bind(listen.heartbeats)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", listen.heartbeats))?;
    let relays = bind(listen.heartbeats)?;
    let context = Rc::new(Context::new(settings, peer_socket)?);
    record_start(&context);
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
    spawn_local(relay_server::accept_instances(context.clone(), relays));
    spawn_local(organisations::exchange_usage(context.clone()));
    spawn_local(coordinator::process_queues(context.clone()));
    spawn_local(election_loop::run_election(context.clone()));
    spawn_local(leader_loop::run(context.clone()));
    spawn_local(report_skipped_events(context.clone()));
    spawn_local(reload_settings(context.clone(), path, overrides, reload));
    let connections = server::CallerConnections::default();
    let accept_task = spawn_local(server::accept_connections(
        context.clone(),
        callers,
        connections.clone(),
    ));
    stop::drain_after_signal(terminate, &context, &connections, accept_task).await;
    Ok(())
}

fn record_start(context: &Context) {
    if !context.settings.ignored.is_empty() {
        let detail = context.settings.ignored.join(", ");
        context.record_event(events::SETTINGS_IGNORED, detail);
    }
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

/// Reloads the section `bounds` of the settings at each hang-up signal; an invalid file leaves the
/// previous settings in force.
async fn reload_settings(
    context: Rc<Context>,
    path: PathBuf,
    overrides: Overrides,
    mut signal: Signal,
) {
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

/// Records how many events were skipped by their rate limit, whenever the numbers have changed.
async fn report_skipped_events(context: Rc<Context>) {
    let mut reported = BTreeMap::new();
    loop {
        sleep(SKIPPED_REPORT_INTERVAL).await;
        // Only the counts: no event has a number that high.
        let skipped = context.events.events_after(u64::MAX).skipped;
        if skipped != reported {
            let counts = skipped
                .iter()
                .map(|(code, count)| format!("{code}: {count}"));
            let counts: Vec<String> = counts.collect();
            context.record_event(events::EVENTS_SKIPPED, counts.join(", "));
            reported = skipped;
        }
    }
}

/// Listens on a TCP address.
fn bind(address: SocketAddr) -> Result<TcpListener> {
    let open_listener = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open_listener().wrap_err_with(|| format!("cannot listen on {address}"))
}
