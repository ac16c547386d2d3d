//! Provides a host whose event loop the test simulates, and an HTTP client.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::client_account::KeyHash;
use bergamotswitch_core::entry::{Submission, SubmitOutcome};
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::request::RequestId;
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::caller::{CallerContext, CallerOptions, HttpServer, serve};
use bergamotswitch_net::input::{HostIdentity, NodeInput, OutgoingCall, SubmissionReply};
use bergamotswitch_net::metrics::NodeMetrics;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// The demo account's bearer key.
pub const KEY: &str = "volunteer-key";

/// The timeout of each wait of a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait for a future, and panic if the timeout passes.
pub async fn within_timeout<T>(wait: impl Future<Output = T>) -> T {
    timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("completed before the timeout")
}

/// A `FakeHost` is a host whose event loop the test simulates.
pub struct FakeHost {
    pub server: HttpServer,
    pub incarnation: HostIncarnation,
    pub inbox: mpsc::UnboundedReceiver<NodeInput>,
    pub metrics: Arc<NodeMetrics>,
    publication: watch::Sender<Arc<Publication>>,
}

/// A `SubmittedRequest` is a request as it was submitted to the event loop.
pub struct SubmittedRequest {
    pub submission: Submission,
    pub call: OutgoingCall,
    pub reply: oneshot::Sender<SubmissionReply>,
}

impl FakeHost {
    /// Start a host without published values.
    pub fn start(name: &str) -> Self {
        FakeHost::start_with(name, CallerOptions::default())
    }

    /// Start a host with the given options and without published values.
    pub fn start_with(name: &str, opts: CallerOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (node, inbox) = mpsc::unbounded_channel();
        let (publication, publication_receiver) = watch::channel(Arc::default());
        let incarnation = HostIncarnation {
            host: HostName::try_from(name).expect("a name"),
            incarnation: Incarnation(0xabc),
        };
        let metrics = Arc::new(NodeMetrics::new());
        let context = CallerContext {
            node,
            publication: publication_receiver,
            this_host: HostIdentity {
                incarnation: incarnation.clone(),
                domain: DomainName::try_from("sanjuan").expect("a name"),
            },
            metrics: Arc::clone(&metrics),
            opts,
        };
        FakeHost {
            server: serve(listener, context).expect("a server"),
            incarnation,
            inbox,
            metrics,
            publication,
        }
    }

    /// Start a host that has every published value, with `hosts` in its host
    /// list.
    pub fn ready(name: &str, hosts: &[(&str, SocketAddr)]) -> Self {
        let host = FakeHost::start(name);
        host.publish(hosts);
        host
    }

    /// Publish all values, with this host and `hosts` in the host list.
    pub fn publish(&self, hosts: &[(&str, SocketAddr)]) {
        let mut listed = vec![(self.incarnation.host.as_str(), self.server.address())];
        listed.extend_from_slice(hosts);
        let mut publication = Publication::default();
        for (name, body) in published_values(&listed) {
            let value = PublishedValue {
                name: ValueName::try_from(name).expect("a name"),
                revision: Revision(1),
                body: body.to_string(),
            };
            publication.apply(&value).expect("a valid value");
        }
        self.publication.send_replace(Arc::new(publication));
    }

    pub async fn input(&mut self) -> NodeInput {
        within_timeout(self.inbox.recv()).await.expect("an input")
    }

    pub async fn submitted(&mut self) -> SubmittedRequest {
        match self.input().await {
            NodeInput::Submit {
                submission,
                call,
                reply,
            } => SubmittedRequest {
                submission: *submission,
                call: *call,
                reply,
            },
            other => panic!("not a submission: {other:?}"),
        }
    }

    pub async fn submitted_reply(&mut self) -> oneshot::Sender<SubmissionReply> {
        self.submitted().await.reply
    }

    /// Get the id of this host's request with the given sequence number.
    pub fn id(&self, sequence: u64) -> RequestId {
        RequestId {
            incarnation: self.incarnation.incarnation,
            sequence,
        }
    }

    /// Accept the next request and get the writer of its answer.
    pub async fn accept_next(&mut self) -> AnswerWriter {
        let reply = self.submitted_reply().await;
        self.accept(reply)
    }

    /// Accept a request and get the writer of its answer.
    pub fn accept(&self, reply: oneshot::Sender<SubmissionReply>) -> AnswerWriter {
        let writer = AnswerWriter::new();
        let received = SubmissionReply {
            outcome: SubmitOutcome::Accepted(self.id(1)),
            answer: Some(writer.reader()),
        };
        reply.send(received).expect("a caller that waits");
        writer
    }
}

fn published_values(hosts: &[(&str, SocketAddr)]) -> [(&'static str, Value); 5] {
    let hosts: Vec<Value> = hosts
        .iter()
        .enumerate()
        .map(|(index, (name, address))| {
            let link = format!("127.0.0.1:{}", 10 + index);
            json!({
                "name": name, "domain": "sanjuan",
                "caller_address": address, "link_address": link,
            })
        })
        .collect();
    // Nothing connects to the addresses of targets and links.
    let target = |name: &str, port: u16| {
        let address = format!("127.0.0.1:{port}");
        json!([{"name": name, "domain": "sanjuan", "address": address}])
    };
    let rules = json!([
        {
            "name": "report", "when": {"pools": ["bolido-llm"], "work": ["report"]},
            "then": {"tier": 0, "dispatch_once": true, "idempotent": false, "deadline_ms": 60000},
        },
        {
            "name": "tags", "when": {"pools": ["bolido-llm", "red-app"]},
            "then": {"tier": 2, "idempotent": true, "deadline_ms": 60000},
        },
    ]);
    let key_hash = |key: &str| String::from(KeyHash::of(key));
    [
        ("rules", json!({"rules": rules})),
        (
            "accounts",
            json!({"accounts": [{"name": "volunteers", "key_hash": key_hash(KEY)}]}),
        ),
        (
            "pools",
            json!({"pools": [
                {"name": "bolido-llm", "kind": "engine", "targets": target("bolido-1", 2)},
                {"name": "red-app", "kind": "plain", "targets": target("app-1", 3)},
                {"name": "unruled", "kind": "engine", "targets": target("unruled-1", 4)},
            ]}),
        ),
        ("limits", json!({"max_body_bytes": 16384})),
        ("hosts", json!({"hosts": hosts})),
    ]
}

/// Get a chat request with additional header fields.
pub fn chat(stream: bool, fields: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let body = json!({
        "model": "bolido-llm", "stream": stream, "max_tokens": 40, "seed": 7,
        "messages": [{"role": "user", "content": "Where did it fall?"}],
    });
    post("/v1/chat/completions", &body.to_string(), fields)
}

/// Get a POST request with the demo account's key.
pub fn post(path: &str, body: &str, fields: &[(&str, &str)]) -> Request<Full<Bytes>> {
    with_fields(Request::post(path), body, fields)
}

/// Get a GET request with the demo account's key.
pub fn get(path: &str, fields: &[(&str, &str)]) -> Request<Full<Bytes>> {
    with_fields(Request::get(path), "", fields)
}

fn with_fields(
    mut builder: http::request::Builder,
    body: &str,
    fields: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    builder = builder.header("host", "test");
    if !fields.iter().any(|(name, _)| *name == "authorization") {
        builder = builder.header("authorization", format!("Bearer {KEY}"));
    }
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    builder.body(body).expect("a request")
}

/// Send a request over a new connection. Dropping the answer, or the future,
/// closes the connection.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    sender.send_request(request).await.expect("an answer")
}

/// Send a request over a new HTTP/2 connection.
pub async fn send_h2(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    sender.send_request(request).await.expect("an answer")
}

/// A `ReadAnswer` is an answer that was read to its end.
pub struct ReadAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
}

impl ReadAnswer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }

    pub fn field(&self, name: &str) -> &str {
        self.headers[name].to_str().expect("a text")
    }
}

/// Read an answer to its end.
pub async fn read(response: Response<Incoming>) -> ReadAnswer {
    let (parts, body) = response.into_parts();
    let body = within_timeout(body.collect())
        .await
        .expect("a complete body");
    ReadAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        text: String::from_utf8(body.to_bytes().to_vec()).expect("a text"),
    }
}

/// Send a request and read its answer in a separate task.
pub fn spawn_call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<ReadAnswer> {
    tokio::spawn(async move { read(send(address, request).await).await })
}

/// Read the next chunk of a body.
pub async fn next_chunk(body: &mut Incoming) -> String {
    let frame = within_timeout(body.frame()).await.expect("a chunk");
    let data = frame.expect("a complete chunk").into_data();
    String::from_utf8(data.expect("data").to_vec()).expect("a text")
}

pub fn stream_head() -> AnswerPart {
    head(200, "text/event-stream")
}

pub fn head(status: u16, content_type: &str) -> AnswerPart {
    AnswerPart::Head {
        fields: HeaderMap::new(),
        status,
        content_type: content_type.to_owned(),
    }
}

pub fn data(value: &Value) -> AnswerPart {
    AnswerPart::Data(Bytes::from(value.to_string()))
}

/// Get a chat completion chunk with the given text.
pub fn chunk(text: &str) -> AnswerPart {
    data(&json!({
        "id": "chat-1", "object": "chat.completion.chunk", "model": "bolido-llm",
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    }))
}
