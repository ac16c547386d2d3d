//! Provides calls to plain services: one request, one complete answer.

use std::future::pending;

use bergamotswitch_core::incident::Incident;
use http_body_util::BodyExt;

use super::attempt_report::AttemptReport;
use super::call_context::{CallContext, CallEnd, FirstResponse, SendError};
use super::usage_meter::{UsageMeter, report_step};
use crate::answer::AnswerPart;
use crate::input::OutgoingCall;

/// Run the call to its end.
pub(super) async fn run(
    context: &CallContext,
    call: &OutgoingCall,
    report: &AttemptReport,
) -> CallEnd {
    let Some(request) = context.request(call) else {
        return context.reject_malformed();
    };
    let mut meter = UsageMeter::start(context.options.progress_period);
    // A plain service has no status query, so an unresponsive one is waited for
    // until the kernel or the event loop ends the call.
    match context
        .send_first(request, &context.request_id, pending())
        .await
    {
        Ok(first) => read(context, first, &mut meter, report).await,
        Err(SendError::NotConnected) => CallEnd::NotSent,
        Err(SendError::Dropped | SendError::Unresponsive(_) | SendError::Unreadable) => {
            CallEnd::Broken(meter.usage())
        }
    }
}

async fn read(
    context: &CallContext,
    first: FirstResponse,
    meter: &mut UsageMeter,
    report: &AttemptReport,
) -> CallEnd {
    let FirstResponse {
        connection,
        response,
        framing,
    } = first;
    if context.is_mismatched(&response) {
        context.log_incident(Incident::AnswerRejected, "request id mismatch");
        return CallEnd::Broken(meter.usage());
    }
    if context.is_refused(&connection, &response) {
        return CallEnd::Refused;
    }
    let status = response.status();
    if status.is_client_error() || status.is_server_error() {
        return context
            .forward_error(response, framing, meter.usage())
            .await;
    }
    if !context.has_marked_end(framing) {
        return CallEnd::Broken(meter.usage());
    }
    let (head, mut body) = response.into_parts();
    context.push_head(&head);
    report_step(meter.add_plain(), report);
    while let Some(frame) = body.frame().await {
        // A body that ends before its declared length or its last chunk is an
        // error.
        let Ok(frame) = frame else {
            context.log_incident(Incident::AnswerRejected, "answer truncated");
            return CallEnd::Broken(meter.usage());
        };
        if let Ok(chunk) = frame.into_data() {
            context.answer.push(AnswerPart::Data(chunk));
            report_step(meter.add_plain(), report);
        }
    }
    context
        .idle_connections
        .keep(connection, &context.options, None);
    CallEnd::Finished(meter.usage())
}
