//! Provides a bound on the bytes of an answer that are neither head nor body, such as a
//! chunk size that never ends.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes that may be read for a head or for the next part of a body. It exceeds the
/// read buffer of hyper, which passes on what it holds.
const MAX_UNPARSED_BYTES: usize = 1 << 20;

/// An `UnparsedBytes` counts the bytes that were read from a connection since it passed
/// on a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct UnparsedBytes(Arc<AtomicUsize>);

impl UnparsedBytes {
    /// Record that what was read belongs to an answer.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Add bytes that were read; get whether there are too many.
    fn exceeds(&self, count: usize) -> bool {
        self.0.fetch_add(count, Ordering::Relaxed) + count > MAX_UNPARSED_BYTES
    }
}

/// A `TargetBody` is the body of a target's answer.
#[derive(Debug)]
pub struct TargetBody {
    body: Incoming,
    unparsed: UnparsedBytes,
}

impl TargetBody {
    pub(super) fn new(body: Incoming, unparsed: UnparsedBytes) -> Self {
        TargetBody { body, unparsed }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() {
            self.unparsed.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A `BoundedStream` is a connection to a target that fails once too many bytes were read
/// that belong to no answer.
#[derive(Debug)]
pub(super) struct BoundedStream<Stream> {
    stream: Stream,
    unparsed: UnparsedBytes,
}

impl<Stream> BoundedStream<Stream> {
    pub(super) fn new(stream: Stream, unparsed: UnparsedBytes) -> Self {
        BoundedStream { stream, unparsed }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for BoundedStream<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        if self.unparsed.exceeds(count) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "bytes that are no answer");
            return Poll::Ready(Err(error));
        }
        polled
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for BoundedStream<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
