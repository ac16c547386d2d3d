//! Provides functions that send the demo's calls and parse the responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_core::address::AddressAnswer;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde_json::{Value, json};

use super::calls::DemoCall;
use crate::command::client::{self, HttpAnswer};
use crate::command::error::CommandError;

/// A `CallOutcome` is the result of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The reason code of the refusal, if the request was refused.
    pub refusal: Option<String>,
    /// Whether the answer is successful and complete.
    pub complete: bool,
    /// The answer's text: an engine's output or a service's echo.
    pub text: String,
    /// The incarnation of the host that accepted the request, as `host~hex`.
    pub incarnation: String,
    /// The time from sending the request to receiving the complete response.
    pub elapsed: Duration,
}

impl DemoCall {
    /// Try to send the call with an idempotency key and read the response.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Answer`] if no HTTP response is received.
    pub async fn send(&self, host: SocketAddr, key: &str) -> Result<CallOutcome, CommandError> {
        self.send_with(host, key, &[]).await
    }

    /// Try to send the call with additional header fields.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Answer`] if no HTTP response is received.
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
        // A refusal before the start of the stream is a single JSON object.
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

/// Parse a JSON response into refusal code, completeness and text.
fn read_json(text: &str) -> (Option<String>, bool, String) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let refusal = value["error"]["code"].as_str().map(str::to_owned);
    let content = &value["choices"][0]["message"]["content"];
    let content = content.as_str().or(value["echo"].as_str());
    let complete = content.is_some();
    (refusal, complete, content.unwrap_or_default().to_owned())
}

/// Parse an event stream into refusal code, completeness and text. A stream is
/// complete only if it contains `[DONE]`.
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

/// Try to query a host's `/v1/address` endpoint for the host that a caller
/// should use.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] if the query fails or the response lists no
/// host.
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
    let host =
        host.ok_or_else(|| CommandError::Answer(format!("{entry_host}/v1/address lists no host")))?;
    Ok(host.address)
}
