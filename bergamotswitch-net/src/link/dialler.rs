//! Provides the dialling side of links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bergamotswitch_core::host::{EntryHost, HostName};
use bytes::Bytes;
use h2::client::{self, Connection, SendRequest};
use h2::{PingPong, RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::time;

use super::acceptor::{DUPLICATE_STATUS, finish_session};
use super::backoff::Backoff;
use super::handshake::{Hello, HelloPair, LINK_PATH, LinkKey, LinkRole, PeerRefusal};
use super::registry::LinkRegistry;
use super::session::{H2_SEND_BYTES, HEADER_BYTES, LinkSession, WINDOW_BYTES};

/// The maximum size of a refusal text that is read and logged, in bytes.
const MAX_REFUSAL_BYTES: usize = 512;

/// A `DialFailure` is the reason why a connection attempt did not establish a link.
#[derive(Debug)]
enum DialFailure {
    /// The connection could not be established or was closed.
    Closed,
    /// This host refuses the peer.
    Refused(PeerRefusal),
    /// The peer refuses this host. The field is the status and text of its answer.
    RefusedByPeer(String),
    /// Another link to the peer is in use.
    Duplicate,
}

/// An `AuthenticatedStream` is a link's stream after the handshake.
struct AuthenticatedStream {
    acceptor: Hello,
    writer: SendStream<Bytes>,
    reader: RecvStream,
}

/// Maintain a link to `host` until this future is dropped.
pub(crate) async fn maintain_link(registry: Arc<LinkRegistry>, host: EntryHost) {
    let mut backoff = Backoff::new(&registry.opts);
    loop {
        registry.wait_until_dialable(&host.name).await;
        time::sleep(backoff.next_delay()).await;
        // The peer may have established a link in the meantime.
        registry.wait_until_dialable(&host.name).await;
        let started = Instant::now();
        match run_link(&registry, &host).await {
            Ok(()) | Err(DialFailure::Closed | DialFailure::Duplicate) => {}
            Err(DialFailure::Refused(refusal)) => {
                registry.record_refusal(&refusal, &format!("dialled {}", host.link_address));
            }
            Err(DialFailure::RefusedByPeer(text)) => registry.record_refused_by(&host.name, &text),
        }
        // A link that closed soon after the attempt does not reset the backoff.
        if started.elapsed() > registry.opts.backoff_max {
            backoff.reset();
        }
    }
}

/// A `PeerConnection` is an authenticated connection to a peer, whose `connection` must
/// be polled.
pub(crate) struct PeerConnection {
    pub(crate) connection: Connection<TcpStream, Bytes>,
    pub(crate) ping: PingPong,
    pub(crate) requests: SendRequest<Bytes>,
    stream: AuthenticatedStream,
}

/// The flow control windows in bytes of a stream and of its connection.
pub(crate) type Windows = (u32, u32);

/// Connect to a peer for another purpose than a link, with `path` in the second
/// exchange. Returns `None` if the peer cannot be reached or refuses it.
pub(crate) async fn dial_peer(
    registry: &LinkRegistry,
    host: &HostName,
    address: SocketAddr,
    path: &'static str,
    windows: Windows,
) -> Option<PeerConnection> {
    let connected = connect(registry, (host, address), path, windows).await;
    connected.ok()
}

/// Connect and perform the handshake.
async fn connect(
    registry: &LinkRegistry,
    (host, address): (&HostName, SocketAddr),
    path: &'static str,
    (stream_window, connection_window): Windows,
) -> Result<PeerConnection, DialFailure> {
    let opts = &registry.opts;
    let key = registry.admit(host).map_err(DialFailure::Refused)?;
    let stream = time::timeout(opts.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| DialFailure::Closed)?
        .map_err(|_| DialFailure::Closed)?;
    // Small messages must not wait for acknowledgements (Nagle's algorithm).
    stream.set_nodelay(true).map_err(|_| DialFailure::Closed)?;
    let (requests, mut connection) = client::Builder::new()
        .initial_window_size(stream_window)
        .initial_connection_window_size(connection_window)
        .max_header_list_size(HEADER_BYTES)
        .max_send_buffer_size(H2_SEND_BYTES)
        .enable_push(false)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|_| DialFailure::Closed)?;
    let ping = connection.ping_pong().ok_or(DialFailure::Closed)?;
    let stream = tokio::select! {
        stream = time::timeout(
            opts.handshake_timeout,
            authenticate(registry, host, &key, (path, requests.clone())),
        ) => {
            stream.map_err(|_| DialFailure::Refused(PeerRefusal::Timeout))??
        }
        _ = &mut connection => return Err(DialFailure::Closed),
    };
    // The host list may have changed since the attempt began.
    registry.admit(host).map_err(DialFailure::Refused)?;
    Ok(PeerConnection {
        connection,
        ping,
        requests,
        stream,
    })
}

/// Connect, perform the handshake and run the link until it ends.
async fn run_link(registry: &Arc<LinkRegistry>, host: &EntryHost) -> Result<(), DialFailure> {
    let windows = (WINDOW_BYTES, WINDOW_BYTES);
    let peer = (&host.name, host.link_address);
    let PeerConnection {
        connection,
        ping,
        stream,
        ..
    } = connect(registry, peer, LINK_PATH, windows).await?;
    let guard = registry
        .register(&stream.acceptor, LinkRole::Dialler)
        .or_else(|| registry.register_yielded(stream.acceptor.incarnation()))
        .ok_or(DialFailure::Duplicate)?;
    let incarnation = stream.acceptor.incarnation().clone();
    let session = LinkSession {
        guard,
        writer: stream.writer,
        reader: stream.reader,
        ping,
    };
    finish_session(registry, &incarnation, session, async {
        let _ = connection.await;
    })
    .await;
    Ok(())
}

/// Perform both exchanges of the handshake.
async fn authenticate(
    registry: &LinkRegistry,
    host: &HostName,
    key: &LinkKey,
    (path, requests): (&'static str, SendRequest<Bytes>),
) -> Result<AuthenticatedStream, DialFailure> {
    // First exchange: both sides identify themselves.
    let hello = Hello::new(&registry.identity.incarnation);
    let mut request = peer_request(Method::GET, LINK_PATH);
    hello.write(request.headers_mut());
    let mut requests = requests.ready().await.map_err(|_| DialFailure::Closed)?;
    let (answer, _) = requests
        .send_request(request, true)
        .map_err(|_| DialFailure::Closed)?;
    let answer = answer.await.map_err(|_| DialFailure::Closed)?;
    let answer = check_status(answer).await?;
    let acceptor = Hello::read(answer.headers()).map_err(DialFailure::Refused)?;
    // Another host may use the address by now.
    if acceptor.incarnation().host != *host {
        let found = acceptor.incarnation().host.clone();
        return Err(DialFailure::Refused(PeerRefusal::UnknownHost(found)));
    }
    // Second exchange: both sides prove that they know the key.
    let pair = HelloPair {
        dialler: hello,
        acceptor,
    };
    let mut request = peer_request(Method::POST, path);
    pair.write_proof(key, LinkRole::Dialler, request.headers_mut());
    let mut requests = requests.ready().await.map_err(|_| DialFailure::Closed)?;
    let (answer, writer) = requests
        .send_request(request, false)
        .map_err(|_| DialFailure::Closed)?;
    let answer = answer.await.map_err(|_| DialFailure::Closed)?;
    let answer = check_status(answer).await?;
    pair.check_proof(key, LinkRole::Acceptor, answer.headers())
        .map_err(DialFailure::Refused)?;
    Ok(AuthenticatedStream {
        acceptor: pair.acceptor,
        writer,
        reader: answer.into_body(),
    })
}

/// Get a request to a peer.
pub(crate) fn peer_request(method: Method, path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = method;
    // The authority is not used, but h2 requires one.
    *request.uri_mut() = http::Uri::builder()
        .scheme("http")
        .authority("link")
        .path_and_query(path)
        .build()
        .expect("URI built from constants");
    request
}

async fn check_status(answer: Response<RecvStream>) -> Result<Response<RecvStream>, DialFailure> {
    match answer.status() {
        StatusCode::OK => Ok(answer),
        DUPLICATE_STATUS => Err(DialFailure::Duplicate),
        status => {
            let text = refusal_text(answer.into_body()).await;
            Err(DialFailure::RefusedByPeer(format!("{status}: {text}")))
        }
    }
}

async fn refusal_text(mut body: RecvStream) -> String {
    let mut text = Vec::new();
    while let Some(Ok(data)) = body.data().await {
        text.extend_from_slice(&data);
        if text.len() >= MAX_REFUSAL_BYTES {
            break;
        }
    }
    text.truncate(MAX_REFUSAL_BYTES);
    String::from_utf8_lossy(&text).into_owned()
}
