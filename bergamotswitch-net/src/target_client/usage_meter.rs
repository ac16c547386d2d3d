//! Provides the metering of an attempt's tokens and times.

use std::time::Duration;

use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::permit::Usage;
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::Instant;

use super::attempt_report::AttemptReport;

/// A `StreamChunk` holds the members of a completion chunk that are evaluated.
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
    /// Get whether the chunk contains output.
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

/// A `TokenStep` is the progress to report after a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenStep {
    /// There is nothing to report.
    Nothing,
    /// The first output arrived.
    First,
    /// The number of output tokens so far is due to be reported.
    Progress(u32),
}

/// A `UsageMeter` meters one attempt from its dispatch.
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

    /// Add a chunk.
    pub fn add(&mut self, chunk: &StreamChunk) -> TokenStep {
        if chunk.usage.is_some() {
            self.reported = chunk.usage;
        }
        // An engine sends one chunk for each token. The count that it reports
        // in the last chunk takes precedence.
        let outputs = chunk.choices.iter().filter(|choice| choice.has_output());
        let tokens = outputs.count() as u32;
        if tokens == 0 {
            return TokenStep::Nothing;
        }
        self.counted = self.counted.saturating_add(tokens);
        self.step()
    }

    /// Add a chunk of a plain answer, which counts as one token in total.
    pub fn add_plain(&mut self) -> TokenStep {
        self.counted = 1;
        self.step()
    }

    /// Add an event of a stream whose token count is not reported.
    pub fn add_event(&mut self) -> TokenStep {
        self.counted = self.counted.saturating_add(1);
        self.step()
    }

    /// Get whether nothing was counted yet.
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

    /// Get the usage so far. Prompt tokens are known only if the target reports
    /// them.
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

/// Report a step to the event loop.
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
