//! Provides the reading of HTTP/1.1 messages from blocking connections.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A `Message` is a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub whole: bool,
}

impl Message {
    /// Get the first value of a field; empty without one.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Get the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Get the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Get the status of a response; 0 without one.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }
}

/// Read the start line and the fields; `None` if the connection ended before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let field = (name.trim().to_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
}

/// Read the body that follows a head; `until_close` for a response without a length.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    until_close: bool,
) -> io::Result<()> {
    if message
        .field("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
        }
    }
    let length = message.field("content-length").parse::<usize>().ok();
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            message.body = body;
            message.whole = true;
        }
        None if until_close => {
            reader.read_to_end(&mut message.body)?;
            message.whole = true;
        }
        None => message.whole = true,
    }
    Ok(())
}

/// Read a request; `None` if the connection ended before.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}
