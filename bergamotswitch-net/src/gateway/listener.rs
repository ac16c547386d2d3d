//! Provides the listeners and connections of the gateway.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::answer_body::AnswerBody;
use super::idle_timer::IdleTimer;
use super::{GatewayContext, GatewayPhase};
use crate::task_guard::TaskGuard;

/// The smallest buffer for request heads, in bytes. The HTTP library fixes the size
/// when a connection opens, and the limit may be raised later.
const MIN_HEAD_BUFFER: usize = 65_536;

/// The bytes of a head around each field and around the request line: `: ` or two
/// spaces, and the end of the line.
const FIELD_OVERHEAD: usize = 4;
/// The bytes of the protocol version in the request line.
const VERSION_BYTES: usize = 8;

/// The TCP keepalive settings: the idle time before the first probe, which is
/// also the interval of the probes, and the number of unanswered probes after
/// which a connection is closed. They detect callers whose machine lost power,
/// so that their requests are cancelled.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(4);
const KEEPALIVE_PROBES: u32 = 3;

/// The delay after a failed accept. Without it the task would spin while the
/// process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Try to serve the connections of a listener with `handler`, until the guard
/// is dropped. Connections close once the phase `closing_phase` is reached.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(super) fn serve<Handler, Answer>(
    listener: std::net::TcpListener,
    context: &Arc<GatewayContext>,
    closing_phase: GatewayPhase,
    handler: Handler,
) -> io::Result<TaskGuard>
where
    Handler: Fn(Arc<GatewayContext>, Request<Incoming>) -> Answer + Copy + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let socket = SockRef::from(&listener);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    let listener = TcpListener::from_std(listener)?;
    let context = Arc::clone(context);
    let task = TaskGuard::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let context = Arc::clone(&context);
                    drop(tokio::spawn(connection(
                        context,
                        stream,
                        closing_phase,
                        handler,
                    )))
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
    Ok(task)
}

async fn connection<Handler, Answer>(
    context: Arc<GatewayContext>,
    stream: TcpStream,
    closing_phase: GatewayPhase,
    handler: Handler,
) where
    Handler: Fn(Arc<GatewayContext>, Request<Incoming>) -> Answer + Copy + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let _guard = context.connection_guard.clone();
    let mut phase = context.phase.clone();
    let service = service_fn(|request| {
        let context = Arc::clone(&context);
        async move {
            let chunked = bergamotswitch_platform::call::is_chunked(request.headers());
            let phase = context.phase.clone();
            let oversized = head_bytes(&request) > max_header_bytes(&context);
            let mut response = match oversized {
                true => oversized_head(),
                false => handler(context, request).await,
            };
            // The phase is read after the call, so that a stop that begins
            // during the call closes the connection, too.
            let stopping = *phase.borrow() != GatewayPhase::Serving;
            // A `content-length` beside a chunked body is not visible here. A
            // proxy that delimits the body by it would see the rest of the
            // connection as part of that body, and its content would run as a
            // request that no caller sent (request smuggling). So the
            // connection is closed.
            if chunked || stopping || oversized {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The HTTP library measures this timeout from the end of the previous
    // request, so it also limits the idle time. The timer adds the limit in force.
    let connection = http1::Builder::new()
        .timer(IdleTimer::new(context.publication.clone()))
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(MIN_HEAD_BUFFER.max(max_header_bytes(&context)))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // The guard of the watched value must not be held across an await.
        drop(phase.wait_for(|phase| *phase >= closing_phase).await);
    };
    let ended = tokio::select! {
        served = connection.as_mut() => Some(served),
        () = closing => None,
    };
    let served = match ended {
        Some(served) => served,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("caller connection failed: {error}");
    }
}

/// Get the maximum size of a request's head that is in force, in bytes.
fn max_header_bytes(context: &GatewayContext) -> usize {
    let publication = context.publication.borrow();
    publication.routes.config().limits.max_header_bytes as usize
}

/// Get the size of a request's head, in bytes.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query();
    let target = target.map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + VERSION_BYTES + FIELD_OVERHEAD;
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD);
    line + fields.sum::<usize>()
}

fn oversized_head() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(Bytes::new()));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    response
}
