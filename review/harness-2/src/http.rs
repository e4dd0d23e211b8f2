//! Messages of HTTP/1.1 with blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// Returns a parameter of a request's query, percent-decoded.
    pub fn parameter(&self, name: &str) -> String {
        let target = self.first.split(' ').nth(1).unwrap_or("");
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| decode_percent(value))
    }

    /// Returns the status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection ends before it begins.
    pub fn read(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return match message.first.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            if message.first.is_empty() {
                line.clone_into(&mut message.first);
            } else if line.is_empty() {
                break;
            } else if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|it| it.parse().ok());
        if message.header("transfer-encoding").is_some() {
            return Err(io::Error::other("chunked bodies are not read here"));
        }
        match length {
            Some(length) => {
                message.body = vec![0; length];
                reader.read_exact(&mut message.body)?;
            }
            None if is_response && message.status() != 204 => {
                reader.read_to_end(&mut message.body)?;
            }
            None => {}
        }
        Ok(Some(message))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

/// A server that can be ended like a process that is killed.
pub struct Server {
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection with a handler of its own, which `connect` makes. A handler returns the bytes to send
    /// for a request, or `None` to close the connection.
    pub fn start<H>(listener: TcpListener, connect: impl Fn() -> H + Send + 'static) -> Self
    where
        H: FnMut(Message, &mut TcpStream) -> Option<Vec<u8>> + Send + 'static,
    {
        let server = Self {
            has_ended: Arc::default(),
            streams: Arc::default(),
        };
        let (has_ended, streams) = (server.has_ended.clone(), server.streams.clone());
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                streams.lock().unwrap().push(kept);
                let mut handler = connect();
                thread::spawn(move || serve(stream, &mut handler));
            }
        });
        server
    }

    /// Stops listening and closes all connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // The listener is closed within its polling interval.
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(
    mut stream: TcpStream,
    handler: &mut impl FnMut(Message, &mut TcpStream) -> Option<Vec<u8>>,
) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = Message::read(&mut reader, false) {
        let Some(bytes) = handler(request, &mut stream) else {
            break;
        };
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Sends one request on a new connection and returns the response; `None` if there is none in time.
pub fn request(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes).ok()?;
    Message::read(&mut BufReader::new(stream), true).ok()?
}
