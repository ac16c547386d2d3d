//! Provides the host's side of tunnels that other hosts open.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::{Connection, SendResponse};
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinSet;

use super::{CONNECTION_WINDOW_BYTES, TARGET_FIELD, TARGET_RESET, TUNNEL_WINDOW_BYTES};
use crate::link::{LinkRegistry, write_all};
use crate::target_client::connection::connect_target;

/// How long the connection to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The size of the buffer for what a target sends.
const BUFFER_BYTES: usize = 16 << 10;

/// A `CopyEnd` is the way in which one direction of a tunnel ended.
enum CopyEnd {
    /// The sending side ended it properly.
    Complete,
    /// One of the two connections broke.
    Broken,
}

/// Serve the tunnels of a connection until it ends.
pub(crate) async fn serve_tunnels(
    registry: &Arc<LinkRegistry>,
    mut connection: Connection<TcpStream, Bytes>,
) {
    connection.set_target_window_size(CONNECTION_WINDOW_BYTES);
    if connection
        .set_initial_window_size(TUNNEL_WINDOW_BYTES)
        .is_err()
    {
        return;
    }
    // Dropping the set closes the connections to targets.
    let mut tunnels = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, answer))) => {
                    tunnels.spawn(serve(Arc::clone(registry), request, answer));
                }
                Some(Err(_)) | None => return,
            },
            Some(_) = tunnels.join_next() => {}
        }
    }
}

async fn serve(
    registry: Arc<LinkRegistry>,
    request: Request<RecvStream>,
    mut answer: SendResponse<Bytes>,
) {
    let Some(_open) = registry.tunnels().try_open() else {
        return refuse(&mut answer, StatusCode::SERVICE_UNAVAILABLE);
    };
    let Some(address) = target_address(&request) else {
        return refuse(&mut answer, StatusCode::BAD_REQUEST);
    };
    let connecting = connect_target(address, CONNECT_TIMEOUT, &registry.opts.target_options);
    let target = match connecting.await {
        Ok(target) => target,
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            return refuse(&mut answer, StatusCode::GATEWAY_TIMEOUT);
        }
        Err(_) => return refuse(&mut answer, StatusCode::BAD_GATEWAY),
    };
    let Ok(mut writer) = answer.send_response(Response::new(()), false) else {
        return;
    };
    if let CopyEnd::Broken = copy(target, request.into_body(), &mut writer).await {
        writer.send_reset(TARGET_RESET);
    }
}

/// Copy in both directions until the target has ended its part or a side breaks.
async fn copy(target: TcpStream, body: RecvStream, writer: &mut SendStream<Bytes>) -> CopyEnd {
    let (from_target, to_target) = target.into_split();
    let mut upload = pin!(copy_to_target(body, to_target));
    let mut download = pin!(copy_from_target(from_target, writer));
    tokio::select! {
        end = &mut download => end,
        end = &mut upload => match end {
            CopyEnd::Complete => download.await,
            CopyEnd::Broken => CopyEnd::Broken,
        },
    }
}

fn refuse(answer: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    // Sending fails only if the connection is closed.
    let _ = answer.send_response(head, true);
}

fn target_address(request: &Request<RecvStream>) -> Option<SocketAddr> {
    let field = request.headers().get(TARGET_FIELD)?;
    field.to_str().ok()?.parse().ok()
}

async fn copy_to_target(mut body: RecvStream, mut target: OwnedWriteHalf) -> CopyEnd {
    while let Some(data) = body.data().await {
        let Ok(data) = data else {
            return CopyEnd::Broken;
        };
        if target.write_all(&data).await.is_err() {
            return CopyEnd::Broken;
        }
        if body.flow_control().release_capacity(data.len()).is_err() {
            return CopyEnd::Broken;
        }
    }
    match target.shutdown().await {
        Ok(()) => CopyEnd::Complete,
        Err(_) => CopyEnd::Broken,
    }
}

async fn copy_from_target(mut target: OwnedReadHalf, writer: &mut SendStream<Bytes>) -> CopyEnd {
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        buffer.reserve(BUFFER_BYTES);
        match target.read_buf(&mut buffer).await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) => return CopyEnd::Broken,
        }
        if write_all(writer, buffer.split().freeze()).await.is_none() {
            return CopyEnd::Broken;
        }
    }
    match writer.send_data(Bytes::new(), true) {
        Ok(()) => CopyEnd::Complete,
        Err(_) => CopyEnd::Broken,
    }
}
