//! Provides the HTTP listener on the loopback interface that the stand-ins of the
//! key-value store and the gateway's targets use.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, server};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::sleep;

use crate::raw_connection::RawConnection;
use crate::target_control::lock;

/// A `LoopbackListener` is a running HTTP listener; it stops accepting connections
/// when dropped.
#[derive(Debug)]
pub(crate) struct LoopbackListener {
    pub(crate) address: SocketAddr,
    pub(crate) control: ListenerControl,
    task: JoinHandle<()>,
}

/// A `ListenerControl` closes the connections and the port of a listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerControl {
    connections: OpenConnections,
    outages: mpsc::UnboundedSender<Duration>,
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
    /// returned by the handler closes the connection. Requests have their
    /// [`RawConnection`] as an extension.
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
        let (outages, mut requested) = mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            let mut listener = listener;
            while let Ok(stream) = accept(&mut listener, &mut requested).await {
                let Ok((stream, raw)) = RawConnection::try_new(stream) else {
                    continue;
                };
                let handler = handler.clone();
                let service = service_fn(move |mut request: Request<Incoming>| {
                    request.extensions_mut().insert(raw.clone());
                    handler(request)
                });
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
            control: ListenerControl {
                connections,
                outages,
            },
            task,
        })
    }
}

impl ListenerControl {
    /// Close all connections and refuse new ones for this time, as a crash does.
    pub(crate) fn crash(&self, down: Duration) {
        // Sending fails only if the listener has stopped.
        let _ = self.outages.send(down);
        self.close_connections();
    }

    /// Close all connections and abort their requests, as a process exit does.
    pub(crate) fn close_connections(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
    }
}

/// Accept the next connection. During an outage the port is closed.
async fn accept(
    listener: &mut TcpListener,
    outages: &mut mpsc::UnboundedReceiver<Duration>,
) -> io::Result<TcpStream> {
    let address = listener.local_addr()?;
    loop {
        let down = tokio::select! {
            biased;
            Some(down) = outages.recv() => down,
            accepted = listener.accept() => return accepted.map(|(stream, _)| stream),
        };
        let free = TcpListener::bind(("127.0.0.1", 0)).await?;
        drop(std::mem::replace(listener, free));
        sleep(down).await;
        *listener = TcpListener::bind(address).await?;
    }
}
