//! Provides the loop's part of a planned stop.

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
use crate::node::request_label::RequestLabel;
use crate::node::seams::CallerDoor;
use crate::node::stop::{StopPhase, StopTimes};

/// How many times as long as they were told some callers of the gateway keep
/// an address, and a little more for those on their way.
const GATEWAY_LIFETIMES: u32 = 4;

impl HostNode {
    pub(super) fn on_stop(&mut self) {
        if self.stop == StopPhase::Serving {
            let grace = self.settings.grace();
            let times = StopTimes::new(self.now(), self.stop_lifetime(), grace);
            self.stop = self.stop.begin(times);
            self.note_stop(Incident::StopBegun, &times);
        }
        self.callers.lapse();
        self.handle(NodeEvent::Stop);
        if let Some(times) = self.stop.times() {
            self.handle(NodeEvent::AnswerDeadline(times.whole_by()));
        }
    }

    /// Go on with a planned stop, as far as time alone takes it.
    pub(super) fn advance_stop(&mut self) {
        let Some(phase) = self.stop.advance(self.now()) else {
            return;
        };
        self.stop = phase;
        match phase {
            StopPhase::Serving | StopPhase::Lapsing(_) => {}
            StopPhase::Ending(times) => {
                self.callers.shut();
                // The project's own interface goes on to answer questions; were
                // requests taken there until the host is idle, it would never
                // be idle under load.
                if let CallerDoor::Api(_) = self.callers {
                    self.handle(NodeEvent::AdmissionClosed);
                }
                self.note_stop(Incident::AdmissionClosed, &times);
            }
            StopPhase::Over(times) => {
                self.take_waiting();
                self.note_open(&times);
                // A host that is late is killed while it ends its requests; what
                // it held is in the log by then.
                event_log::request_flush();
                self.handle(NodeEvent::GraceExpired);
            }
        }
    }

    /// Take in what has come already. Answers whose end waits here are whole, and
    /// would be told as cut off.
    pub(super) fn take_waiting(&mut self) {
        for _ in 0..self.inbox.len() {
            let Ok(input) = self.inbox.try_recv() else {
                return;
            };
            self.on_input(input);
        }
    }

    /// Get how long a stopping host still takes callers. At the gateway some
    /// callers keep an address three times as long as they were told.
    fn stop_lifetime(&self) -> Duration {
        let lifetime = self.core.publication().limits.address_lifetime_ms;
        let lifetime = Duration::from_millis(lifetime);
        match self.callers {
            CallerDoor::Api(_) => lifetime,
            CallerDoor::Gateway(_) => lifetime * GATEWAY_LIFETIMES,
        }
    }
}

/// Note that the grace is over before callers have read their answers.
pub(super) fn note_unread(me: &HostIdentity, metrics: &NodeMetrics) {
    metrics.incident(Incident::GraceEnding);
    let about = "answers that are still being read";
    let pairs: [(&str, &dyn Display); 2] = [("host", &me.incarnation.host), ("about", &about)];
    event_log::write(Incident::GraceEnding, &pairs);
}

/// Turn away what comes when the loop has ended, such as a request whose body
/// was still being read. A dropped reply would leave open whether it ran.
pub(super) fn turn_away(
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
    let label = RequestLabel::of(now, &submission, &call).with_stop(stop_at);
    metrics.refused(refusal.reason(), Some(label.tier));
    label.note_end(now, None, &Conclusion::Refused(refusal.clone()), 0);
    // A caller that is gone needs no answer.
    let _ = reply.send(SubmissionReply {
        reception: SubmitOutcome::Refused(refusal),
        answer: None,
    });
}
