//! Provides the reports of one attempt to the loop: any number of steps and
//! exactly one end.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::permit::Usage;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target::TargetName;

use crate::event_log;
use crate::input::{NodeInput, NodeSender};

/// An `AbortFlag` is set once the loop no longer wants to hear of an attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct AbortFlag(Arc<AtomicBool>);

impl AbortFlag {
    /// Set the flag.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Get whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An `AttemptReport` tells the loop of one attempt.
///
/// Its drop without an end reports `Broken`. Otherwise a call that panics
/// would leave its request in flight and its permit taken for good; one would
/// see a slot that only an audit frees. An aborted attempt reports nothing.
#[derive(Debug)]
pub(super) struct AttemptReport {
    attempt: AttemptId,
    events: NodeSender,
    aborted: AbortFlag,
    ended: bool,
}

impl AttemptReport {
    /// Get the report of an attempt that begins.
    pub fn new(attempt: AttemptId, events: NodeSender, aborted: AbortFlag) -> Self {
        AttemptReport {
            attempt,
            events,
            aborted,
            ended: false,
        }
    }

    /// Report a step.
    pub fn step(&self, event: AttemptEvent) {
        self.send(event);
    }

    /// Report the end.
    pub fn end(mut self, event: AttemptEvent) {
        self.ended = true;
        self.send(event);
    }

    fn send(&self, event: AttemptEvent) {
        if !self.aborted.is_set() {
            // The loop is gone only when the process ends.
            let _ = self.events.send(NodeInput::Attempt(self.attempt, event));
        }
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.ended {
            self.send(AttemptEvent::Broken(Usage::default()));
        }
    }
}

/// Log an incident of an attempt at a target.
pub(super) fn note(incident: Incident, attempt: AttemptId, target: &TargetName, cause: &str) {
    let pairs: [(&str, &dyn fmt::Display); 3] =
        [("attempt", &attempt), ("to", target), ("cause", &cause)];
    event_log::write(incident, &pairs);
}
