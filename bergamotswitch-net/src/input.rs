//! Provides what the tasks of a host tell its one loop.

use bergamotswitch_core::address::{AddressAnswer, AddressQuery};
use bergamotswitch_core::entry::{AttemptEvent, OutcomeQuery, OutcomeView, Reception, Submission};
use bergamotswitch_core::host::{EntryHost, HostIncarnation};
use bergamotswitch_core::link::LinkEvent;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::revision::{PublishedValue, ValueName};
use bergamotswitch_core::roster::RosterMessage;
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_core::target::{LoadReport, TargetName};
use bergamotswitch_core::target_list::TargetUpdate;
use bergamotswitch_core::{request::PrefixHash, rules::Tier};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::answer::AnswerReader;
use crate::target_client::routed_call::RoutedCall;

/// An `OutgoingCall` is what is sent to a target, once permitted.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query at the target.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body. For engines it asks for a stream, whatever the caller wants:
    /// only a stream can be proven alive and resumed.
    pub body: Bytes,
    /// What else a target is told of a gateway's call.
    pub routed: Option<RoutedCall>,
}

/// A `SubmissionReply` is the loop's answer to a submission.
#[derive(Debug)]
pub struct SubmissionReply {
    /// What became of it.
    pub reception: Reception,
    /// The answer to follow, where the request is here.
    pub answer: Option<AnswerReader>,
}

/// A `PlatformEvent` is what the clients of the platform report.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// A value came.
    Read(PublishedValue),
    /// A watch ended without a change.
    Unchanged(ValueName),
    /// The service did not answer.
    Failed(ValueName),
}

/// A `NodeInput` is one thing that a task tells the loop.
#[derive(Debug)]
pub enum NodeInput {
    /// A caller's checked request.
    Submit {
        /// What the decisions need.
        submission: Box<Submission>,
        /// What is sent to a target.
        call: Box<OutgoingCall>,
        /// Where the reception goes.
        reply: oneshot::Sender<SubmissionReply>,
    },
    /// A caller that followed the request's answer went away.
    CallerLeft(RequestId),
    /// A question for an outcome.
    Outcome(OutcomeQuery, oneshot::Sender<OutcomeView>),
    /// A question for an address.
    Address(AddressQuery, oneshot::Sender<AddressAnswer>),
    /// A question for the hosts that take callers.
    ReadyHosts(oneshot::Sender<Vec<EntryHost>>),
    /// A question whether this host takes callers.
    IsReady(oneshot::Sender<bool>),
    /// A question whether keys and routes may be relied on now.
    KeysTrusted(oneshot::Sender<bool>),
    /// A question for this host's view, answered as JSON.
    Status(oneshot::Sender<serde_json::Value>),
    /// A link's news.
    Link(LinkEvent),
    /// The platform's news.
    Platform(PlatformEvent),
    /// The store told of registered targets.
    Targets(TargetUpdate),
    /// Another host told what it knows of the fleet.
    Gossip(Box<RosterMessage>),
    /// The settings file has changed.
    Settings(Box<HostSettings>),
    /// An attempt's progress.
    Attempt(AttemptId, AttemptEvent),
    /// A request's answer is longer than one may be.
    AnswerTooLong(RequestId),
    /// A target's load report.
    Load(TargetName, LoadReport),
    /// A target's cache event: the prefix is held (`true`) or dropped.
    Prefix(TargetName, PrefixHash, bool),
    /// A refusal made before the loop, to be counted.
    EarlyRefusal(RefusalReason, Option<Tier>),
    /// A stop signal.
    Stop,
}

/// The sender half of the loop's inbox. One loop on one thread reads it.
pub type NodeSender = mpsc::UnboundedSender<NodeInput>;

/// A `HostIdentity` is what every task may know of its own process.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// This run.
    pub incarnation: HostIncarnation,
    /// The failure domain in which it stands.
    pub domain: bergamotswitch_core::failure_domain::DomainName,
}
