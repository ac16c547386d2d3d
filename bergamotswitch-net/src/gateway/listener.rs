//! Provides the listening and the connections of the gateway.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use super::answer_body::AnswerBody;
use super::{GatewayContext, GatewayPhase};
use crate::task_guard::TaskGuard;

/// The least buffer for a head that the library takes.
const MIN_HEAD_BUFFER: usize = 8_192;

/// The idle time after which the kernel probes a caller's connection, and how
/// often it does: callers whose machine lost power are noticed within some
/// ten seconds, and what runs for them ends.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(4);
const KEEPALIVE_PROBES: u32 = 3;

/// The pause after an accept that failed for want of descriptors: at once it
/// would fail again, and the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Try to answer what comes on a listener by `handler`, until the guard is
/// dropped. Its connections end in the phase `closing_phase`.
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
    let limits = context.publication.borrow().routes.config().limits;
    let _guard = context.connection_guard.clone();
    let mut phase = context.phase.clone();
    let service = service_fn(|request| {
        let context = Arc::clone(&context);
        async move {
            let chunked = bergamotswitch_platform::call::is_chunked(request.headers());
            let phase = context.phase.clone();
            let mut response = handler(context, request).await;
            // Looked at after the call: a stop that begins while it waits makes
            // its caller go elsewhere as well.
            let stopping = *phase.borrow() != GatewayPhase::Serving;
            // Where a body came in chunks, a length that stood beside them is
            // not seen here: what follows on the connection might be the rest
            // of a body in the eyes of whoever stands before the caller, and
            // would run as a request that nobody sent.
            if chunked || stopping {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The library's bound on the time for a head counts from the end of the
    // call before, so it bounds the idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(MIN_HEAD_BUFFER.max(limits.max_header_bytes as usize))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // The guard of the value seen must not be held over an await.
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
        log::debug!("caller's connection ended: {error}");
    }
}
