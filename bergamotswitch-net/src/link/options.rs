//! Provides the limits and timeouts of links.

use std::time::Duration;

use crate::target_client::TargetClientOptions;

/// The default size of a peer's send queue in bytes. It holds three published values
/// of the maximum size, since a starting host may request several at once.
const SEND_QUEUE_BYTES: usize = 4 << 20;

/// The default limit of concurrent handshakes. It allows for a rack of hosts that
/// restart together and bounds the memory used by unauthenticated connections.
const HANDSHAKE_LIMIT: usize = 64;

/// A `LinkOptions` is the set of limits and timeouts of all links.
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
    pub(crate) target_options: TargetClientOptions,
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
            target_options: TargetClientOptions::default(),
        }
    }
}

impl LinkOptions {
    /// Set the timeout for establishing a connection.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_timeout = span;
        self
    }

    /// Set the timeout of the handshake on an established connection.
    pub fn with_handshake_timeout(mut self, span: Duration) -> Self {
        self.handshake_timeout = span;
        self
    }

    /// Set the time without received data after which a PING is sent.
    pub fn with_ping_interval(mut self, span: Duration) -> Self {
        self.ping_interval = span;
        self
    }

    /// Set the timeout of the answer to a PING.
    pub fn with_ping_timeout(mut self, span: Duration) -> Self {
        self.ping_timeout = span;
        self
    }

    /// Set the minimum and maximum backoff between two connection attempts.
    pub fn with_backoff(mut self, min: Duration, max: Duration) -> Self {
        self.backoff_min = min;
        self.backoff_max = max.max(min);
        self
    }

    /// Set the maximum memory in bytes that the send queue of a peer uses.
    pub fn with_send_queue_bytes(mut self, bytes: usize) -> Self {
        self.send_queue_bytes = bytes;
        self
    }

    /// Set the maximum number of concurrent handshakes on accepted connections.
    pub fn with_handshake_limit(mut self, limit: usize) -> Self {
        self.handshake_limit = limit;
        self
    }

    /// Set the options of connections to targets that tunnels of peers use.
    pub fn with_target_options(mut self, options: TargetClientOptions) -> Self {
        self.target_options = options;
        self
    }

    /// Get the maximum time from the start of a connection attempt until the link is
    /// up or the attempt has failed.
    pub(crate) fn dial_timeout(&self) -> Duration {
        self.connect_timeout + self.handshake_timeout
    }
}
