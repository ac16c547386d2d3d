//! Provides a small HTTP/1.1 client and server side on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A `Head` is the first line and the header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Get a field by its lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Get the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Get the status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Read a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.fields.push((name, value.trim().to_owned()));
        }
    }
}

/// Read one chunk of a chunked body; empty at its end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Read the body of a message whose head was read, passing on its parts as they arrive.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    until_end: bool,
    mut part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.field("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            part(&chunk);
        }
    }
    if let Some(length) = head.field("content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
        part(&body);
        return Ok(());
    }
    if until_end {
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        part(&body);
    }
    Ok(())
}

/// A `Call` is a request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, path: &str) -> Self {
        Call {
            method,
            path: path.to_owned(),
            fields: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }

    /// Send the call on a new connection and pass on the parts of the answer's body. Get the
    /// answer's head, and whether the body is whole.
    pub fn send(
        &self,
        address: SocketAddr,
        within: Duration,
        part: impl FnMut(&Head, &[u8]),
    ) -> io::Result<(Head, bool)> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(within))?;
        self.write(&mut stream)?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut part = part;
        let is_whole = read_body(&mut reader, &head, true, |bytes| part(&head, bytes)).is_ok();
        Ok((head, is_whole))
    }
}

/// Get an answer without a length of its own: the length is added.
pub fn answer(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
