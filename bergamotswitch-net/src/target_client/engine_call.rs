//! Provides calls to model engines. The event stream of a call is validated,
//! probed for liveness and resumed when it breaks; the request is never sent
//! twice.

use std::time::Duration;

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::incident::Incident;
use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::attempt_report::AttemptReport;
use super::call_context::{CallContext, CallEnd, FirstResponse, SendError};
use super::connection::TargetConnection;
use super::event_stream::{EventParser, ServerEvent};
use super::silence_watch::{SilenceVerdict, SilenceWatch};
use super::stream_status::StreamId;
use super::target_body::TargetBody;
use super::usage_meter::{StreamChunk, TokenStep, UsageMeter};
use crate::answer::AnswerPart;
use crate::input::OutgoingCall;

/// The data of a stream's last event.
const DONE: &[u8] = b"[DONE]";
/// The header that carries a stream's id.
const STREAM_ID: &str = "x-stream-id";
/// How long after the last event to wait for the end of the body. A connection
/// whose body ends later is not reused.
const BODY_END_WAIT: Duration = Duration::from_millis(50);

/// A `StreamError` is the reason why a connection delivers no more of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamError {
    /// The connection ended before the stream.
    Dropped,
    /// The connection is unresponsive.
    Silent,
    /// Events are missing.
    Gap,
    /// The answer belongs to another request.
    RequestMismatch,
    /// An event is malformed or too large.
    Malformed,
    /// Nothing listens at the engine's address.
    ConnectionRefused,
    /// The engine does not know the request.
    UnknownRequest,
    /// The engine does not respond or no longer knows the stream.
    Unavailable,
}

impl From<SilenceVerdict> for StreamError {
    fn from(verdict: SilenceVerdict) -> Self {
        match verdict {
            SilenceVerdict::Silent => StreamError::Silent,
            SilenceVerdict::Unavailable => StreamError::Unavailable,
        }
    }
}

/// An `OpenStream` is a connection on which a stream is being received.
#[derive(Debug)]
pub(super) struct OpenStream {
    connection: TargetConnection,
    body: TargetBody,
}

/// An `OpenOutcome` is the result of sending the request.
#[derive(Debug)]
enum OpenOutcome {
    Stream(OpenStream),
    Failed(StreamError),
    Ended(CallEnd),
}

/// An `EngineCall` is the call of one attempt to an engine.
#[derive(Debug)]
pub(super) struct EngineCall<'a> {
    pub(super) context: &'a CallContext,
    pub(super) report: &'a AttemptReport,
    meter: UsageMeter,
    pub(super) stream: Option<StreamId>,
    pub(super) offset: u64,
    head_pushed: bool,
}

impl<'a> EngineCall<'a> {
    /// Get the call and start measuring its time.
    pub fn new(context: &'a CallContext, report: &'a AttemptReport) -> Self {
        EngineCall {
            context,
            report,
            meter: UsageMeter::start(context.options.progress_period),
            stream: None,
            offset: 0,
            head_pushed: false,
        }
    }

    pub async fn run(mut self, call: &OutgoingCall) -> CallEnd {
        let mut error = match self.open(call).await {
            OpenOutcome::Ended(end) => return end,
            OpenOutcome::Failed(error) => error,
            OpenOutcome::Stream(stream) => match self.read(stream).await {
                Ok(()) => return CallEnd::Finished(self.meter.usage()),
                Err(error) => error,
            },
        };
        // Each iteration but the last receives at least one more event.
        loop {
            self.log_stream_error(error);
            if !self.may_resume(error) {
                return CallEnd::Broken(self.meter.usage());
            }
            error = match self.resume().await {
                Ok(()) => return CallEnd::Finished(self.meter.usage()),
                Err(error) => error,
            };
        }
    }

    /// Log the error that ended a connection.
    pub(super) fn log_stream_error(&self, error: StreamError) {
        let context = self.context;
        match error {
            StreamError::Silent => context.log_incident(
                Incident::ConnectionSilent,
                "engine is ahead of the connection",
            ),
            StreamError::Unavailable
            | StreamError::ConnectionRefused
            | StreamError::UnknownRequest => {
                context.log_incident(Incident::ConnectionSilent, "engine or stream unavailable");
            }
            StreamError::Gap => context.log_incident(Incident::AnswerRejected, "gap in event ids"),
            StreamError::RequestMismatch => {
                context.log_incident(Incident::AnswerRejected, "request id mismatch")
            }
            StreamError::Malformed => {
                context.log_incident(Incident::AnswerRejected, "malformed event")
            }
            // A resumption is logged separately.
            StreamError::Dropped if context.target.contract.resumes => {}
            StreamError::Dropped => {
                context.log_incident(Incident::AnswerRejected, "answer truncated")
            }
        }
    }

    /// Get whether the rest of the stream may be requested after this error.
    pub(super) fn may_resume(&self, error: StreamError) -> bool {
        let allowed = match error {
            StreamError::Dropped | StreamError::Silent | StreamError::Gap => true,
            StreamError::ConnectionRefused | StreamError::UnknownRequest => true,
            StreamError::RequestMismatch => self.context.options.resume_mismatched,
            StreamError::Malformed | StreamError::Unavailable => false,
        };
        allowed && self.context.target.contract.resumes
    }

    fn watch<'b>(&'b self) -> SilenceWatch<'b> {
        SilenceWatch {
            address: self.context.target.address,
            request_id: &self.context.request_id,
            stream: self.stream.as_ref(),
            offset: self.offset,
            resumes: self.context.target.contract.resumes,
            options: &self.context.options,
        }
    }

    /// Connect, send the request and wait for the response's head.
    async fn open(&mut self, call: &OutgoingCall) -> OpenOutcome {
        let Some(request) = self.context.request(call) else {
            return OpenOutcome::Ended(self.context.reject_malformed());
        };
        let verdict = self.watch().verdict();
        match self
            .context
            .send_first(request, &self.context.request_id, verdict)
            .await
        {
            Ok(first) => self.check_head(first).await,
            Err(SendError::NotConnected) => OpenOutcome::Ended(CallEnd::NotSent),
            Err(SendError::Dropped) => OpenOutcome::Failed(StreamError::Dropped),
            Err(SendError::Unresponsive(verdict)) => OpenOutcome::Failed(verdict.into()),
            Err(SendError::Unreadable) => OpenOutcome::Failed(StreamError::Malformed),
        }
    }

    async fn check_head(&mut self, first: FirstResponse) -> OpenOutcome {
        let FirstResponse {
            connection,
            response,
            framing,
        } = first;
        if self.context.is_mismatched(&response) {
            return OpenOutcome::Failed(StreamError::RequestMismatch);
        }
        if self.context.is_refused(&connection, &response) {
            return OpenOutcome::Ended(CallEnd::Refused);
        }
        let status = response.status();
        if !status.is_success() {
            let usage = self.meter.usage();
            let forwarding = self.context.forward_error(response, framing, usage);
            return OpenOutcome::Ended(forwarding.await);
        }
        if !is_event_stream(&response) {
            return OpenOutcome::Failed(StreamError::Malformed);
        }
        OpenOutcome::Stream(self.accept_head(connection, response))
    }

    /// Accept the head of a stream and get the open stream.
    pub(super) fn accept_head(
        &mut self,
        connection: TargetConnection,
        response: Response<TargetBody>,
    ) -> OpenStream {
        let (head, body) = response.into_parts();
        if !self.head_pushed {
            self.head_pushed = true;
            self.context.push_head(&head);
        }
        let named = head.headers.get(STREAM_ID);
        let id = named
            .and_then(|value| value.to_str().ok())
            .and_then(|text| StreamId::try_from(text).ok());
        if let Some(id) = id {
            self.set_stream(id);
        }
        OpenStream { connection, body }
    }

    /// Set the stream's id, also for a later abort.
    pub(super) fn set_stream(&mut self, id: StreamId) {
        self.context.trace.set_stream(id.clone());
        self.stream = Some(id);
    }

    /// Try to read events until the last one.
    pub(super) async fn read(&mut self, mut stream: OpenStream) -> Result<(), StreamError> {
        let mut parser = EventParser::new();
        loop {
            let chunk = self.next_chunk(&mut stream.body).await?;
            parser.feed(&chunk);
            while let Some(event) = parser.next_event().map_err(|_| StreamError::Malformed)? {
                if self.accept(event)? {
                    self.keep(stream).await;
                    return Ok(());
                }
            }
        }
    }

    async fn next_chunk(&self, body: &mut TargetBody) -> Result<Bytes, StreamError> {
        // Buffered data is read before the timers are checked: after a pause of
        // this process a timer may fire although the data has arrived.
        tokio::select! {
            biased;
            frame = body.frame() => match frame {
                Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
                Some(Err(_)) | None => Err(StreamError::Dropped),
            },
            verdict = self.watch().verdict() => Err(verdict.into()),
        }
    }

    /// Validate an event and forward it. Returns whether it was the last one.
    fn accept(&mut self, event: ServerEvent) -> Result<bool, StreamError> {
        if event.data.as_ref() == DONE {
            self.advance(event.id)?;
            return Ok(true);
        }
        let chunk: StreamChunk =
            serde_json::from_slice(&event.data).map_err(|_| StreamError::Malformed)?;
        if chunk.id != self.context.request_id {
            return Err(StreamError::RequestMismatch);
        }
        self.advance(event.id)?;
        self.context.answer.push(AnswerPart::Data(event.data));
        match self.meter.add(&chunk) {
            TokenStep::Nothing => {}
            TokenStep::First => self.report.step(AttemptEvent::FirstToken),
            TokenStep::Progress(tokens) => self.report.step(AttemptEvent::Progress(tokens)),
        }
        Ok(false)
    }

    fn advance(&mut self, id: Option<u64>) -> Result<(), StreamError> {
        if id != Some(self.offset + 1) {
            return Err(StreamError::Gap);
        }
        self.offset += 1;
        Ok(())
    }

    /// Keep the connection for reuse if its body ends now.
    async fn keep(&self, mut stream: OpenStream) {
        if self.context.options.idle_reuse.is_zero() {
            return;
        }
        let rest = timeout(BODY_END_WAIT, stream.body.frame()).await;
        if let Ok(None) = rest {
            let idle_connections = &self.context.idle_connections;
            idle_connections.keep(stream.connection, &self.context.options, None);
        }
    }
}

/// Get whether the response is an event stream. No other success than 200 is one.
pub(super) fn is_event_stream(response: &Response<TargetBody>) -> bool {
    let named = response.headers().get(header::CONTENT_TYPE);
    let has_events = named
        .and_then(|value| value.to_str().ok())
        .is_some_and(|text| text.starts_with("text/event-stream"));
    has_events && response.status() == StatusCode::OK
}
