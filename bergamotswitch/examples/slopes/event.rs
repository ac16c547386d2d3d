//! Provides the scheduled events of a [`BenchFleet`].
//!
//! [`BenchFleet`]: crate::fleet::BenchFleet

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::host::{HostIncarnation, Incarnation};
use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::revision::{Revision, ValueName};

/// A `FleetEvent` is a future event of the simulation.
pub enum FleetEvent {
    Wake(usize),
    Redial,
    Message(usize, usize, Box<LinkMessage>),
    Answer(usize, u64, ValueName, Option<Revision>),
    Attempt(usize, Incarnation, AttemptId, AttemptEvent),
    LinkDown(usize, HostIncarnation),
    Submit(usize),
}

/// A `ScheduledEvent` is an event with its time and a sequence number that breaks
/// ties.
pub struct ScheduledEvent(pub Moment, pub u64, pub FleetEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
