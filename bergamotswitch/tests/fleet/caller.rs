//! Provides callers of a fleet. They read answers incrementally and keep what they
//! have received when the host goes down.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::{Run, WAIT_TIMEOUT};

/// A `Call` is one request of a caller; its constructors are the kinds of work.
#[derive(Clone, Debug)]
pub struct Call {
    pub work: &'static str,
    pub account: &'static str,
    /// The pool and path of a plain service; `None` for a call to an engine.
    pub service: Option<&'static str>,
    pub streaming: bool,
    pub max_tokens: u32,
    pub key: String,
    pub incarnation: Option<String>,
    pub resubmission: bool,
    pub deadline_ms: Option<u64>,
}

impl Call {
    /// Get a trajectory report: not idempotent, tier 1.
    pub fn report(key: &str, max_tokens: u32) -> Self {
        Call {
            work: "trajectory-report",
            account: "red-austral-demo-observatorio-cerro",
            service: None,
            streaming: true,
            max_tokens,
            key: key.to_owned(),
            incarnation: None,
            resubmission: false,
            deadline_ms: None,
        }
    }

    /// Get a dawn report: idempotent, tier 0.
    pub fn dawn(key: &str, max_tokens: u32) -> Self {
        let (work, account) = ("dawn-report", "red-austral-demo-observatorio-pampa");
        Call {
            work,
            account,
            ..Call::report(key, max_tokens)
        }
    }

    /// Get a sky log: idempotent, tier 5, not streamed, so that more urgent work may
    /// preempt it.
    pub fn sky_log(key: &str, max_tokens: u32) -> Self {
        let (work, account) = ("sky-log-summary", "red-austral-demo-observatorio-laguna");
        Call {
            work,
            account,
            streaming: false,
            ..Call::report(key, max_tokens)
        }
    }

    /// Get a crew alert: not idempotent, tier 0.
    pub fn alert(key: &str) -> Self {
        Call {
            work: "crew-alert",
            service: Some("red-app/alerts"),
            streaming: false,
            ..Call::dawn(key, 0)
        }
    }

    pub fn with_incarnation(mut self, run: &str) -> Self {
        self.incarnation = Some(run.to_owned());
        self
    }

    pub fn as_resubmission(&self) -> Self {
        let mut call = self.clone();
        call.resubmission = true;
        call
    }

    fn request(&self, host: SocketAddr) -> Request<Full<Bytes>> {
        let path = match self.service {
            Some(path) => format!("/v1/services/{path}"),
            None => "/v1/chat/completions".to_owned(),
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", host.to_string())
            .header("authorization", format!("Bearer {}", self.account))
            .header("content-type", "application/json")
            .header("idempotency-key", &self.key)
            .header("bergamot-work", self.work);
        if let Some(run) = &self.incarnation {
            request = request.header("bergamot-incarnation", run);
        }
        if let Some(span) = self.deadline_ms {
            request = request.header("bergamot-deadline-ms", span.to_string());
        }
        if self.resubmission {
            request = request.header("bergamot-resubmission", "true");
        }
        let body = match self.service {
            Some(_) => json!({ "about": self.key }),
            None => json!({
                "model": "bolido-llm",
                "messages": [{ "role": "user", "content": format!("sky of {}", self.key) }],
                "max_tokens": self.max_tokens,
                "stream": self.streaming,
            }),
        };
        let body = Full::new(Bytes::from(body.to_string()));
        request.body(body).expect("good request")
    }

    /// Send the call and wait for the answer's head; `None` if the connection fails
    /// before the head arrives.
    pub async fn begin(&self, host: SocketAddr) -> Option<OpenAnswer> {
        let stream = TcpStream::connect(host).await.ok()?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.ok()?;
        tokio::spawn(connection);
        let response = sender.send_request(self.request(host)).await.ok()?;
        let (parts, body) = response.into_parts();
        Some(OpenAnswer {
            body,
            answer: Answer {
                status: parts.status,
                fields: parts.headers,
                text: String::new(),
                broke: false,
            },
        })
    }

    /// Send the call and read its answer to the end. Panics if there is none within
    /// [`WAIT_TIMEOUT`].
    pub async fn send(&self, host: SocketAddr) -> Answer {
        let answer = self.try_send(host).await;
        answer.unwrap_or_else(|| panic!("{}: no answer", self.key))
    }

    /// Send the call and read its answer; `None` if the connection fails before the
    /// answer's head arrives. Panics if the answer does not end within
    /// [`WAIT_TIMEOUT`].
    pub async fn try_send(&self, host: SocketAddr) -> Option<Answer> {
        let whole = async { Some(self.begin(host).await?.finish().await) };
        let answer = timeout(WAIT_TIMEOUT, whole).await;
        answer.unwrap_or_else(|_| panic!("{}: no end of the answer", self.key))
    }
}

/// An `OpenAnswer` is an answer whose body has not been read to the end.
#[derive(Debug)]
pub struct OpenAnswer {
    body: Incoming,
    pub answer: Answer,
}

impl OpenAnswer {
    /// Read until the answer contains some output of the engine.
    pub async fn read_output(&mut self) {
        while self.answer.text.matches("\"content\"").count() < 3 {
            assert!(self.read_more().await, "{:?}", self.answer);
        }
    }

    /// Read until the body ends or breaks off.
    pub async fn finish(mut self) -> Answer {
        while self.read_more().await {}
        self.answer
    }

    async fn read_more(&mut self) -> bool {
        match timeout(WAIT_TIMEOUT, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                self.answer.text.push_str(&String::from_utf8_lossy(&data));
                true
            }
            Ok(None) => false,
            Ok(Some(Err(_))) | Err(_) => {
                self.answer.broke = true;
                false
            }
        }
    }
}

/// An `Answer` is the part of an answer that a caller has received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub fields: HeaderMap,
    pub text: String,
    /// Whether the connection broke, or stalled beyond [`WAIT_TIMEOUT`].
    pub broke: bool,
}

impl Answer {
    /// Get whether a caller accepts the answer as complete.
    pub fn is_whole(&self) -> bool {
        let stream = !self.is_stream() || self.text.contains("data: [DONE]");
        self.status.is_success() && !self.broke && stream && self.error().is_null()
    }

    /// Get the engine's output.
    pub fn output(&self) -> String {
        let chunks = self.events();
        let piece = |chunk: &Value| chunk["choices"][0]["delta"]["content"].clone();
        let pieces = chunks.iter().map(piece);
        pieces
            .filter_map(|piece| piece.as_str().map(str::to_owned))
            .collect()
    }

    /// Get the error code of a refusal or failure.
    pub fn code(&self) -> String {
        self.error()["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Get whether the request has run, as stated by a refusal.
    pub fn ran(&self) -> String {
        self.error()["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Get the request's id, if the host accepted it.
    pub fn request(&self) -> Option<String> {
        let comment = |line: &str| Some(line.strip_prefix(": bergamot-request ")?.to_owned());
        let early = self.text.lines().find_map(comment);
        let field = || self.fields.get("bergamot-request")?.to_str().ok();
        early.or_else(|| field().map(str::to_owned))
    }

    /// Assert that the output is the complete output of a run of this request, which
    /// the simulated engines derive from the request body.
    pub fn assert_own_output(&self, runs: &[Run], max_tokens: u32) {
        assert!(self.is_whole(), "{self:?}");
        let id = format!("{}-", self.request().expect("request"));
        let own = runs.iter().filter(|run| run.request.starts_with(&id));
        let output = self.output();
        let mut outputs = own.map(|run| engine_output(run, max_tokens));
        assert!(
            outputs.any(|own| own == output),
            "output of another request: {self:?}"
        );
    }

    /// Assert that the output is the complete output of this run.
    pub fn assert_output_of(&self, run: &Run, max_tokens: u32) {
        assert!(self.is_whole(), "{self:?}");
        assert_eq!(self.output(), engine_output(run, max_tokens), "{self:?}");
    }

    /// Get the host incarnation that holds the request, as last reported to the
    /// caller.
    pub fn incarnation(&self) -> String {
        let comment = |line: &str| Some(line.strip_prefix(": bergamot-incarnation ")?.to_owned());
        if let Some(run) = self.text.lines().rev().find_map(comment) {
            return run;
        }
        let field = self.fields.get("bergamot-incarnation");
        let run = field.expect("names its run").to_str();
        run.expect("text").to_owned()
    }

    fn is_stream(&self) -> bool {
        let content_type = self.fields.get("content-type");
        content_type.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
    }

    fn events(&self) -> Vec<Value> {
        let data = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str(data).ok())
            .collect()
    }

    fn error(&self) -> Value {
        let alone = || serde_json::from_str(&self.text).unwrap_or_default();
        let values = match self.is_stream() {
            true => self.events(),
            false => vec![alone()],
        };
        let mut errors = values.iter().map(|value| value["error"].clone());
        errors.find(|error| !error.is_null()).unwrap_or_default()
    }
}

/// Get the output of an engine's run, as `docs/STANDINS.md` defines it.
fn engine_output(run: &Run, max_tokens: u32) -> String {
    let digest = u64::from_str_radix(&run.body, 16).expect("hex");
    let token = |number: u32| {
        let mut seed = digest.to_le_bytes().to_vec();
        seed.extend(number.to_le_bytes());
        format!("{:08x} ", xxh3_64(&seed) as u32)
    };
    (1..=max_tokens).map(token).collect()
}

/// Send calls concurrently and wait for all answers.
pub async fn send_all(calls: Vec<(Call, SocketAddr)>) -> Vec<Option<Answer>> {
    let tasks: Vec<_> = calls
        .into_iter()
        .map(|(call, host)| tokio::spawn(async move { call.try_send(host).await }))
        .collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("call"));
    }
    answers
}

/// Sleep for one polling interval.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}
