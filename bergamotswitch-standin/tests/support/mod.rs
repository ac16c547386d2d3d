//! Provides an HTTP client for the protocol tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of operations that succeed, with a margin for a busy machine.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time without a response after which a connection counts as unresponsive.
pub const SILENCE_WAIT: Duration = Duration::from_millis(200);
/// A loopback address with port 0, which binds any free port.
pub const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A `TestConnection` is one open connection to a stand-in.
pub struct TestConnection(SendRequest<Full<Bytes>>);

impl TestConnection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("handshake");
        tokio::spawn(connection);
        TestConnection(sender)
    }

    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        request_id: &str,
        body: &str,
    ) -> hyper::Result<Response<Incoming>> {
        self.0.ready().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("x-request-id", request_id)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a valid request");
        self.0.send_request(request).await
    }
}

/// Send one request on a new connection, and get the response.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    request_id: &str,
    body: &str,
) -> Response<Incoming> {
    let mut connection = TestConnection::open(address).await;
    let call = connection.call(method, path, request_id, body);
    timeout(RESPONSE_TIMEOUT, call)
        .await
        .expect("no timeout")
        .expect("a response")
}

/// Send a GET request on a new connection, and get the status and JSON body.
pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, Value) {
    json(call(address, "GET", path, "", "").await).await
}

pub async fn json(response: Response<Incoming>) -> (StatusCode, Value) {
    let status = response.status();
    let body = response.into_body().collect();
    let bytes = timeout(RESPONSE_TIMEOUT, body)
        .await
        .expect("no timeout")
        .expect("a complete body");
    let value = serde_json::from_slice(&bytes.to_bytes()).unwrap_or_default();
    (status, value)
}

/// Get the text of a body up to its end or a transport error, and whether it ended
/// without an error.
pub async fn text(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = timeout(RESPONSE_TIMEOUT, body.frame())
        .await
        .expect("no timeout")
    {
        let Ok(frame) = frame else {
            return (text, false);
        };
        let data = frame.into_data().unwrap_or_default();
        text.push_str(std::str::from_utf8(&data).expect("UTF-8"));
    }
    (text, true)
}
