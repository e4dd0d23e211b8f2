//! A TCP proxy on loopback that injects network faults into its connections.

use {
    crate::Result,
    cowslip_adapter_standins::ports,
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
    },
};

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Forwards each read after this delay.
    Delay(Duration),
    /// Resets open and new connections.
    Reset,
    /// Drops bytes that the client sends.
    DropFromClient,
    /// Drops bytes that the server sends.
    DropToClient,
    /// Drops all bytes; unlike in the other modes, connections that were open stay dead afterwards.
    Blackhole,
}

/// A running proxy; dropping it resets its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.mode.send_replace(ProxyMode::Reset);
    }
}

impl Proxy {
    /// Starts a proxy to an upstream, which may be set later.
    ///
    /// # Errors
    /// Fails if the port is in use.
    pub async fn start(upstream: Option<SocketAddr>) -> Result<Self> {
        let listener = TcpListener::bind(ports::allocate_address()).await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let (mode, mode_receiver) = watch::channel(ProxyMode::Forward);
        let current_upstream = upstream.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let server_address = *current_upstream
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                tokio::spawn(forward_connection(
                    client,
                    server_address,
                    mode_receiver.clone(),
                ));
            }
        });
        Ok(Self {
            address,
            upstream,
            mode,
            task,
        })
    }

    /// Sets the mode of open and new connections.
    pub fn change_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// Sets the server of new connections; `None` resets them.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = upstream;
    }
}

async fn forward_connection(
    client: TcpStream,
    server_address: Option<SocketAddr>,
    mode: watch::Receiver<ProxyMode>,
) {
    let server = match server_address {
        Some(to) if *mode.borrow() != ProxyMode::Reset => TcpStream::connect(to).await.ok(),
        _ => None,
    };
    // With a linger time of zero, closing the connection sends a reset.
    let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
    let Some(server) = server else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let upload = forward_bytes(
        from_client,
        to_server,
        mode.clone(),
        ProxyMode::DropFromClient,
    );
    let download = forward_bytes(from_server, to_client, mode, ProxyMode::DropToClient);
    tokio::select! {
        () = upload => {}
        () = download => {}
    }
}

/// Forwards bytes in one direction as the mode tells; in `drop_mode`, this direction is dropped.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    drop_mode: ProxyMode,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_blackholed = false;
    loop {
        let current = *mode.borrow_and_update();
        is_blackholed |= current == ProxyMode::Blackhole;
        if current == ProxyMode::Reset {
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = mode.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok(length @ 1..) = read else {
            // Closed or failed.
            return;
        };
        let current = *mode.borrow();
        is_blackholed |= current == ProxyMode::Blackhole;
        if let ProxyMode::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if is_blackholed || current == drop_mode {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
