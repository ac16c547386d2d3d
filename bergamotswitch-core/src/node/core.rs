//! Provides the join of a host's machines: what one of them wants of another
//! is carried out here, what it wants of the world becomes a [`NodeAction`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::exposure::ExposureWatch;
use super::hand_over::FailureReports;
use super::key_guard::KeyGuards;
use super::returns::PlannedEnd;
use super::shard_use::ShardUse;
use super::shards::ShardSet;
use super::{NodeAction, NodeEvent};
use crate::clock::Moment;
use crate::entry::{EntryAction, EntryDesk, EntryEvent, EntryOptions};
use crate::failure_domain::DomainName;
use crate::host::{EntryHost, HostIncarnation, HostName};
use crate::incident::Incident;
use crate::link::{LinkEvent, LinkMessage};
use crate::membership::{Membership, MembershipAction, MembershipEvent, MembershipOptions};
use crate::permit::{OwnerMessage, OwnerReply};
use crate::pool_owner::{OwnerAction, OwnerEvent, OwnerOptions};
use crate::publication::{FleetLimits, Publication};
use crate::revision::{RevisionAction, RevisionBook, RevisionEvent, RevisionOptions};
use crate::roster::{Roster, RosterOptions};
use crate::target_list::TargetRegister;

/// The longest time between two looks at the clock. Every timer of the
/// machines is coarser.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A gap between two events that is longer than this is a pause of the
/// process: the loop ticks every [`TICK_INTERVAL`], twenty misses are no
/// scheduling delay any more.
pub const PAUSE_BOUND: Duration = Duration::from_secs(2);

/// The part of the quotas' buckets that a stopping owner hands over at once. It
/// keeps the rest for calls that are asked for until all have heard of its stop.
const STOP_HAND_OVER: f64 = 0.5;

/// A `NodeOptions` holds the options of a host's machines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeOptions {
    /// The entry side's.
    pub entry: EntryOptions,
    /// The owner side's.
    pub owner: OwnerOptions,
    /// Membership's.
    pub membership: MembershipOptions,
    /// The published values'.
    pub revision: RevisionOptions,
    /// How long a key may be relied on after its account was last known to
    /// hold it; for good where absent.
    pub key_trust: Option<Duration>,
    /// How the host finds the others where no host list is published.
    pub roster: Option<RosterSetup>,
    /// The limits where none are published.
    pub limits: Option<FleetLimits>,
}

/// A `RosterSetup` is what a host needs to find the others by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterSetup {
    /// This host, as others are told of it.
    pub host: EntryHost,
    /// Where to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The time of day at the process's start, in milliseconds.
    pub started_at_ms: u64,
    /// The bounds.
    pub options: RosterOptions,
}

impl NodeOptions {
    /// Set the bounds of membership.
    pub fn with_membership(mut self, opts: MembershipOptions) -> Self {
        self.membership = opts;
        self
    }

    /// Set what the published limits bound.
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

/// One piece of work between two machines of the same host.
enum Step {
    Entry(EntryAction),
    Owner(OwnerAction),
    Membership(MembershipAction),
    Revision(RevisionAction),
}

/// A `NodeCore` is all decisions of one host.
pub struct NodeCore {
    pub(super) me: HostIncarnation,
    pub(super) domain: DomainName,
    pub(super) publication: Publication,
    pub(super) desk: EntryDesk,
    pub(super) shards: ShardSet,
    pub(super) membership: Membership,
    pub(super) book: RevisionBook,
    pub(super) stopping: bool,
    pub(super) planned_end: Option<PlannedEnd>,
    /// When enough hosts take callers again, as the desk was told last.
    pub(super) back_at: Option<Moment>,
    pub(super) load_permille: u16,
    pub(super) opts: NodeOptions,
    pub(super) shard_use: ShardUse,
    pub(super) exposure: ExposureWatch,
    pub(super) key_guards: KeyGuards,
    pub(super) failure_reports: FailureReports,
    pub(super) roster: Option<Roster>,
    pub(super) register: TargetRegister,
    last_seen: Moment,
    steps: VecDeque<Step>,
    pub(super) actions: Vec<NodeAction>,
}

impl NodeCore {
    /// Get a host that knows nothing yet.
    pub fn new(me: HostIncarnation, domain: DomainName, opts: NodeOptions, now: Moment) -> Self {
        let opts = NodeOptions {
            entry: opts.entry.with_domain(domain.clone()),
            ..opts
        };
        NodeCore {
            desk: EntryDesk::new(me.clone(), opts.entry.clone()),
            shards: ShardSet::new(me.clone(), opts.owner.clone()),
            membership: Membership::new(me.clone(), opts.membership.clone(), now),
            book: RevisionBook::new(me.clone(), domain.clone(), opts.revision.clone(), now),
            publication: match opts.roster {
                Some(_) => Publication::with_routes(opts.limits.clone().unwrap_or_default()),
                None => Publication::default(),
            },
            roster: opts.roster.clone().map(|setup| {
                let seed = me.incarnation.0 as u64;
                Roster::new(setup.host, setup.seeds, setup.started_at_ms, seed)
                    .with_options(setup.options)
            }),
            register: TargetRegister::default(),
            stopping: false,
            planned_end: None,
            back_at: None,
            load_permille: 0,
            opts,
            shard_use: ShardUse::default(),
            exposure: ExposureWatch::default(),
            key_guards: KeyGuards::default(),
            failure_reports: FailureReports::default(),
            last_seen: now,
            steps: VecDeque::new(),
            actions: Vec::new(),
            me,
            domain,
        }
    }

    /// Get the publication in force.
    pub fn publication(&self) -> &Publication {
        &self.publication
    }

    /// Get when [`NodeEvent::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Moment {
        let machines = [
            self.desk.next_wake(),
            self.shards.next_wake(),
            self.membership.next_wake(),
            self.book.next_wake(),
        ];
        let latest = self.last_seen.plus(TICK_INTERVAL);
        let latest = latest.min(self.next_news());
        machines.into_iter().fold(latest, Moment::min)
    }

    /// Let one event happen and get what is to be done.
    pub fn handle(&mut self, now: Moment, event: NodeEvent) -> Vec<NodeAction> {
        self.notice_pause(now);
        match event {
            NodeEvent::CallerLeft(id) => self.tell_desk(now, EntryEvent::CallerLeft(id)),
            NodeEvent::Attempt(id, event) => self.tell_desk(now, EntryEvent::Attempt(id, event)),
            NodeEvent::Overlong(id) => self.tell_desk(now, EntryEvent::Overlong(id)),
            NodeEvent::AnswerSize(id, bytes) => {
                self.tell_desk(now, EntryEvent::AnswerSize(id, bytes));
            }
            NodeEvent::Link(event) => self.on_link(now, event),
            NodeEvent::Read(value) => self.tell_book(now, RevisionEvent::Read(value)),
            NodeEvent::Unchanged(name) => self.tell_book(now, RevisionEvent::Unchanged(name)),
            NodeEvent::ReadFailed(name) => self.on_read_failed(now, name),
            NodeEvent::Targets(news) => self.on_target_news(now, news),
            NodeEvent::Gossip(message) => self.on_gossip(now, *message),
            NodeEvent::Seeds(seeds) => self.on_seeds(seeds),
            NodeEvent::Load(name, report) => {
                let actions = self.shards.on_target(now, &name.clone(), |_| {
                    OwnerEvent::Load(name.clone(), report)
                });
                self.queue_owner(actions);
            }
            NodeEvent::Prefix(name, prefix, held) => {
                let actions = self.shards.on_target(now, &name.clone(), |_| {
                    OwnerEvent::Prefix(name.clone(), prefix, held)
                });
                self.queue_owner(actions);
            }
            NodeEvent::HostLoad(permille) => {
                self.load_permille = permille;
                self.tell_membership(now, MembershipEvent::Load(permille));
            }
            NodeEvent::Stop => self.on_stop(now),
            NodeEvent::WholeBy(at) => self.on_whole_by(now, at),
            NodeEvent::DoorShut => self.tell_desk(now, EntryEvent::DoorShut),
            NodeEvent::CutOff => self.tell_desk(now, EntryEvent::CutOff),
            NodeEvent::Tick => self.on_tick(now),
        }
        self.finish(now)
    }

    /// Carry out what is left between the machines and get the rest.
    pub(super) fn finish(&mut self, now: Moment) -> Vec<NodeAction> {
        self.run_steps(now);
        self.track_use(now);
        self.run_steps(now);
        std::mem::take(&mut self.actions)
    }

    /// A process that was paused still believes old facts: its permits, its
    /// peers' silence and its own ownership are all as old as the pause. One
    /// notices it by the gap since the last event, and tells every machine
    /// before anything else happens.
    pub(super) fn notice_pause(&mut self, now: Moment) {
        let gap = now.since(self.last_seen);
        self.last_seen = now;
        // The sleep may have begun just after the last event, or a tick before
        // the next one was due.
        if gap + TICK_INTERVAL >= self.membership.suspect_after() {
            self.shards.woke(now, gap);
        }
        if gap <= PAUSE_BOUND {
            return;
        }
        let text = format!("slept_ms={}", gap.as_millis());
        self.actions
            .push(NodeAction::Note(Incident::PauseDetected, text));
        self.wake_roster(now);
        self.tell_membership(now, MembershipEvent::Woke(gap));
        self.key_guards.restart(now);
        self.tell_book(now, RevisionEvent::Woke(gap));
        self.tell_desk(now, EntryEvent::Woke(gap));
        self.run_steps(now);
    }

    pub(super) fn on_tick(&mut self, now: Moment) {
        self.review_news(now);
        self.tell_membership(now, MembershipEvent::Tick);
        self.tell_book(now, RevisionEvent::Tick);
        let actions = self.shards.on_all(now, |_| OwnerEvent::Tick);
        self.queue_owner(actions);
        self.review_guards(now);
        self.review_returns(now);
        self.tell_desk(now, EntryEvent::Tick);
    }

    fn on_stop(&mut self, now: Moment) {
        if self.stopping {
            self.actions
                .push(NodeAction::Note(Incident::StopRepeated, String::new()));
            return;
        }
        self.stopping = true;
        self.tell_membership(now, MembershipEvent::Stop);
        let actions = self.shards.on_all(now, |_| OwnerEvent::Stopping);
        self.queue_owner(actions);
        // Peers hear of the stop before this: the heartbeats that tell it wait
        // in front of it.
        self.run_steps(now);
        for shard in self.membership.acts_for() {
            self.hand_over(now, &shard, STOP_HAND_OVER);
        }
        self.tell_desk(now, EntryEvent::Stop);
    }

    fn on_whole_by(&mut self, now: Moment, at: Moment) {
        let begun_at = self.planned_end.map_or(now, |end| end.begun_at);
        self.planned_end = Some(PlannedEnd {
            begun_at,
            whole_by: at,
        });
        // What waits is turned away with the event below, and told when to come
        // back.
        self.review_returns(now);
        self.tell_desk(now, EntryEvent::WholeBy(at));
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up(run) => {
                let host = run.host.clone();
                self.tell_membership(now, MembershipEvent::LinkUp(run));
                self.retell_linked(now, &host);
                self.tell_failed(now, &host);
                self.tell_book(now, RevisionEvent::PeerUp(host));
            }
            LinkEvent::Down(run) => {
                let host = run.host.clone();
                self.tell_membership(now, MembershipEvent::LinkDown(run));
                self.tell_book(now, RevisionEvent::PeerDown(host));
            }
            LinkEvent::Message(run, message) => self.on_message(now, run.host, message),
        }
    }

    fn on_message(&mut self, now: Moment, host: HostName, message: LinkMessage) {
        match message {
            LinkMessage::Heartbeat(beat) => {
                self.tell_membership(now, MembershipEvent::Heard(host, beat));
                return;
            }
            LinkMessage::ToOwner(message) => self.on_owner_message(now, host.clone(), message),
            LinkMessage::FromOwner(OwnerReply::NotOwner { shard }) => {
                self.tell_membership(now, MembershipEvent::NotOwner(host.clone(), shard));
            }
            LinkMessage::FromOwner(reply) => {
                self.tell_desk(now, EntryEvent::Reply(host.clone(), reply));
            }
            LinkMessage::Revision(message) => {
                self.tell_book(now, RevisionEvent::Peer(host.clone(), message));
            }
        }
        self.tell_membership(now, MembershipEvent::Traffic(host));
    }

    pub(super) fn on_owner_message(&mut self, now: Moment, host: HostName, message: OwnerMessage) {
        let shard = message.shard().clone();
        // Only the own desk may use a degraded owner: it has but this host's
        // fraction of the capacity to give.
        if self.shards.serves(&shard, host == self.me.host) {
            let Some(message) = self.guard_message(now, &host, message) else {
                return;
            };
            let event = OwnerEvent::Message(host, message);
            let actions = self.shards.on_shard(now, &shard, event);
            self.queue_owner(actions);
            return;
        }
        match message {
            // This host may order the shard a moment later.
            OwnerMessage::FailedTargets { shard, targets } => {
                self.failure_reports.note(now, shard, targets);
            }
            _ => self.send_reply(now, host, OwnerReply::NotOwner { shard }),
        }
    }

    pub(super) fn send_reply(&mut self, now: Moment, host: HostName, reply: OwnerReply) {
        if host != self.me.host {
            let message = LinkMessage::FromOwner(reply);
            self.actions.push(NodeAction::Send(host, message));
            return;
        }
        match reply {
            OwnerReply::NotOwner { .. } => {}
            reply => self.tell_desk(now, EntryEvent::Reply(host, reply)),
        }
    }

    pub(super) fn tell_desk(&mut self, now: Moment, event: EntryEvent) {
        let actions = self.desk.handle(now, event);
        self.queue_entry(actions);
    }

    pub(super) fn queue_entry(&mut self, actions: Vec<EntryAction>) {
        self.steps.extend(actions.into_iter().map(Step::Entry));
    }

    pub(super) fn tell_membership(&mut self, now: Moment, event: MembershipEvent) {
        let actions = self.membership.handle(now, event);
        self.steps.extend(actions.into_iter().map(Step::Membership));
    }

    pub(super) fn tell_book(&mut self, now: Moment, event: RevisionEvent) {
        let actions = self.book.handle(now, event);
        self.queue_revision(actions);
    }

    pub(super) fn queue_revision(&mut self, actions: Vec<RevisionAction>) {
        self.steps.extend(actions.into_iter().map(Step::Revision));
    }

    pub(super) fn queue_owner(&mut self, actions: Vec<OwnerAction>) {
        self.steps.extend(actions.into_iter().map(Step::Owner));
    }

    fn run_steps(&mut self, now: Moment) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Entry(action) => self.do_entry(now, action),
                Step::Owner(action) => self.do_owner(now, action),
                Step::Membership(action) => self.do_membership(now, action),
                Step::Revision(action) => self.do_revision(now, action),
            }
        }
    }
}
