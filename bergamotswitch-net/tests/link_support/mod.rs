//! Provides test hosts with links, a proxy that can be cut, and a peer that speaks
//! the raw protocol.

#![allow(dead_code)] // No test file uses all of these helpers.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamotswitch_core::host::{EntryHost, HostIncarnation, HostList, Incarnation};
use bergamotswitch_core::link::{Heartbeat, LinkEvent, LinkMessage};
use bergamotswitch_net::input::{HostIdentity, NodeInput};
use bergamotswitch_net::link::handshake::{Hello, HelloPair, LinkKey, LinkRole};
use bergamotswitch_net::link::{LinkHub, LinkOptions};
use bytes::Bytes;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time;

pub const KEY: &str = "a shared key of the tests";

/// The timeout of each step, far above its duration on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait to verify that no further event arrives.
pub const NO_EVENT_PERIOD: Duration = Duration::from_millis(400);

pub fn fast_options() -> LinkOptions {
    LinkOptions::default()
        .with_ping_interval(Duration::from_millis(100))
        .with_ping_timeout(Duration::from_millis(400))
        .with_backoff(Duration::from_millis(10), Duration::from_millis(100))
}

pub struct TestHost {
    pub hub: LinkHub,
    pub inbox: mpsc::UnboundedReceiver<NodeInput>,
    pub entry: EntryHost,
    pub incarnation: HostIncarnation,
}

pub fn host_with(name: &str, number: u128, opts: LinkOptions) -> TestHost {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let incarnation = HostIncarnation {
        host: name.try_into().unwrap(),
        incarnation: Incarnation(number),
    };
    let identity = HostIdentity {
        incarnation: incarnation.clone(),
        domain: "mza-norte".try_into().unwrap(),
    };
    let (node, inbox) = mpsc::unbounded_channel();
    let entry = EntryHost {
        capacity: 0,
        name: incarnation.host.clone(),
        domain: identity.domain.clone(),
        caller_address: address,
        link_address: address,
        standing: Default::default(),
    };
    TestHost {
        hub: LinkHub::try_new(identity, listener, opts, node).unwrap(),
        inbox,
        entry,
        incarnation,
    }
}

pub fn host(name: &str, number: u128) -> TestHost {
    host_with(name, number, fast_options())
}

pub fn host_list(hosts: &[&TestHost]) -> HostList {
    HostList {
        hosts: hosts.iter().map(|host| host.entry.clone()).collect(),
        targets: Vec::new(),
    }
}

pub fn pair() -> (TestHost, TestHost) {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    (a, b)
}

pub fn heartbeat(sequence: u64) -> LinkMessage {
    LinkMessage::Heartbeat(Heartbeat {
        sequence,
        heard: 0,
        stopping: false,
        load_permille: 0,
    })
}

impl TestHost {
    pub async fn event(&mut self) -> LinkEvent {
        let input = time::timeout(TIMEOUT, self.inbox.recv()).await;
        match input.expect("an event in time") {
            Some(NodeInput::Link(event)) => event,
            other => panic!("unexpected {other:?}"),
        }
    }

    pub async fn expect(&mut self, event: LinkEvent) {
        assert_eq!(self.event().await, event);
    }

    pub async fn expect_no_event(&mut self) {
        if let Ok(event) = time::timeout(NO_EVENT_PERIOD, self.inbox.recv()).await {
            panic!("unexpected {event:?}");
        }
    }

    pub async fn wait_until(&mut self, what: &str, mut met: impl FnMut(&mut LinkHub) -> bool) {
        let started = Instant::now();
        while !met(&mut self.hub) {
            assert!(started.elapsed() < TIMEOUT, "{what}: not met in time");
            time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A `TestProxy` forwards connections to an upstream host. After a cut, connections
/// opened before it stay open but forward nothing, not even a close. Without an
/// upstream, new connections are closed immediately.
pub struct TestProxy {
    pub address: SocketAddr,
    pub upstream: watch::Sender<Option<SocketAddr>>,
    pub cut: watch::Sender<u64>,
    pub opened: Arc<AtomicU64>,
    pub forwarded: Arc<AtomicU64>,
}

impl TestProxy {
    pub async fn start(upstream: Option<SocketAddr>) -> Self {
        TestProxy::start_slow(upstream, Duration::ZERO).await
    }

    /// Start a proxy that delays the data from the upstream host.
    pub async fn start_slow(upstream: Option<SocketAddr>, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (cut, cuts) = watch::channel(0);
        let (upstream, current_upstream) = watch::channel(upstream);
        let (opened, forwarded) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (count, bytes) = (Arc::clone(&opened), Arc::clone(&forwarded));
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::Relaxed) + 1;
                let Some(upstream) = *current_upstream.borrow() else {
                    continue;
                };
                let server = TcpStream::connect(upstream).await.unwrap();
                client.set_nodelay(true).unwrap();
                server.set_nodelay(true).unwrap();
                let (client_reader, client_writer) = client.into_split();
                let (server_reader, server_writer) = server.into_split();
                let directions = [
                    (client_reader, server_writer, Duration::ZERO),
                    (server_reader, client_writer, delay),
                ];
                for (reader, writer, delay) in directions {
                    let cuts = cuts.clone();
                    let bytes = Arc::clone(&bytes);
                    let direction = forward(reader, writer, number, delay, cuts, bytes);
                    tokio::spawn(direction);
                }
            }
        });
        TestProxy {
            address,
            upstream,
            cut,
            opened,
            forwarded,
        }
    }

    pub fn cut(&self) {
        self.cut.send_replace(self.opened.load(Ordering::Relaxed));
    }

    /// Get the entry of a host with the proxy's address.
    pub fn entry_of(&self, host: &TestHost) -> EntryHost {
        EntryHost {
            link_address: self.address,
            ..host.entry.clone()
        }
    }
}

pub async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    number: u64,
    delay: Duration,
    mut cuts: watch::Receiver<u64>,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = [0; 4096];
    loop {
        let read = tokio::select! {
            biased;
            _ = cuts.wait_for(|cut| *cut >= number) => None,
            len = reader.read(&mut buffer) => Some(len.unwrap_or(0)),
        };
        // Both ends stay open while this future is pending.
        let Some(len) = read else {
            return std::future::pending().await;
        };
        time::sleep(delay).await;
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        if len == 0 || writer.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

/// A `RawPeer` is a peer that speaks the raw protocol, to send what no hub would.
pub struct RawPeer {
    pub requests: SendRequest<Bytes>,
    pub hello: Hello,
    /// The header field that the hello omits, empty for none.
    pub omitted_field: &'static str,
}

impl RawPeer {
    pub async fn connect(to: &TestHost, name: &str, number: u128) -> Self {
        let stream = TcpStream::connect(to.entry.link_address).await.unwrap();
        let (requests, connection) = h2::client::handshake(stream).await.unwrap();
        tokio::spawn(connection);
        let incarnation = HostIncarnation {
            host: name.try_into().unwrap(),
            incarnation: Incarnation(number),
        };
        RawPeer {
            requests,
            hello: Hello::new(&incarnation),
            omitted_field: "",
        }
    }

    pub async fn send_request(
        &mut self,
        method: Method,
        fields: HeaderMap,
    ) -> (Response<RecvStream>, SendStream<Bytes>) {
        let mut request = Request::new(());
        *request.uri_mut() = "http://link/link".parse().unwrap();
        *request.headers_mut() = fields;
        let end = method == Method::GET;
        *request.method_mut() = method;
        let (answer, writer) = self.requests.send_request(request, end).unwrap();
        let answer = time::timeout(TIMEOUT, answer).await.unwrap().unwrap();
        (answer, writer)
    }

    pub async fn send_hello(&mut self) -> Response<RecvStream> {
        let mut fields = HeaderMap::new();
        self.hello.write(&mut fields);
        if !self.omitted_field.is_empty() {
            fields.remove(self.omitted_field);
        }
        self.send_request(Method::GET, fields).await.0
    }

    pub async fn authenticate(&mut self, key: &str) -> (Response<RecvStream>, SendStream<Bytes>) {
        let answer = self.send_hello().await;
        let pair = HelloPair {
            dialler: self.hello.clone(),
            acceptor: Hello::read(answer.headers()).unwrap(),
        };
        let mut fields = HeaderMap::new();
        pair.write_proof(&LinkKey::new(key), LinkRole::Dialler, &mut fields);
        self.send_request(Method::POST, fields).await
    }
}

pub async fn body_text(answer: Response<RecvStream>) -> String {
    let mut body = answer.into_body();
    let data = time::timeout(TIMEOUT, body.data()).await.unwrap();
    String::from_utf8(data.unwrap().unwrap().to_vec()).unwrap()
}
