//! Provides the accepting side of links.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::incident::Incident;
use bytes::Bytes;
use h2::server::{self, Connection, SendResponse};
use h2::{Reason, RecvStream};
use http::{Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time;

use super::handshake::{Hello, HelloPair, LINK_PATH, LinkKey, LinkRole, PeerRefusal};
use super::registry::LinkRegistry;
use super::session::{H2_SEND_BYTES, HEADER_BYTES, LinkSession, SessionEnd, WINDOW_BYTES};
use crate::event_log;
use crate::tunnel::{MAX_TUNNELS, TUNNEL_PATH, serve_tunnels};

/// The status of the answer that refuses a connection in favour of another link.
pub(crate) const DUPLICATE_STATUS: StatusCode = StatusCode::CONFLICT;

/// The delay after a failed accept. While the process has no free file
/// descriptors, accepting keeps failing immediately and would occupy the thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of concurrent streams. A link uses one, after a short one for
/// the first exchange of the handshake; a connection for tunnels one for each.
const MAX_STREAMS: u32 = MAX_TUNNELS;

/// An `AcceptedUse` is what an authenticated connection is for.
enum AcceptedUse {
    Link(LinkSession),
    Tunnels,
}

/// An `AcceptFailure` is the reason why an accepted connection did not become a link.
#[derive(Debug)]
enum AcceptFailure {
    /// The connection was closed.
    Closed,
    /// The peer is refused.
    Refused(PeerRefusal, SendResponse<Bytes>),
    /// Another link to the peer is in use.
    Duplicate(SendResponse<Bytes>),
}

/// Accept links until this future is dropped.
pub(crate) async fn accept_links(registry: Arc<LinkRegistry>, listener: TcpListener) {
    let handshake_slots = Arc::new(Semaphore::new(registry.opts.handshake_limit));
    // Dropping the set aborts all sessions, so that they end with the listener.
    let mut sessions = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => match Arc::clone(&handshake_slots).try_acquire_owned() {
                    Ok(permit) => {
                        sessions.spawn(serve(Arc::clone(&registry), stream, address, permit));
                    }
                    Err(_) => registry.record_refusal(&PeerRefusal::TooMany, &address.to_string()),
                },
                Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = sessions.join_next() => {}
        }
    }
}

/// Serve an accepted connection until it ends. The handshake `permit` is released
/// once the peer is authenticated or the connection has ended.
async fn serve(
    registry: Arc<LinkRegistry>,
    stream: TcpStream,
    address: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limit = registry.opts.handshake_timeout;
    let opened = time::timeout(limit, open(&registry, stream)).await;
    let (mut connection, authenticated) = match opened {
        Ok(Some(opened)) => opened,
        Ok(None) => return,
        Err(_) => return registry.record_refusal(&PeerRefusal::Timeout, &address.to_string()),
    };
    let session = match authenticated {
        Ok(AcceptedUse::Link(session)) => session,
        Ok(AcceptedUse::Tunnels) => {
            drop(permit);
            return serve_tunnels(&registry, connection).await;
        }
        Err(failure) => {
            if let AcceptFailure::Refused(refusal, _) = &failure {
                registry.record_refusal(refusal, &address.to_string());
            }
            let _ = time::timeout(limit, refuse(connection, failure)).await;
            return;
        }
    };
    drop(permit);
    let incarnation = session.guard.incarnation().clone();
    let driver = async {
        // Requests other than the link's are rejected.
        while let Some(Ok((_, mut answer))) = connection.accept().await {
            answer.send_reset(Reason::REFUSED_STREAM);
        }
    };
    finish_session(&registry, &incarnation, session, driver).await;
}

/// Run the session until it or its connection ends, and count and log failures.
pub(crate) async fn finish_session(
    registry: &LinkRegistry,
    incarnation: &HostIncarnation,
    session: LinkSession,
    driver: impl Future<Output = ()>,
) {
    let end = tokio::select! {
        end = session.run(&registry.opts) => end,
        () = driver => SessionEnd::Closed,
    };
    match end {
        SessionEnd::Closed | SessionEnd::Stopped => {}
        SessionEnd::Silent => {
            registry.count(|counters| counters.silent += 1);
            event_log::write(Incident::ConnectionSilent, &[("peer", incarnation)]);
        }
        SessionEnd::Malformed(error) => {
            registry.count(|counters| counters.malformed += 1);
            event_log::write(
                Incident::PeerRefused,
                &[("peer", incarnation), ("cause", &error)],
            );
        }
    }
}

type LinkConnection = Connection<TcpStream, Bytes>;

/// Open an HTTP/2 connection and perform the handshake. Returns `None` if the peer
/// does not speak HTTP/2.
async fn open(
    registry: &Arc<LinkRegistry>,
    stream: TcpStream,
) -> Option<(LinkConnection, Result<AcceptedUse, AcceptFailure>)> {
    let mut connection = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(HEADER_BYTES)
        .max_send_buffer_size(H2_SEND_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream)
        .await
        .ok()?;
    let authenticated = authenticate(registry, &mut connection).await;
    Some((connection, authenticated))
}

/// Answer with a status and a text, and close the connection once they are sent.
async fn refuse(mut connection: LinkConnection, failure: AcceptFailure) {
    let (mut answer, status, text) = match failure {
        AcceptFailure::Closed => return,
        AcceptFailure::Refused(refusal, answer) => (answer, refusal.status(), refusal.to_string()),
        AcceptFailure::Duplicate(answer) => (
            answer,
            DUPLICATE_STATUS,
            "another link to this host is in use".to_owned(),
        ),
    };
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Ok(mut body) = answer.send_response(head, false) {
        let _ = body.send_data(Bytes::from(text), true);
    }
    connection.graceful_shutdown();
    while let Some(Ok(_)) = connection.accept().await {}
}

/// Perform both exchanges of the handshake and register the link.
async fn authenticate(
    registry: &Arc<LinkRegistry>,
    connection: &mut LinkConnection,
) -> Result<AcceptedUse, AcceptFailure> {
    let ping = connection.ping_pong().ok_or(AcceptFailure::Closed)?;
    // First exchange: both sides identify themselves.
    let (request, mut answer) = next_request(connection).await?;
    let (dialler, key) = match check_hello(registry, &request) {
        Ok(checked) => checked,
        Err(refusal) => return Err(AcceptFailure::Refused(refusal, answer)),
    };
    let pair = HelloPair {
        dialler,
        acceptor: Hello::new(&registry.identity.incarnation),
    };
    let mut head = Response::new(());
    pair.acceptor.write(head.headers_mut());
    answer
        .send_response(head, true)
        .map_err(|_| AcceptFailure::Closed)?;
    // Second exchange: both sides prove that they know the key.
    let (request, mut answer) = next_request(connection).await?;
    let is_tunnel = request.uri().path() == TUNNEL_PATH && request.method() == Method::POST;
    let proof = match is_tunnel || is_link(&request, &Method::POST) {
        true => pair.check_proof(&key, LinkRole::Dialler, request.headers()),
        false => Err(PeerRefusal::Malformed),
    };
    // The host list may have changed since the hello.
    let admitted = proof.and_then(|()| registry.admit(&pair.dialler.incarnation().host));
    if let Err(refusal) = admitted {
        return Err(AcceptFailure::Refused(refusal, answer));
    }
    let mut head = Response::new(());
    pair.write_proof(&key, LinkRole::Acceptor, head.headers_mut());
    if is_tunnel {
        let sent = answer.send_response(head, true);
        sent.map_err(|_| AcceptFailure::Closed)?;
        return Ok(AcceptedUse::Tunnels);
    }
    let Some(guard) = registry.register(&pair.dialler, LinkRole::Acceptor) else {
        return Err(AcceptFailure::Duplicate(answer));
    };
    let writer = answer
        .send_response(head, false)
        .map_err(|_| AcceptFailure::Closed)?;
    Ok(AcceptedUse::Link(LinkSession {
        guard,
        writer,
        reader: request.into_body(),
        ping,
    }))
}

async fn next_request(
    connection: &mut LinkConnection,
) -> Result<(Request<RecvStream>, SendResponse<Bytes>), AcceptFailure> {
    match connection.accept().await {
        Some(Ok(exchange)) => Ok(exchange),
        Some(Err(_)) | None => Err(AcceptFailure::Closed),
    }
}

fn is_link(request: &Request<RecvStream>, method: &Method) -> bool {
    request.uri().path() == LINK_PATH && request.method() == method
}

fn check_hello(
    registry: &LinkRegistry,
    request: &Request<RecvStream>,
) -> Result<(Hello, LinkKey), PeerRefusal> {
    if !is_link(request, &Method::GET) {
        return Err(PeerRefusal::Malformed);
    }
    let hello = Hello::read(request.headers())?;
    let key = registry.admit(&hello.incarnation().host)?;
    Ok((hello, key))
}
