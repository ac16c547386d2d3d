//! Provides a minimal HTTP/1.1 client for the commands.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::error::CommandError;

/// An `HttpAnswer` is a complete HTTP response.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub fields: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Try to send one request over a new connection and read the complete
/// response.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] if the connection, the request or the
/// response fails.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    fields: HeaderMap,
    body: Bytes,
) -> Result<HttpAnswer, CommandError> {
    let fail = |error: &dyn std::fmt::Display| {
        CommandError::Answer(format!("request to {address}{path} failed: {error}"))
    };
    let stream = TcpStream::connect(address).await.map_err(|e| fail(&e))?;
    let io = TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (mut sender, connection) = handshake.map_err(|e| fail(&e))?;
    let connection_task = tokio::spawn(connection);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|e: http::uri::InvalidUri| fail(&e))?;
    *request.headers_mut() = fields;
    let host = address.to_string().parse();
    if let Ok(host) = host {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let response = sender.send_request(request).await.map_err(|e| fail(&e))?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| fail(&e))?.to_bytes();
    connection_task.abort();
    Ok(HttpAnswer {
        status: parts.status,
        fields: parts.headers,
        body,
    })
}

/// Try to send a GET request for a path.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] if the connection, the request or the
/// response fails.
pub async fn get(address: SocketAddr, path: &str) -> Result<HttpAnswer, CommandError> {
    call(address, Method::GET, path, HeaderMap::new(), Bytes::new()).await
}
