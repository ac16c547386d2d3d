//! Provides the reports of an attempt to the event loop: any number of progress
//! events and exactly one final event.

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

/// An `AbortFlag` is set when an attempt is aborted and must report nothing
/// more.
#[derive(Clone, Debug, Default)]
pub(super) struct AbortFlag(Arc<AtomicBool>);

impl AbortFlag {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A `StepSender` sends progress events of one attempt to the event loop, unless the
/// attempt is aborted.
#[derive(Clone, Debug)]
pub(super) struct StepSender {
    attempt: AttemptId,
    events: NodeSender,
    aborted: AbortFlag,
}

impl StepSender {
    /// Get the sender of a new attempt.
    pub fn new(attempt: AttemptId, events: NodeSender, aborted: AbortFlag) -> Self {
        StepSender {
            attempt,
            events,
            aborted,
        }
    }

    pub fn send(&self, event: AttemptEvent) {
        if !self.aborted.is_set() {
            // Sending fails only if the event loop has ended.
            let _ = self.events.send(NodeInput::Attempt(self.attempt, event));
        }
    }
}

/// An `AttemptReport` sends the events of one attempt to the event loop.
///
/// If it is dropped without a final event, it reports `Broken`, so that a call
/// that panics does not leave its request in flight and its permit taken until
/// the next audit. An aborted attempt reports nothing.
#[derive(Debug)]
pub(super) struct AttemptReport {
    steps: StepSender,
    ended: bool,
}

impl AttemptReport {
    /// Get the report of a new attempt.
    pub fn new(steps: StepSender) -> Self {
        AttemptReport {
            steps,
            ended: false,
        }
    }

    pub fn step(&self, event: AttemptEvent) {
        self.steps.send(event);
    }

    pub fn end(mut self, event: AttemptEvent) {
        self.ended = true;
        self.steps.send(event);
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.ended {
            self.steps.send(AttemptEvent::Broken(Usage::default()));
        }
    }
}

/// Log an incident of an attempt at a target.
pub(super) fn log_incident(
    incident: Incident,
    attempt: AttemptId,
    target: &TargetName,
    cause: &str,
) {
    let pairs: [(&str, &dyn fmt::Display); 3] =
        [("attempt", &attempt), ("to", target), ("cause", &cause)];
    event_log::write(incident, &pairs);
}
