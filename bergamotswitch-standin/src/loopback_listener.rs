//! Provides the HTTP listener on the loopback interface that the stand-ins of the
//! key-value store and the gateway's targets use.

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

/// A `LoopbackListener` is a running HTTP listener; it stops accepting connections
/// when dropped.
#[derive(Debug)]
pub(crate) struct LoopbackListener {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
    connections: OpenConnections,
}

/// The tasks of the accepted connections.
type OpenConnections = Arc<Mutex<Vec<AbortHandle>>>;

impl Drop for LoopbackListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LoopbackListener {
    /// Try to serve HTTP/1.1 with `handler` on a free loopback port. An error
    /// returned by the handler closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub(crate) async fn start<Handler, ResponseFuture, ResponseBody, HandlerError>(
        handler: Handler,
    ) -> io::Result<Self>
    where
        Handler: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + 'static,
        ResponseFuture:
            Future<Output = Result<Response<ResponseBody>, HandlerError>> + Send + 'static,
        ResponseBody: Body + Send + 'static,
        ResponseBody::Data: Send,
        ResponseBody::Error: Into<Box<dyn Error + Send + Sync>>,
        HandlerError: Into<Box<dyn Error + Send + Sync>> + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let connections = OpenConnections::default();
        let open = Arc::clone(&connections);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = service_fn(handler.clone());
                let builder = server::conn::http1::Builder::new();
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                let serving = tokio::spawn(async move {
                    // The client observes the error as a closed connection.
                    let _ = connection.await;
                });
                let mut open = lock(&open);
                open.retain(|connection| !connection.is_finished());
                open.push(serving.abort_handle());
            }
        });
        Ok(LoopbackListener {
            address,
            task,
            connections,
        })
    }

    /// Close all connections and abort their requests, as a process exit does.
    pub(crate) fn close_connections(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
    }
}
