//! Provides the bounded send queue of a peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use super::counters::MessageKind;

/// A `QueuedFrame` is an encoded message that waits to be sent.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) kind: MessageKind,
    pub(crate) bytes: Bytes,
}

/// The maximum size in bytes of frames sent together. Batches save HTTP/2 headers
/// and writes for bursts of small messages; the limit bounds what is lost when a
/// link closes.
const BATCH_BYTES: usize = 16 << 10;

/// The memory that a queued frame uses in addition to its bytes. Without it, a queue
/// of small messages would use a multiple of its limit.
const FRAME_OVERHEAD: usize = 96;

impl QueuedFrame {
    fn cost(&self) -> usize {
        self.bytes.len() + FRAME_OVERHEAD
    }
}

#[derive(Debug, Default)]
struct QueueState {
    frames: VecDeque<QueuedFrame>,
    cost: usize,
}

/// A `SendQueue` is the bounded queue of frames to be sent to one peer. Each peer has
/// its own, so that a peer that does not read does not affect others.
#[derive(Debug)]
pub(crate) struct SendQueue {
    state: Mutex<QueueState>,
    ready: Notify,
    limit: usize,
}

impl SendQueue {
    pub(crate) fn new(limit: usize) -> Self {
        SendQueue {
            state: Mutex::default(),
            ready: Notify::new(),
            limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Add a frame. Returns `false` if the queue would exceed its limit. An empty queue
    /// accepts any frame, since a frame above the limit could never be sent otherwise.
    pub(crate) fn push(&self, frame: QueuedFrame) -> bool {
        let mut state = self.lock();
        let cost = state.cost + frame.cost();
        if cost > self.limit && !state.frames.is_empty() {
            return false;
        }
        state.cost = cost;
        state.frames.push_back(frame);
        drop(state);
        self.ready.notify_one();
        true
    }

    /// Wait for the next frames and take them, up to [`BATCH_BYTES`].
    pub(crate) async fn next_batch(&self) -> Vec<QueuedFrame> {
        loop {
            let batch = self.take_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.ready.notified().await;
        }
    }

    fn take_batch(&self) -> Vec<QueuedFrame> {
        let mut state = self.lock();
        let mut batch: Vec<QueuedFrame> = Vec::new();
        let mut len = 0;
        while let Some(frame) = state.frames.front() {
            len += frame.bytes.len();
            if !batch.is_empty() && len > BATCH_BYTES {
                break;
            }
            let cost = frame.cost();
            state.cost -= cost;
            batch.extend(state.frames.pop_front());
        }
        batch
    }

    /// Remove all frames and get their number.
    pub(crate) fn clear(&self) -> usize {
        let mut state = self.lock();
        let count = state.frames.len();
        state.frames.clear();
        state.cost = 0;
        count
    }
}
