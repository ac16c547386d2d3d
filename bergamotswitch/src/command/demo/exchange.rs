//! Provides the sending of the demo's calls and the reading of their answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_core::address::AddressAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde_json::{Value, json};

use super::calls::DemoCall;
use crate::command::client::{self, HttpAnswer};
use crate::command::error::CommandError;

/// A `CallOutcome` is what became of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The HTTP status.
    pub status: StatusCode,
    /// The refusal's reason code, where it was refused.
    pub refusal: Option<String>,
    /// Whether the answer is whole.
    pub complete: bool,
    /// The answer's text: an engine's output or a service's echo.
    pub text: String,
    /// The run of the host that holds the request, `host~hex`.
    pub incarnation: String,
    /// From sending to the whole answer.
    pub elapsed: Duration,
}

impl DemoCall {
    /// Try to send the call under a caller's key and read its answer.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Answer`] where there is no HTTP answer at all.
    pub async fn send(&self, host: SocketAddr, key: &str) -> Result<CallOutcome, CommandError> {
        self.send_with(host, key, &[]).await
    }

    /// Try to send the call with further fields.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Answer`] where there is no HTTP answer at all.
    pub async fn send_with(
        &self,
        host: SocketAddr,
        key: &str,
        fields: &[(&'static str, &str)],
    ) -> Result<CallOutcome, CommandError> {
        let started_at = Instant::now();
        let path = match self.service_path {
            Some(path) => format!("/v1/services/{}/{path}", self.pool),
            None => "/v1/chat/completions".to_owned(),
        };
        let body = Bytes::from(self.body(key).to_string());
        let fields = self.header_fields(key, fields)?;
        let answer = client::call(host, Method::POST, &path, fields, body).await?;
        Ok(self.outcome(&answer, started_at.elapsed()))
    }

    fn header_fields(
        &self,
        key: &str,
        additional: &[(&'static str, &str)],
    ) -> Result<HeaderMap, CommandError> {
        let mut fields = HeaderMap::new();
        let mut add = |name: &'static str, text: &str| {
            let value = HeaderValue::from_str(text);
            let value = value.map_err(|error| CommandError::Answer(error.to_string()))?;
            fields.insert(HeaderName::from_static(name), value);
            Ok::<(), CommandError>(())
        };
        add("authorization", &format!("Bearer {}", self.key))?;
        add("content-type", "application/json")?;
        add("idempotency-key", key)?;
        add("bergamot-work", self.work)?;
        for (name, text) in self.fields.iter().chain(additional) {
            add(name, text)?;
        }
        Ok(fields)
    }

    fn body(&self, key: &str) -> Value {
        if self.service_path.is_some() {
            return json!({ "work": self.work, "about": key });
        }
        let prompt = format!("{key} {}", "word ".repeat(self.prompt_words));
        json!({
            "model": self.pool,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": self.max_tokens,
            "stream": self.streaming,
        })
    }

    fn outcome(&self, answer: &HttpAnswer, elapsed: Duration) -> CallOutcome {
        let text = String::from_utf8_lossy(&answer.body);
        let incarnation = answer.fields.get("bergamot-incarnation");
        let incarnation = incarnation.and_then(|incarnation| incarnation.to_str().ok());
        // A refusal that came before the stream began is one JSON object.
        let (refusal, complete, text) = match self.streaming && answer.status.is_success() {
            true => read_stream(&text),
            false => read_json(&text),
        };
        CallOutcome {
            status: answer.status,
            complete: complete && answer.status.is_success(),
            refusal,
            text,
            incarnation: incarnation.unwrap_or_default().to_owned(),
            elapsed,
        }
    }
}

/// Read a whole JSON answer: refusal, wholeness, text.
fn read_json(text: &str) -> (Option<String>, bool, String) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let refusal = value["error"]["code"].as_str().map(str::to_owned);
    let content = &value["choices"][0]["message"]["content"];
    let content = content.as_str().or(value["echo"].as_str());
    let complete = content.is_some();
    (refusal, complete, content.unwrap_or_default().to_owned())
}

/// Read a stream of events: refusal, wholeness, text. Only `[DONE]` makes a
/// stream whole.
fn read_stream(text: &str) -> (Option<String>, bool, String) {
    let mut refusal = None;
    let mut complete = false;
    let mut output = String::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            complete = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = value["error"]["code"].as_str() {
            refusal = Some(code.to_owned());
        }
        let delta = &value["choices"][0]["delta"]["content"];
        output.push_str(delta.as_str().unwrap_or_default());
    }
    (refusal, complete, output)
}

/// Try to ask a host which host to use, as a caller does.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] where it names none.
pub async fn resolve_host(entry_host: SocketAddr, key: &str) -> Result<SocketAddr, CommandError> {
    let mut fields = HeaderMap::new();
    let bearer = HeaderValue::from_str(&format!("Bearer {key}"));
    let bearer = bearer.map_err(|error| CommandError::Answer(error.to_string()))?;
    fields.insert(http::header::AUTHORIZATION, bearer);
    let answer = client::call(entry_host, Method::GET, "/v1/address", fields, Bytes::new()).await?;
    let address: AddressAnswer = serde_json::from_slice(&answer.body).map_err(|error| {
        let body = String::from_utf8_lossy(&answer.body);
        CommandError::Answer(format!("{entry_host}/v1/address: {error}: {body}"))
    })?;
    let host = address.hosts.first();
    let host = host.ok_or_else(|| CommandError::Answer(format!("{entry_host} names no host")))?;
    Ok(host.address)
}
