//! Provides the forwarding of a request to the caller address of the host that
//! holds it, and of that host's answer to the caller.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use salvo::http::ResBody;
use salvo::{Request, Response};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::context::CallerContext;
use super::fields::{
    DEADLINE_FIELD, DISPATCH_ONCE_FIELD, FORWARDED_FIELD, IDEMPOTENCY_KEY_FIELD, IDEMPOTENT_FIELD,
    INCARNATION_FIELD, REQUEST_ID_FIELD, RESUBMISSION_FIELD, SHOULD_RETRY_FIELD, WORK_FIELD,
};
use super::refusal_page::{RefusalPage, header_value};
use crate::answer_framing::framing_of;

/// The header fields of a request that are forwarded to its holder.
const FORWARDED_REQUEST_FIELDS: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONTENT_TYPE,
    header::ACCEPT,
    IDEMPOTENCY_KEY_FIELD,
    RESUBMISSION_FIELD,
    DEADLINE_FIELD,
    WORK_FIELD,
    IDEMPOTENT_FIELD,
    DISPATCH_ONCE_FIELD,
];

/// The header fields of an answer that are forwarded to the caller.
const FORWARDED_ANSWER_FIELDS: [HeaderName; 8] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::CACHE_CONTROL,
    header::RETRY_AFTER,
    header::WWW_AUTHENTICATE,
    INCARNATION_FIELD,
    REQUEST_ID_FIELD,
    SHOULD_RETRY_FIELD,
];

/// The TCP keepalive settings: idle time before the first probe, interval of
/// the probes, and unanswered probes before the connection is closed. Without
/// them a dead connection would block its caller, and a graceful stop, forever.
/// A connection that is merely idle answers the probes and stays open.
pub(super) const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
pub(super) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
pub(super) const KEEPALIVE_PROBES: u32 = 3;

/// An `OriginalCall` is a request as its caller sent it.
#[derive(Clone, Debug)]
pub(super) struct OriginalCall {
    pub(super) method: Method,
    pub(super) path_and_query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether another host forwarded the request to this one.
    pub(super) forwarded: bool,
}

impl OriginalCall {
    /// Get the original of a request whose body has been read.
    pub(super) fn new(req: &Request, body: Bytes, forwarded: bool) -> Self {
        let uri = req.uri();
        let path_and_query = match uri.path_and_query() {
            Some(path_and_query) => path_and_query.as_str(),
            None => uri.path(),
        };
        OriginalCall {
            method: req.method().clone(),
            path_and_query: path_and_query.to_owned(),
            headers: req.headers().clone(),
            body,
            forwarded,
        }
    }

    /// Get the request marked as a resubmission, for a holder named by the
    /// owner of the key's shard. A holder that no longer has the key would
    /// otherwise accept the request as new and run it a second time.
    pub(super) fn into_resubmission(mut self) -> Self {
        let marked = HeaderValue::from_static("true");
        self.headers.insert(RESUBMISSION_FIELD, marked);
        self
    }
}

/// Get the TCP keepalive settings of callers' connections and of connections to
/// other hosts.
pub(super) fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES)
}

/// Try to forward a request to the host that holds it.
///
/// # Errors
///
/// Returns the refusal `lost`, which leaves open whether the request ran, if
/// the request was forwarded before (two hosts could forward it to each other
/// without end), or if the holder is unknown, is this host or cannot be
/// reached.
pub(super) async fn forward(
    context: &CallerContext,
    original: &OriginalCall,
    holder: &HostIncarnation,
) -> Result<http::Response<Incoming>, RefusalPage> {
    let answer = try_forward(context, original, holder).await;
    context.metrics.count_forward(answer.is_ok());
    answer.map_err(|failure| {
        let refusal = Refusal::may_have_run(RefusalReason::Lost);
        let page = RefusalPage::new(refusal).with_detail(failure.as_str());
        context.count_rejection(&page);
        page
    })
}

#[derive(Clone, Copy, Debug)]
enum ForwardFailure {
    AlreadyForwarded,
    HolderIsThisHost,
    HolderUnknown,
    NotConnected,
    ConnectionLost,
    EndUnmarked,
}

impl ForwardFailure {
    fn as_str(self) -> &'static str {
        match self {
            ForwardFailure::AlreadyForwarded => "it was forwarded before",
            ForwardFailure::HolderIsThisHost => "its holder was an earlier run of this host",
            ForwardFailure::HolderUnknown => "the host list does not have its holder",
            ForwardFailure::NotConnected => "its holder cannot be reached",
            ForwardFailure::ConnectionLost => "the connection to its holder broke",
            ForwardFailure::EndUnmarked => "the end of its holder's answer is not marked",
        }
    }
}

async fn try_forward(
    context: &CallerContext,
    original: &OriginalCall,
    holder: &HostIncarnation,
) -> Result<http::Response<Incoming>, ForwardFailure> {
    if original.forwarded {
        return Err(ForwardFailure::AlreadyForwarded);
    }
    if holder.host == context.this_host.incarnation.host {
        return Err(ForwardFailure::HolderIsThisHost);
    }
    let address = holder_address(context, holder).ok_or(ForwardFailure::HolderUnknown)?;
    let stream = connect(address, context.opts.connect_timeout).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ForwardFailure::NotConnected)?;
    // The connection ends when the body of the answer is dropped, by which the
    // holder detects that the caller has disconnected. The task ends with it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = forwarded_request(original, holder, address);
    let answer = sender
        .send_request(request)
        .await
        .map_err(|_| ForwardFailure::ConnectionLost)?;
    match framing_of(&original.method, &answer).has_marked_end() {
        true => Ok(answer),
        false => Err(ForwardFailure::EndUnmarked),
    }
}

fn holder_address(context: &CallerContext, holder: &HostIncarnation) -> Option<SocketAddr> {
    let publication = context.current_publication();
    let hosts = &publication.hosts.hosts;
    let found = hosts.iter().find(|host| host.name == holder.host)?;
    Some(found.caller_address)
}

async fn connect(address: SocketAddr, span: Duration) -> Result<TcpStream, ForwardFailure> {
    let stream = match timeout(span, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(ForwardFailure::NotConnected),
    };
    let keepalive_set = SockRef::from(&stream).set_tcp_keepalive(&keepalive());
    let nodelay_set = stream.set_nodelay(true);
    match (keepalive_set, nodelay_set) {
        (Ok(()), Ok(())) => Ok(stream),
        _ => Err(ForwardFailure::NotConnected),
    }
}

fn forwarded_request(
    original: &OriginalCall,
    holder: &HostIncarnation,
    address: SocketAddr,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    if let Ok(uri) = original.path_and_query.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    for name in &FORWARDED_REQUEST_FIELDS {
        for value in original.headers.get_all(name) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(header::HOST, header_value(address));
    headers.insert(INCARNATION_FIELD, header_value(holder));
    headers.insert(FORWARDED_FIELD, HeaderValue::from_static("1"));
    request
}

/// Forward a request to the host that holds it, and write that host's answer,
/// or a refusal if it could not be reached.
pub(super) async fn forward_and_write(
    context: &CallerContext,
    original: &OriginalCall,
    holder: &HostIncarnation,
    res: &mut Response,
) {
    match forward(context, original, holder).await {
        Ok(answer) => write_forwarded(answer, res),
        Err(page) => page.write(res),
    }
}

fn write_forwarded(answer: http::Response<Incoming>, res: &mut Response) {
    let (parts, body) = answer.into_parts();
    res.status_code(parts.status);
    for name in &FORWARDED_ANSWER_FIELDS {
        if let Some(value) = parts.headers.get(name) {
            res.headers_mut().insert(name, value.clone());
        }
    }
    res.replace_body(ResBody::Hyper(body));
}
