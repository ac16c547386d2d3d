//! Provides a session: one proven connection that carries a link's messages
//! until it ends.

use std::future::poll_fn;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::time;

use super::codec::{CodecError, FrameReader};
use super::options::LinkOptions;
use super::registry::{LinkGuard, SessionCommand};

/// The most bytes that a peer may send ahead of what was read. A whole value
/// takes a few round trips; a stalled loop holds little for each peer.
pub(crate) const WINDOW_BYTES: u32 = 256 << 10;

/// The most bytes that h2 itself holds to be sent; the queue bounds the rest.
pub(crate) const H2_SEND_BYTES: usize = 64 << 10;

/// The largest list of header fields; a handshake has under 300 bytes.
pub(crate) const HEADER_BYTES: u32 = 4 << 10;

/// The slices in which an answer to a PING is awaited. The timer of a process
/// that was paused fires before its sockets are read; in slices a pause uses
/// up one of them, and the answer that waits in the socket is still seen.
const PING_SLICES: u32 = 4;

/// A `SessionEnd` is why a session ended.
#[derive(Debug)]
pub(crate) enum SessionEnd {
    /// The peer closed, or the connection broke.
    Closed,
    /// The peer did not answer.
    Silent,
    /// Another session took over, or the link is unwanted or overfull.
    Stopped,
    /// The peer sent something that is no message.
    Malformed(CodecError),
}

/// A `LinkSession` is one proven connection. Its connection's driver must run
/// beside [`LinkSession::run`].
pub(crate) struct LinkSession {
    pub(crate) guard: LinkGuard,
    pub(crate) writer: SendStream<Bytes>,
    pub(crate) reader: RecvStream,
    pub(crate) ping: PingPong,
}

impl LinkSession {
    /// Carry messages until the session ends. The link is down afterwards.
    pub(crate) async fn run(mut self, opts: &LinkOptions) -> SessionEnd {
        let received = AtomicU64::new(0);
        let mut frames = FrameReader::default();
        let command = tokio::select! {
            // A session that was told to end brings nothing more.
            biased;
            command = self.guard.next_command() => command,
            end = read_frames(&self.guard, &mut self.reader, &mut frames, &received) => return end,
            end = write_frames(&self.guard, &mut self.writer) => return end,
            end = monitor_liveness(&mut self.ping, opts, &received) => return end,
        };
        if command == SessionCommand::Yield {
            // The peer may still have this session in use: what it sent comes
            // here, and a close would tell it that this host is down. After
            // the longest time that its own attempt can take it has settled;
            // once the link is gone there is nothing to settle, and the
            // dialler must not be kept from coming back.
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
    while let Some(Ok(data)) = reader.data().await {
        received.fetch_add(1, Ordering::Relaxed);
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
        // A peer that sends without end must not hold the one thread.
        tokio::task::yield_now().await;
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

/// Hand `data` to h2 as the peer's window grows; `None` where the stream is
/// closed. Without waiting for the window h2 would hold all of it.
async fn write_all(writer: &mut SendStream<Bytes>, mut data: Bytes) -> Option<()> {
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

/// Send a PING whenever nothing came for a while, and return when neither
/// its answer nor anything else comes. A connection can go silent for good
/// while both ends think it open: nothing is received, no error comes, and
/// messages are lost until the operating system gives up after minutes.
async fn monitor_liveness(
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

/// Get whether the peer answers a PING in time; `None` where the connection
/// is closed.
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
        // The answer may stand behind a large message on its way: what comes
        // proves as much.
        let now = received.load(Ordering::Relaxed);
        if now != before {
            before = now;
            slices = 0;
        }
    }
    Some(false)
}
