//! Provides the sending of permitted calls to targets.
//!
//! Each attempt is one task that reports to the loop. What it may claim is
//! narrow: "not sent" only where no connection was established, "finished"
//! only where the answer is whole and its own.

mod attempt_report;
mod call_context;
pub mod connection;
mod engine_call;
pub mod event_blocks;
pub mod event_stream;
mod load_watch;
pub mod options;
mod plain_call;
pub mod routed_call;
mod silence_watch;
mod stream_cancel;
mod stream_resume;
mod stream_status;
pub(crate) mod usage_meter;

use std::collections::HashMap;
use std::sync::Arc;

use bergamotswitch_core::entry::{AttemptEvent, NotSentReason};
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::publication::PoolList;
use bergamotswitch_core::request::AttemptId;
use bergamotswitch_core::target::{PoolTarget, TargetName};
use tokio::task::JoinHandle;

use self::attempt_report::{AbortFlag, AttemptReport};
use self::call_context::{CallContext, CallEnd, CallTrace};
use self::connection::KeptConnections;
use self::engine_call::EngineCall;
use self::load_watch::LoadWatch;
pub use self::options::TargetClientOptions;
use self::stream_cancel::StreamCancel;
use crate::answer::AnswerWriter;
use crate::input::{NodeSender, OutgoingCall};

// Ended calls are swept out when this many are listed, then at each doubling,
// so that the sweep costs a constant share of a start.
const FIRST_SWEEP: usize = 64;

/// A `CallGuard` is a call's task. Its drop stops the task, silently.
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
    kept: KeptConnections,
    calls: HashMap<AttemptId, CallGuard>,
    sweep_at: usize,
    watches: HashMap<TargetName, LoadWatch>,
    /// The last start known of each target that tells it.
    starts: HashMap<TargetName, u64>,
}

impl TargetClient {
    /// Get a client that reports to the loop by `events`.
    pub fn new(options: TargetClientOptions, events: NodeSender) -> Self {
        TargetClient {
            options: Arc::new(options),
            events,
            kept: KeptConnections::default(),
            calls: HashMap::new(),
            sweep_at: FIRST_SWEEP,
            watches: HashMap::new(),
            starts: HashMap::new(),
        }
    }

    /// Put other bounds in force for the calls that start from now on, and
    /// for the watches of engines, which start anew.
    pub fn set_options(&mut self, options: TargetClientOptions) {
        if *self.options == options {
            return;
        }
        self.options = Arc::new(options);
        for watch in self.watches.values_mut() {
            *watch = LoadWatch::start(&watch.target().clone(), &self.options, &self.events);
        }
    }

    /// Send a permitted call to its target. Its answer goes to `answer`, its
    /// progress to the loop.
    pub fn start(
        &mut self,
        attempt: AttemptId,
        target: &PoolTarget,
        kind: PoolKind,
        call: &OutgoingCall,
        answer: AnswerWriter,
    ) {
        self.sweep();
        let aborted = AbortFlag::default();
        let trace = CallTrace::default();
        let report = AttemptReport::new(attempt, self.events.clone(), aborted.clone());
        let context = CallContext {
            attempt,
            request_id: attempt.to_string(),
            target: target.clone(),
            options: Arc::clone(&self.options),
            kept: self.kept.clone(),
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

    /// Stop an attempt; nothing more is reported of it. With `cancel` its
    /// engine is told to stop the stream, where the contract says it does.
    pub fn abort(&mut self, attempt: AttemptId, cancel: bool) {
        let Some(guard) = self.calls.remove(&attempt) else {
            return;
        };
        if cancel && guard.target.contract.cancels && guard.trace.is_sent() {
            let order = StreamCancel {
                target: guard.target.clone(),
                request_id: attempt.to_string(),
                trace: guard.trace.clone(),
                options: Arc::clone(&self.options),
            };
            tokio::spawn(order.run());
        }
    }

    /// Replace the set of engines whose load reports and cache events are
    /// sent to the loop.
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

    /// Take note of the published targets. Idle connections to one that has
    /// started again lead to a process that is gone. Where it died behind a cut
    /// no reset ever tells, and a call sent on one would wait until its target
    /// counts as silent.
    pub fn note_starts(&mut self, pools: &PoolList) {
        let targets = pools.pools().iter().flat_map(|pool| &pool.targets);
        let mut starts = HashMap::new();
        for target in targets {
            let Some(start) = target.started_at_ms else {
                continue;
            };
            let known = self.starts.get(&target.name);
            if known.is_some_and(|known| *known != start) {
                self.kept.forget(target.address);
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
        CallEnd::Finished(usage) => AttemptEvent::Finished(usage),
        CallEnd::Broken(usage) => AttemptEvent::Broken(usage),
    });
}
