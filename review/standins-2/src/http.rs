//! The little of HTTP/1.1 that the stand-ins and clients need.

use std::{
    collections::BTreeMap,
    io::{self, Read as _, Write as _},
    net,
    sync::Arc,
    thread, time,
};

/// First line and headers of a message, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// A request that a server got.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub head: Head,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// An answer that a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// A socket with what was read ahead.
pub struct Wire {
    pub socket: net::TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(socket: net::TcpStream) -> Self {
        drop(socket.set_nodelay(true));
        Self {
            socket,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 65536];
        let count = self.socket.read(&mut piece)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&piece[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let mut from = 0;
        loop {
            let end = self.ahead[from..].windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end.map(|end| end + from) {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|l| {
                    let (name, value) = l.split_once(':')?;
                    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
                });
                let headers = headers.collect();
                return Ok(Head { line, headers });
            }
            from = self.ahead.len().saturating_sub(3);
            self.fill()?;
        }
    }

    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// One chunk of a body; nothing at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let end = loop {
            match self.ahead.windows(2).position(|w| w == b"\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let size = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 2);
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        let chunk = self.read_exact(size)?;
        self.read_exact(2)?;
        Ok((size > 0).then_some(chunk))
    }

    pub fn read_request(&mut self) -> io::Result<Request> {
        let head = self.read_head()?;
        let body = self.read_exact(head.length().unwrap_or(0))?;
        let mut words = head.line.split(' ').map(str::to_owned);
        Ok(Request {
            method: words.next().unwrap_or_default(),
            path: words.next().unwrap_or_default(),
            head,
            body,
        })
    }

    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let head = self.read_head()?;
        let status = head.line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let mut body = Vec::new();
        if head.get("transfer-encoding") == Some("chunked") {
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
        } else {
            body = self.read_exact(head.length().unwrap_or(0))?;
        }
        Ok(Answer {
            status: status.unwrap_or(0),
            body,
        })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }
}

/// Serves each connection on a thread of its own; `serve` says whether it goes on.
pub fn serve(
    listener: net::TcpListener,
    handle: impl Fn(&Request, &mut Wire) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(socket);
                while let Ok(request) = wire.read_request() {
                    if !handle(&request, &mut wire) {
                        return;
                    }
                }
            });
        }
    });
}

/// Text of a request.
pub fn request_text(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    length: usize,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {length}\r\n\r\n"));
    text
}

/// Sends a request on a connection of its own, and reads the answer.
pub fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: time::Duration,
) -> io::Result<Answer> {
    let socket = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(1))?;
    socket.set_read_timeout(Some(patience))?;
    let mut wire = Wire::new(socket);
    let text = request_text(method, crate::harness::HOST, path, headers, body.len());
    wire.write(text.as_bytes())?;
    wire.write(body)?;
    wire.read_answer()
}
