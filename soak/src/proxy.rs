//! A proxy on loopback that harms the connections through it.

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

/// Bytes that are passed on at a time.
const BUFFER: usize = 16 << 10;

/// What becomes of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Bytes pass.
    #[default]
    Forward,
    /// Bytes pass after this time.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Bytes from the client are lost.
    DropFromClient,
    /// Bytes to the client are lost.
    DropToClient,
    /// All bytes are lost, and connections that are open now stay silent for good.
    Blackhole,
}

/// A proxy; it ends when this is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    way: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.way.send_replace(ProxyMode::Reset);
    }
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    /// Fails if its port is taken.
    pub async fn start(upstream: Option<SocketAddr>) -> Result<Self> {
        let listener = TcpListener::bind(ports::allocate_address()).await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let (way, seen) = watch::channel(ProxyMode::Forward);
        let to = upstream.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let to = *to.lock().unwrap_or_else(PoisonError::into_inner);
                tokio::spawn(connection(client, to, seen.clone()));
            }
        });
        Ok(Self {
            address,
            upstream,
            way,
            task,
        })
    }

    /// Sets what becomes of connections from now on.
    pub fn set_mode(&self, way: ProxyMode) {
        self.way.send_replace(way);
    }

    /// Sets where new connections go; `None` resets them.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = upstream;
    }
}

async fn connection(client: TcpStream, to: Option<SocketAddr>, way: watch::Receiver<ProxyMode>) {
    let server = match to {
        Some(to) if *way.borrow() != ProxyMode::Reset => TcpStream::connect(to).await.ok(),
        _ => None,
    };
    // Without lingering, the end of a connection is a reset.
    let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
    let Some(server) = server else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let up = pump(
        from_client,
        to_server,
        way.clone(),
        ProxyMode::DropFromClient,
    );
    let down = pump(from_server, to_client, way, ProxyMode::DropToClient);
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

/// Passes bytes on in one direction, which `lost` cuts.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut way: watch::Receiver<ProxyMode>,
    lost: ProxyMode,
) {
    let mut buffer = vec![0; BUFFER];
    let mut silent = false;
    loop {
        let now = *way.borrow_and_update();
        silent |= now == ProxyMode::Blackhole;
        if now == ProxyMode::Reset {
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = way.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok(length @ 1..) = read else {
            return;
        };
        let now = *way.borrow();
        silent |= now == ProxyMode::Blackhole;
        if let ProxyMode::Delay(time) = now {
            tokio::time::sleep(time).await;
        }
        if silent || now == lost {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
