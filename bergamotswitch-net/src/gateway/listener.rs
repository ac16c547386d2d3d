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
use super::{GatewayDesk, GatewayPhase};
use crate::task_guard::TaskGuard;

/// The least buffer for a head that the library takes.
const MIN_BUFFER: usize = 8_192;

/// The idle time after which the kernel probes a caller's connection, and how
/// often it does: callers whose machine lost power are noticed within some
/// ten seconds, and what runs for them ends.
const KEEPALIVE: Duration = Duration::from_secs(4);
const KEEPALIVE_PROBES: u32 = 3;

/// The pause after an accept that failed for want of descriptors: at once it
/// would fail again, and the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Try to answer what comes on a listener by `handler`, until the guard is
/// dropped. Its connections end in the phase `until`.
pub(super) fn serve<Handler, Answer>(
    listener: std::net::TcpListener,
    desk: &Arc<GatewayDesk>,
    until: GatewayPhase,
    handler: Handler,
) -> io::Result<TaskGuard>
where
    Handler: Fn(Arc<GatewayDesk>, Request<Incoming>) -> Answer + Copy + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let socket = SockRef::from(&listener);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    let listener = TcpListener::from_std(listener)?;
    let desk = Arc::clone(desk);
    let task = TaskGuard::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let desk = Arc::clone(&desk);
                    drop(tokio::spawn(connection(desk, stream, until, handler)))
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(task)
}

async fn connection<Handler, Answer>(
    desk: Arc<GatewayDesk>,
    stream: TcpStream,
    until: GatewayPhase,
    handler: Handler,
) where
    Handler: Fn(Arc<GatewayDesk>, Request<Incoming>) -> Answer + Copy + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let limits = desk.publication.borrow().routes.config().limits;
    let _alive = desk.alive.clone();
    let mut phase = desk.phase.clone();
    let service = service_fn(|request| {
        let desk = Arc::clone(&desk);
        async move {
            let chunked = bergamotswitch_platform::call::is_chunked(request.headers());
            let phase = desk.phase.clone();
            let mut response = handler(desk, request).await;
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
        .max_buf_size(MIN_BUFFER.max(limits.max_header_bytes as usize))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // The guard of the value seen must not be held over an await.
        drop(phase.wait_for(|phase| *phase >= until).await);
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
