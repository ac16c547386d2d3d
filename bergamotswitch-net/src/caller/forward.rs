//! Provides forwarding: a request that another host holds is sent on to that
//! host's caller address, and its answer is passed back as it comes.

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

use super::desk::CallerDesk;
use super::fields::{
    DEADLINE_FIELD, FORWARDED_FIELD, IDEMPOTENT_FIELD, INCARNATION_FIELD, KEY_FIELD, ONCE_FIELD,
    REQUEST_FIELD, RESUBMISSION_FIELD, SHOULD_RETRY_FIELD, WORK_FIELD,
};
use super::refusal_page::{RefusalPage, text_value};

/// The fields of a request that its holder needs.
const PASSED_ON: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONTENT_TYPE,
    header::ACCEPT,
    KEY_FIELD,
    RESUBMISSION_FIELD,
    DEADLINE_FIELD,
    WORK_FIELD,
    IDEMPOTENT_FIELD,
    ONCE_FIELD,
];

/// The fields of an answer that its caller needs.
const PASSED_BACK: [HeaderName; 7] = [
    header::CONTENT_TYPE,
    header::CACHE_CONTROL,
    header::RETRY_AFTER,
    header::WWW_AUTHENTICATE,
    INCARNATION_FIELD,
    REQUEST_FIELD,
    SHOULD_RETRY_FIELD,
];

/// When the system begins to probe a connection on which nothing moves, how
/// often, and how many probes may stay unanswered. A connection that went
/// silent for good would otherwise hold its caller for ever, and a planned
/// stop with it; one that is only quiet answers the probes and stays.
pub(super) const PROBE_AFTER: Duration = Duration::from_secs(15);
pub(super) const PROBE_EVERY: Duration = Duration::from_secs(5);
pub(super) const PROBE_COUNT: u32 = 3;

/// An `OriginalCall` is a request as its caller sent it.
#[derive(Clone, Debug)]
pub(super) struct OriginalCall {
    /// The method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) path_and_query: String,
    /// The fields.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// Whether another host forwarded it here.
    pub(super) forwarded: bool,
}

impl OriginalCall {
    /// Get a request whose body was read.
    pub(super) fn new(req: &Request, body: Bytes, forwarded: bool) -> Self {
        let uri = req.uri();
        let path_and_query = match uri.path_and_query() {
            Some(target) => target.as_str(),
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

    /// Get the request as it goes to the holder that a shard's owner named:
    /// the owner has seen its key before. A holder that has forgotten the key
    /// would take an unmarked one for new and run it a second time.
    pub(super) fn seen_before(mut self) -> Self {
        let marked = HeaderValue::from_static("true");
        self.headers.insert(RESUBMISSION_FIELD, marked);
        self
    }
}

/// Get the settings by which the system proves an idle connection alive.
pub(super) fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBE_COUNT)
}

/// Try to send a request on to the host that holds it.
///
/// # Errors
///
/// Returns the refusal `lost`, which leaves open whether the request ran,
/// where it was forwarded before (two hosts could send it to and fro for
/// ever), where the host is unknown, this one, or not to be reached.
pub(super) async fn forward(
    desk: &CallerDesk,
    original: &OriginalCall,
    holder: &HostIncarnation,
) -> Result<http::Response<Incoming>, RefusalPage> {
    let answer = try_forward(desk, original, holder).await;
    desk.metrics.count_forward(answer.is_ok());
    answer.map_err(|failure| {
        let refusal = Refusal::may_have_run(RefusalReason::Lost);
        let page = RefusalPage::new(refusal).with_detail(failure.as_str());
        desk.count_turned(&page);
        page
    })
}

#[derive(Clone, Copy, Debug)]
enum ForwardFailure {
    ForwardedBefore,
    HolderIsHere,
    HolderUnknown,
    NotConnected,
    BrokeOff,
}

impl ForwardFailure {
    fn as_str(self) -> &'static str {
        match self {
            ForwardFailure::ForwardedBefore => "it was forwarded before",
            ForwardFailure::HolderIsHere => "its holder was an earlier run of this host",
            ForwardFailure::HolderUnknown => "the host list does not have its holder",
            ForwardFailure::NotConnected => "its holder cannot be reached",
            ForwardFailure::BrokeOff => "the connection to its holder broke",
        }
    }
}

async fn try_forward(
    desk: &CallerDesk,
    original: &OriginalCall,
    holder: &HostIncarnation,
) -> Result<http::Response<Incoming>, ForwardFailure> {
    if original.forwarded {
        return Err(ForwardFailure::ForwardedBefore);
    }
    if holder.host == desk.me.run.host {
        return Err(ForwardFailure::HolderIsHere);
    }
    let address = holder_address(desk, holder).ok_or(ForwardFailure::HolderUnknown)?;
    let stream = connect(address, desk.opts.connect_timeout).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ForwardFailure::NotConnected)?;
    // The task ends with the connection, which ends when the answer's body is
    // dropped: so the holder learns that the caller left.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
        .send_request(forwarded_request(original, holder, address))
        .await
        .map_err(|_| ForwardFailure::BrokeOff)
}

fn holder_address(desk: &CallerDesk, holder: &HostIncarnation) -> Option<SocketAddr> {
    let publication = desk.in_force();
    let hosts = &publication.hosts.hosts;
    let found = hosts.iter().find(|host| host.name == holder.host)?;
    Some(found.caller_address)
}

async fn connect(address: SocketAddr, span: Duration) -> Result<TcpStream, ForwardFailure> {
    let stream = match timeout(span, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(ForwardFailure::NotConnected),
    };
    let probed = SockRef::from(&stream).set_tcp_keepalive(&keepalive());
    let undelayed = stream.set_nodelay(true);
    match (probed, undelayed) {
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
    for name in &PASSED_ON {
        for value in original.headers.get_all(name) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(header::HOST, text_value(address));
    headers.insert(INCARNATION_FIELD, text_value(holder));
    headers.insert(FORWARDED_FIELD, HeaderValue::from_static("1"));
    request
}

/// Send a request on to the host that holds it, and write that host's answer,
/// or the refusal where it was not reached.
pub(super) async fn forward_back(
    desk: &CallerDesk,
    original: &OriginalCall,
    holder: &HostIncarnation,
    res: &mut Response,
) {
    match forward(desk, original, holder).await {
        Ok(answer) => pass_back(answer, res),
        Err(page) => page.write(res),
    }
}

fn pass_back(answer: http::Response<Incoming>, res: &mut Response) {
    let (parts, body) = answer.into_parts();
    res.status_code(parts.status);
    for name in &PASSED_BACK {
        if let Some(value) = parts.headers.get(name) {
            res.headers_mut().insert(name, value.clone());
        }
    }
    res.replace_body(ResBody::Hyper(body));
}
