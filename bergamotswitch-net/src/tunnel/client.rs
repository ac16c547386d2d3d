//! Provides the connections on which a host opens tunnels.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamotswitch_core::host::HostName;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::time::{sleep, timeout};

use super::stream::TunnelStream;
use super::{CONNECTION_WINDOW_BYTES, TARGET_FIELD, TUNNEL_PATH, TUNNEL_WINDOW_BYTES};
use crate::link::{LinkOptions, LinkRegistry, dial_peer, monitor_liveness, peer_request};
use crate::task_guard::TaskGuard;

/// The time without a PING answer or a tunnel's data after which a PING is sent, and how
/// long its answer may take. Callers wait for what a tunnel carries.
const PING_INTERVAL: Duration = Duration::from_millis(400);
const PING_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a connection without tunnels is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A `TunnelHealth` tells whether a tunnel broke between the two hosts, which says
/// nothing about the target. While it exists, the tunnel counts as in use.
#[derive(Clone, Debug)]
pub(crate) struct TunnelHealth {
    is_broken: Arc<AtomicBool>,
    _open: OpenTunnels,
}

impl TunnelHealth {
    pub(super) fn mark_broken(&self) {
        self.is_broken.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Relaxed)
    }
}

/// An `OpenTunnels` counts the tunnels of a connection that are in use: each holds a
/// reference.
type OpenTunnels = Arc<()>;

/// A `TunnelConnection` is an established connection for tunnels.
#[derive(Clone)]
struct TunnelConnection {
    requests: SendRequest<Bytes>,
    open: OpenTunnels,
    _task: Arc<TaskGuard>,
    is_closed: Arc<AtomicBool>,
}

/// A `Connecting` is a connection that several calls wait for, or have.
type Connecting = Shared<BoxFuture<'static, Option<TunnelConnection>>>;

/// A `TunnelPool` opens tunnels at other hosts. It keeps one connection per host while
/// there are tunnels.
#[derive(Clone)]
pub struct TunnelPool {
    registry: Arc<LinkRegistry>,
    connections: Arc<Mutex<HashMap<HostName, Connecting>>>,
}

impl std::fmt::Debug for TunnelPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TunnelPool").finish_non_exhaustive()
    }
}

impl TunnelPool {
    pub(crate) fn new(registry: Arc<LinkRegistry>) -> Self {
        TunnelPool {
            registry,
            connections: Arc::default(),
        }
    }

    /// Try to open a tunnel through a host to a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached, or if it does not reach the
    /// target. No byte was sent to the target then.
    pub(crate) async fn open(
        &self,
        host: &HostName,
        target: SocketAddr,
        within: Duration,
    ) -> io::Result<TunnelStream> {
        let opened = timeout(within, self.open_stream(host, target)).await;
        opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn open_stream(&self, host: &HostName, target: SocketAddr) -> io::Result<TunnelStream> {
        let connection = self.connection(host).await;
        let connection = connection.ok_or(io::ErrorKind::NotConnected)?;
        let ready = connection.requests.clone().ready().await;
        let mut requests = ready.map_err(io::Error::other)?;
        let mut request: Request<()> = peer_request(Method::POST, TUNNEL_PATH);
        let address = target.to_string().parse().map_err(io::Error::other)?;
        request.headers_mut().insert(TARGET_FIELD, address);
        let (answer, writer) = requests
            .send_request(request, false)
            .map_err(io::Error::other)?;
        let answer = answer.await.map_err(io::Error::other)?;
        match answer.status() {
            StatusCode::OK => {}
            // The target refused the connection.
            StatusCode::BAD_GATEWAY => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => return Err(io::ErrorKind::NotConnected.into()),
        }
        let health = TunnelHealth {
            is_broken: Arc::default(),
            _open: Arc::clone(&connection.open),
        };
        Ok(TunnelStream::new(writer, answer.into_body(), health))
    }

    /// Get the connection to a host. A closed one is replaced.
    async fn connection(&self, host: &HostName) -> Option<TunnelConnection> {
        let connecting = self.connecting(host);
        let connection = connecting.clone().await;
        if connection.is_none() {
            let mut connections = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let known = connections.get(host);
            if known.is_some_and(|known| known.ptr_eq(&connecting)) {
                connections.remove(host);
            }
        }
        connection
    }

    fn connecting(&self, host: &HostName) -> Connecting {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, known| match known.peek() {
            Some(Some(connection)) => !connection.is_closed.load(Ordering::Relaxed),
            Some(None) => false,
            None => true,
        });
        if let Some(known) = connections.get(host) {
            return known.clone();
        }
        let connecting = connect(Arc::clone(&self.registry), host.clone());
        let connecting = connecting.boxed().shared();
        connections.insert(host.clone(), connecting.clone());
        // A caller that gives up must not end the attempt that others wait for.
        tokio::spawn(connecting.clone());
        connecting
    }
}

/// Connect to a host and perform the handshake.
async fn connect(registry: Arc<LinkRegistry>, host: HostName) -> Option<TunnelConnection> {
    let address = registry.address(&host)?;
    let windows = (TUNNEL_WINDOW_BYTES, CONNECTION_WINDOW_BYTES);
    let peer = dial_peer(&registry, &host, address, TUNNEL_PATH, windows).await?;
    let open = OpenTunnels::default();
    let is_closed = Arc::new(AtomicBool::new(false));
    let (in_use, closed) = (Arc::downgrade(&open), Arc::clone(&is_closed));
    let task = TaskGuard::spawn(async move {
        let mut ping = peer.ping;
        let opts = LinkOptions::default()
            .with_ping_interval(PING_INTERVAL)
            .with_ping_timeout(PING_TIMEOUT);
        let received = AtomicU64::new(0);
        tokio::select! {
            _ = peer.connection => {}
            _ = monitor_liveness(&mut ping, &opts, &received) => {}
            () = wait_until_idle(&in_use) => {}
        }
        closed.store(true, Ordering::Relaxed);
    });
    Some(TunnelConnection {
        requests: peer.requests,
        open,
        _task: Arc::new(task),
        is_closed,
    })
}

/// Wait until the connection has had no tunnel for the idle timeout.
async fn wait_until_idle(in_use: &std::sync::Weak<()>) {
    let mut was_idle = false;
    loop {
        sleep(IDLE_TIMEOUT / 2).await;
        // The connection itself holds a reference.
        let is_idle = in_use.strong_count() <= 1;
        if is_idle && was_idle {
            return;
        }
        was_idle = is_idle;
    }
}
