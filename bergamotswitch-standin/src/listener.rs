//! Provides HTTP listeners with fault injection: connections can be made
//! unresponsive, closed or refused.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::response::{REQUEST_ID, ResponseBody};
use crate::switches::SilenceMode;
use crate::target_control::lock;

/// The delay before binding or accepting is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateMode {
    Open,
    Silent,
    Closed,
}

#[derive(Debug)]
struct GateState {
    mode: GateMode,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// A `ConnectionGate` controls whether one connection is read and written.
#[derive(Debug)]
struct ConnectionGate(Mutex<GateState>);

impl ConnectionGate {
    fn new(mode: GateMode) -> Self {
        ConnectionGate(Mutex::new(GateState {
            mode,
            reader: None,
            writer: None,
        }))
    }

    fn set(&self, mode: GateMode) {
        let mut state = lock(&self.0);
        // A closed connection cannot be reopened.
        if state.mode != GateMode::Closed {
            state.mode = mode;
        }
        let wakers = [state.reader.take(), state.writer.take()];
        drop(state);
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    fn poll(&self, context: &Context<'_>, writing: bool) -> Poll<io::Result<()>> {
        let mut state = lock(&self.0);
        let waker = Some(context.waker().clone());
        match writing {
            true => state.writer = waker,
            false => state.reader = waker,
        }
        match state.mode {
            GateMode::Open => Poll::Ready(Ok(())),
            GateMode::Silent => Poll::Pending,
            GateMode::Closed => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

/// A `GatedStream` is a TCP stream whose reads and writes pass a gate.
struct GatedStream {
    stream: TcpStream,
    gate: Arc<ConnectionGate>,
}

/// Return from the caller with pending or an error unless the gate is open.
macro_rules! pass_gate {
    ($self:ident, $context:ident, $writing:literal) => {
        match $self.gate.poll($context, $writing) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        }
    };
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        pass_gate!(self, context, false);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        pass_gate!(self, context, true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        pass_gate!(self, context, true);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        pass_gate!(self, context, true);
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[derive(Debug, Default)]
struct ConnectionSet {
    gates: Vec<Weak<ConnectionGate>>,
    silence_new: bool,
}

/// A `ListenerControl` opens, closes and silences a listener's socket and
/// connections.
#[derive(Debug)]
pub(crate) struct ListenerControl {
    connections: Mutex<ConnectionSet>,
    listening: watch::Sender<bool>,
}

impl ListenerControl {
    /// Get a control whose listener accepts connections.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(ListenerControl {
            connections: Mutex::default(),
            listening: watch::Sender::new(true),
        })
    }

    /// Stop or resume the reading and writing of connections.
    pub(crate) fn set_silence(&self, mode: SilenceMode) {
        lock(&self.connections).silence_new = mode == SilenceMode::All;
        match mode {
            SilenceMode::Off => self.set_gates(GateMode::Open),
            SilenceMode::Open | SilenceMode::All => self.set_gates(GateMode::Silent),
        }
    }

    /// Close or reopen the listener; open connections stay.
    pub(crate) fn set_listening(&self, listening: bool) {
        self.listening.send_replace(listening);
    }

    /// Close all open connections.
    pub(crate) fn close_all(&self) {
        self.set_gates(GateMode::Closed);
    }

    fn set_gates(&self, mode: GateMode) {
        let gates = lock(&self.connections).gates.clone();
        for gate in gates.iter().filter_map(Weak::upgrade) {
            gate.set(mode);
        }
    }

    fn register(&self) -> Arc<ConnectionGate> {
        let mut connections = lock(&self.connections);
        let mode = match connections.silence_new {
            true => GateMode::Silent,
            false => GateMode::Open,
        };
        let gate = Arc::new(ConnectionGate::new(mode));
        connections.gates.retain(|gate| gate.strong_count() > 0);
        connections.gates.push(Arc::downgrade(&gate));
        gate
    }
}

/// A `ListenerHandle` is a running listener; dropping it closes the socket and
/// all connections.
#[derive(Debug)]
pub(crate) struct ListenerHandle {
    pub(crate) address: SocketAddr,
    control: Arc<ListenerControl>,
    task: JoinHandle<()>,
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.control.close_all();
    }
}

/// Serve HTTP/1.1 on `address` with `handler`, under `control`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn listen<H, F>(
    address: SocketAddr,
    control: Arc<ListenerControl>,
    handler: H,
) -> io::Result<ListenerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept_loop(
        listener,
        address,
        Arc::clone(&control),
        handler,
    ));
    Ok(ListenerHandle {
        address,
        control,
        task,
    })
}

async fn accept_loop<H, F>(
    listener: TcpListener,
    address: SocketAddr,
    control: Arc<ListenerControl>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut listening = control.listening.subscribe();
    let mut bound = Some(listener);
    loop {
        let wanted = *listening.borrow_and_update();
        let listener = match (wanted, bound.take()) {
            (true, Some(listener)) => listener,
            (true, None) => match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            },
            (false, listener) => {
                drop(listener);
                if listening.changed().await.is_err() {
                    return;
                }
                continue;
            }
        };
        tokio::select! {
            _ = listening.changed() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream, &control, handler.clone()),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            },
        }
        bound = Some(listener);
    }
}

fn serve<H, F>(stream: TcpStream, control: &ListenerControl, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    // Nagle's algorithm would delay the small writes of single tokens.
    let _ = stream.set_nodelay(true);
    let gate = control.register();
    let io = TokioIo::new(GatedStream { stream, gate });
    let service = service_fn(move |request: Request<Incoming>| {
        let id = request.headers().get(REQUEST_ID).cloned();
        let answer = handler(request);
        async move {
            let mut response = answer.await;
            if let Some(id) = id {
                // The wrong id of a crossed answer is kept.
                response.headers_mut().entry(REQUEST_ID).or_insert(id);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new().serve_connection(io, service);
    tokio::spawn(async move {
        // Connection errors are expected: the switches cause them.
        let _ = connection.await;
    });
}
