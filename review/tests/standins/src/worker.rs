//! Provides the listener of a stand-in worker; what it answers is up to the case.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use crate::http::{Message, read_request};

/// A `Caller` is one connection to a worker.
pub struct Caller {
    pub stream: TcpStream,
    /// The number of the connection, from 0.
    pub number: usize,
}

/// Start a worker on a free port. `connect` returns the handler of each new connection, which
/// answers one request and returns whether the connection stays open.
pub fn start<Connect, Handler>(connect: Connect) -> std::io::Result<SocketAddr>
where
    Connect: Fn(usize) -> Handler + Send + Sync + 'static,
    Handler: FnMut(&Message, &mut TcpStream) -> bool + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let connect = Arc::new(connect);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut handler = connect(number);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(&request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Get the bytes of a response.
pub fn response(status: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Get the bytes of one event of a stream.
pub fn event(id: u32, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}
