//! Provides the stand-in for a client.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_body, read_head};

/// A `Request` is what a client sends.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub chunked: bool,
}

impl Request {
    /// Get a request with the fields that all clients send.
    pub fn new(method: &'static str, path: &str, id: &str, key: &str, deadline_ms: u32) -> Self {
        let fields = [
            ("Host", crate::site::HOST),
            ("Request-Id", id),
            ("Deadline-Ms", &deadline_ms.to_string()),
            ("Authorization", &format!("Bearer {key}")),
        ];
        Request {
            method,
            path: path.to_owned(),
            fields: fields
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec(),
            body: Vec::new(),
            chunked: false,
        }
    }

    /// Add a field.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Set the body.
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Get the bytes of the head.
    pub fn head(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        match self.chunked {
            true => text.push_str("Transfer-Encoding: chunked\r\n"),
            false if self.method == "GET" && self.body.is_empty() => {}
            false => text.push_str(&format!("Content-Length: {}\r\n", self.body.len())),
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// A `Connection` is a client's connection to a host, which it may use again.
pub struct Connection {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    /// Connect within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Send a request and read its answer within a time.
    pub fn exchange(&mut self, request: &Request, within: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(within))?;
        let mut bytes = request.head();
        bytes.extend_from_slice(&request.body);
        self.stream.write_all(&bytes)?;
        self.read(request.method)
    }

    /// Read the answer to a request that was sent.
    pub fn read(&mut self, method: &str) -> io::Result<Message> {
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let has_body = method != "HEAD" && message.status() != 204;
        if has_body && read_body(&mut self.reader, &mut message, true).is_err() {
            message.whole = false;
        }
        Ok(message)
    }
}
