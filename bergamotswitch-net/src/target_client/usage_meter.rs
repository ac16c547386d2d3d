//! Provides the measuring of what an attempt uses: tokens and times.

use std::time::Duration;

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::permit::Usage;
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::Instant;

use super::attempt_report::AttemptReport;

/// A `StreamChunk` is what is read of one completion chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamChunk {
    /// The id of the request that the chunk belongs to.
    pub id: String,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Option<ChoiceDelta>,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ChoiceDelta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    reasoning_content: Option<String>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl StreamChunk {
    /// Get whether some output came with the chunk.
    pub(crate) fn has_output(&self) -> bool {
        self.choices.iter().any(ChunkChoice::has_output)
    }
}

impl ChunkChoice {
    fn has_output(&self) -> bool {
        let filled = |text: &Option<String>| text.as_ref().is_some_and(|text| !text.is_empty());
        let in_delta = self.delta.as_ref().is_some_and(|delta| {
            filled(&delta.content) || filled(&delta.reasoning_content) || delta.tool_calls.is_some()
        });
        in_delta || filled(&self.text)
    }
}

/// A `TokenStep` is what a chunk means for the attempt's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenStep {
    /// Nothing to report.
    Nothing,
    /// The first output came.
    First,
    /// It is time to report progress.
    Progress(u32),
}

/// A `UsageMeter` measures one attempt from its dispatch.
#[derive(Debug)]
pub(super) struct UsageMeter {
    started: Instant,
    progress_period: Duration,
    last_progress: Instant,
    first_token: Option<Duration>,
    counted: u32,
    reported: Option<ChunkUsage>,
}

impl UsageMeter {
    /// Get a meter that starts now.
    pub fn start(progress_period: Duration) -> Self {
        let now = Instant::now();
        UsageMeter {
            started: now,
            progress_period,
            last_progress: now,
            first_token: None,
            counted: 0,
            reported: None,
        }
    }

    /// Count a chunk.
    pub fn add(&mut self, chunk: &StreamChunk) -> TokenStep {
        if chunk.usage.is_some() {
            self.reported = chunk.usage;
        }
        // An engine sends one chunk for each token; its own count, in the
        // last chunk, replaces this one.
        let outputs = chunk.choices.iter().filter(|choice| choice.has_output());
        let tokens = outputs.count() as u32;
        if tokens == 0 {
            return TokenStep::Nothing;
        }
        self.counted = self.counted.saturating_add(tokens);
        self.step()
    }

    /// Count a piece of a plain answer, which is worth one token in all.
    pub fn add_plain(&mut self) -> TokenStep {
        self.counted = 1;
        self.step()
    }

    /// Count one event of a stream whose tokens are not told.
    pub fn add_event(&mut self) -> TokenStep {
        self.counted = self.counted.saturating_add(1);
        self.step()
    }

    /// Get whether nothing came yet.
    pub fn awaits_first(&self) -> bool {
        self.first_token.is_none()
    }

    fn step(&mut self) -> TokenStep {
        if self.first_token.is_none() {
            self.first_token = Some(self.started.elapsed());
            self.last_progress = Instant::now();
            return TokenStep::First;
        }
        if self.last_progress.elapsed() < self.progress_period {
            return TokenStep::Nothing;
        }
        self.last_progress = Instant::now();
        TokenStep::Progress(self.counted)
    }

    /// Get what was used so far. Prompt tokens are known only from the
    /// target's own count.
    pub fn usage(&self) -> Usage {
        let cached = self
            .reported
            .and_then(|reported| reported.prompt_tokens_details)
            .map_or(0, |details| details.cached_tokens);
        let prompt = self.reported.map_or(0, |reported| reported.prompt_tokens);
        Usage {
            prefill: prompt.saturating_sub(cached),
            cached,
            decode: self
                .reported
                .map_or(self.counted, |reported| reported.completion_tokens),
            first_token_ms: self.first_token.map_or(0, millis),
            elapsed_ms: millis(self.started.elapsed()),
        }
    }
}

/// Tell the loop of a step.
pub(super) fn report_step(step: TokenStep, report: &AttemptReport) {
    match step {
        TokenStep::Nothing => {}
        TokenStep::First => report.step(AttemptEvent::FirstToken),
        TokenStep::Progress(tokens) => report.step(AttemptEvent::Progress(tokens)),
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
