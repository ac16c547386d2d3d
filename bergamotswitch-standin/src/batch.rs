//! Provides the continuous batching of an engine: each step produces one output
//! token per running request whose prefill is done. Requests that do not fit
//! into the batch are queued in arrival order.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::watch;

use crate::engine::EngineOptions;
use crate::ledger::{RunNumber, RunOutcome};
use crate::prefix::PrefixCache;
use crate::prompt::{BLOCK_TOKENS, PromptShape};

/// A `RunProgress` is the progress of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunProgress {
    /// The number of output tokens produced so far.
    pub(crate) emitted: u32,
    /// The number of prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: u32,
    /// The outcome, [`RunOutcome::Running`] until the run ends.
    pub(crate) outcome: RunOutcome,
}

/// An `EngineRun` is one execution of a completion request.
#[derive(Debug)]
pub(crate) struct EngineRun {
    pub(crate) stream_id: String,
    pub(crate) request_id: String,
    pub(crate) shape: PromptShape,
    pub(crate) number: RunNumber,
    pub(crate) progress: watch::Sender<RunProgress>,
}

impl EngineRun {
    pub(crate) fn progress(&self) -> RunProgress {
        *self.progress.borrow()
    }

    /// Get whether the run has not ended yet.
    pub(crate) fn is_live(&self) -> bool {
        self.progress().outcome == RunOutcome::Running
    }

    /// Get the number of tokens, prompt and output, that the run occupies at its
    /// end.
    fn tokens(&self) -> u64 {
        u64::from(self.shape.tokens) + u64::from(self.shape.output_tokens)
    }
}

#[derive(Debug)]
struct BatchSlot {
    run: Arc<EngineRun>,
    prefill_left: u32,
}

impl BatchSlot {
    fn outstanding_tokens(&self) -> u64 {
        let output_left = self.run.shape.output_tokens - self.run.progress().emitted;
        u64::from(self.prefill_left) + u64::from(output_left)
    }
}

/// A `LoadSample` is the load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSample {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) outstanding_tokens: u64,
}

/// An `EngineBatch` is the running batch, the queue and the prefix cache of an
/// engine.
#[derive(Debug)]
pub(crate) struct EngineBatch {
    max_batch: usize,
    token_limit: u64,
    prefill_per_step: u32,
    waiting: VecDeque<Arc<EngineRun>>,
    running: Vec<BatchSlot>,
    pub(crate) cache: PrefixCache,
}

impl EngineBatch {
    pub(crate) fn new(options: &EngineOptions) -> Self {
        let prefill = f64::from(options.prefill_speed) * options.step.as_secs_f64();
        EngineBatch {
            max_batch: options.max_batch.max(1),
            token_limit: options.token_limit,
            prefill_per_step: (prefill as u32).max(1),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(options.cache_blocks),
        }
    }

    /// Add a run to the end of the queue.
    pub(crate) fn submit(&mut self, run: Arc<EngineRun>) {
        self.waiting.push_back(run);
    }

    /// Remove a run from the queue or the batch before it finishes.
    pub(crate) fn remove(&mut self, run: &Arc<EngineRun>) {
        self.waiting.retain(|other| !Arc::ptr_eq(other, run));
        self.running.retain(|slot| !Arc::ptr_eq(&slot.run, run));
    }

    /// Get whether no run is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Get the current load.
    pub(crate) fn load(&self) -> LoadSample {
        let waiting: u64 = self.waiting.iter().map(|run| run.tokens()).sum();
        let running: u64 = self.running.iter().map(BatchSlot::outstanding_tokens).sum();
        LoadSample {
            running: self.running.len(),
            waiting: self.waiting.len(),
            outstanding_tokens: waiting + running,
        }
    }

    /// Execute one step, and get the runs that finished in it.
    pub(crate) fn step(&mut self) -> Vec<Arc<EngineRun>> {
        self.admit_waiting();
        let mut prefill_budget = self.prefill_per_step;
        let mut finished = Vec::new();
        for slot in &mut self.running {
            if slot.prefill_left > 0 {
                let part = slot.prefill_left.min(prefill_budget);
                slot.prefill_left -= part;
                prefill_budget -= part;
                if slot.prefill_left == 0 {
                    self.cache.insert(&slot.run.shape.blocks);
                }
                continue;
            }
            slot.run.progress.send_modify(|progress| {
                progress.emitted += 1;
                if progress.emitted == slot.run.shape.output_tokens {
                    progress.outcome = RunOutcome::Finished;
                }
            });
            if !slot.run.is_live() {
                finished.push(Arc::clone(&slot.run));
            }
        }
        self.running.retain(|slot| slot.run.is_live());
        finished
    }

    /// Move runs from the queue into the batch as long as the first one fits. A
    /// run above the token limit is admitted into an empty batch, since it would
    /// otherwise never run.
    fn admit_waiting(&mut self) {
        while self.running.len() < self.max_batch {
            let Some(first) = self.waiting.front() else {
                return;
            };
            let held: u64 = self.running.iter().map(|slot| slot.run.tokens()).sum();
            if held > 0 && held + first.tokens() > self.token_limit {
                return;
            }
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            let blocks = self.cache.cached_blocks(&run.shape.blocks) as u32;
            let cached = (blocks * BLOCK_TOKENS).min(run.shape.tokens);
            run.progress
                .send_modify(|progress| progress.cached_tokens = cached);
            let prefill_left = run.shape.tokens - cached;
            self.running.push(BatchSlot { run, prefill_left });
        }
    }
}
