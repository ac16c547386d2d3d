//! Provides the server of a host's HTTP interfaces, and its graceful stop.

use std::future::pending;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, OnceLock};

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::{ArcFusePolicy, FuseConfig};
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use socket2::SockRef;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::context::{CallerContext, CallerOptions};
use super::forward::keepalive;

/// An `HttpServer` is a running server. Dropping it leaves the server run.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<io::Result<()>>,
}

impl HttpServer {
    /// Get where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begin a graceful stop: connections are refused from now on, open ones
    /// take no further request (`GOAWAY`, `connection: close`), and open
    /// answers go on to their ends. No timer cuts an answer.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Wait until the server has stopped.
    ///
    /// # Errors
    ///
    /// Returns the error with which the server ended.
    pub async fn stopped(self) -> io::Result<()> {
        match self.task.await {
            Ok(ended) => ended,
            Err(error) => Err(io::Error::other(error)),
        }
    }
}

/// Try to serve callers. Must be called inside a tokio runtime.
///
/// # Errors
///
/// Returns an error where the listener cannot be used.
pub fn serve(listener: TcpListener, context: CallerContext) -> io::Result<HttpServer> {
    let opts = context.opts.clone();
    serve_router(listener, super::router(context), &opts)
}

/// Try to serve a router of this system. Must be called inside a tokio
/// runtime.
///
/// # Errors
///
/// Returns an error where the listener cannot be used.
pub fn serve_router(
    listener: TcpListener,
    router: Router,
    opts: &CallerOptions,
) -> io::Result<HttpServer> {
    listener.set_nonblocking(true)?;
    // Accepted connections inherit both settings. One that went silent for
    // good is noticed and closed, a slow reader's is not; and tokens are sent
    // as they come, not held back until the caller acknowledges earlier ones.
    let socket = SockRef::from(&listener);
    socket.set_tcp_keepalive(&keepalive())?;
    socket.set_tcp_nodelay(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (stop, stop_signal) = watch::channel(false);
    let handle = Arc::new(OnceLock::new());
    let acceptor = ClosingAcceptor {
        inner: Some(TcpAcceptor::try_from(listener)?),
        stop: stop_signal,
        server: Arc::clone(&handle),
    };
    // The bounds are on what callers send; none is on answers.
    let fuse = FuseConfig::default().with_request_body_timeout(opts.body_idle_timeout);
    let server = Server::new(acceptor).fuse_config(fuse);
    handle.get_or_init(|| server.handle());
    let task = tokio::spawn(server.try_serve(router));
    Ok(HttpServer {
        address,
        stop,
        task,
    })
}

/// A `ClosingAcceptor` closes its listener when a stop begins.
///
/// The library's server only ceases to accept, and keeps the listener open
/// until the last answer has ended. Callers that connect meanwhile would be
/// taken by the kernel and wait, for as long as that answer lasts, at a host
/// that never serves them; refused, they go to another host at once.
struct ClosingAcceptor {
    inner: Option<TcpAcceptor>,
    stop: watch::Receiver<bool>,
    server: Arc<OnceLock<ServerHandle>>,
}

impl Acceptor for ClosingAcceptor {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        match &self.inner {
            Some(inner) => inner.holdings(),
            None => &[],
        }
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(inner) = &mut self.inner {
            tokio::select! {
                biased;
                // What the kernel has taken already is served.
                accepted = inner.accept(fuse_policy) => return accepted,
                // Where nobody can say stop any more, this never matches.
                Ok(_) = self.stop.wait_for(|begun| *begun) => {}
            }
        }
        self.inner = None;
        if let Some(server) = self.server.get() {
            server.stop_graceful(None);
        }
        // The server takes up the stop and asks for no further connection.
        pending().await
    }
}
