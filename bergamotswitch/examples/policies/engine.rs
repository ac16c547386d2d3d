//! Provides a simulated inference engine with continuous batching, chunked
//! prefill and a prefix cache, in virtual time and without priorities.

use std::collections::{BTreeSet, HashMap, VecDeque};

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::permit::Usage;
use bergamotswitch_core::request::{AttemptId, PrefixHash};
use bergamotswitch_core::target::{LoadReport, PoolTarget};

/// The prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 256;

/// How many times faster an engine processes prompt tokens than it generates
/// output tokens with a full batch.
pub const PREFILL_FACTOR: u32 = 10;

/// The maximum number of prompt tokens that one step processes.
const CHUNK_TOKENS: u32 = 512;

/// The number of output tokens between two progress events.
const PROGRESS_TOKENS: u32 = 32;

/// An `EngineRun` is the execution of one attempt by an engine.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub attempt: AttemptId,
    pub host: usize,
    pub request: usize,
    pub prompt: u32,
    pub output: u32,
    pub blocks: Vec<PrefixHash>,
    pub arrived_at: u64,
    cached: u32,
    prefilled: u32,
    decoded: u32,
    first_token_at: u64,
}

impl EngineRun {
    pub fn new(attempt: AttemptId, host: usize, request: usize) -> Self {
        EngineRun {
            attempt,
            host,
            request,
            prompt: 1,
            output: 1,
            blocks: Vec::new(),
            arrived_at: 0,
            cached: 0,
            prefilled: 0,
            decoded: 0,
            first_token_at: 0,
        }
    }

    /// Get the number of prompt tokens processed so far, without cached ones.
    pub fn prefilled(&self) -> u32 {
        self.prefilled
    }

    fn remaining_prefill(&self) -> u32 {
        self.prompt - self.cached - self.prefilled
    }

    fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }

    pub fn usage(&self, now: u64) -> Usage {
        let millis = |from: u64, to: u64| (to.saturating_sub(from) / 1000) as u32;
        Usage {
            prefill: self.prefilled + self.cached,
            cached: self.cached,
            decode: self.decoded,
            first_token_ms: millis(self.arrived_at, self.first_token_at),
            elapsed_ms: millis(self.arrived_at, now),
        }
    }
}

/// An `EngineUpdate` is a result of an engine step.
#[derive(Debug)]
pub enum EngineUpdate {
    Attempt(EngineRun, AttemptEvent),
    Ended(EngineRun),
    /// A prefix block was added to the cache, or evicted if the flag is `false`.
    Cached(PrefixHash, bool),
}

/// A `FakeEngine` is a simulated target: an engine or a plain service.
#[derive(Debug)]
pub struct FakeEngine {
    pub target: PoolTarget,
    /// The factor by which steps are slowed down; 1 is the normal speed.
    pub slowdown: f64,
    batch: usize,
    step_micros: f64,
    cache_capacity: usize,
    waiting: VecDeque<EngineRun>,
    running: Vec<EngineRun>,
    cache: HashMap<PrefixHash, u64>,
    by_last_use: BTreeSet<(u64, PrefixHash)>,
    use_count: u64,
    pub stepping: bool,
}

impl FakeEngine {
    pub fn new(target: PoolTarget, batch: usize) -> Self {
        let step_micros = batch as f64 * 1e6 / f64::from(target.expected_speed);
        FakeEngine {
            slowdown: 1.0,
            batch,
            step_micros,
            cache_capacity: (target.token_limit / BLOCK_TOKENS) as usize,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            by_last_use: BTreeSet::new(),
            use_count: 0,
            stepping: false,
            target,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub fn admit(&mut self, run: EngineRun) {
        self.waiting.push_back(run);
    }

    /// Remove a run before it ends.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<EngineRun> {
        if let Some(at) = self.waiting.iter().position(|run| run.attempt == attempt) {
            return self.waiting.remove(at);
        }
        let at = self.running.iter().position(|run| run.attempt == attempt)?;
        Some(self.running.remove(at))
    }

    pub fn load(&self) -> LoadReport {
        let waiting: u64 = self.waiting.iter().map(EngineRun::tokens).sum();
        let remaining_tokens =
            |run: &EngineRun| u64::from(run.remaining_prefill() + run.output - run.decoded);
        let running: u64 = self.running.iter().map(remaining_tokens).sum();
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            outstanding_tokens: waiting + running,
            age_ms: 0,
        }
    }

    /// Run one step. Get its duration in microseconds and the updates that take
    /// effect at its end.
    pub fn step(&mut self, now: u64) -> (u64, Vec<EngineUpdate>) {
        self.fill_batch();
        let mut chunk_left = CHUNK_TOKENS;
        for run in &mut self.running {
            let tokens = run.remaining_prefill().min(chunk_left);
            chunk_left -= tokens;
        }
        let prefill_micros = f64::from(CHUNK_TOKENS - chunk_left) * 1e6
            / f64::from(self.target.expected_speed * PREFILL_FACTOR);
        let duration = ((self.step_micros + prefill_micros) * self.slowdown) as u64;
        let end = now + duration.max(1);
        let mut updates = Vec::new();
        self.advance(end, &mut updates);
        (duration.max(1), updates)
    }

    fn advance(&mut self, end: u64, updates: &mut Vec<EngineUpdate>) {
        let mut chunk_left = CHUNK_TOKENS;
        let mut cached_blocks = Vec::new();
        for run in &mut self.running {
            if run.remaining_prefill() > 0 {
                let tokens = run.remaining_prefill().min(chunk_left);
                chunk_left -= tokens;
                run.prefilled += tokens;
                if run.remaining_prefill() == 0 {
                    cached_blocks.extend_from_slice(&run.blocks);
                }
                continue;
            }
            run.decoded += 1;
            if run.decoded == 1 {
                run.first_token_at = end;
                updates.push(EngineUpdate::Attempt(run.clone(), AttemptEvent::FirstToken));
            } else if run.decoded.is_multiple_of(PROGRESS_TOKENS) {
                let event = AttemptEvent::Progress(run.decoded);
                updates.push(EngineUpdate::Attempt(run.clone(), event));
            }
            if run.decoded == run.output {
                updates.push(EngineUpdate::Ended(run.clone()));
            }
        }
        self.running.retain(|run| run.decoded < run.output);
        for block in cached_blocks {
            self.cache_block(block, updates);
        }
    }

    /// Move waiting runs into the batch in order of arrival, until one doesn't
    /// fit.
    fn fill_batch(&mut self) {
        let mut batch_tokens: u64 = self.running.iter().map(EngineRun::tokens).sum();
        while self.running.len() < self.batch {
            let Some(first) = self.waiting.front() else {
                return;
            };
            if batch_tokens > 0
                && batch_tokens + first.tokens() > u64::from(self.target.token_limit)
            {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            batch_tokens += run.tokens();
            let cached_prefix = run.blocks.iter().take_while(|b| self.cache.contains_key(b));
            // The last prompt token is never taken from the cache.
            run.cached = (cached_prefix.count() as u32 * BLOCK_TOKENS).min(run.prompt - 1);
            self.running.push(run);
        }
    }

    fn cache_block(&mut self, block: PrefixHash, updates: &mut Vec<EngineUpdate>) {
        self.use_count += 1;
        if let Some(last_use) = self.cache.insert(block, self.use_count) {
            self.by_last_use.remove(&(last_use, block));
        } else {
            updates.push(EngineUpdate::Cached(block, true));
        }
        self.by_last_use.insert((self.use_count, block));
        if self.cache.len() > self.cache_capacity
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.cache.remove(&oldest);
            updates.push(EngineUpdate::Cached(oldest, false));
        }
    }
}
