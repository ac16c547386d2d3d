//! Provides the bounds and time limits of links.

use std::time::Duration;

/// The send queue of one peer in bytes: three whole values of the largest
/// size, since a host that comes up may want several at once.
const SEND_QUEUE_BYTES: usize = 4 << 20;

/// Connections that have not proven who they are: more than a rack's hosts
/// that restart together, few enough that strangers cost little memory.
const HANDSHAKE_LIMIT: usize = 64;

/// A `LinkOptions` is the set of bounds and time limits of all links.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub(crate) connect_timeout: Duration,
    pub(crate) handshake_timeout: Duration,
    pub(crate) ping_interval: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) backoff_min: Duration,
    pub(crate) backoff_max: Duration,
    pub(crate) send_queue_bytes: usize,
    pub(crate) handshake_limit: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        LinkOptions {
            connect_timeout: Duration::from_secs(1),
            handshake_timeout: Duration::from_secs(2),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(2),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(5),
            send_queue_bytes: SEND_QUEUE_BYTES,
            handshake_limit: HANDSHAKE_LIMIT,
        }
    }
}

impl LinkOptions {
    /// Set how long a connection may take to be established.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set how long an established connection may take for its handshake.
    pub fn with_handshake_timeout(mut self, span: Duration) -> Self {
        self.handshake_timeout = span;
        self
    }

    /// Set after how long without anything received a PING is sent.
    pub fn with_ping_interval(mut self, span: Duration) -> Self {
        self.ping_interval = span;
        self
    }

    /// Set how long an answer to a PING may take.
    pub fn with_ping_timeout(mut self, span: Duration) -> Self {
        self.ping_timeout = span;
        self
    }

    /// Set the shortest and the longest pause between two attempts to connect.
    pub fn with_backoff(mut self, min: Duration, max: Duration) -> Self {
        self.backoff_min = min;
        self.backoff_max = max.max(min);
        self
    }

    /// Set the most bytes that wait for one peer, as they take up memory.
    pub fn with_send_queue_bytes(mut self, bytes: usize) -> Self {
        self.send_queue_bytes = bytes;
        self
    }

    /// Set how many connections may be in their handshake at once.
    pub fn with_handshake_limit(mut self, limit: usize) -> Self {
        self.handshake_limit = limit;
        self
    }

    /// Get the longest time from the start of an attempt to connect until the
    /// link is up or given up.
    pub(crate) fn dial_timeout(&self) -> Duration {
        self.connect_timeout + self.handshake_timeout
    }
}
