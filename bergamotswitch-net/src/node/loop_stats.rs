//! Provides the statistics of the event loop: what its inputs cost, and how long they
//! wait for it.

use std::fmt;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::permit::OwnerMessage;

use crate::input::NodeInput;

/// The delay of an input from which on the event loop counts as behind. Callers notice
/// it, and it is a fraction of the suspicion timeout of peers.
const BEHIND_DELAY: Duration = Duration::from_millis(250);

/// An `InputKind` is a kind of input whose cost is measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputKind {
    /// A caller's request.
    Submit,
    /// Another message of a caller, a query or a signal.
    Caller,
    /// A published value or another result of the configuration service.
    Platform,
    /// A roster message.
    Gossip,
    /// Progress at a target.
    Attempt,
    /// A heartbeat, or a change of a link or of ownership.
    Membership,
    /// A permit request, or a message that announces one.
    PermitRequest,
    /// Another message to a shard owner.
    ToOwner,
    /// A reply of a shard owner.
    FromOwner,
    /// A published value or its revision from a peer, or a crash report.
    Peer,
    /// A timer.
    Tick,
}

impl InputKind {
    /// All kinds.
    pub(crate) const ALL: [InputKind; 11] = [
        InputKind::Submit,
        InputKind::Caller,
        InputKind::Platform,
        InputKind::Gossip,
        InputKind::Attempt,
        InputKind::Membership,
        InputKind::PermitRequest,
        InputKind::ToOwner,
        InputKind::FromOwner,
        InputKind::Peer,
        InputKind::Tick,
    ];

    /// Get the kind of an input.
    pub(crate) fn of(input: &NodeInput) -> Self {
        match input {
            NodeInput::Submit { .. } => InputKind::Submit,
            NodeInput::Link(LinkEvent::Message(_, message)) => InputKind::of_message(message),
            NodeInput::Link(LinkEvent::Up(_) | LinkEvent::Down(_)) => InputKind::Membership,
            NodeInput::Platform(_) | NodeInput::Targets(_) | NodeInput::Evacuations(_) => {
                InputKind::Platform
            }
            NodeInput::Gossip(_) => InputKind::Gossip,
            NodeInput::Attempt(..)
            | NodeInput::AnswerTooLong(_)
            | NodeInput::Load(..)
            | NodeInput::Prefix(..)
            | NodeInput::CacheRead(..) => InputKind::Attempt,
            NodeInput::CallerDisconnected(_)
            | NodeInput::Outcome(..)
            | NodeInput::Address(..)
            | NodeInput::ReadyHosts(_)
            | NodeInput::IsReady(_)
            | NodeInput::KeysTrusted(_)
            | NodeInput::Status(_)
            | NodeInput::Settings(_)
            | NodeInput::EarlyRefusal(..)
            | NodeInput::Stop(_) => InputKind::Caller,
        }
    }

    fn of_message(message: &LinkMessage) -> Self {
        match message {
            LinkMessage::Heartbeat(_) | LinkMessage::Ownership(_) => InputKind::Membership,
            LinkMessage::ToOwner(
                OwnerMessage::PermitRequest(_)
                | OwnerMessage::Signature { .. }
                | OwnerMessage::Stream { .. },
            ) => InputKind::PermitRequest,
            LinkMessage::ToOwner(_) => InputKind::ToOwner,
            LinkMessage::FromOwner(_) => InputKind::FromOwner,
            LinkMessage::Revision(_) | LinkMessage::Crashes(_) => InputKind::Peer,
        }
    }

    /// Get the kind's name, which is its label in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            InputKind::Submit => "submit",
            InputKind::Caller => "caller",
            InputKind::Platform => "platform",
            InputKind::Gossip => "gossip",
            InputKind::Attempt => "attempt",
            InputKind::Membership => "membership",
            InputKind::PermitRequest => "permit-request",
            InputKind::ToOwner => "to-owner",
            InputKind::FromOwner => "from-owner",
            InputKind::Peer => "peer",
            InputKind::Tick => "tick",
        }
    }
}

/// A `KindStats` is the inputs of one kind in one interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindStats {
    pub(crate) count: u64,
    pub(crate) busy: Duration,
}

/// A `LoopStats` is the inputs that the event loop processed in one interval.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopStats {
    kinds: [KindStats; InputKind::ALL.len()],
    max_delay: Duration,
    max_waiting: usize,
}

impl LoopStats {
    /// Record an input that arrived at `arrived` and was processed from `started` to
    /// `ended` while `waiting` others waited.
    pub(crate) fn record(
        &mut self,
        kind: InputKind,
        arrived: Moment,
        (started, ended): (Moment, Moment),
        waiting: usize,
    ) {
        let stats = &mut self.kinds[kind as usize];
        stats.count += 1;
        stats.busy += ended.since(started);
        self.max_delay = self.max_delay.max(started.since(arrived));
        self.max_waiting = self.max_waiting.max(waiting);
    }

    /// Get the statistics of each kind.
    pub(crate) fn kinds(&self) -> impl Iterator<Item = (InputKind, KindStats)> {
        InputKind::ALL.into_iter().zip(self.kinds)
    }

    /// Get the longest time for which an input waited.
    pub(crate) fn max_delay(&self) -> Duration {
        self.max_delay
    }

    /// Get the largest number of inputs that waited.
    pub(crate) fn max_waiting(&self) -> usize {
        self.max_waiting
    }

    /// Get whether the event loop was behind.
    pub(crate) fn is_behind(&self) -> bool {
        self.max_delay >= BEHIND_DELAY
    }
}

impl fmt::Display for LoopStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (kind, stats) in self.kinds().filter(|(_, stats)| stats.count > 0) {
            let busy = stats.busy.as_millis();
            write!(f, "{separator}{}:{}/{busy}ms", kind.as_str(), stats.count)?;
            separator = " ";
        }
        Ok(())
    }
}
