//! Provides the event loop of a host's state machines: an action of one state machine
//! is delivered to another one, or returned to the caller as a [`NodeAction`].

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::exposure::ExposureTracker;
use super::handover::{FailureReports, KeptKeys};
use super::host_returns::PlannedStop;
use super::key_guard::KeyGuards;
use super::shard_use::ShardUse;
use super::shards::ShardSet;
use super::stream_backups::StreamBackups;
use super::{NodeAction, NodeEvent};
use crate::clock::Moment;
use crate::entry::{EntryAction, EntryDispatcher, EntryEvent, EntryOptions};
use crate::evacuation::EvacuationRegister;
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostIncarnation, HostName};
use crate::incident::Incident;
use crate::link::{LinkEvent, LinkMessage};
use crate::membership::{Membership, MembershipAction, MembershipEvent, MembershipOptions};
use crate::permit::{OwnerMessage, OwnerReply, PermitRequest};
use crate::pool::PoolShard;
use crate::pool_owner::{OwnerAction, OwnerEvent, OwnerOptions};
use crate::publication::{FleetLimits, Publication};
use crate::revision::{RevisionAction, RevisionEvent, RevisionOptions, RevisionReplica};
use crate::roster::{Roster, RosterOptions};
use crate::target_list::TargetRegister;

/// The longest interval between two ticks. All timers of the state machines are
/// coarser.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gap between two events above which the process counts as paused. The loop ticks
/// every [`TICK_INTERVAL`], so a gap of twenty ticks is no scheduling delay.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// The fraction of each quota's token bucket that a stopping owner hands over
/// immediately. The rest serves permit requests that arrive until all hosts have
/// learned of the stop.
const STOP_HANDOVER_FRACTION: f64 = 0.5;

/// A `NodeOptions` holds the options of a host's state machines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeOptions {
    /// The options of the entry side, which accepts requests.
    pub entry: EntryOptions,
    /// The options of shard owners.
    pub owner: OwnerOptions,
    /// The options of membership.
    pub membership: MembershipOptions,
    /// The options of the distribution of published values.
    pub revision: RevisionOptions,
    /// How long API keys stay valid after the routes were last confirmed to be current;
    /// unlimited if absent.
    pub key_trust: Option<Duration>,
    /// How the host discovers its peers if no host list is published.
    pub roster: Option<RosterSetup>,
    /// The fleet limits that apply while none are published.
    pub limits: Option<FleetLimits>,
}

/// A `RosterSetup` is the configuration with which a host discovers its peers by
/// gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterSetup {
    /// This host's entry, as announced to the other hosts.
    pub host: EntryHost,
    /// The seed addresses that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The wall-clock time at which the process started, in milliseconds.
    pub started_at_ms: u64,
    /// The options of the roster.
    pub options: RosterOptions,
}

impl NodeOptions {
    /// Set the options of membership.
    pub fn with_membership(mut self, opts: MembershipOptions) -> Self {
        self.membership = opts;
        self
    }

    /// Apply published fleet limits to the options they affect.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        NodeOptions {
            entry: self.entry.with_limits(limits),
            owner: self.owner.with_limits(limits),
            membership: self.membership.with_limits(limits),
            revision: self.revision.with_limits(limits),
            key_trust: self.key_trust,
            roster: self.roster,
            limits: self.limits,
        }
    }
}

/// An action of one state machine that waits for its execution.
enum QueuedAction {
    Entry(EntryAction),
    Owner(OwnerAction),
    Membership(MembershipAction),
    Revision(RevisionAction),
}

/// A `NodeCore` is the decision logic of one host, without I/O: it takes events and
/// returns actions.
pub struct NodeCore {
    pub(super) identity: HostIncarnation,
    pub(super) domain: DomainName,
    pub(super) publication: Publication,
    pub(super) entry: EntryDispatcher,
    pub(super) shards: ShardSet,
    pub(super) membership: Membership,
    pub(super) revisions: RevisionReplica,
    pub(super) stopping: bool,
    pub(super) planned_stop: Option<PlannedStop>,
    /// When enough hosts are expected to accept requests again, as last reported to the
    /// entry side.
    pub(super) hosts_back_at: Option<Moment>,
    pub(super) load_permille: u16,
    pub(super) opts: NodeOptions,
    pub(super) shard_use: ShardUse,
    pub(super) exposure: ExposureTracker,
    pub(super) key_guards: KeyGuards,
    /// The owned shards for which reports of keys have arrived since the last review.
    pub(super) reports_changed: BTreeSet<PoolShard>,
    pub(super) failure_reports: FailureReports,
    pub(super) kept_keys: KeptKeys,
    pub(super) stream_backups: StreamBackups,
    pub(super) roster: Option<Roster>,
    pub(super) register: TargetRegister,
    pub(super) evacuations: EvacuationRegister,
    last_event_at: Moment,
    /// When crash reports may be sent again.
    pub(super) crash_reports_at: Moment,
    queue: VecDeque<QueuedAction>,
    pub(super) actions: Vec<NodeAction>,
}

impl NodeCore {
    /// Create a host without any published values or peers.
    pub fn new(
        identity: HostIncarnation,
        domain: DomainName,
        opts: NodeOptions,
        now: Moment,
    ) -> Self {
        let opts = NodeOptions {
            entry: opts.entry.with_domain(domain.clone()),
            ..opts
        };
        NodeCore {
            entry: EntryDispatcher::new(identity.clone(), opts.entry.clone()),
            shards: ShardSet::new(
                identity.clone(),
                opts.owner.clone(),
                opts.roster.as_ref().map(|setup| setup.started_at_ms),
            ),
            membership: Membership::new(identity.clone(), opts.membership.clone(), now),
            revisions: RevisionReplica::new(
                identity.clone(),
                domain.clone(),
                opts.revision.clone(),
                now,
            ),
            publication: match opts.roster {
                Some(_) => Publication::with_routes(opts.limits.clone().unwrap_or_default()),
                None => Publication::default(),
            },
            roster: opts.roster.clone().map(|setup| {
                let seed = identity.incarnation.0 as u64;
                Roster::new(setup.host, setup.seeds, setup.started_at_ms, seed)
                    .with_options(setup.options)
            }),
            register: TargetRegister::default(),
            evacuations: EvacuationRegister::default(),
            stopping: false,
            planned_stop: None,
            hosts_back_at: None,
            load_permille: 0,
            opts,
            shard_use: ShardUse::default(),
            exposure: ExposureTracker::default(),
            key_guards: KeyGuards::default(),
            reports_changed: BTreeSet::new(),
            failure_reports: FailureReports::default(),
            kept_keys: KeptKeys::default(),
            stream_backups: StreamBackups::default(),
            last_event_at: now,
            crash_reports_at: Moment::START,
            queue: VecDeque::new(),
            actions: Vec::new(),
            identity,
            domain,
        }
    }

    /// Get the publication in force.
    pub fn publication(&self) -> &Publication {
        &self.publication
    }

    /// Get the latest time at which the next [`NodeEvent::Tick`] is due.
    pub fn next_wake(&self) -> Moment {
        let machines = [
            self.entry.next_wake(),
            self.shards.next_wake(),
            self.membership.next_wake(),
            self.revisions.next_wake(),
        ];
        let latest = self.last_event_at.plus(TICK_INTERVAL);
        let latest = latest.min(self.next_discovery());
        machines.into_iter().fold(latest, Moment::min)
    }

    /// Handle an event and get the actions to perform.
    pub fn handle(&mut self, now: Moment, event: NodeEvent) -> Vec<NodeAction> {
        self.detect_pause(now);
        match event {
            NodeEvent::CallerDisconnected(id) => {
                self.notify_entry(now, EntryEvent::CallerDisconnected(id))
            }
            NodeEvent::Attempt(id, event) => self.notify_entry(now, EntryEvent::Attempt(id, event)),
            NodeEvent::AnswerTooLong(id) => self.notify_entry(now, EntryEvent::AnswerTooLong(id)),
            NodeEvent::AnswerSize(id, bytes) => {
                self.notify_entry(now, EntryEvent::AnswerSize(id, bytes));
            }
            NodeEvent::Link(event) => self.on_link(now, event),
            NodeEvent::Overdue(remote, request) => self.on_overdue(now, remote.host, *request),
            NodeEvent::Read(value) => self.notify_revisions(now, RevisionEvent::Read(value)),
            NodeEvent::Unchanged(name) => {
                self.notify_revisions(now, RevisionEvent::Unchanged(name))
            }
            NodeEvent::UnchangedAt(name, revision) => {
                self.notify_revisions(now, RevisionEvent::UnchangedAt(name, revision));
            }
            NodeEvent::ReadFailed(name) => self.on_read_failed(now, name),
            NodeEvent::Targets(update) => self.on_target_update(now, update),
            NodeEvent::Evacuations(update) => self.on_evacuation_update(now, update),
            NodeEvent::Gossip(message) => self.on_gossip(now, *message),
            NodeEvent::Seeds(seeds) => self.on_seeds(seeds),
            NodeEvent::Load(name, report) => {
                let actions = self.shards.notify_target(now, &name.clone(), |_| {
                    OwnerEvent::Load(name.clone(), report)
                });
                self.queue_owner(actions);
            }
            NodeEvent::Prefix(name, prefix, held) => {
                let actions = self.shards.notify_target(now, &name.clone(), |_| {
                    OwnerEvent::Prefix(name.clone(), prefix, held)
                });
                self.queue_owner(actions);
            }
            NodeEvent::CacheRead(name, parts) => {
                let event = |_: &PoolShard| OwnerEvent::CacheRead(name.clone(), parts.clone());
                let actions = self.shards.notify_all(now, event);
                self.queue_owner(actions);
            }
            NodeEvent::HostLoad(permille) => {
                self.load_permille = permille;
                self.notify_membership(now, MembershipEvent::Load(permille));
            }
            NodeEvent::Stop => self.on_stop(now),
            NodeEvent::AnswerDeadline(at) => self.on_answer_deadline(now, at),
            NodeEvent::AdmissionClosed => self.notify_entry(now, EntryEvent::AdmissionClosed),
            NodeEvent::GraceExpired => self.notify_entry(now, EntryEvent::GraceExpired),
            NodeEvent::Tick => self.on_tick(now),
        }
        self.finish(now)
    }

    /// Run the queued internal actions and get the actions to perform outside.
    pub(super) fn finish(&mut self, now: Moment) -> Vec<NodeAction> {
        self.run_queue(now);
        self.track_use(now);
        self.run_queue(now);
        self.review_reported_guards(now);
        self.run_queue(now);
        std::mem::take(&mut self.actions)
    }

    /// Detect a pause of the process by the time since the last event, and notify every
    /// state machine before the current event is handled.
    ///
    /// After a pause the host's permits, view of its peers and ownership may be out of
    /// date.
    pub(super) fn detect_pause(&mut self, now: Moment) {
        let gap = now.since(self.last_event_at);
        self.last_event_at = now;
        // The length of the pause is known only to within one tick: a gap one tick
        // short of the suspicion time counts as well.
        if gap + TICK_INTERVAL >= self.membership.suspect_after() {
            self.shards.on_resumed(now, gap);
        }
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        let text = format!("slept_ms={}", gap.as_millis());
        self.actions
            .push(NodeAction::LogIncident(Incident::PauseDetected, text));
        self.notify_roster_of_pause(now);
        self.notify_membership(now, MembershipEvent::ProcessResumed(gap));
        self.key_guards.reset();
        self.notify_revisions(now, RevisionEvent::ProcessResumed(gap));
        self.notify_entry(now, EntryEvent::ProcessResumed(gap));
        self.run_queue(now);
    }

    pub(super) fn on_tick(&mut self, now: Moment) {
        self.review_discovery(now);
        self.notify_membership(now, MembershipEvent::Tick);
        self.notify_revisions(now, RevisionEvent::Tick);
        self.expire_missing_hosts(now);
        self.review_silent_hosts(now);
        let actions = self.shards.notify_all(now, |_| OwnerEvent::Tick);
        self.queue_owner(actions);
        self.review_guards(now);
        self.review_host_returns(now);
        self.notify_entry(now, EntryEvent::Tick);
        self.share_crash_reports(now);
        self.share_streams(now);
    }

    /// Tell the owners of this host which hosts it no longer hears.
    pub(super) fn review_silent_hosts(&mut self, now: Moment) {
        let (publication, membership) = (&self.publication, &self.membership);
        let shards = &mut self.shards;
        let actions = shards.review_silent_hosts(now, publication, membership);
        self.queue_owner(actions);
    }

    fn on_stop(&mut self, now: Moment) {
        if self.stopping {
            self.actions.push(NodeAction::LogIncident(
                Incident::StopRepeated,
                String::new(),
            ));
            return;
        }
        self.stopping = true;
        self.notify_membership(now, MembershipEvent::Stop);
        let actions = self.shards.notify_all(now, |_| OwnerEvent::Stopping);
        self.queue_owner(actions);
        // Send the heartbeats that announce the stop before the handover messages.
        self.run_queue(now);
        for shard in self.membership.acting_shards() {
            self.hand_over(now, &shard, STOP_HANDOVER_FRACTION);
        }
        self.notify_entry(now, EntryEvent::Stop);
    }

    fn on_answer_deadline(&mut self, now: Moment, at: Moment) {
        let started_at = self.planned_stop.map_or(now, |stop| stop.started_at);
        self.planned_stop = Some(PlannedStop {
            started_at,
            answers_due: at,
        });
        // Update the expected return of other hosts first: the entry side refuses
        // waiting requests on the event below, and sets their retry time from it.
        self.review_host_returns(now);
        self.notify_entry(now, EntryEvent::AnswerDeadline(at));
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up(remote) => {
                let host = remote.host.clone();
                self.notify_membership(now, MembershipEvent::LinkUp(remote));
                self.resync_linked(now, &host);
                self.send_all_failed_targets(now, &host);
                self.send_crash_reports(now, &host);
                self.notify_revisions(now, RevisionEvent::PeerUp(host));
            }
            LinkEvent::Down(remote) => {
                let host = remote.host.clone();
                self.notify_membership(now, MembershipEvent::LinkDown(remote));
                self.notify_revisions(now, RevisionEvent::PeerDown(host));
            }
            LinkEvent::Message(remote, message) => self.on_message(now, remote.host, message),
        }
    }

    fn on_message(&mut self, now: Moment, host: HostName, message: LinkMessage) {
        match message {
            LinkMessage::Heartbeat(heartbeat) => {
                self.notify_membership(now, MembershipEvent::Heartbeat(host, heartbeat));
                return;
            }
            LinkMessage::Ownership(terms) => {
                self.notify_membership(now, MembershipEvent::Ownership(host, terms));
                return;
            }
            LinkMessage::ToOwner(message) => self.on_owner_message(now, host.clone(), message),
            LinkMessage::FromOwner(OwnerReply::NotOwner { shard }) => {
                self.notify_membership(now, MembershipEvent::NotOwner(host.clone(), shard));
            }
            LinkMessage::FromOwner(reply) => {
                self.notify_entry(now, EntryEvent::Reply(host.clone(), reply));
            }
            LinkMessage::Revision(message) => {
                self.notify_revisions(now, RevisionEvent::Peer(host.clone(), message));
            }
            LinkMessage::Crashes(reports) => self.notify_entry(now, EntryEvent::Crashes(reports)),
        }
        self.notify_membership(now, MembershipEvent::Traffic(host));
    }

    pub(super) fn on_owner_message(&mut self, now: Moment, host: HostName, message: OwnerMessage) {
        let shard = message.shard().clone();
        // Only this host's own requests may use a degraded owner, which has only this
        // host's fraction of the capacity.
        if self.shards.serves(&shard, host == self.identity.host) {
            let Some(message) = self.guard_message(now, &host, message) else {
                return;
            };
            let event = OwnerEvent::Message(host, message);
            let actions = self.shards.notify_shard(now, &shard, event);
            self.queue_owner(actions);
            return;
        }
        match message {
            // Keep the report: this host may become the shard's owner shortly.
            OwnerMessage::FailedTargets { shard, targets } => {
                self.failure_reports.record(now, shard, targets);
            }
            OwnerMessage::Keys { shard, claims } => self.kept_keys.record(now, shard, claims),
            OwnerMessage::StreamVersions { shard, streams } => {
                self.notify_entry(now, EntryEvent::Streams(shard.pool, streams));
            }
            // The permit request that follows is answered.
            OwnerMessage::Stream { .. } | OwnerMessage::Signature { .. } => {}
            // A former owner's promises are lost where this host does not act yet.
            OwnerMessage::Promises { .. } => {}
            _ => self.send_reply(now, host, OwnerReply::NotOwner { shard }),
        }
    }

    /// Refuse a permit request that has waited for the event loop for too long.
    fn on_overdue(&mut self, now: Moment, host: HostName, request: PermitRequest) {
        if !self.shards.serves(&request.shard, false) {
            let shard = request.shard;
            return self.send_reply(now, host, OwnerReply::NotOwner { shard });
        }
        if !request.is_refusable_unseen() {
            let message = OwnerMessage::PermitRequest(Box::new(request));
            return self.on_owner_message(now, host, message);
        }
        let shard = request.shard.clone();
        let event = OwnerEvent::Overdue(host, Box::new(request));
        let actions = self.shards.notify_shard(now, &shard, event);
        self.queue_owner(actions);
    }

    pub(super) fn send_reply(&mut self, now: Moment, host: HostName, reply: OwnerReply) {
        if host != self.identity.host {
            let message = LinkMessage::FromOwner(reply);
            self.actions.push(NodeAction::Send(host, message));
            return;
        }
        match reply {
            OwnerReply::NotOwner { .. } => {}
            reply => self.notify_entry(now, EntryEvent::Reply(host, reply)),
        }
    }

    pub(super) fn notify_entry(&mut self, now: Moment, event: EntryEvent) {
        let actions = self.entry.handle(now, event);
        self.queue_entry(actions);
    }

    pub(super) fn queue_entry(&mut self, actions: Vec<EntryAction>) {
        self.queue
            .extend(actions.into_iter().map(QueuedAction::Entry));
    }

    pub(super) fn notify_membership(&mut self, now: Moment, event: MembershipEvent) {
        let actions = self.membership.handle(now, event);
        self.queue
            .extend(actions.into_iter().map(QueuedAction::Membership));
    }

    pub(super) fn notify_revisions(&mut self, now: Moment, event: RevisionEvent) {
        let actions = self.revisions.handle(now, event);
        self.queue_revision(actions);
    }

    pub(super) fn queue_revision(&mut self, actions: Vec<RevisionAction>) {
        self.queue
            .extend(actions.into_iter().map(QueuedAction::Revision));
    }

    pub(super) fn queue_owner(&mut self, actions: Vec<OwnerAction>) {
        self.queue
            .extend(actions.into_iter().map(QueuedAction::Owner));
    }

    fn run_queue(&mut self, now: Moment) {
        while let Some(queued) = self.queue.pop_front() {
            match queued {
                QueuedAction::Entry(action) => self.perform_entry_action(now, action),
                QueuedAction::Owner(action) => self.perform_owner_action(now, action),
                QueuedAction::Membership(action) => self.perform_membership_action(now, action),
                QueuedAction::Revision(action) => self.perform_revision_action(now, action),
            }
        }
    }
}
