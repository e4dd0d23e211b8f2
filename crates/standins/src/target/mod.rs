//! A target: slots, cold start, grants with fences, faults and a record of its own.

mod body;
pub mod grants;
mod handle;
pub mod options;
pub mod record;
mod state;

use {
    crate::clock::micros,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    options::{Faults, Options},
    record::{Held, Record},
    state::State,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{Instant, sleep},
    },
};

/// A running target.
#[derive(Clone)]
pub struct Target {
    shared: Arc<Shared>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address that goes on answering `/-/record`, `/-/breaches` and `/-/faults` in a freeze.
    pub control: SocketAddr,
}

struct Shared {
    options: Options,
    state: Mutex<State>,
    frozen: watch::Sender<bool>,
    /// Counts restarts; connections of an earlier one are dropped.
    run: watch::Sender<u64>,
    killed: watch::Sender<bool>,
    /// Number of the newest connection.
    newest: AtomicU64,
    open: AtomicUsize,
    health: Mutex<(Instant, handle::Health)>,
    born: u64,
}

/// Serves a target on `listener` in the current runtime.
///
/// # Errors
///
/// Fails if no control port can be bound.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<Target> {
    let control = TcpListener::bind("127.0.0.1:0").await?;
    let state = State::new(&options);
    let health = handle::Health::of(&state);
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        frozen: watch::Sender::new(false),
        run: watch::Sender::new(0),
        killed: watch::Sender::new(false),
        newest: AtomicU64::new(0),
        open: AtomicUsize::new(0),
        health: Mutex::new((Instant::now(), health)),
        born: micros(),
        options,
    });
    let target = Target {
        address: listener.local_addr()?,
        control: control.local_addr()?,
        shared: shared.clone(),
    };
    let mut killed = shared.killed.subscribe();
    let accepting = accept(listener, shared.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = accepting => {}
            _ = killed.changed() => {}
        }
    });
    tokio::spawn(accept_control(control, shared));
    Ok(target)
}

impl Target {
    /// Switches faults.
    pub fn switch(&self, faults: &Faults) {
        self.shared.switch(faults);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.shared.record()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Waits while the target is frozen.
    async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    fn switch(&self, faults: &Faults) {
        let mut state = self.lock();
        if faults.silence {
            state.silenced = self.newest.load(Ordering::SeqCst);
        }
        if faults.freeze == Some(true) {
            state.thaws += 1;
        }
        let restart = state.switch(faults, Instant::now());
        drop(state);
        if let Some(freeze) = faults.freeze {
            self.frozen.send_replace(freeze);
        }
        if faults.kill {
            self.killed.send_replace(true);
        }
        if restart {
            self.frozen.send_replace(false);
            self.run.send_modify(|run| *run += 1);
        }
    }

    fn record(&self) -> Record {
        let state = self.lock();
        let mut record = state.writer.record.clone();
        let now = micros();
        // A grant may be taken back before it runs out, so it is known to be held until now only.
        let open = state.grants.now().iter().cloned();
        record.held.extend(open.map(|held| Held {
            until: held.until.min(now),
            ..held
        }));
        record
    }

    /// Returns milliseconds of the target's own clock, at least 1.
    fn stamp(&self) -> u64 {
        (micros() - self.born) / 1000 + 1
    }
}

/// Accepts connections for requests until the target is killed.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        shared.thawed().await;
        sleep(shared.options.opening).await;
        if shared.open.load(Ordering::SeqCst) >= shared.options.connections {
            continue;
        }
        shared.open.fetch_add(1, Ordering::SeqCst);
        let number = shared.newest.fetch_add(1, Ordering::SeqCst) + 1;
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut run = shared.run.subscribe();
            let gone = run.changed();
            tokio::select! {
                () = connection(stream, shared.clone(), Some(number)) => {}
                _ = gone => {}
            }
            shared.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn accept_control(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connection(stream, shared.clone(), None));
        }
    }
}

/// Serves one connection; `number` is `None` on the control port.
async fn connection(stream: TcpStream, shared: Arc<Shared>, number: Option<u64>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle::handle(shared.clone(), number, request));
    // A broken connection is the other side's affair.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
