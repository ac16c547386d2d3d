//! Provides the state of an engine stand-in and the loop that steps its batch.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{Notify, broadcast, watch};
use tokio::time::{Instant, sleep_until};

use crate::batch::{EngineBatch, EngineRun, LoadSample, RunProgress};
use crate::engine::EngineOptions;
use crate::ledger::RunOutcome;
use crate::prefix::PrefixEvent;
use crate::prompt::PromptShape;
use crate::target_control::{TargetControl, lock};

/// The number of streams kept for resuming, above which ended ones are evicted,
/// oldest first. Eviction stops at the first run that has not ended.
const MAX_STREAMS: usize = 4096;
/// The maximum number of missed steps that are made up for. A longer delay is
/// treated as a pause of the engine, during which no tokens are produced.
const MAX_CATCH_UP: u32 = 10;

#[derive(Debug)]
struct EngineState {
    batch: EngineBatch,
    streams: HashMap<String, Arc<EngineRun>>,
    requests: HashMap<String, Arc<EngineRun>>,
    arrivals: VecDeque<Arc<EngineRun>>,
    load_samples: VecDeque<(Instant, LoadSample)>,
    rng: StdRng,
}

/// An `EngineCore` is the state that all connections of an engine stand-in share.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) options: EngineOptions,
    pub(crate) control: Arc<TargetControl>,
    state: Mutex<EngineState>,
    work: Notify,
}

impl EngineCore {
    pub(crate) fn new(options: EngineOptions, control: Arc<TargetControl>) -> Arc<Self> {
        let state = EngineState {
            batch: EngineBatch::new(&options),
            streams: HashMap::new(),
            requests: HashMap::new(),
            arrivals: VecDeque::new(),
            load_samples: VecDeque::new(),
            rng: StdRng::seed_from_u64(options.seed),
        };
        Arc::new(EngineCore {
            options,
            control,
            state: Mutex::new(state),
            work: Notify::new(),
        })
    }

    /// Step the batch in an endless loop, which waits while the batch is idle.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            if lock(&self.state).batch.is_idle() {
                self.work.notified().await;
                next = Instant::now();
            }
            let step = self.control.switches().scaled(self.options.step);
            let earliest = Instant::now().checked_sub(step * MAX_CATCH_UP);
            next = earliest.map_or(next, |earliest| next.max(earliest)) + step;
            sleep_until(next).await;
            self.step();
        }
    }

    fn step(&self) {
        let mut state = lock(&self.state);
        for run in state.batch.step() {
            self.control
                .ledger_mut()
                .end(run.number, RunOutcome::Finished);
        }
        self.sample_load(&mut state);
    }

    /// Start a run of a request, and add it to the batch's queue.
    pub(crate) fn submit(&self, request_id: Option<String>, shape: PromptShape) -> Arc<EngineRun> {
        let mut state = lock(&self.state);
        let stream_id = format!("{:016x}", state.rng.random::<u64>());
        let request_id = request_id.unwrap_or_else(|| format!("anonymous-{stream_id}"));
        let run = Arc::new(EngineRun {
            number: self.control.ledger_mut().start(&request_id, shape.digest),
            progress: watch::Sender::new(RunProgress {
                emitted: 0,
                cached_tokens: 0,
                outcome: RunOutcome::Running,
            }),
            stream_id: stream_id.clone(),
            request_id: request_id.clone(),
            shape,
        });
        state.streams.insert(stream_id, Arc::clone(&run));
        state.requests.insert(request_id, Arc::clone(&run));
        state.arrivals.push_back(Arc::clone(&run));
        state.evict_ended_runs();
        state.batch.submit(Arc::clone(&run));
        self.sample_load(&mut state);
        drop(state);
        self.work.notify_one();
        run
    }

    /// End a run early with an outcome; a run that has ended is unchanged.
    pub(crate) fn stop(&self, run: &Arc<EngineRun>, outcome: RunOutcome) {
        let mut state = lock(&self.state);
        if run.is_live() {
            state.batch.remove(run);
            self.end(run, outcome);
            self.sample_load(&mut state);
        }
    }

    /// Drop all streams, requests and cached prefixes, record running requests as
    /// broken, and close all connections.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        self.fail_runs(&mut state);
        state.arrivals.clear();
        state.streams.clear();
        state.requests.clear();
        state.batch.cache.clear();
        self.sample_load(&mut state);
        drop(state);
        self.control.close_connections();
    }

    fn fail_runs(&self, state: &mut EngineState) {
        for run in state.arrivals.clone() {
            if run.is_live() {
                state.batch.remove(&run);
                self.end(&run, RunOutcome::Broken);
            }
        }
    }

    fn end(&self, run: &EngineRun, outcome: RunOutcome) {
        self.control.ledger_mut().end(run.number, outcome);
        run.progress
            .send_modify(|progress| progress.outcome = outcome);
    }

    /// Get a run by its stream id, if it is still kept.
    pub(crate) fn stream(&self, stream_id: &str) -> Option<Arc<EngineRun>> {
        lock(&self.state).streams.get(stream_id).cloned()
    }

    /// Get the latest run of a request id, if it is still kept.
    pub(crate) fn request(&self, request_id: &str) -> Option<Arc<EngineRun>> {
        lock(&self.state).requests.get(request_id).cloned()
    }

    /// Get the request id and the body digest used in the response to a run:
    /// those of the run, or with the `crossed` switch those of the latest run of
    /// another request, or made-up ones if there is none.
    pub(crate) fn response_identity(&self, run: &EngineRun) -> (String, u64) {
        if !self.control.switches().crossed {
            return (run.request_id.clone(), run.shape.digest);
        }
        let state = lock(&self.state);
        let mut latest = state.arrivals.iter().rev();
        let other = latest.find(|other| other.request_id != run.request_id);
        match other {
            Some(other) => (other.request_id.clone(), other.shape.digest),
            None => ("crossed".to_owned(), !run.shape.digest),
        }
    }

    /// Get the load as it was `load_lag_ms` ago, and that lag in milliseconds.
    pub(crate) fn load(&self) -> (LoadSample, u64) {
        let mut state = lock(&self.state);
        let lag = self.control.switches().load_lag_ms;
        state.evict_loads(lag);
        let known = state.load_samples.front().map(|(_, sample)| *sample);
        (known.unwrap_or_default(), lag)
    }

    fn sample_load(&self, state: &mut EngineState) {
        if state.load_samples.is_empty() {
            // The load before the first change is zero.
            let since = Instant::now();
            state.load_samples.push_back((since, LoadSample::default()));
        }
        let sample = state.batch.load();
        state.load_samples.push_back((Instant::now(), sample));
        state.evict_loads(self.control.switches().load_lag_ms);
    }

    /// Get whether a prefix is cached.
    pub(crate) fn holds_prefix(&self, prefix: u64) -> bool {
        lock(&self.state).batch.cache.contains(prefix)
    }

    /// Add a prefix to the cache that was computed by another engine.
    pub(crate) fn import_prefix(&self, prefix: u64) {
        lock(&self.state).batch.cache.insert(&[prefix]);
    }

    /// Subscribe to cache events; earlier events are not delivered.
    pub(crate) fn cache_events(&self) -> broadcast::Receiver<PrefixEvent> {
        lock(&self.state).batch.cache.subscribe()
    }

    /// Decide at random, by the `cache_event_gaps` percentage, whether a cache
    /// event is dropped.
    pub(crate) fn drops_cache_event(&self) -> bool {
        let gaps = self.control.switches().cache_event_gaps;
        lock(&self.state).rng.random_range(0..100) < gaps
    }
}

impl EngineState {
    fn evict_ended_runs(&mut self) {
        while self.arrivals.len() > MAX_STREAMS {
            let ended = self.arrivals.front().is_some_and(|run| !run.is_live());
            let Some(run) = self.arrivals.pop_front_if(|_| ended) else {
                return;
            };
            self.streams.remove(&run.stream_id);
            let latest = self.requests.get(&run.request_id);
            if latest.is_some_and(|latest| Arc::ptr_eq(latest, &run)) {
                self.requests.remove(&run.request_id);
            }
        }
    }

    /// Evict the samples that were already superseded `lag_ms` ago.
    fn evict_loads(&mut self, lag_ms: u64) {
        let Some(then) = Instant::now().checked_sub(Duration::from_millis(lag_ms)) else {
            return;
        };
        while self.load_samples.get(1).is_some_and(|(at, _)| *at <= then) {
            self.load_samples.pop_front();
        }
    }
}
