//! Provides what all kinds of calls share: the context of a call, the sending
//! of its request and the forwarding of an error answer.

use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::permit::Usage;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target::PoolTarget;
use bergamotswitch_core::target_answer::{AnswerFraming, AnswerId};
use bergamotswitch_core::target_path::TargetPath;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{sleep, timeout};

use super::CallRoute;
use super::answer_memory::AnswerMemory;
use super::attempt_report::{StepSender, log_incident};
use super::connection::{IdleConnections, TargetConnection, TargetRequest};
use super::event_stream::MAX_EVENT_BYTES;
use super::options::TargetClientOptions;
use super::silence_watch::SilenceVerdict;
use super::stream_status::StreamId;
use super::target_body::TargetBody;
use crate::answer::{AnswerPart, AnswerWriter};
use crate::answer_framing::framing_of;
use crate::event_log;
use crate::input::OutgoingCall;
use crate::tunnel::{TunnelHealth, TunnelPool};

/// The timeout for the body of an error answer.
const ERROR_BODY_WAIT: Duration = Duration::from_secs(5);

/// How long the system may take to close the listener of a killed process after its
/// connections, and how many connections are tried if they are reset. Until the listener is
/// closed, new connections time out, or are accepted and then reset. A target with its
/// maximum of connections resets new ones, too.
const SETTLE_TIME: Duration = Duration::from_millis(20);
const LISTENER_CHECKS: usize = 2;

/// The header by which answers are matched to requests.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// A `CallEnd` is the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// No connection was established.
    NotSent,
    /// The target refused the call.
    Refused,
    /// The target's complete answer is an error, which was forwarded.
    Failed,
    /// The target failed, and its answer may not be passed on; the request may have run.
    Withheld,
    /// The answer is complete.
    Finished(Usage),
    /// The answer is incomplete; the request may have run.
    Broken(Usage),
}

/// A `CallTrace` is the state of a call that its abort needs.
#[derive(Clone, Debug, Default)]
pub(super) struct CallTrace(Arc<Mutex<TraceState>>);

#[derive(Debug, Default)]
struct TraceState {
    sent: bool,
    stream: Option<StreamId>,
    tunnel: Option<TunnelHealth>,
}

impl CallTrace {
    /// Record that the request was handed to a connection.
    pub fn mark_sent(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).sent = true;
    }

    /// Get whether the request was handed to a connection.
    pub fn is_sent(&self) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).sent
    }

    /// Set the tunnel of the call's connection.
    pub fn set_tunnel(&self, health: Option<TunnelHealth>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).tunnel = health;
    }

    /// Get whether the tunnel of the call's connection broke.
    pub fn is_tunnel_broken(&self) -> bool {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.tunnel.as_ref().is_some_and(TunnelHealth::is_broken)
    }

    pub fn set_stream(&self, id: StreamId) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).stream = Some(id);
    }

    /// Get the stream's id, if known.
    pub fn stream(&self) -> Option<StreamId> {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.stream.clone()
    }
}

/// A `CallContext` holds the data and resources that one call uses.
#[derive(Debug)]
pub(super) struct CallContext {
    pub attempt: AttemptId,
    /// The attempt's id as text.
    pub request_id: String,
    pub target: PoolTarget,
    pub options: Arc<TargetClientOptions>,
    pub idle_connections: IdleConnections,
    pub answer_memory: AnswerMemory,
    pub route: CallRoute,
    pub tunnels: Option<TunnelPool>,
    pub steps: StepSender,
    pub answer: AnswerWriter,
    pub trace: CallTrace,
}

/// A `FirstResponse` is a response whose head has been received, with its
/// connection.
#[derive(Debug)]
pub(super) struct FirstResponse {
    pub connection: TargetConnection,
    pub response: Response<TargetBody>,
    pub framing: AnswerFraming,
}

/// A `SendError` is the reason why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// No connection was established.
    NotConnected,
    /// The connection was closed or reset.
    Dropped,
    /// The connection is unresponsive and was dropped.
    Unresponsive(SilenceVerdict),
    /// The response cannot be read as an answer.
    Unreadable,
}

impl CallContext {
    /// Log an incident of this call.
    pub fn log_incident(&self, incident: Incident, cause: &str) {
        log_incident(incident, self.attempt, &self.target.name, cause);
    }

    /// Get the request, or `None` if the call is not valid HTTP.
    pub fn request(&self, call: &OutgoingCall) -> Option<TargetRequest> {
        let mut builder = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::HOST, self.target.address.to_string())
            .header(REQUEST_ID, &self.request_id);
        if !call.content_type.is_empty() {
            builder = builder.header(header::CONTENT_TYPE, &call.content_type);
        }
        builder.body(Full::new(call.body.clone())).ok()
    }

    /// Try to connect, send the request with this id and get the response's head,
    /// unless `verdict` completes first.
    pub async fn send_first(
        &self,
        request: TargetRequest,
        request_id: &str,
        verdict: impl Future<Output = SilenceVerdict>,
    ) -> Result<FirstResponse, SendError> {
        let idle = self.idle_connection(request_id);
        let mut is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.dial().await.ok_or(SendError::NotConnected)?,
        };
        if self.route.path != TargetPath::Direct {
            self.steps.send(AttemptEvent::Connected);
        }
        self.trace.set_tunnel(connection.tunnel_health());
        self.trace.mark_sent();
        let method = request.method().clone();
        let mut request = request;
        let mut verdict = pin!(verdict);
        loop {
            let sent = tokio::select! {
                biased;
                sent = connection.send(request) => sent,
                verdict = &mut verdict => return Err(SendError::Unresponsive(verdict)),
            };
            let failure = match sent {
                Ok(response) => return self.check_first(&method, connection, response),
                Err(failure) => failure,
            };
            // An idle connection that the target has just closed took no byte
            // of the request, so the request is safe to send over a new one.
            let unsent = failure.unsent.filter(|_| is_reused);
            request = unsent.ok_or(SendError::Dropped)?;
            connection = self.dial().await.ok_or(SendError::NotConnected)?;
            self.trace.set_tunnel(connection.tunnel_health());
            is_reused = false;
        }
    }

    fn check_first(
        &self,
        method: &Method,
        connection: TargetConnection,
        response: Response<TargetBody>,
    ) -> Result<FirstResponse, SendError> {
        if response.status().is_informational() {
            self.log_incident(Incident::AnswerRejected, "answer without a final status");
            return Err(SendError::Unreadable);
        }
        let framing = framing_of(method, &response);
        if framing == AnswerFraming::Unsupported {
            self.log_incident(Incident::AnswerRejected, "unsupported transfer coding");
            return Err(SendError::Unreadable);
        }
        Ok(FirstResponse {
            connection,
            response,
            framing,
        })
    }

    fn idle_connection(&self, request_id: &str) -> Option<TargetConnection> {
        let address = self.target.address;
        match &self.route.path {
            TargetPath::Direct => self.idle_connections.take(address, None, request_id),
            TargetPath::Probe => None,
            TargetPath::Tunnel(host) => self.idle_connections.take(address, Some(host), request_id),
        }
    }

    /// Get whether the target's process has ended: nothing listens at its address. A path
    /// that is lost says nothing about the target.
    pub async fn is_target_gone(&self) -> bool {
        sleep(SETTLE_TIME).await;
        for _ in 0..LISTENER_CHECKS {
            match self.try_dial().await {
                Ok(connection) => {
                    sleep(SETTLE_TIME).await;
                    if connection.is_idle() {
                        return false;
                    }
                }
                Err(error) => return error.kind() == io::ErrorKind::ConnectionRefused,
            }
        }
        false
    }

    async fn dial(&self) -> Option<TargetConnection> {
        match self.try_dial().await {
            Ok(connection) => {
                self.idle_connections.count_opened();
                Some(connection)
            }
            Err(error) => {
                self.log_connect_failure(&error);
                // The path of the connections that are open may have been lost too.
                if self.route.path.tunnel_host().is_none()
                    && error.kind() == io::ErrorKind::TimedOut
                {
                    self.idle_connections.forget_direct(self.target.address);
                }
                None
            }
        }
    }

    async fn try_dial(&self) -> io::Result<TargetConnection> {
        let address = self.target.address;
        let within = self.route.connect_within;
        let within = within.unwrap_or(self.options.connect_timeout);
        match (&self.route.path, &self.tunnels) {
            (TargetPath::Tunnel(host), Some(tunnels)) => {
                TargetConnection::dial_through(tunnels, host, address, within).await
            }
            (TargetPath::Tunnel(_), None) => Err(io::ErrorKind::Unsupported.into()),
            (TargetPath::Direct | TargetPath::Probe, _) => {
                TargetConnection::dial(address, within, &self.options).await
            }
        }
    }

    fn log_connect_failure(&self, error: &io::Error) {
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("attempt", &self.attempt),
            ("to", &self.target.name),
            ("path", &self.route.path),
            ("cause", &error.kind()),
        ];
        event_log::write(Incident::ConnectFailed, &pairs);
    }

    /// Get whether the response carries the id of another request.
    pub fn is_mismatched(&self, response: &Response<TargetBody>) -> bool {
        self.answer_id(response) == AnswerId::Foreign
    }

    /// Get whether the response proves that the target refused the call. Without an id it
    /// may be a copy of an earlier one, unless the connection is new.
    pub fn is_refused(
        &self,
        connection: &TargetConnection,
        response: &Response<TargetBody>,
    ) -> bool {
        let belongs = self
            .answer_id(response)
            .belongs(connection.connection_use());
        belongs && is_refusal(response.status())
    }

    fn answer_id(&self, response: &Response<TargetBody>) -> AnswerId {
        let named = response.headers().get_all(REQUEST_ID).iter();
        AnswerId::compare(named.map(HeaderValue::as_bytes), self.request_id.as_bytes())
    }

    pub fn push_head(&self, head: &Parts) {
        let content_type = head
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let mut fields = HeaderMap::new();
        for coding in head.headers.get_all(header::CONTENT_ENCODING) {
            fields.append(header::CONTENT_ENCODING, coding.clone());
        }
        self.answer.push(AnswerPart::Head {
            status: head.status.as_u16(),
            content_type: content_type.to_owned(),
            fields,
        });
    }

    /// Get whether a truncated answer would be recognized.
    pub fn has_marked_end(&self, framing: AnswerFraming) -> bool {
        let is_marked = framing.has_marked_end();
        if !is_marked {
            self.log_incident(
                Incident::AnswerRejected,
                "answer without content-length or transfer-encoding",
            );
        }
        is_marked
    }

    /// Read an error answer and forward it, but only if it is complete.
    pub async fn forward_error(
        &self,
        response: Response<TargetBody>,
        framing: AnswerFraming,
        usage: Usage,
    ) -> CallEnd {
        if !self.has_marked_end(framing) {
            return CallEnd::Broken(usage);
        }
        let (head, body) = response.into_parts();
        let reading = Limited::new(body, MAX_EVENT_BYTES).collect();
        match timeout(ERROR_BODY_WAIT, reading).await {
            Ok(Ok(collected)) => {
                self.push_head(&head);
                self.answer.push(AnswerPart::Data(collected.to_bytes()));
                CallEnd::Failed
            }
            Ok(Err(_)) | Err(_) => {
                self.log_incident(Incident::AnswerRejected, "error answer truncated or late");
                CallEnd::Broken(usage)
            }
        }
    }

    /// Answer with 400 Bad Request for a call that is not valid HTTP.
    pub fn reject_malformed(&self) -> CallEnd {
        self.answer.push(AnswerPart::Head {
            status: StatusCode::BAD_REQUEST.as_u16(),
            content_type: "text/plain".to_owned(),
            fields: HeaderMap::new(),
        });
        let text = Bytes::from_static(b"path or content type malformed");
        self.answer.push(AnswerPart::Data(text));
        CallEnd::Failed
    }
}

/// Get whether the status means that the target refused the call.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}
