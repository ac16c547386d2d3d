//! Provides raw writes to a connection that an HTTP server serves, for answers that no
//! sound server sends.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::target_control::lock;

/// A `ConnectionEnd` is how a target ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// By a close, which shows nothing of what is missing.
    Close,
    /// By a reset.
    Reset,
}

/// A `RawConnection` is a second handle of a served connection.
#[derive(Clone, Debug)]
pub(crate) struct RawConnection(Arc<RawSocket>);

#[derive(Debug)]
struct RawSocket {
    stream: TcpStream,
    /// What is sent before the next response.
    late: Mutex<Vec<u8>>,
}

impl RawConnection {
    /// Try to open a second handle of a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no free file descriptor.
    pub(crate) fn try_new(stream: TcpStream) -> io::Result<(TcpStream, Self)> {
        let stream = stream.into_std()?;
        let second = TcpStream::from_std(stream.try_clone()?)?;
        let socket = RawSocket {
            stream: second,
            late: Mutex::default(),
        };
        let raw = RawConnection(Arc::new(socket));
        Ok((TcpStream::from_std(stream)?, raw))
    }

    /// Send bytes that fit into the socket's buffer. The peer may have left.
    pub(crate) fn send(&self, bytes: &[u8]) {
        let _ = self.0.stream.try_write(bytes);
    }

    /// Prepare the end of the connection, which comes once its server drops it.
    pub(crate) fn end(&self, end: ConnectionEnd) {
        if end == ConnectionEnd::Reset {
            // Without it the connection is closed.
            let _ = self.0.stream.set_zero_linger();
        }
    }

    /// Send bytes after a delay, or before the next response if that comes earlier.
    pub(crate) fn send_late(&self, bytes: Vec<u8>, delay: Duration) {
        lock(&self.0.late).extend(bytes);
        let socket = Arc::downgrade(&self.0);
        tokio::spawn(async move {
            sleep(delay).await;
            if let Some(socket) = socket.upgrade() {
                RawConnection(socket).flush_late();
            }
        });
    }

    /// Send what is kept for the time before the next response.
    pub(crate) fn flush_late(&self) {
        let late = std::mem::take(&mut *lock(&self.0.late));
        if !late.is_empty() {
            self.send(&late);
        }
    }
}
