//! Path from one instance to the store, which can turn the instance away.

use {
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
};

/// A running path; it ends with the process.
pub struct StorePath {
    /// Address that the instance connects to.
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
}

impl StorePath {
    /// Opens a path to the store, which serves the instance or closes its connections without an answer.
    pub fn start(store: SocketAddr, is_open: bool) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_open = Arc::new(AtomicBool::new(is_open));
        let open = is_open.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if !open.load(Ordering::Relaxed) {
                    // What the instance has sent is not read, so that the connection is reset.
                    continue;
                }
                if let Ok(server) = TcpStream::connect(store) {
                    forward(client, server);
                }
            }
        });
        Ok(Self { address, is_open })
    }

    /// Sets whether the store serves the instance.
    pub fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::Relaxed);
    }
}

fn forward(client: TcpStream, server: TcpStream) {
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    thread::spawn(move || copy(from_client, server));
    thread::spawn(move || copy(from_server, client));
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
