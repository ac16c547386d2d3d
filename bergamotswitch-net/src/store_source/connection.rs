//! Provides the connection to the store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamotswitch_platform::store::{self, StoreParseError};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::task_guard::TaskGuard;

/// The timeout for establishing a connection. It allows for one SYN
/// retransmission, which is sent after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The maximum size of an answer: a page of about 1 MiB, whose values are
/// base64-encoded.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A `StoreCallError` is the reason why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreCallError {
    /// The connection could not be established or was lost.
    Connection,
    /// No complete answer arrived in time.
    Timeout,
    /// The store returned an error status.
    Status(StatusCode),
    /// The answer is malformed.
    Malformed(StoreParseError),
    /// The read exceeded the maximum number of pages.
    TooMany,
    /// The answer is from before the store was restored from a copy.
    EarlierEra,
}

impl fmt::Display for StoreCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreCallError::Connection => write!(f, "no connection"),
            StoreCallError::Timeout => write!(f, "no answer in time"),
            StoreCallError::Status(status) => write!(f, "status {status}"),
            StoreCallError::Malformed(error) => write!(f, "{error}"),
            StoreCallError::TooMany => write!(f, "too many pages"),
            StoreCallError::EarlierEra => write!(f, "answer of an earlier era"),
        }
    }
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Empty<Bytes>>,
    _task: TaskGuard,
}

/// A `StoreAnswer` is the store's answer to one call.
#[derive(Debug)]
pub(super) struct StoreAnswer {
    pub(super) status: StatusCode,
    /// The era that the store names.
    pub(super) era: Option<u64>,
    pub(super) body: Bytes,
}

/// A `StoreConnection` is a reusable connection to the store. After any error
/// the next call opens a new one, since no further answers arrive on a
/// connection that lost one.
#[derive(Debug)]
pub(super) struct StoreConnection {
    address: SocketAddr,
    open: Option<OpenConnection>,
}

impl StoreConnection {
    /// Get a connection that is not open yet.
    pub(super) fn new(address: SocketAddr) -> Self {
        StoreConnection {
            address,
            open: None,
        }
    }

    /// Try to make one call, counted in `calls`, over the open connection or a
    /// new one.
    pub(super) async fn get(
        &mut self,
        path: &str,
        limit: Duration,
        calls: &AtomicU64,
    ) -> Result<StoreAnswer, StoreCallError> {
        let reusable = self.open.take().filter(|open| open.sender.is_ready());
        let mut open = match reusable {
            Some(open) => open,
            None => self.dial().await?,
        };
        calls.fetch_add(1, Ordering::Relaxed);
        let exchanged = timeout(limit, self.exchange(&mut open, path)).await;
        let answer = exchanged.map_err(|_| StoreCallError::Timeout)??;
        self.open = Some(open);
        Ok(answer)
    }

    async fn dial(&self) -> Result<OpenConnection, StoreCallError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connecting
            .await
            .map_err(|_| StoreCallError::Timeout)?
            .map_err(|_| StoreCallError::Connection)?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| StoreCallError::Connection)?;
        let task = TaskGuard::spawn(async move {
            // The call in flight gets the same error.
            let _ = connection.await;
        });
        Ok(OpenConnection {
            sender,
            _task: task,
        })
    }

    async fn exchange(
        &self,
        open: &mut OpenConnection,
        path: &str,
    ) -> Result<StoreAnswer, StoreCallError> {
        let request = Request::builder()
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|_| StoreCallError::Connection)?;
        let sending = open.sender.send_request(request);
        let answer = sending.await.map_err(|_| StoreCallError::Connection)?;
        let status = answer.status();
        let era = store::era(answer.headers());
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| StoreCallError::Connection)?;
        Ok(StoreAnswer {
            status,
            era,
            body: body.to_bytes(),
        })
    }
}
