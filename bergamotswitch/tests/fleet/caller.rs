//! Callers of a fleet: they read an answer bit by bit, and keep what they
//! have when its host dies.

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

/// A call; the constants below are the kinds of work.
#[derive(Clone, Debug)]
pub struct Call {
    pub work: &'static str,
    pub account: &'static str,
    /// Pool and path of a plain service; an engine's call where absent.
    pub service: Option<&'static str>,
    pub streaming: bool,
    pub max_tokens: u32,
    pub key: String,
    pub incarnation: Option<String>,
    pub resubmission: bool,
    pub deadline_ms: Option<u64>,
}

impl Call {
    /// A trajectory report: dispatched once, tier 1.
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

    /// A dawn report: idempotent, tier 0.
    pub fn dawn(key: &str, max_tokens: u32) -> Self {
        let (work, account) = ("dawn-report", "red-austral-demo-observatorio-pampa");
        Call {
            work,
            account,
            ..Call::report(key, max_tokens)
        }
    }

    /// A sky log: idempotent, tier 5, not streamed, so that it may be stopped
    /// for work of a higher tier.
    pub fn sky_log(key: &str, max_tokens: u32) -> Self {
        let (work, account) = ("sky-log-summary", "red-austral-demo-observatorio-laguna");
        Call {
            work,
            account,
            streaming: false,
            ..Call::report(key, max_tokens)
        }
    }

    /// A crew alert: not idempotent, tier 0.
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

    /// Send the call and wait for the answer's head; none where there is no
    /// connection or it breaks before.
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

    /// Send the call and read its answer to the end. Panics where there is
    /// none within the patience of the tests.
    pub async fn send(&self, host: SocketAddr) -> Answer {
        let answer = self.try_send(host).await;
        answer.unwrap_or_else(|| panic!("{}: no answer", self.key))
    }

    /// Send the call and read its answer; none where the connection breaks
    /// before the answer's head.
    pub async fn try_send(&self, host: SocketAddr) -> Option<Answer> {
        let whole = async { Some(self.begin(host).await?.finish().await) };
        let answer = timeout(WAIT_TIMEOUT, whole).await;
        answer.unwrap_or_else(|_| panic!("{}: no end of the answer", self.key))
    }
}

/// An answer of which more may come.
#[derive(Debug)]
pub struct OpenAnswer {
    body: Incoming,
    pub answer: Answer,
}

impl OpenAnswer {
    /// Read until the answer holds some output of the engine.
    pub async fn read_output(&mut self) {
        while self.answer.text.matches("\"content\"").count() < 3 {
            assert!(self.read_more().await, "{:?}", self.answer);
        }
    }

    /// Read to the end, or to the break.
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

/// What a caller has of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub fields: HeaderMap,
    pub text: String,
    /// Whether the connection broke, or was silent for too long.
    pub broke: bool,
}

impl Answer {
    /// Get whether a caller takes the answer for whole.
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

    /// Get the refusal's or failure's code.
    pub fn code(&self) -> String {
        self.error()["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Get what a refusal says of the run.
    pub fn ran(&self) -> String {
        self.error()["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Get the request's id, where it was accepted.
    pub fn request(&self) -> Option<String> {
        let comment = |line: &str| Some(line.strip_prefix(": bergamot-request ")?.to_owned());
        let early = self.text.lines().find_map(comment);
        let field = || self.fields.get("bergamot-request")?.to_str().ok();
        early.or_else(|| field().map(str::to_owned))
    }

    /// Check that the output is the whole one of one run of this very
    /// request, by what the stand-ins' engines make of its body.
    pub fn assert_own_output(&self, runs: &[Run], max_tokens: u32) {
        assert!(self.is_whole(), "{self:?}");
        let id = format!("{}-", self.request().expect("request"));
        let own = runs.iter().filter(|run| run.request.starts_with(&id));
        let output = self.output();
        let mut outputs = own.map(|run| engine_output(run, max_tokens));
        assert!(outputs.any(|own| own == output), "not its own: {self:?}");
    }

    /// Check that the output is the whole one of this run.
    pub fn assert_output_of(&self, run: &Run, max_tokens: u32) {
        assert!(self.is_whole(), "{self:?}");
        assert_eq!(self.output(), engine_output(run, max_tokens), "{self:?}");
    }

    /// Get the run that holds the request, as the caller was told last.
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

/// Get what an engine puts out in a run, as docs/STANDINS.md defines it.
fn engine_output(run: &Run, max_tokens: u32) -> String {
    let digest = u64::from_str_radix(&run.body, 16).expect("hex");
    let token = |number: u32| {
        let mut seed = digest.to_le_bytes().to_vec();
        seed.extend(number.to_le_bytes());
        format!("{:08x} ", xxh3_64(&seed) as u32)
    };
    (1..=max_tokens).map(token).collect()
}

/// Send calls together and wait for all.
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

/// A moment to look again after.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}
