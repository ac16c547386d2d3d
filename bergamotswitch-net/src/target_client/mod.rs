//! Provides the client that sends permitted calls to targets.
//!
//! Each attempt is one task that reports to the event loop. It reports "not
//! sent" only if no connection was established, and "finished" only if the
//! answer is complete and belongs to the request.

pub mod answer_memory;
mod attempt_report;
mod cache_read;
mod call_context;
pub mod connection;
mod engine_call;
pub mod event_blocks;
pub mod event_stream;
pub mod idle_limits;
mod load_watch;
pub mod options;
mod plain_call;
pub mod routed_call;
mod silence_watch;
mod stream_cancel;
mod stream_resume;
mod stream_status;
mod target_body;
pub(crate) mod usage_meter;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::publication::PoolList;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target::{PoolTarget, TargetName};
use bergamotswitch_core::target_path::TargetPath;
use tokio::task::JoinHandle;

use self::answer_memory::AnswerMemory;
use self::attempt_report::{AbortFlag, AttemptReport, StepSender};
use self::call_context::{CallContext, CallEnd, CallTrace};
use self::connection::{ConnectionCounts, IdleConnections};
use self::engine_call::EngineCall;
use self::idle_limits::IdleLimits;
use self::load_watch::LoadWatch;
pub use self::options::TargetClientOptions;
use self::stream_cancel::StreamCancel;
use crate::answer::AnswerWriter;
use crate::input::{NodeSender, OutgoingCall};
use crate::tunnel::TunnelPool;

/// The initial number of calls at which finished ones are removed. The threshold
/// then doubles with the calls in flight, so that the amortized cost for each
/// call is constant.
const FIRST_SWEEP: usize = 64;

/// A `CallGuard` owns a call's task. Dropping it stops the task without a
/// report.
#[derive(Debug)]
struct CallGuard {
    target: PoolTarget,
    trace: CallTrace,
    aborted: AbortFlag,
    task: JoinHandle<()>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.aborted.set();
        self.task.abort();
    }
}

/// A `TargetClient` sends permitted calls to targets and watches engines.
#[derive(Debug)]
pub struct TargetClient {
    options: Arc<TargetClientOptions>,
    events: NodeSender,
    idle_connections: IdleConnections,
    answer_memory: AnswerMemory,
    calls: HashMap<AttemptId, CallGuard>,
    sweep_at: usize,
    watches: HashMap<TargetName, LoadWatch>,
    /// The last known start time of each target that reports one.
    starts: HashMap<TargetName, u64>,
    tunnels: Option<TunnelPool>,
}

/// A `CallRoute` is the path on which a call reaches its target.
#[derive(Clone, Debug)]
pub struct CallRoute {
    /// The path.
    pub path: TargetPath,
    /// The timeout for the connection; `None` for the usual one.
    pub connect_within: Option<Duration>,
}

impl Default for CallRoute {
    fn default() -> Self {
        CallRoute {
            path: TargetPath::Direct,
            connect_within: None,
        }
    }
}

impl TargetClient {
    /// Get a client that reports to the event loop through `events`.
    pub fn new(options: TargetClientOptions, events: NodeSender) -> Self {
        let answer_memory = AnswerMemory::default();
        answer_memory.set_max_bytes(options.answer_bytes);
        TargetClient {
            options: Arc::new(options),
            events,
            idle_connections: IdleConnections::default(),
            answer_memory,
            calls: HashMap::new(),
            sweep_at: FIRST_SWEEP,
            watches: HashMap::new(),
            starts: HashMap::new(),
            tunnels: None,
        }
    }

    /// Set the tunnels through other hosts.
    pub fn with_tunnels(mut self, tunnels: TunnelPool) -> Self {
        self.tunnels = Some(tunnels);
        self
    }

    /// Set the options of subsequent calls and restart the watches of engines
    /// with them.
    pub fn set_options(&mut self, options: TargetClientOptions) {
        if *self.options == options {
            return;
        }
        self.answer_memory.set_max_bytes(options.answer_bytes);
        self.options = Arc::new(options);
        for watch in self.watches.values_mut() {
            *watch = LoadWatch::start(&watch.target().clone(), &self.options, &self.events);
        }
    }

    /// Set how many idle connections are kept; `None` for no limits but those of the
    /// options.
    pub fn set_idle_limits(&self, limits: Option<IdleLimits>) {
        self.idle_connections.set_limits(limits);
    }

    /// Get the use of connections to targets.
    pub fn connection_counts(&self) -> ConnectionCounts {
        self.idle_connections.counts()
    }

    /// Send a permitted call to its target. The answer goes to `answer`, the
    /// progress to the event loop.
    pub fn start(
        &mut self,
        attempt: AttemptId,
        target: &PoolTarget,
        kind: PoolKind,
        call: &OutgoingCall,
        answer: AnswerWriter,
    ) {
        self.start_on(attempt, target, kind, call, answer, CallRoute::default());
    }

    /// Send a permitted call to its target on the given route, as
    /// [`TargetClient::start`] does.
    pub fn start_on(
        &mut self,
        attempt: AttemptId,
        target: &PoolTarget,
        kind: PoolKind,
        call: &OutgoingCall,
        answer: AnswerWriter,
        route: CallRoute,
    ) {
        self.sweep();
        let aborted = AbortFlag::default();
        let trace = CallTrace::default();
        let steps = StepSender::new(attempt, self.events.clone(), aborted.clone());
        let report = AttemptReport::new(steps.clone());
        let context = CallContext {
            route,
            tunnels: self.tunnels.clone(),
            steps,
            attempt,
            request_id: attempt.to_string(),
            target: target.clone(),
            options: Arc::clone(&self.options),
            idle_connections: self.idle_connections.clone(),
            answer_memory: self.answer_memory.clone(),
            answer,
            trace: trace.clone(),
        };
        let task = tokio::spawn(run_call(context, kind, call.clone(), report));
        let guard = CallGuard {
            target: target.clone(),
            trace,
            aborted,
            task,
        };
        self.calls.insert(attempt, guard);
    }

    /// Stop an attempt, which reports nothing more. If `cancel` is set and the
    /// target's contract supports it, the engine is requested to cancel the
    /// stream.
    pub fn abort(&mut self, attempt: AttemptId, cancel: bool) {
        let Some(guard) = self.calls.remove(&attempt) else {
            return;
        };
        if cancel && guard.target.contract.cancels && guard.trace.is_sent() {
            let stream_cancel = StreamCancel {
                target: guard.target.clone(),
                request_id: attempt.to_string(),
                trace: guard.trace.clone(),
                options: Arc::clone(&self.options),
            };
            tokio::spawn(stream_cancel.run());
        }
    }

    /// Replace the set of engines whose load reports and cache events are sent
    /// to the event loop.
    pub fn watch_targets(&mut self, targets: &[PoolTarget]) {
        let mut earlier = std::mem::take(&mut self.watches);
        for target in targets {
            let watch = match earlier.remove(&target.name) {
                Some(watch) if watch.target() == target => watch,
                _ => LoadWatch::start(target, &self.options, &self.events),
            };
            self.watches.insert(target.name.clone(), watch);
        }
    }

    /// Ask targets which parts of prompts they hold. Their answers go to the event loop.
    pub fn read_caches(&self, targets: Vec<PoolTarget>) {
        let reading = cache_read::run(targets, Arc::clone(&self.options), self.events.clone());
        tokio::spawn(reading);
    }

    /// Record the start times of the published targets and close the idle
    /// connections to targets that have restarted. No reset arrives if the old
    /// process ended behind a network partition, and a call over such a
    /// connection would wait until the target counts as unresponsive.
    pub fn record_target_starts(&mut self, pools: &PoolList) {
        let targets = pools.pools().iter().flat_map(|pool| &pool.targets);
        let mut starts = HashMap::new();
        for target in targets {
            let Some(start) = target.started_at_ms else {
                continue;
            };
            let known = self.starts.get(&target.name);
            if known.is_some_and(|known| *known != start) {
                self.idle_connections.forget(target.address);
            }
            starts.insert(target.name.clone(), start);
        }
        self.starts = starts;
    }

    fn sweep(&mut self) {
        if self.calls.len() < self.sweep_at {
            return;
        }
        self.calls.retain(|_, guard| !guard.task.is_finished());
        self.sweep_at = FIRST_SWEEP.max(self.calls.len() * 2);
    }
}

async fn run_call(context: CallContext, kind: PoolKind, call: OutgoingCall, report: AttemptReport) {
    let end = match kind {
        _ if call.routed.is_some() => routed_call::run(&context, &call, &report).await,
        PoolKind::Engine => EngineCall::new(&context, &report).run(&call).await,
        PoolKind::Plain => plain_call::run(&context, &call, &report).await,
    };
    report.end(match end {
        CallEnd::NotSent => AttemptEvent::NotSent(NotSentReason::ConnectFailed),
        CallEnd::Refused => AttemptEvent::Refused,
        CallEnd::Failed => AttemptEvent::Failed,
        CallEnd::Withheld => AttemptEvent::FailureWithheld,
        CallEnd::Finished(usage) => AttemptEvent::Finished(usage),
        CallEnd::Broken(usage) if context.trace.is_tunnel_broken() => {
            AttemptEvent::TunnelBroken(usage)
        }
        CallEnd::Broken(usage) => AttemptEvent::Broken(usage),
    });
}
