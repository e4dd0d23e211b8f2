//! Starts the duties of an instance and stops them in order.

use {
    crate::{
        context::Context,
        duty, entry,
        events::{self, About, Events, Origin},
        hold::{self, HoldCommand},
        member, operators, peer,
        ring::{Ring, ring},
        route, store,
    },
    cowslip_decide::names::Incarnation,
    cowslip_settings::process::Process,
    eyre::{Context as _, eyre},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        thread::JoinHandle,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::watch,
        time::{Instant, timeout},
    },
};

/// Result of a run.
pub type Result<T> = eyre::Result<T>;

/// Connections that the system keeps until they are accepted.
const BACKLOG: u32 = 1024;
/// Period in which a stop looks whether something has ended.
const STOP_CHECK: Duration = Duration::from_millis(5);
/// Longest wait for the planner to hand the targets of a stopping instance over.
const HAND_OVER: Duration = Duration::from_secs(2);
/// Time for the last bytes to leave the process.
const FLUSH: Duration = Duration::from_millis(100);

/// Threads and switches of the running duties.
struct Running {
    context: Arc<Context>,
    stop_entry: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    entry: JoinHandle<()>,
    hold: hold::Handle,
    member: JoinHandle<()>,
}

/// Runs an instance until `stop` ends, then stops it without cutting what is in flight.
///
/// # Errors
///
/// Fails if an address cannot be listened on, a thread cannot be started, or the stop takes longer
/// than its bound.
pub async fn run(settings: Process, stop: impl Future<Output = ()>) -> Result<()> {
    let running = start(settings)?;
    stop.await;
    finish(running).await
}

fn start(settings: Process) -> Result<Running> {
    let incarnation = Incarnation(since_epoch().as_micros() as u64);
    let origin = Origin {
        process: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
    };
    let logger = events::logger::stderr(spdlog::Level::Info)?;
    let events = Events::new(origin, settings.limits.event_ring as usize, Some(logger));
    let context = Arc::new(Context::new(settings, incarnation, events));
    let limits = &context.settings.limits;
    let listen = &context.settings.listen;
    let (stop_entry, entry_stopped) = watch::channel(false);
    let (stop_rest, rest_stopped) = watch::channel(false);
    let (jobs, jobs_taken) = ring(limits.route_ring as usize);
    let (remotes, remotes_taken) = ring(limits.peer_ring as usize);
    let (members, members_taken) = ring(limits.member_ring as usize);
    let (asks, asks_taken) = ring(limits.platform_ring as usize);
    let hold = hold::start(hold::Context {
        instance: context.name.clone(),
        events: context.events.clone(),
        timing: member::timing(&context.settings.timing),
        reports: member::reports(&context, members.clone())?,
    })?;
    let tickets = Ring::from(hold.tickets.clone());

    let it = context.clone();
    duty::start("platform", move || store::serve(it, asks_taken))?;

    let (it, rings) = (
        context.clone(),
        route::Rings {
            hold: tickets.clone(),
            peer: remotes,
            store: asks.clone(),
        },
    );
    duty::start("route", move || route::serve(it, jobs_taken, rings))?;

    let (it, listener) = (context.clone(), bind(listen.peers)?);
    let (rings, stopped) = (
        peer::Rings {
            hold: tickets,
            member: members.clone(),
        },
        rest_stopped.clone(),
    );
    duty::start("peer", move || async move {
        match adopt(listener) {
            Ok(listener) => peer::serve(it, listener, remotes_taken, rings, stopped).await,
            Err(error) => it.fail("peer", &error),
        }
    })?;

    let (it, rings) = (
        context.clone(),
        member::Rings {
            itself: members,
            hold: Ring::from(hold.commands.clone()),
            store: asks,
        },
    );
    let stopped = rest_stopped.clone();
    let member = duty::start("member", move || {
        member::serve(it, members_taken, rings, stopped)
    })?;

    let sources = operators::Sources {
        token: context.settings.token.clone(),
        events: context.events.clone(),
        metrics: context.metrics.clone(),
        status: context.status.clone(),
    };
    operators::start(Arc::new(sources), bind(listen.operators)?)?;

    let (it, listener) = (context.clone(), bind(listen.callers)?);
    let entry = duty::start("entry", move || async move {
        match adopt(listener) {
            Ok(listener) => entry::serve(it, listener, jobs, entry_stopped).await,
            Err(error) => it.fail("entry", &error),
        }
    })?;
    let detail = format!(
        "callers {}, peers {}, operators {}",
        listen.callers, listen.peers, listen.operators
    );
    context.events.note(
        events::START,
        About {
            detail: Some(detail),
            ..About::default()
        },
    );
    Ok(Running {
        context,
        stop_entry,
        stop_rest,
        entry,
        hold,
        member,
    })
}

/// Stops in the order of a request's path, so that each duty still has those behind it.
async fn finish(running: Running) -> Result<()> {
    let context = running.context;
    let bound = Duration::from_millis(context.settings.limits.stop_ms);
    context.events.note(events::STOP_BEGUN, About::default());
    context.stopping.store(true, Ordering::Relaxed);
    let stopping = async {
        running.stop_entry.send_replace(true);
        joined(running.entry).await?;
        hand_over(&context).await;
        // The member duty goes on: the lease must last until the targets have answered peers.
        running.hold.commands.send(HoldCommand::Stop).await?;
        joined(running.hold.thread).await?;
        answered(&context).await;
        running.stop_rest.send_replace(true);
        joined(running.member).await
    };
    match timeout(bound, stopping).await {
        Ok(ended) => {
            context.events.note(events::STOP_ENDED, About::default());
            ended
        }
        Err(_) => {
            context.events.note(events::STOP_OVERDUE, About::default());
            Err(eyre!("stop took longer than {} ms", bound.as_millis()))
        }
    }
}

/// Waits until the planner has given this instance's targets to other holders, but not for long:
/// without a planner they pass to the standbys once this instance's lease has run out.
async fn hand_over(context: &Context) {
    let end = Instant::now() + HAND_OVER;
    while holds(context) && Instant::now() < end {
        tokio::time::sleep(STOP_CHECK).await;
    }
}

/// Returns whether this instance is the holder of a target by the assignment.
fn holds(context: &Context) -> bool {
    let view = context.view.load();
    let holdings = view.as_ref().map(|view| &view.assignment.holdings);
    let mut holdings = holdings.into_iter().flat_map(|holdings| holdings.values());
    holdings.any(|holding| holding.holder == context.name)
}

/// Waits until the peers have the ends of their attempts.
async fn answered(context: &Context) {
    while context.forwarded.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(STOP_CHECK).await;
    }
    // The last ends are still on their way through the sockets.
    tokio::time::sleep(FLUSH).await;
}

/// Waits for a thread without blocking the runtime.
async fn joined(thread: JoinHandle<()>) -> Result<()> {
    let name = thread.thread().name().unwrap_or("duty").to_owned();
    while !thread.is_finished() {
        tokio::time::sleep(STOP_CHECK).await;
    }
    thread.join().map_err(|_| eyre!("thread {name:?} panicked"))
}

/// Returns the time since 1970.
fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Listens on `address`; the socket is given to the runtime of its duty later.
fn bind(address: SocketAddr) -> Result<std::net::TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let listen = || {
        let socket = socket?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)?.into_std()
    };
    listen().wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Gives a listening socket to the runtime that calls.
fn adopt(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    TcpListener::from_std(listener)
}
