//! Provides sessions: authenticated connections that carry a link's messages.

use std::future::poll_fn;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::time;

use super::codec::{CodecError, FrameReader};
use super::options::LinkOptions;
use super::registry::{LinkGuard, SessionCommand};

/// The HTTP/2 flow control window, which bounds the unread data of each peer. A
/// published value of the maximum size takes a few round trips.
pub(crate) const WINDOW_BYTES: u32 = 256 << 10;

/// The maximum number of bytes in the send buffer of h2. Further data stays in the
/// bounded send queue.
pub(crate) const H2_SEND_BYTES: usize = 64 << 10;

/// The bytes that are read from a peer until other tasks run.
const READ_BYTES_IN_TURN: usize = 64 << 10;

/// The maximum size of a header list in bytes, well above that of a handshake.
pub(crate) const HEADER_BYTES: u32 = 4 << 10;

/// The number of slices into which the PING timeout is divided. After the process was
/// paused, its timers fire before its sockets are read; with slices the pause uses up
/// only one of them, and an answer that waits in the socket is still processed.
const PING_SLICES: u32 = 4;

/// A `SessionEnd` is the reason why a session ended.
#[derive(Debug)]
pub(crate) enum SessionEnd {
    /// The connection was closed by the peer or failed.
    Closed,
    /// The peer did not answer a PING in time.
    Silent,
    /// The registry ended the session: another one took over, the peer may no longer
    /// link, this host disconnected, or the send queue was full.
    Stopped,
    /// The peer sent an invalid frame.
    Malformed(CodecError),
}

/// A `LinkSession` is one authenticated connection. The driver of the connection must
/// be polled concurrently with [`LinkSession::run`].
pub(crate) struct LinkSession {
    pub(crate) guard: LinkGuard,
    pub(crate) writer: SendStream<Bytes>,
    pub(crate) reader: RecvStream,
    pub(crate) ping: PingPong,
}

impl LinkSession {
    /// Send and receive messages until the session ends. The link is then unregistered.
    pub(crate) async fn run(mut self, opts: &LinkOptions) -> SessionEnd {
        let received = AtomicU64::new(0);
        let mut frames = FrameReader::default();
        let command = tokio::select! {
            // Commands take precedence, so that a closed session delivers no more messages.
            biased;
            command = self.guard.next_command() => command,
            end = read_frames(&self.guard, &mut self.reader, &mut frames, &received) => return end,
            end = write_frames(&self.guard, &mut self.writer) => return end,
            end = monitor_liveness(&mut self.ping, opts, &received) => return end,
        };
        if command == SessionCommand::Yield {
            // The peer may still use this session: its messages arrive here, and
            // closing it would make the peer report this host as down. The peer
            // switches within the time that its own attempt may take. If the link
            // goes down before, the session ends at once, so that it does not delay
            // the next dial.
            tokio::select! {
                _ = read_frames(&self.guard, &mut self.reader, &mut frames, &received) => {}
                () = self.guard.wait_unlinked() => {}
                () = time::sleep(opts.dial_timeout()) => {}
            }
        }
        SessionEnd::Stopped
    }
}

async fn read_frames(
    guard: &LinkGuard,
    reader: &mut RecvStream,
    frames: &mut FrameReader,
    received: &AtomicU64,
) -> SessionEnd {
    let mut in_turn = 0;
    while let Some(Ok(data)) = reader.data().await {
        received.fetch_add(1, Ordering::Relaxed);
        in_turn += data.len();
        frames.push(&data);
        if reader.flow_control().release_capacity(data.len()).is_err() {
            return SessionEnd::Closed;
        }
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => guard.deliver(frame),
                Ok(None) => break,
                Err(error) => return SessionEnd::Malformed(error),
            }
        }
        // Messages that stay unread have no place in the order of the event loop, so most
        // of what has arrived is read at once. A peer that sends continuously does not
        // starve other tasks.
        if in_turn >= READ_BYTES_IN_TURN {
            in_turn = 0;
            tokio::task::yield_now().await;
        }
    }
    SessionEnd::Closed
}

async fn write_frames(guard: &LinkGuard, writer: &mut SendStream<Bytes>) -> SessionEnd {
    loop {
        let batch = guard.queue.next_batch().await;
        let mut data = BytesMut::new();
        for frame in &batch {
            data.extend_from_slice(&frame.bytes);
        }
        if write_all(writer, data.freeze()).await.is_none() {
            return SessionEnd::Closed;
        }
        for frame in &batch {
            guard.count_sent(frame);
        }
    }
}

/// Pass `data` to h2 as the peer's flow control window permits. Returns `None` if the
/// stream is closed. Without waiting for the window, h2 would buffer all data.
pub(crate) async fn write_all(writer: &mut SendStream<Bytes>, mut data: Bytes) -> Option<()> {
    while !data.is_empty() {
        writer.reserve_capacity(data.len());
        while writer.capacity() == 0 {
            poll_fn(|cx| writer.poll_capacity(cx)).await?.ok()?;
        }
        let len = writer.capacity().min(data.len());
        writer.send_data(data.split_to(len), false).ok()?;
    }
    Some(())
}

/// Send a PING whenever nothing was received for the PING interval, and return when
/// neither its answer nor other data arrives in time. A half-open connection reports
/// no error and loses messages until the operating system's timeout of minutes.
pub(crate) async fn monitor_liveness(
    ping: &mut PingPong,
    opts: &LinkOptions,
    received: &AtomicU64,
) -> SessionEnd {
    loop {
        let before = received.load(Ordering::Relaxed);
        time::sleep(opts.ping_interval).await;
        if received.load(Ordering::Relaxed) != before {
            continue;
        }
        match ping_answered(ping, opts.ping_timeout, received).await {
            Some(true) => {}
            Some(false) => return SessionEnd::Silent,
            None => return SessionEnd::Closed,
        }
    }
}

/// Send a PING and get whether its answer arrives in time. Returns `None` if the
/// connection is closed.
async fn ping_answered(ping: &mut PingPong, limit: Duration, received: &AtomicU64) -> Option<bool> {
    let mut before = received.load(Ordering::Relaxed);
    let mut answer = std::pin::pin!(ping.ping(Ping::opaque()));
    let mut slices = 0;
    while slices < PING_SLICES {
        match time::timeout(limit / PING_SLICES, answer.as_mut()).await {
            Ok(Ok(_)) => return Some(true),
            Ok(Err(_)) => return None,
            Err(_) => slices += 1,
        }
        // The answer may be queued behind a large message, so any received data shows
        // that the peer is alive.
        let now = received.load(Ordering::Relaxed);
        if now != before {
            before = now;
            slices = 0;
        }
    }
    Some(false)
}
