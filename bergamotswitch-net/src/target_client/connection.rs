//! Provides connections to targets. A connection has TCP keepalive enabled,
//! carries one call at a time and is kept idle for a short time after a
//! complete answer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamotswitch_core::host::HostName;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::options::TargetClientOptions;
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
    ) -> Result<Response<Incoming>, SendFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failure) => Err(SendFailure {
                unsent: failure.take_message(),
                error: failure.into_error(),
            }),
        }
    }

    fn is_idle(&self) -> bool {
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
    /// The time after which it is not reused.
    use_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        Instant::now() < self.use_until && self.connection.is_idle()
    }
}

/// An `IdleConnections` is the set of idle connections to all targets.
#[derive(Clone, Debug, Default)]
pub struct IdleConnections(Arc<Mutex<HashMap<ConnectionKey, Vec<IdleConnection>>>>);

impl IdleConnections {
    /// Get a connection that may still be reused, if there is one, direct or through a
    /// tunnel of `host`. Expired connections are closed.
    pub fn take(&self, address: SocketAddr, host: Option<&HostName>) -> Option<TargetConnection> {
        let key = (address, host.cloned());
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let list = map.get_mut(&key)?;
        list.retain(IdleConnection::is_usable);
        let found = list.pop();
        if list.is_empty() {
            map.remove(&key);
        }
        found.map(|idle| idle.connection)
    }

    /// Close the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        map.retain(|(known, _), _| *known != address);
    }

    /// Close the idle direct connections to an address.
    pub fn forget_direct(&self, address: SocketAddr) {
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        map.remove(&(address, None));
    }

    /// Keep a connection whose answer was just read completely. It is reused
    /// for less than the target's `idle_timeout`.
    pub fn keep(
        &self,
        connection: TargetConnection,
        options: &TargetClientOptions,
        idle_timeout: Option<Duration>,
    ) {
        if options.idle_reuse.is_zero() || !connection.is_idle() {
            return;
        }
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let longest = match connection.tunnel {
            Some(_) => options.idle_reuse.min(IDLE_TUNNEL_REUSE),
            None => options.idle_reuse,
        };
        let list = map.entry(connection.key()).or_default();
        list.retain(IdleConnection::is_usable);
        let advertised = idle_timeout.map(|span| span.saturating_sub(IDLE_MARGIN));
        let reuse = advertised.map_or(longest, |advertised| advertised.min(longest));
        if list.len() < options.max_idle_per_target {
            list.push(IdleConnection {
                connection,
                use_until: Instant::now() + reuse,
            });
        }
    }
}
