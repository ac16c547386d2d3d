//! Provides the byte stream of a tunnel at the host that opened it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::TARGET_RESET;
use super::client::TunnelHealth;

/// A `TunnelStream` is the byte stream of one tunnel. Dropping it resets the tunnel, and
/// the other host then closes its connection to the target.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    writer: SendStream<Bytes>,
    reader: RecvStream,
    unread: Bytes,
    health: TunnelHealth,
}

impl TunnelStream {
    pub(super) fn new(writer: SendStream<Bytes>, reader: RecvStream, health: TunnelHealth) -> Self {
        TunnelStream {
            writer,
            reader,
            unread: Bytes::new(),
            health,
        }
    }

    pub(crate) fn health(&self) -> &TunnelHealth {
        &self.health
    }

    /// Convert an error of the tunnel. Only a reset that the target caused says
    /// something about the target, and the use of a tunnel that has ended says
    /// nothing about its end.
    fn convert(&self, error: h2::Error) -> io::Error {
        let is_cut = error.is_io() || error.is_go_away() || error.is_reset();
        if is_cut && error.reason() != Some(TARGET_RESET) {
            self.health.mark_broken();
        }
        io::Error::new(io::ErrorKind::ConnectionReset, error)
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.reader.poll_data(cx)) {
                Some(Ok(data)) => self.unread = data,
                Some(Err(error)) => return Poll::Ready(Err(self.convert(error))),
                None => return Poll::Ready(Ok(())),
            }
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..len]);
        self.unread.advance(len);
        let released = self.reader.flow_control().release_capacity(len);
        Poll::Ready(released.map_err(|error| self.convert(error)))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer.reserve_capacity(data.len());
        while self.writer.capacity() == 0 && !data.is_empty() {
            match ready!(self.writer.poll_capacity(cx)) {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(self.convert(error))),
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        let len = self.writer.capacity().min(data.len());
        let sent = self
            .writer
            .send_data(Bytes::copy_from_slice(&data[..len]), false);
        Poll::Ready(sent.map(|()| len).map_err(|error| self.convert(error)))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.writer.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(|error| self.convert(error)))
    }
}
