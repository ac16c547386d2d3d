//! Provides the steps of the event loop in a planned stop.

use std::fmt::Display;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{Conclusion, SubmitOutcome};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::node::NodeEvent;

use super::HostNode;
use crate::event_log;
use crate::input::{HostIdentity, NodeInput, SubmissionReply};
use crate::metrics::NodeMetrics;
use crate::node::adapters::CallerServer;
use crate::node::request_log::RequestLog;
use crate::node::stop::{StopPhase, StopSchedule};

/// The factor by which callers of the gateway may exceed the lifetime of an
/// address, including an allowance for connections that are being established.
const GATEWAY_LIFETIME_FACTOR: u32 = 4;

impl HostNode {
    /// Begin a planned stop after a signal, which was not sent before `sent_after`.
    pub(super) fn on_stop(&mut self, sent_after: Moment) {
        if self.stop == StopPhase::Serving {
            let grace = self.settings.grace();
            let schedule = StopSchedule::new(self.now(), self.accept_duration(), grace)
                .with_signal_after(sent_after);
            self.stop = self.stop.begin(schedule);
            self.log_stop_progress(Incident::StopBegun, &schedule);
        }
        self.callers.begin_stop();
        self.links.close_tunnels();
        self.handle(NodeEvent::Stop);
        if let Some(schedule) = self.stop.schedule() {
            self.handle(NodeEvent::AnswerDeadline(schedule.answer_deadline()));
        }
    }

    /// Advance a planned stop to the phase that is due.
    pub(super) fn advance_stop(&mut self) {
        let Some(phase) = self.stop.advance(self.now()) else {
            return;
        };
        self.stop = phase;
        match phase {
            StopPhase::Serving | StopPhase::AwaitingExpiry(_) => {}
            StopPhase::Draining(schedule) => {
                self.callers.stop_accepting();
                // The native API still answers queries, but must not admit
                // requests: under load the host would never become idle.
                if let CallerServer::Api(_) = self.callers {
                    self.handle(NodeEvent::AdmissionClosed);
                }
                self.log_stop_progress(Incident::AdmissionClosed, &schedule);
            }
            StopPhase::GraceEnding(schedule) => {
                self.process_inbox();
                self.log_open_requests(&schedule);
                // The lines must be written now: the host may be killed before
                // it has ended its requests.
                event_log::request_flush();
                self.handle(NodeEvent::GraceExpired);
            }
        }
    }

    /// Process all inputs that have already arrived. Otherwise an answer whose end
    /// is still in the inbox would be reported as truncated.
    pub(super) fn process_inbox(&mut self) {
        self.inbox.collect(self.now());
        for _ in 0..self.inbox.len() {
            self.process_next();
        }
    }

    /// Get how long a stopping host still accepts callers. Some callers of the
    /// gateway use an address for three times its lifetime.
    fn accept_duration(&self) -> Duration {
        let lifetime = self.core.publication().limits.address_lifetime_ms;
        let lifetime = Duration::from_millis(lifetime);
        match self.callers {
            CallerServer::Api(_) => lifetime,
            CallerServer::Gateway(_) => lifetime * GATEWAY_LIFETIME_FACTOR,
        }
    }
}

/// Log that the grace period has ended before callers have read their answers.
pub(super) fn log_unread_answers(me: &HostIdentity, metrics: &NodeMetrics) {
    metrics.count_incident(Incident::GraceEnding);
    let about = "answers that are still being read";
    let pairs: [(&str, &dyn Display); 2] = [("host", &me.incarnation.host), ("about", &about)];
    event_log::write(Incident::GraceEnding, &pairs);
}

/// Refuse a request that arrives after the event loop has ended, such as one whose
/// body was still being read. A dropped reply would not state that the request
/// did not run.
pub(super) fn refuse_late_request(
    input: Option<NodeInput>,
    now: Moment,
    stop_at: Option<Moment>,
    metrics: &NodeMetrics,
) {
    let Some(NodeInput::Submit {
        submission,
        call,
        reply,
    }) = input
    else {
        return;
    };
    let refusal = submission.stopping_refusal();
    let log = RequestLog::of(now, &submission, &call).with_stop(stop_at);
    metrics.count_refusal(refusal.reason(), Some(log.tier));
    log.write_end(now, None, &Conclusion::Refused(refusal.clone()), 0);
    // The caller may have disconnected.
    let _ = reply.send(SubmissionReply {
        outcome: SubmitOutcome::Refused(refusal),
        answer: None,
    });
}
