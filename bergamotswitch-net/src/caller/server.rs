//! Provides the server of a host's HTTP interfaces and its graceful stop.

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

/// An `HttpServer` is a running server, which continues to run if this handle
/// is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<io::Result<()>>,
}

impl HttpServer {
    /// Get the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begin a graceful stop: new connections are refused, open ones accept no
    /// further requests (`GOAWAY`, `connection: close`), and answers in
    /// progress are completed without a time limit.
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

/// Try to serve the callers' interface. Must be called inside a tokio runtime.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, context: CallerContext) -> io::Result<HttpServer> {
    let opts = context.opts.clone();
    serve_router(listener, super::router(context), &opts)
}

/// Try to serve a router. Must be called inside a tokio runtime.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve_router(
    listener: TcpListener,
    router: Router,
    opts: &CallerOptions,
) -> io::Result<HttpServer> {
    listener.set_nonblocking(true)?;
    // Accepted connections inherit both settings. Keepalive closes dead
    // connections but not those of slow readers; without delay, tokens are sent
    // as they arrive and do not wait for acknowledgements of earlier ones.
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
    // The limits apply to requests only, not to answers.
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
/// The server of the HTTP library only ceases to accept, and keeps the listener
/// open until the last answer has ended. Meanwhile the kernel would complete
/// connections that are never served. With a closed listener they are refused,
/// and callers try another host at once.
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
                // Connections that the kernel has completed are still served.
                accepted = inner.accept(fuse_policy) => return accepted,
                // If the sender has been dropped, this branch never matches.
                Ok(_) = self.stop.wait_for(|stopping| *stopping) => {}
            }
        }
        self.inner = None;
        if let Some(server) = self.server.get() {
            server.stop_graceful(None);
        }
        // The server handles the stop signal and accepts no further connection.
        pending().await
    }
}
