//! Provides the inputs of a host's event loop, sent by its I/O tasks.

use std::time::Duration;

use bergamotswitch_core::address::{AddressAnswer, AddressQuery};
use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{
    AttemptEvent, OutcomeQuery, OutcomeView, Submission, SubmitOutcome,
};
use bergamotswitch_core::evacuation::EvacuationUpdate;
use bergamotswitch_core::host::{EntryHost, HostIncarnation};
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::node::{InputRole, LoopInput};
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_core::roster::RosterMessage;
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_core::target::{LoadReport, TargetName};
use bergamotswitch_core::target_list::TargetUpdate;
use bergamotswitch_core::{request::PrefixHash, rules::Tier};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::answer::AnswerReader;
use crate::target_client::routed_call::RoutedCall;

/// An `OutgoingCall` is the HTTP request sent to a target once a permit is granted.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The HTTP method.
    pub method: http::Method,
    /// The path and query at the target.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body. For engines it always requests a stream, even if the caller does
    /// not: only a stream shows that the target is alive, and can be resumed.
    pub body: Bytes,
    /// The identifiers and header fields passed to a target with a gateway call.
    pub routed: Option<RoutedCall>,
}

/// A `SubmissionReply` is the event loop's reply to a submission.
#[derive(Debug)]
pub struct SubmissionReply {
    /// Whether the request is accepted, attached, forwarded or refused.
    pub outcome: SubmitOutcome,
    /// The reader of the answer, if this host serves the request.
    pub answer: Option<AnswerReader>,
}

/// A `PlatformEvent` is the result of reading or watching a published value.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// A value was received.
    Read(PublishedValue),
    /// A watch of the value ended without a change.
    Unchanged(ValueName),
    /// A read or watch found no change of the value; the service has this revision of it.
    UnchangedAt(ValueName, Revision),
    /// The service did not answer or returned an error.
    Failed(ValueName),
}

/// A `NodeInput` is one input of the event loop.
#[derive(Debug)]
pub enum NodeInput {
    /// A caller's validated request.
    Submit {
        /// The request's properties on which decisions depend.
        submission: Box<Submission>,
        /// The call to send to a target.
        call: Box<OutgoingCall>,
        /// The sender of the reply.
        reply: oneshot::Sender<SubmissionReply>,
    },
    /// A caller that followed the request's answer has disconnected.
    CallerDisconnected(RequestId),
    /// A query for a request's outcome.
    Outcome(OutcomeQuery, oneshot::Sender<OutcomeView>),
    /// A query for the hosts that a caller may connect to.
    Address(AddressQuery, oneshot::Sender<AddressAnswer>),
    /// A query for the hosts that accept callers.
    ReadyHosts(oneshot::Sender<Vec<EntryHost>>),
    /// A query whether this host accepts callers.
    IsReady(oneshot::Sender<bool>),
    /// A query whether API keys and routes are current enough to be trusted.
    KeysTrusted(oneshot::Sender<bool>),
    /// A query for this host's status as JSON.
    Status(oneshot::Sender<serde_json::Value>),
    /// A link went up or down, or received a message.
    Link(LinkEvent),
    /// The result of reading or watching a published value.
    Platform(PlatformEvent),
    /// An update of the targets registered in the store.
    Targets(TargetUpdate),
    /// An update of the evacuated failure domains in the store.
    Evacuations(EvacuationUpdate),
    /// A roster message from another host.
    Gossip(Box<RosterMessage>),
    /// The new settings after a change of the settings file.
    Settings(Box<HostSettings>),
    /// A progress event of an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// A request's answer exceeds the maximum size.
    AnswerTooLong(RequestId),
    /// A target's load report.
    Load(TargetName, LoadReport),
    /// A target's cache event: the prefix was cached (`true`) or evicted (`false`).
    Prefix(TargetName, PrefixHash, bool),
    /// The parts of prompts that a target holds; `None` if it cannot tell.
    CacheRead(TargetName, Option<Vec<PrefixHash>>),
    /// A refusal before the request reached the event loop, reported for the metrics.
    EarlyRefusal(RefusalReason, Option<Tier>),
    /// A signal to stop the host, and the latest time that is proven to be before it;
    /// [`Moment::NEVER`] if unknown.
    Stop(Moment),
}

impl NodeInput {
    /// Get the input after it has waited to be processed; `None` if it is of no use any
    /// more.
    pub(crate) fn after_wait(self, waited: Duration) -> Option<Self> {
        match self {
            NodeInput::Link(event) => event.after_wait(waited).map(NodeInput::Link),
            NodeInput::Submit {
                submission,
                call,
                reply,
            } => Some(NodeInput::Submit {
                submission: Box::new(submission.after_wait(waited)),
                call,
                reply,
            }),
            input => Some(input),
        }
    }
}

impl LoopInput for NodeInput {
    fn role(&self) -> InputRole<'_> {
        match self {
            NodeInput::Link(event) => event.role(),
            NodeInput::Submit { submission, .. } => InputRole::Submission(submission.verdict.tier),
            NodeInput::CallerDisconnected(_)
            | NodeInput::Attempt(..)
            | NodeInput::AnswerTooLong(_)
            | NodeInput::Load(..)
            | NodeInput::Prefix(..)
            | NodeInput::CacheRead(..)
            | NodeInput::EarlyRefusal(..) => InputRole::Progress,
            NodeInput::Outcome(..)
            | NodeInput::Address(..)
            | NodeInput::ReadyHosts(_)
            | NodeInput::IsReady(_)
            | NodeInput::KeysTrusted(_)
            | NodeInput::Status(_)
            | NodeInput::Platform(_)
            | NodeInput::Targets(_)
            | NodeInput::Evacuations(_)
            | NodeInput::Gossip(_)
            | NodeInput::Settings(_)
            | NodeInput::Stop(_) => InputRole::Control,
        }
    }
}

/// A `NodeSender` is the sending half of the event loop's input queue.
pub type NodeSender = mpsc::UnboundedSender<NodeInput>;

/// A `HostIdentity` identifies the host on which a task runs.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// The incarnation of the host.
    pub incarnation: HostIncarnation,
    /// The failure domain of the host.
    pub domain: bergamotswitch_core::failure_domain::DomainName,
}
