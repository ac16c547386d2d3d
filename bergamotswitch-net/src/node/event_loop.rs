//! Provides the event loop of a host.

mod reports;
mod stopping;

use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::{Conclusion, SubmitOutcome};
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::node::{NextInput, NodeAction, NodeCore, NodeEvent};
use bergamotswitch_core::permit::OwnerMessage;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::publication::{FleetLimits, Publication};
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::revision::{HOSTS_VALUE, ValueName};
use bergamotswitch_core::settings::HostSettings;
use bergamotswitch_core::target::PoolTarget;
use tokio::sync::{mpsc, watch};

use self::stopping::{log_unread_answers, refuse_late_request};
use super::adapters::{CallerServer, ValueSource};
use super::gateway_setup;
use super::host_parts::HostParts;
use super::load_gauge::LoadGauge;
use super::loop_inbox::LoopInbox;
use super::loop_stats::{InputKind, LoopStats};
use super::open_request::{OpenRequest, OpenRequests};
use super::request_log::RequestLog;
use super::stop::StopPhase;
use super::{NodeError, NodeSetup};
use crate::answer::AnswerPart;
use crate::boot_clock::BootClock;
use crate::caller::{CallerContext, CallerOptions};
use crate::event_log;
use crate::gossip::GossipSocket;
use crate::input::{
    HostIdentity, NodeInput, NodeSender, OutgoingCall, PlatformEvent, SubmissionReply,
};
use crate::link::{LinkHub, LinkOptions};
use crate::metrics::{NodeMetrics, OwnerTotals};
use crate::target_client::idle_limits::IdleLimits;
use crate::target_client::{CallRoute, TargetClient, TargetClientOptions};

/// A `HostNode` is the event loop of one entry host. It owns the state machines
/// and all clients of the process and drives them on one thread.
pub struct HostNode {
    me: HostIdentity,
    core: NodeCore,
    requests: OpenRequests,
    targets: TargetClient,
    links: LinkHub,
    platform: ValueSource,
    gossip: Option<GossipSocket>,
    settings: HostSettings,
    metrics: Arc<NodeMetrics>,
    publication: watch::Sender<Arc<Publication>>,
    callers: CallerServer,
    inbox: LoopInbox,
    sender: NodeSender,
    stop: StopPhase,
    clock: BootClock,
    keys_trusted: bool,
    store_failing: bool,
    gauges_due: Moment,
    load: LoadGauge,
    stats: LoopStats,
    /// The number of submissions refused because they waited for the loop.
    overdue: u64,
    owner_totals: OwnerTotals,
}

impl HostNode {
    /// Try to start a host in the current `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the links or the caller interface cannot be
    /// started.
    pub fn try_new(setup: NodeSetup) -> Result<Self, NodeError> {
        let (sender, inbox) = mpsc::unbounded_channel();
        let link_options = LinkOptions::default().with_target_options(setup.target_options());
        let me = setup.me;
        let core = NodeCore::new(
            me.incarnation.clone(),
            me.domain.clone(),
            setup.opts,
            Moment::START,
        );
        let (publication, published) = watch::channel(Arc::new(Publication::default()));
        let links = LinkHub::try_new(me.clone(), setup.peers, link_options, sender.clone())
            .map_err(NodeError::Link)?;
        let metrics = Arc::clone(&setup.metrics);
        let context = CallerContext {
            node: sender.clone(),
            publication: published,
            this_host: me.clone(),
            metrics,
            opts: CallerOptions::default(),
        };
        let parts = HostParts::try_new(setup.listeners, &setup.settings, context)?;
        let targets = parts.targets.with_tunnels(links.tunnel_pool());
        Ok(HostNode {
            me,
            core,
            requests: OpenRequests::new(FleetLimits::default().max_answer_bytes, sender.clone()),
            targets,
            links,
            platform: parts.platform,
            gossip: parts.gossip,
            settings: setup.settings,
            metrics: setup.metrics,
            publication,
            callers: parts.callers,
            inbox: LoopInbox::new(inbox),
            sender,
            stop: StopPhase::Serving,
            clock: BootClock::start(),
            keys_trusted: false,
            store_failing: false,
            gauges_due: Moment::START,
            load: LoadGauge::default(),
            stats: LoopStats::default(),
            overdue: 0,
            owner_totals: OwnerTotals::default(),
        })
    }

    /// Get the sender of inputs to the event loop, such as a stop signal.
    pub fn sender(&self) -> NodeSender {
        self.sender.clone()
    }

    /// Get the clock of the event loop.
    pub fn clock(&self) -> BootClock {
        self.clock
    }

    /// Get the identity of this host process.
    pub fn me(&self) -> &HostIdentity {
        &self.me
    }

    /// Run until a planned stop is complete.
    pub async fn run(mut self) {
        self.log_incident(Incident::HostStarted, &self.me.incarnation.to_string());
        self.handle(NodeEvent::Tick);
        while !self
            .stop
            .may_close(self.core.is_idle() && self.links.open_tunnels() == 0)
        {
            let wake = self.core.next_wake().min(self.stop.next_wake());
            let delay = wake.since(self.now());
            let clock = self.clock;
            tokio::select! {
                is_open = self.inbox.wait(|| clock.now()) => match is_open {
                    true => self.process_next(),
                    false => break,
                },
                () = tokio::time::sleep(delay) => self.process_tick(),
            }
            self.refresh_gauges();
            self.advance_stop();
        }
        self.close().await;
    }

    /// Stop the caller interface and let open answers be read to their end, within
    /// the grace period.
    async fn close(self) {
        let now = self.now();
        let schedule = self.stop.schedule();
        let left = schedule.map_or(Duration::MAX, |schedule| schedule.flush_time(now));
        let HostNode {
            me,
            callers,
            inbox,
            clock,
            metrics,
            ..
        } = self;
        let stop_at = schedule.map(|schedule| schedule.started_at);
        let (mut backlog, mut inbox) = inbox.into_parts();
        while let Some(next) = backlog.next(now) {
            refuse_late_request(Some(next.input), now, stop_at, &metrics);
        }
        let mut timeout = Box::pin(tokio::time::sleep(left));
        let mut closing = Box::pin(callers.close());
        loop {
            tokio::select! {
                _ = &mut closing => break,
                () = &mut timeout => {
                    log_unread_answers(&me, &metrics);
                    break;
                }
                input = inbox.recv() => refuse_late_request(input, clock.now(), stop_at, &metrics),
            }
        }
        event_log::write(Incident::HostStopped, &[("run", &me.incarnation)]);
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Process the next input that waits.
    fn process_next(&mut self) {
        let started = self.now();
        self.inbox.collect(started);
        let Some(next) = self.inbox.next(started) else {
            return;
        };
        let NextInput {
            announcements,
            input,
            arrived,
            is_overdue,
        } = next;
        for announcement in announcements {
            self.on_input(announcement);
        }
        let kind = InputKind::of(&input);
        match input.after_wait(started.since(arrived)) {
            Some(input) if is_overdue => self.refuse_overdue(input),
            Some(input) => self.on_input(input),
            None => {}
        }
        self.record_processed(kind, arrived, started);
    }

    /// Refuse a request that has waited for too long.
    fn refuse_overdue(&mut self, input: NodeInput) {
        match input {
            NodeInput::Submit {
                submission,
                call,
                reply,
            } if submission.is_refusable_unseen() => {
                self.overdue += 1;
                let log = RequestLog::of(self.now(), &submission, &call);
                let refusal = submission.overload_refusal(self.overdue);
                let outcome = SubmitOutcome::Refused(refusal);
                // The caller may have disconnected.
                let _ = reply.send(self.receive(outcome, *call, log));
            }
            NodeInput::Link(LinkEvent::Message(
                remote,
                LinkMessage::ToOwner(OwnerMessage::PermitRequest(request)),
            )) => self.handle(NodeEvent::Overdue(remote, request)),
            input => self.on_input(input),
        }
    }

    fn process_tick(&mut self) {
        let started = self.now();
        self.handle(NodeEvent::Tick);
        self.record_processed(InputKind::Tick, started, started);
    }

    fn record_processed(&mut self, kind: InputKind, arrived: Moment, started: Moment) {
        let span = (started, self.now());
        self.stats.record(kind, arrived, span, self.inbox.len());
    }

    fn on_input(&mut self, input: NodeInput) {
        match input {
            NodeInput::Submit {
                submission,
                call,
                reply,
            } => {
                let schedule = self.stop.schedule();
                let log = RequestLog::of(self.now(), &submission, &call)
                    .with_stop(schedule.map(|schedule| schedule.started_at));
                let (outcome, actions) = self.core.submit(self.now(), *submission);
                let received = self.receive(outcome, *call, log);
                self.execute_all(actions);
                // The caller may have disconnected; its guard then sends
                // `CallerDisconnected`.
                let _ = reply.send(received);
            }
            NodeInput::CallerDisconnected(id) => {
                if self.requests.detach(id) {
                    self.handle(NodeEvent::CallerDisconnected(id));
                }
            }
            NodeInput::Outcome(query, reply) => {
                let _ = reply.send(self.core.outcome(&query));
            }
            NodeInput::Address(query, reply) => {
                let _ = reply.send(self.core.address(&query));
            }
            NodeInput::ReadyHosts(reply) => {
                let _ = reply.send(self.core.ready_hosts(self.now()));
            }
            NodeInput::IsReady(reply) => {
                let ready = self.core.is_ready(self.now()) && self.stop == StopPhase::Serving;
                let _ = reply.send(ready);
            }
            NodeInput::KeysTrusted(reply) => {
                let _ = reply.send(self.core.trusts_keys(self.now()));
            }
            NodeInput::Targets(update) => {
                self.log_store_state(true);
                self.handle(NodeEvent::Targets(update));
            }
            NodeInput::Evacuations(update) => self.handle(NodeEvent::Evacuations(update)),
            NodeInput::Gossip(message) => self.handle(NodeEvent::Gossip(message)),
            NodeInput::Settings(settings) => self.reload(*settings),
            NodeInput::Status(reply) => {
                let _ = reply.send(self.status());
            }
            NodeInput::Link(event) => self.handle(NodeEvent::Link(event)),
            NodeInput::Platform(PlatformEvent::Read(value)) => {
                self.log_store_state(true);
                self.handle(NodeEvent::Read(value));
            }
            NodeInput::Platform(PlatformEvent::Unchanged(name)) => {
                self.log_store_state(true);
                self.handle(NodeEvent::Unchanged(name));
            }
            NodeInput::Platform(PlatformEvent::UnchangedAt(name, revision)) => {
                self.log_store_state(true);
                self.handle(NodeEvent::UnchangedAt(name, revision));
            }
            NodeInput::Platform(PlatformEvent::Failed(name)) => {
                self.log_store_state(false);
                self.handle(NodeEvent::ReadFailed(name));
            }
            NodeInput::Attempt(id, event) => {
                let now = self.now();
                if let Some(request) = self.requests.get_mut(id.request) {
                    request.log.record_event(now, event);
                }
                self.handle(NodeEvent::Attempt(id, event));
            }
            NodeInput::AnswerTooLong(id) => {
                // The answer may have been restarted by another attempt.
                let overlong = |request: &OpenRequest| request.answer.is_overlong();
                if self.requests.get(id).is_some_and(overlong) {
                    self.handle(NodeEvent::AnswerTooLong(id));
                }
            }
            NodeInput::Load(name, report) => self.handle(NodeEvent::Load(name, report)),
            NodeInput::Prefix(name, prefix, held) => {
                self.handle(NodeEvent::Prefix(name, prefix, held));
            }
            NodeInput::CacheRead(name, parts) => {
                self.handle(NodeEvent::CacheRead(name, parts));
            }
            NodeInput::EarlyRefusal(reason, tier) => self.metrics.count_refusal(reason, tier),
            NodeInput::Stop(sent_after) => self.on_stop(sent_after),
        }
    }

    fn receive(
        &mut self,
        outcome: SubmitOutcome,
        call: OutgoingCall,
        log: RequestLog,
    ) -> SubmissionReply {
        let answer = match &outcome {
            SubmitOutcome::Accepted(id) => Some(self.requests.open(*id, call, log)),
            SubmitOutcome::Attached(id) => self.requests.attach(*id),
            SubmitOutcome::Forward(_) => None,
            SubmitOutcome::Refused(refusal) => {
                self.metrics.count_refusal(refusal.reason(), Some(log.tier));
                let conclusion = Conclusion::Refused(refusal.clone());
                log.write_end(self.clock.now(), None, &conclusion, 0);
                None
            }
        };
        SubmissionReply { outcome, answer }
    }

    fn handle(&mut self, event: NodeEvent) {
        let actions = self.core.handle(self.now(), event);
        self.execute_all(actions);
    }

    fn execute_all(&mut self, actions: Vec<NodeAction>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send(host, message) => {
                // Without a link the message is lost; the state machines resend
                // those that matter.
                self.links.send(&host, &message);
            }
            NodeAction::Gossip(action) => {
                if let Some(gossip) = &self.gossip {
                    gossip.send(&action);
                }
            }
            NodeAction::Connect(host) => self.links.connect(&host),
            NodeAction::Disconnect(host) => self.links.disconnect(&host),
            NodeAction::Read(name) => self.platform.read(&name),
            NodeAction::Watch(name, after) => self.platform.watch(&name, after),
            NodeAction::Published(name) => self.publish(&name),
            // Targets of the gateway report their load in each answer, and count a
            // load query as a probe.
            NodeAction::WatchTargets(_) if self.settings.gateway.is_some() => {}
            NodeAction::WatchTargets(targets) => self.targets.watch_targets(&targets),
            NodeAction::Start {
                attempt,
                target,
                kind,
                path,
                connect_within,
            } => {
                let route = CallRoute {
                    path,
                    connect_within,
                };
                self.start(attempt, &target, kind, route);
            }
            NodeAction::ReadCaches(targets) => self.targets.read_caches(targets),
            NodeAction::Abort { attempt, cancel } => {
                if let Some(request) = self.requests.get_mut(attempt.request) {
                    request.log.record_abort();
                }
                self.targets.abort(attempt, cancel);
            }
            NodeAction::Conclude(id, conclusion) => self.conclude(id, conclusion),
            NodeAction::DropAnswer(id) => self.requests.remove(id),
            NodeAction::Forward(id, holder) => {
                if let Some(request) = self.requests.get(id) {
                    request.answer.push(AnswerPart::Forward(holder));
                }
                self.requests.end(id);
            }
            NodeAction::LogIncident(incident, text) => self.log_incident(incident, &text),
            NodeAction::CountRefusal(tier, reason) => {
                self.metrics.count_refusal(reason, Some(tier))
            }
            NodeAction::CountWait(tier, span) => self.metrics.observe_queue_wait(tier, span),
            NodeAction::CountRetry(reason) => self.metrics.count_retry(reason),
            NodeAction::CountWaste(tier, cause, tokens) => {
                self.metrics.count_wasted_tokens(tier, cause, tokens)
            }
            NodeAction::CountEnd {
                tier,
                good,
                first_token,
            } => self.metrics.count_end(tier, good, first_token),
            // The event loop checks itself whether the core is idle.
            NodeAction::Stopped => {}
        }
    }

    fn start(&mut self, attempt: AttemptId, target: &PoolTarget, kind: PoolKind, route: CallRoute) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        request.log.record_dispatch(now, &target.name);
        let Some(call) = &request.call else {
            return;
        };
        // No caller has read data of an earlier attempt, except for events of a
        // stream that this attempt resumes.
        if request.answer.last_event_id().is_none() {
            request.answer.clear();
        }
        let answer = request.answer.clone();
        self.targets
            .start_on(attempt, target, kind, call, answer, route);
    }

    fn conclude(&mut self, id: RequestId, conclusion: Conclusion) {
        let now = self.now();
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let data_parts = request.answer.data_part_count();
        request
            .log
            .write_end(now, Some(id), &conclusion, data_parts);
        if let Some(reason) = request.log.cut_reason(&conclusion) {
            request.log.write_cut(now, id, reason);
            self.metrics.count_incident(Incident::StreamCut);
        }
        let part = match conclusion {
            Conclusion::Answered | Conclusion::TargetError => AnswerPart::End,
            Conclusion::Refused(refusal) => AnswerPart::Refused(refusal),
        };
        request.answer.push(part);
        let bytes = request.answer.bytes() as u64;
        self.requests.end(id);
        self.handle(NodeEvent::AnswerSize(id, bytes));
    }

    fn publish(&mut self, name: &ValueName) {
        let publication = self.core.publication();
        let limits = &publication.limits;
        if self.settings.gateway.is_none() {
            self.targets
                .set_options(TargetClientOptions::default().with_limits(limits));
        }
        // The host list changes often and does not contain targets.
        if name.as_str() != HOSTS_VALUE {
            self.targets.record_target_starts(&publication.pools);
        }
        let resources = gateway_setup::resources(&self.settings);
        self.targets
            .set_idle_limits(IdleLimits::of_publication(publication, resources));
        self.platform.set_limits(limits);
        self.requests.set_max_answer_bytes(limits.max_answer_bytes);
        self.links
            .set_host_list(&publication.hosts, &publication.limits.link_key);
        self.publication.send_replace(Arc::new(publication.clone()));
        if publication.uses_routes && name.as_str() == HOSTS_VALUE {
            let hosts = &publication.hosts.hosts;
            let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
            self.log_incident(Incident::HostsChanged, &names.join(","));
        }
    }

    /// Apply the changed settings that do not require a restart.
    fn reload(&mut self, settings: HostSettings) {
        if let Some(gateway) = &settings.gateway {
            self.handle(NodeEvent::Seeds(gateway.seeds.clone()));
        }
        self.stop = self.stop.with_grace(settings.grace());
        if let Some(schedule) = self.stop.schedule() {
            self.handle(NodeEvent::AnswerDeadline(schedule.answer_deadline()));
        }
        self.settings = settings;
        self.log_incident(Incident::SettingsReloaded, "seeds, grace");
    }
}
