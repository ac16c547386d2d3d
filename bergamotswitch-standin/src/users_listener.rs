//! Provides the listener of the stand-ins of the users' platform.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, server};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinHandle};

use crate::target_control::lock;

/// A `UsersListener` is a running listener; its drop closes it.
#[derive(Debug)]
pub(crate) struct UsersListener {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
    connections: OpenConnections,
}

/// The tasks of the connections that were accepted.
type OpenConnections = Arc<Mutex<Vec<AbortHandle>>>;

impl Drop for UsersListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UsersListener {
    /// Try to serve HTTP/1.1 by `handler` on a free port of loopback. A
    /// handler's error closes its connection.
    ///
    /// # Errors
    ///
    /// Returns an error where there is none.
    pub(crate) async fn start<Handler, Answer, Bytes, Failure>(handler: Handler) -> io::Result<Self>
    where
        Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + 'static,
        Answer: Future<Output = Result<Response<Bytes>, Failure>> + Send + 'static,
        Bytes: Body + Send + 'static,
        Bytes::Data: Send,
        Bytes::Error: Into<Box<dyn Error + Send + Sync>>,
        Failure: Into<Box<dyn Error + Send + Sync>> + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let connections = OpenConnections::default();
        let open = Arc::clone(&connections);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = service_fn(handler.clone());
                let serving = server::conn::http1::Builder::new();
                let connection = serving.serve_connection(TokioIo::new(stream), service);
                let serving = tokio::spawn(async move {
                    // The caller sees the same error at its end.
                    let _ = connection.await;
                });
                let mut open = lock(&open);
                open.retain(|connection| !connection.is_finished());
                open.push(serving.abort_handle());
            }
        });
        Ok(UsersListener {
            address,
            task,
            connections,
        })
    }

    /// End all connections and what is served on them, as a process does that
    /// ends.
    pub(crate) fn end_connections(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
    }
}
