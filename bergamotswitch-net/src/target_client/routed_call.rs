//! Provides calls that a gateway routes to a target. The answer is a single
//! body, or an event stream that another target may resume.

use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::event_order::{EventId, EventOrder, EventPlace};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target_answer::{AnswerFraming, AnswerHead, AnswerUse};
use bergamotswitch_platform::answer::{self, TargetAnswer};
use bergamotswitch_platform::outgoing::OutgoingHead;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use tokio::time::{sleep, timeout};

use super::attempt_report::AttemptReport;
use super::call_context::{CallContext, CallEnd, FirstResponse, SendError};
use super::connection::{TargetConnection, TargetRequest};
use super::event_blocks::EventSplitter;
use super::silence_watch::SilenceVerdict;
use super::target_body::TargetBody;
use super::usage_meter::{UsageMeter, report_step};
use crate::answer::AnswerPart;
use crate::input::OutgoingCall;

/// The maximum size in bytes of an answer's body and of a single event.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How long data that has already arrived may take to be read before the target counts
/// as silent. A process that was suspended sees its timers before that data.
const ARRIVED_DATA_ALLOWANCE: Duration = Duration::from_millis(10);

/// A `RoutedCall` is what a gateway sends to a target with a caller's request,
/// in addition to its method, path and body.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The caller's id of this attempt.
    pub request_id: String,
    /// The caller's header fields that are passed on.
    pub fields: Arc<HeaderMap>,
    /// The client account of the caller, as targets know it.
    pub account: Option<String>,
    /// The time at which the call ends.
    pub deadline: Instant,
    /// Whether the answer is an event stream.
    pub is_stream: bool,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<EventId>,
    /// How long a target may take to start the answer until it is reported as
    /// silent, repeatedly; `None` for never.
    pub start_timeout: Option<Duration>,
    /// How long a target may take between two events of a stream until it is
    /// reported as silent, repeatedly; `None` for never.
    pub gap_timeout: Option<Duration>,
}

/// The prefix of an event stream's content type.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// Run the call to its end.
pub(super) async fn run(
    context: &CallContext,
    call: &OutgoingCall,
    report: &AttemptReport,
) -> CallEnd {
    let Some(routed) = &call.routed else {
        return context.reject_malformed();
    };
    let Some(request) = request(context, call, routed) else {
        return context.reject_malformed();
    };
    let mut meter = UsageMeter::start(context.options.progress_period);
    match context
        .send_first(
            request,
            &routed.request_id,
            report_silence(context, routed, report),
        )
        .await
    {
        Ok(first) => read(context, routed, first, &mut meter, report).await,
        Err(SendError::NotConnected) => CallEnd::NotSent,
        Err(SendError::Dropped) => {
            context.log_incident(
                Incident::AnswerRejected,
                "connection closed before an answer",
            );
            CallEnd::Broken(meter.usage())
        }
        Err(SendError::Unresponsive(_) | SendError::Unreadable) => CallEnd::Broken(meter.usage()),
    }
}

/// Report the target as silent each time the start timeout passes. The wait never ends: the
/// event loop ends the call if another run can replace it.
async fn report_silence(
    context: &CallContext,
    routed: &RoutedCall,
    report: &AttemptReport,
) -> SilenceVerdict {
    let Some(wait) = routed.start_timeout else {
        return pending().await;
    };
    loop {
        sleep(wait).await;
        sleep(ARRIVED_DATA_ALLOWANCE).await;
        context.log_incident(Incident::RunStalled, "no answer started in time");
        report.step(AttemptEvent::Stalled);
    }
}

fn request(
    context: &CallContext,
    call: &OutgoingCall,
    routed: &RoutedCall,
) -> Option<TargetRequest> {
    let mut headers = (*routed.fields).clone();
    let head = OutgoingHead {
        target: &context.target.name,
        account: routed.account.as_deref(),
        deadline_in: routed.deadline.saturating_duration_since(Instant::now()),
        last_event: context.answer.last_event_id(),
    };
    head.write(&mut headers);
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

async fn read(
    context: &CallContext,
    routed: &RoutedCall,
    first: FirstResponse,
    meter: &mut UsageMeter,
    report: &AttemptReport,
) -> CallEnd {
    let FirstResponse {
        connection,
        response,
        framing,
    } = first;
    let (head, body) = response.into_parts();
    let found = TargetAnswer::read(head.status, &head.headers, &routed.request_id);
    let answer_use = found.head.answer_use(connection.connection_use());
    if answer_use != AnswerUse::Foreign {
        report_notices(&found, report);
    }
    if let Some(cause) = unused_because(answer_use, &found.head) {
        context.log_incident(Incident::AnswerRejected, cause);
    }
    let end = match answer_use {
        AnswerUse::Passed => None,
        AnswerUse::Foreign | AnswerUse::Unproven => return CallEnd::Broken(meter.usage()),
        AnswerUse::Rejection => Some(CallEnd::Refused),
        AnswerUse::Withheld => Some(CallEnd::Withheld),
    };
    if let Some(end) = end {
        drain(context, routed, connection, body, found.idle_timeout).await;
        return end;
    }
    let reading = AnswerReading {
        context,
        routed,
        connection,
        framing,
        head,
        idle_timeout: found.idle_timeout,
    };
    match routed.is_stream && reading.head.status.is_success() {
        true => reading.read_stream(body, meter, report).await,
        false => reading.read_complete(body, meter, report).await,
    }
}

/// Get why an answer is neither passed on nor believed; `None` if it is.
fn unused_because(answer_use: AnswerUse, head: &AnswerHead) -> Option<&'static str> {
    match answer_use {
        AnswerUse::Rejection | AnswerUse::Passed => None,
        AnswerUse::Foreign if head.is_rejection => Some("rejection of another request"),
        AnswerUse::Foreign => Some("answer to another request"),
        AnswerUse::Unproven if head.is_signed => Some("answer without a request id"),
        AnswerUse::Unproven => Some("answer without the target's signature"),
        AnswerUse::Withheld => Some("failure with the status of a rejection"),
    }
}

/// Report what the target says of itself in an answer.
fn report_notices(found: &TargetAnswer, report: &AttemptReport) {
    let notices = [
        found.limit.map(AttemptEvent::LimitNamed),
        found.is_leaving.then_some(AttemptEvent::LeavingNamed),
        found.brittle.map(AttemptEvent::BrittleNamed),
        found.pace.map(AttemptEvent::PaceNamed),
        found.rest.map(AttemptEvent::RestAsked),
    ];
    for notice in notices.into_iter().flatten() {
        report.step(notice);
    }
}

/// Discard the rest of an answer that is not passed on, so that its connection can be
/// reused.
async fn drain(
    context: &CallContext,
    routed: &RoutedCall,
    mut connection: TargetConnection,
    body: TargetBody,
    idle_timeout: Option<Duration>,
) {
    const WAIT: Duration = Duration::from_millis(50);
    const MAX_BYTES: usize = 4_096;
    let reading = Limited::new(body, MAX_BYTES).collect();
    if let Ok(Ok(_)) = timeout(WAIT, reading).await {
        connection.record_rejection(&routed.request_id);
        context
            .idle_connections
            .keep(connection, &context.options, idle_timeout);
    }
}

/// An `AnswerReading` is a signed answer whose body is being read.
struct AnswerReading<'c> {
    context: &'c CallContext,
    routed: &'c RoutedCall,
    connection: TargetConnection,
    framing: AnswerFraming,
    head: Parts,
    idle_timeout: Option<Duration>,
}

impl AnswerReading<'_> {
    /// Read the complete answer before forwarding it.
    async fn read_complete(
        self,
        body: TargetBody,
        meter: &mut UsageMeter,
        report: &AttemptReport,
    ) -> CallEnd {
        // The caller has already received a part of a resumed stream, so an
        // error answer cannot follow.
        let has_started = self.context.answer.last_event_id().is_some();
        let bytes = match self.collect(body).await {
            Ok(bytes) => bytes,
            Err(cause) => {
                self.context.log_incident(Incident::AnswerRejected, cause);
                return CallEnd::Broken(meter.usage());
            }
        };
        if !self.is_whole(!bytes.is_empty()).await {
            return CallEnd::Broken(meter.usage());
        }
        let success = self.head.status.is_success();
        if !has_started {
            report_step(meter.add_plain(), report);
            self.push_head();
            self.context.answer.push(AnswerPart::Data(bytes));
        }
        self.keep();
        match (success, has_started) {
            (true, false) => CallEnd::Finished(meter.usage()),
            (false, false) => CallEnd::Failed,
            (_, true) => CallEnd::Broken(meter.usage()),
        }
    }

    /// Try to read a whole body.
    ///
    /// # Errors
    ///
    /// Returns why the answer is given up.
    async fn collect(&self, mut body: TargetBody) -> Result<Bytes, &'static str> {
        let mut hold = self.context.answer_memory.hold();
        let mut parts = Vec::new();
        let mut count = 0;
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err("answer too large");
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| "answer truncated")?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            count += bytes.len();
            if count > MAX_BODY_BYTES || !hold.resize(count) {
                return Err("answer too large");
            }
            parts.push(bytes);
        }
        let bytes = match parts.len() {
            1 => parts.remove(0),
            _ => parts.concat().into(),
        };
        Ok(hold.keep(bytes))
    }

    /// Forward a stream's events as they arrive.
    async fn read_stream(
        self,
        mut body: TargetBody,
        meter: &mut UsageMeter,
        report: &AttemptReport,
    ) -> CallEnd {
        let mut splitter = EventSplitter::default();
        let passed = self.context.answer.last_event_id();
        let resumed_after = passed.or(self.routed.last_event);
        let mut order = EventOrder::after(resumed_after);
        let mut head_pushed = passed.is_some();
        let has_events = self.has_events();
        let mut has_content = false;
        let mut hold = self.context.answer_memory.hold();
        if resumed_after.is_some() && !has_events {
            self.context
                .log_incident(Incident::AnswerRejected, "stream resumed without events");
            return CallEnd::Broken(meter.usage());
        }
        loop {
            let frame = match self.next_frame(&mut body, meter, report).await {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(end) => return end,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            splitter.add(&bytes);
            for block in splitter.by_ref() {
                let place = match has_events {
                    true => block.place,
                    false => EventPlace::Unnumbered,
                };
                if !order.accept(place) {
                    self.context
                        .log_incident(Incident::AnswerRejected, "event out of order");
                    return CallEnd::Broken(meter.usage());
                }
                has_content |= place != EventPlace::Empty;
                if !head_pushed {
                    self.push_head();
                    head_pushed = true;
                }
                report_step(meter.add_event(), report);
                self.context.answer.push_event(block.bytes, place);
            }
            let held = splitter.rest_len();
            if held > MAX_BODY_BYTES || !hold.resize(held) {
                self.context
                    .log_incident(Incident::AnswerRejected, "event too large");
                return CallEnd::Broken(meter.usage());
            }
        }
        // A body without a declared length ends with its connection, also if
        // the target stops within an event. Forwarding the partial event would
        // make the answer look complete and prevent its resumption.
        if splitter.is_in_event() && has_events {
            self.context
                .log_incident(Incident::AnswerRejected, "stream ended inside an event");
            return CallEnd::Broken(meter.usage());
        }
        let rest = splitter.take_rest();
        has_content |= !has_events && !rest.is_empty();
        if !self.is_whole(has_content).await {
            return CallEnd::Broken(meter.usage());
        }
        if !head_pushed {
            self.push_head();
        }
        if !rest.is_empty() {
            self.context.answer.push(AnswerPart::Data(hold.keep(rest)));
        }
        self.keep();
        CallEnd::Finished(meter.usage())
    }

    /// Get whether an answer whose body ended without an error is whole. A process that is
    /// killed closes its connections as one that has sent its answer does.
    async fn is_whole(&self, has_content: bool) -> bool {
        let cause = match self.framing {
            framing if !framing.is_whole(has_content) => "answer ended without content",
            AnswerFraming::ConnectionEnd if self.context.is_target_gone().await => {
                "target gone at the end of its answer"
            }
            _ => return true,
        };
        self.context.log_incident(Incident::AnswerRejected, cause);
        false
    }

    /// Get whether the body is an event stream. A missing content type counts
    /// as one.
    fn has_events(&self) -> bool {
        let kind = self.head.headers.get(header::CONTENT_TYPE);
        kind.is_none_or(|kind| {
            let start = kind.as_bytes().get(..EVENT_STREAM_TYPE.len());
            start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM_TYPE))
        })
    }

    /// Try to get the next frame of a stream, or `None` at its end. A silence is
    /// reported, and the wait goes on until the event loop ends the attempt.
    async fn next_frame(
        &self,
        body: &mut TargetBody,
        meter: &UsageMeter,
        report: &AttemptReport,
    ) -> Result<Option<hyper::body::Frame<bytes::Bytes>>, CallEnd> {
        let (wait, cause) = match meter.awaits_first() {
            true => (self.routed.start_timeout, "no first event in time"),
            false => (self.routed.gap_timeout, "no event in time"),
        };
        loop {
            let next = match wait {
                Some(wait) => match timeout(wait, body.frame()).await {
                    Ok(next) => Ok(next),
                    Err(_) => timeout(ARRIVED_DATA_ALLOWANCE, body.frame()).await,
                },
                None => Ok(body.frame().await),
            };
            match next {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => return Ok(Some(frame)),
                Ok(Some(Err(_))) => {
                    self.context
                        .log_incident(Incident::AnswerRejected, "stream truncated");
                    return Err(CallEnd::Broken(meter.usage()));
                }
                Err(_) => {
                    self.context.log_incident(Incident::RunStalled, cause);
                    report.step(AttemptEvent::Stalled);
                }
            }
        }
    }

    fn push_head(&self) {
        self.context.answer.push(AnswerPart::Head {
            status: self.head.status.as_u16(),
            content_type: String::new(),
            fields: answer::passed_fields(&self.head.headers),
        });
    }

    fn keep(self) {
        let idle_connections = &self.context.idle_connections;
        idle_connections.keep(self.connection, &self.context.options, self.idle_timeout);
    }
}
