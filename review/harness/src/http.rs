//! Minimal HTTP/1.1 over blocking sockets, for both sides.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, it)| it);
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| unescape(value)).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|it| std::str::from_utf8(it).ok());
        let code = hex.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a message; `Ok(None)` if the connection ends before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(bad("head ended early")),
            };
        }
        let line = line.trim_end();
        match line {
            "" if message.first.is_empty() => {}
            "" => break,
            _ if message.first.is_empty() => message.first = line.to_owned(),
            _ => {
                let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk size"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            reader.read_line(&mut String::new())?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| bad("no length"))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a message with the length of its body.
pub fn write_message(mut stream: &TcpStream, message: &Message) -> io::Result<()> {
    let mut bytes = format!("{}\r\n", message.first).into_bytes();
    for (name, value) in &message.headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("content-length: {}\r\n\r\n", message.body.len()).bytes());
    bytes.extend(&message.body);
    stream.write_all(&bytes)
}

/// Returns a response with these headers.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Message {
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    Message {
        first: format!("HTTP/1.1 {status} X"),
        headers: headers.collect(),
        body: body.to_vec(),
    }
}

/// Returns a request with these headers.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    Message {
        first: format!("{method} {target} HTTP/1.1"),
        ..response(0, headers, body)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Send(Message),
    /// The handler has written to the connection itself; close it.
    Done,
}

/// Serves connections in threads; returns the address.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Message, &TcpStream) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().expect("listener has an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(&stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(Message, &TcpStream) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(message)) = read_message(&mut reader) {
        match handler(message, stream) {
            Reply::Send(message) => {
                if write_message(stream, &message).is_err() {
                    return;
                }
            }
            Reply::Done => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Opens a connection for requests; a read waits this long at most.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(BufReader::new(stream))
}

/// Sends a request and reads its response; `Ok(None)` if the connection ends without one.
pub fn exchange(
    connection: &mut BufReader<TcpStream>,
    request: &Message,
) -> io::Result<Option<Message>> {
    write_message(connection.get_ref(), request)?;
    read_message(connection)
}
