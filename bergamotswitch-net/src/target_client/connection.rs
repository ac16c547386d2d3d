//! Provides connections to targets. A connection has TCP keepalive enabled,
//! carries one call at a time and is kept idle for a short time after a
//! complete answer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamotswitch_core::host::HostName;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target_answer::{ConnectionHistory, ConnectionUse};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::idle_limits::IdleLimits;
use super::options::TargetClientOptions;
use super::target_body::{BoundedStream, TargetBody, UnparsedBytes};
use crate::event_log;
use crate::task_guard::TaskGuard;
use crate::tunnel::{TunnelHealth, TunnelPool};

/// The request type of every call.
pub type TargetRequest = Request<Full<Bytes>>;

/// The interval between TCP keepalive probes, and the number of failed probes
/// after which the connection is closed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRIES: u32 = 3;

/// How long before the target's idle timeout a connection is no longer reused.
/// If the target closes the connection while a request is in transit, it is
/// unknown whether the request ran.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// How long an idle connection through a tunnel may be reused. A host that stops waits
/// for the tunnels that it carries.
const IDLE_TUNNEL_REUSE: Duration = Duration::from_millis(500);

/// The interval at which expired idle connections to all targets are closed, and the
/// minimum interval between two log lines about closed ones.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A `SendFailure` is an error of a call that received no response head.
#[derive(Debug)]
pub struct SendFailure {
    /// The connection's error.
    pub error: hyper::Error,
    /// The request, if no byte of it was written.
    pub unsent: Option<TargetRequest>,
}

/// A `Tunnel` is the tunnel of another host that carries a connection.
#[derive(Debug)]
struct Tunnel {
    host: HostName,
    health: TunnelHealth,
}

/// A `ConnectionKey` is the address of a target, and the host whose tunnel leads there.
type ConnectionKey = (SocketAddr, Option<HostName>);

/// A `TargetConnection` is one established HTTP/1.1 connection.
#[derive(Debug)]
pub struct TargetConnection {
    address: SocketAddr,
    tunnel: Option<Tunnel>,
    sender: SendRequest<Full<Bytes>>,
    unparsed: UnparsedBytes,
    history: ConnectionHistory,
    _task: TaskGuard,
}

impl TargetConnection {
    /// Try to establish a new connection.
    ///
    /// # Errors
    ///
    /// Returns the connect error, `TimedOut` after `within`.
    pub async fn dial(
        address: SocketAddr,
        within: Duration,
        options: &TargetClientOptions,
    ) -> io::Result<Self> {
        let stream = connect_target(address, within, options).await?;
        TargetConnection::over(address, stream).await
    }

    /// Try to get a connection over an established stream to the target.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP/1.1 setup.
    pub(crate) async fn over<Stream>(address: SocketAddr, stream: Stream) -> io::Result<Self>
    where
        Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let unparsed = UnparsedBytes::default();
        let stream = BoundedStream::new(stream, unparsed.clone());
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = TaskGuard::spawn(async move {
            // The call in flight gets the same error.
            let _ = connection.await;
        });
        Ok(TargetConnection {
            address,
            tunnel: None,
            sender,
            unparsed,
            history: ConnectionHistory::default(),
            _task: task,
        })
    }

    /// Try to get a connection through a tunnel of another host.
    ///
    /// # Errors
    ///
    /// Returns an error if the tunnel cannot be established.
    pub(super) async fn dial_through(
        tunnels: &TunnelPool,
        host: &HostName,
        address: SocketAddr,
        within: Duration,
    ) -> io::Result<Self> {
        let stream = tunnels.open(host, address, within).await?;
        let tunnel = Tunnel {
            host: host.clone(),
            health: stream.health().clone(),
        };
        let connection = TargetConnection::over(address, stream).await?;
        Ok(TargetConnection {
            tunnel: Some(tunnel),
            ..connection
        })
    }

    /// Get the health of the connection's tunnel.
    pub(super) fn tunnel_health(&self) -> Option<TunnelHealth> {
        self.tunnel.as_ref().map(|tunnel| tunnel.health.clone())
    }

    fn key(&self) -> ConnectionKey {
        let host = self.tunnel.as_ref().map(|tunnel| tunnel.host.clone());
        (self.address, host)
    }

    /// Try to send a request and get the response's head.
    ///
    /// # Errors
    ///
    /// Returns the connection's error, with the request if no byte of it was
    /// written.
    pub async fn send(
        &mut self,
        request: TargetRequest,
    ) -> Result<Response<TargetBody>, SendFailure> {
        self.unparsed.reset();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.unparsed.reset();
                let unparsed = self.unparsed.clone();
                Ok(response.map(|body| TargetBody::new(body, unparsed)))
            }
            Err(mut failure) => Err(SendFailure {
                unsent: failure.take_message(),
                error: failure.into_error(),
            }),
        }
    }

    /// Get whether the connection has carried requests before.
    pub(super) fn connection_use(&self) -> ConnectionUse {
        self.history.connection_use()
    }

    /// Record that the target rejected a request.
    pub fn record_rejection(&mut self, request_id: &str) {
        self.history.record_rejection(request_id);
    }

    /// Get whether the connection is open and takes a request.
    pub(super) fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Try to establish a TCP connection to a target.
///
/// # Errors
///
/// Returns the connect error, `TimedOut` after `within`.
pub(crate) async fn connect_target(
    address: SocketAddr,
    within: Duration,
    options: &TargetClientOptions,
) -> io::Result<TcpStream> {
    let connecting = timeout(within, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure_socket(&stream, options)?;
    Ok(stream)
}

/// Set the TCP options that detect a path that silently drops the connection's
/// packets; a call to a plain service over it would otherwise wait forever. An
/// unacknowledged keepalive probe (idle) or unacknowledged data (sending)
/// closes the connection with an error.
fn configure_socket(stream: &TcpStream, options: &TargetClientOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(options.keepalive)
        .with_interval(options.keepalive.min(KEEPALIVE_INTERVAL))
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(options.user_timeout))?;
    Ok(())
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    idle_since: Instant,
    /// The time after which it is not reused.
    use_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        Instant::now() < self.use_until && self.connection.is_idle()
    }
}

/// A `ConnectionCounts` is the use of connections to targets since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConnectionCounts {
    /// The number of connections opened for calls.
    pub opened: u64,
    /// The number of calls that were sent over an idle connection.
    pub reused: u64,
    /// The number of idle connections closed to stay within a limit.
    pub closed: u64,
    /// The number of connections that are idle now.
    pub idle: usize,
}

/// An `IdlePool` is the idle connections by target, in each list the oldest first.
#[derive(Debug, Default)]
struct IdlePool {
    lists: HashMap<ConnectionKey, Vec<IdleConnection>>,
    limits: Option<IdleLimits>,
    counts: ConnectionCounts,
    swept_at: Option<Instant>,
    logged_at: Option<Instant>,
}

impl IdlePool {
    fn len(&self) -> usize {
        self.lists.values().map(Vec::len).sum()
    }

    /// Close the connections that may not be reused any more, to all targets. Those to a
    /// target that gets no more calls would stay open otherwise.
    fn sweep(&mut self) {
        let now = Instant::now();
        let is_due = self.swept_at.is_none_or(|at| now - at >= SWEEP_INTERVAL);
        if self.limits.is_none() || !is_due {
            return;
        }
        self.swept_at = Some(now);
        self.lists.retain(|_, list| {
            list.retain(IdleConnection::is_usable);
            !list.is_empty()
        });
    }

    /// Close the oldest connections of a list until it has at most `most`.
    fn trim_list(&mut self, key: &ConnectionKey, most: usize, limit: &str) {
        let Some(list) = self.lists.get_mut(key) else {
            return;
        };
        let excess = list.len().saturating_sub(most);
        list.drain(..excess);
        if list.is_empty() {
            self.lists.remove(key);
        }
        self.record_closed(excess, limit);
    }

    /// Close the oldest connections of all until there are at most `most`.
    fn trim_all(&mut self, most: usize) {
        for _ in most..self.len() {
            let firsts = self.lists.iter().filter_map(|(key, list)| {
                let first = list.first()?;
                Some((first.idle_since, key))
            });
            let oldest = firsts.min_by_key(|(since, _)| *since);
            let Some(key) = oldest.map(|(_, key)| key.clone()) else {
                return;
            };
            let left = self.lists.get(&key).map_or(0, Vec::len).saturating_sub(1);
            self.trim_list(&key, left, "host");
        }
    }

    /// Close idle connections until one more to this target is within the limits.
    fn make_room(&mut self, key: &ConnectionKey, max_per_target: usize) {
        let Some((part, total)) = self
            .limits
            .as_ref()
            .map(|limits| (limits.of_target(key.0), limits.total))
        else {
            return;
        };
        self.trim_list(key, part.min(max_per_target).saturating_sub(1), "target");
        self.trim_all(total.saturating_sub(1));
    }

    fn record_closed(&mut self, count: usize, limit: &str) {
        if count == 0 {
            return;
        }
        self.counts.closed += count as u64;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("limit", &limit),
            ("closed", &self.counts.closed),
            ("idle", &self.len()),
        ];
        event_log::write(Incident::IdleConnectionsClosed, &pairs);
    }
}

/// An `IdleConnections` is the set of idle connections to all targets.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections(Arc<Mutex<IdlePool>>);

impl IdleConnections {
    fn lock(&self) -> MutexGuard<'_, IdlePool> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Set the limits, and close what exceeds them. Without limits, a connection beyond
    /// the maximum of its target is not kept, and others stay.
    pub fn set_limits(&self, limits: Option<IdleLimits>) {
        let mut pool = self.lock();
        if pool.limits == limits {
            return;
        }
        pool.limits = limits;
        let Some(limits) = pool.limits.clone() else {
            return;
        };
        let keys: Vec<ConnectionKey> = pool.lists.keys().cloned().collect();
        for key in keys {
            pool.trim_list(&key, limits.of_target(key.0), "target");
        }
        pool.trim_all(limits.total);
    }

    /// Get the use of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let pool = self.lock();
        ConnectionCounts {
            idle: pool.len(),
            ..pool.counts
        }
    }

    /// Count a connection that was opened for a call.
    pub(super) fn count_opened(&self) {
        self.lock().counts.opened += 1;
    }

    /// Get the newest connection that may still be reused, if there is one, direct or
    /// through a tunnel of `host`. Expired connections are closed. The newest one is the
    /// least likely to be closed by its target, and those that a burst left expire. The
    /// request was not rejected on it before.
    pub fn take(
        &self,
        address: SocketAddr,
        host: Option<&HostName>,
        request_id: &str,
    ) -> Option<TargetConnection> {
        let key = (address, host.cloned());
        let mut pool = self.lock();
        let list = pool.lists.get_mut(&key)?;
        list.retain(IdleConnection::is_usable);
        let usable = |idle: &IdleConnection| idle.connection.history.allows(request_id);
        let found = list
            .iter()
            .rposition(usable)
            .map(|place| list.remove(place));
        if list.is_empty() {
            pool.lists.remove(&key);
        }
        pool.counts.reused += u64::from(found.is_some());
        found.map(|idle| idle.connection)
    }

    /// Close the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().lists.retain(|(known, _), _| *known != address);
    }

    /// Close the idle direct connections to an address.
    pub fn forget_direct(&self, address: SocketAddr) {
        self.lock().lists.remove(&(address, None));
    }

    /// Keep a connection whose answer was just read completely. It is reused
    /// for less than the target's `idle_timeout`.
    pub fn keep(
        &self,
        mut connection: TargetConnection,
        options: &TargetClientOptions,
        idle_timeout: Option<Duration>,
    ) {
        let is_reusable = connection.is_idle() && !connection.history.is_full();
        if options.idle_reuse.is_zero() || !is_reusable {
            return;
        }
        connection.history.record_answer();
        let longest = match connection.tunnel {
            Some(_) => options.idle_reuse.min(IDLE_TUNNEL_REUSE),
            None => options.idle_reuse,
        };
        let advertised = idle_timeout.map(|span| span.saturating_sub(IDLE_MARGIN));
        let reuse = advertised.map_or(longest, |advertised| advertised.min(longest));
        let key = connection.key();
        let mut pool = self.lock();
        pool.sweep();
        pool.make_room(&key, options.max_idle_per_target);
        let list = pool.lists.entry(key).or_default();
        list.retain(IdleConnection::is_usable);
        if list.len() < options.max_idle_per_target {
            let now = Instant::now();
            list.push(IdleConnection {
                connection,
                idle_since: now,
                use_until: now + reuse,
            });
        }
    }
}
