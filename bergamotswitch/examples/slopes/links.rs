//! Measures real links on loopback: what the codec does not show.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamotswitch_core::host::{EntryHost, HostList};
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::permit::OwnerMessage;
use bergamotswitch_net::input::{HostIdentity, NodeInput};
use bergamotswitch_net::link::codec::encoded_len;
use bergamotswitch_net::link::{LinkHub, LinkOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time;

use crate::fit::Point;
use crate::fixtures::{ask, domain_of, incarnation_of, name};
use crate::probe::{cpu_nanos, resident_bytes};
use crate::report::SlopeReport;

const KEY: &str = "a-link-key-of-some-length";
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Messages that wait at once; the queue of a link has its bound.
const BATCH_SIZE: usize = 100;
/// The pause between two messages of a link with little traffic: longer than
/// what TCP puts together.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(3);

/// A `LinkEnd` is one host's links and what they report.
struct LinkEnd {
    hub: LinkHub,
    inbox: mpsc::UnboundedReceiver<NodeInput>,
    entry: EntryHost,
}

fn link_end(index: usize) -> LinkEnd {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let incarnation = incarnation_of(index);
    let entry = EntryHost {
        capacity: 0,
        name: incarnation.host.clone(),
        domain: name(domain_of(index)),
        caller_address: address,
        link_address: address,
        standing: Default::default(),
    };
    let identity = HostIdentity {
        incarnation,
        domain: entry.domain.clone(),
    };
    let (node, inbox) = mpsc::unbounded_channel();
    let hub = LinkHub::try_new(identity, listener, LinkOptions::default(), node).expect("a hub");
    LinkEnd { hub, inbox, entry }
}

impl LinkEnd {
    async fn wait_until_up(&mut self) {
        while let Some(input) = self.inbox.recv().await {
            if matches!(input, NodeInput::Link(LinkEvent::Up(_))) {
                return;
            }
        }
    }
}

/// A `ByteCounter` forwards a connection and counts what TCP carries.
#[derive(Clone, Default)]
struct ByteCounter {
    forwarded: Arc<AtomicU64>,
    returned: Arc<AtomicU64>,
    /// Reads that brought something: about the segments with data.
    segments: Arc<AtomicU64>,
}

impl ByteCounter {
    fn total(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed) + self.returned.load(Ordering::Relaxed)
    }

    async fn forward(self, listener: TcpListener, to: std::net::SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to).await.expect("the host behind");
            client.set_nodelay(true).expect("an option");
            server.set_nodelay(true).expect("an option");
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            let segments = self.segments.clone();
            tokio::spawn(copy(
                client_in,
                server_out,
                self.forwarded.clone(),
                segments.clone(),
            ));
            tokio::spawn(copy(server_in, client_out, self.returned.clone(), segments));
        }
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
    segments: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(len) = from.read(&mut buffer).await {
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        segments.fetch_add(1, Ordering::Relaxed);
        if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

fn set_host_lists(ends: &mut [LinkEnd]) {
    let hosts = ends.iter().map(|end| end.entry.clone()).collect();
    let list = HostList {
        hosts,
        targets: Vec::new(),
    };
    for end in ends {
        end.hub.set_host_list(&list, KEY);
    }
}

fn message(sequence: u64) -> LinkMessage {
    LinkMessage::ToOwner(OwnerMessage::Ask(Box::new(ask(sequence, 17))))
}

async fn receive(end: &mut LinkEnd, count: usize) {
    let mut left = count;
    while left > 0 {
        match end.inbox.recv().await {
            Some(NodeInput::Link(LinkEvent::Message(..))) => left -= 1,
            Some(_) => {}
            None => return,
        }
    }
}

async fn counted_pair() -> (Vec<LinkEnd>, ByteCounter) {
    let mut ends = vec![link_end(0), link_end(1)];
    set_host_lists(&mut ends);
    let counter = ByteCounter::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut proxied = ends[1].entry.clone();
    proxied.link_address = listener.local_addr().expect("an address");
    tokio::spawn(
        counter
            .clone()
            .forward(listener, ends[1].entry.link_address),
    );
    ends[0].hub.connect(&proxied);
    ends[1].wait_until_up().await;
    ends[0].wait_until_up().await;
    time::sleep(Duration::from_millis(200)).await;
    (ends, counter)
}

async fn measure_bytes(report: &SlopeReport) {
    let (mut ends, counter) = counted_pair().await;
    let mut points = Vec::new();
    for count in [50, 100, 200, 400] {
        let before = counter.total();
        for sequence in 0..count {
            ends[0]
                .hub
                .send(&incarnation_of(1).host, &message(sequence));
            receive(&mut ends[1], 1).await;
            time::sleep(MESSAGE_INTERVAL).await;
        }
        points.push(Point {
            size: count as f64,
            value: (counter.total() - before) as f64,
        });
    }
    report.slope("bytes in TCP, one ask at a time, by asks", &points);
    report.figure(
        "  frame of such an ask, bytes",
        encoded_len(&message(300)) as f64,
    );
    let (before, segments) = (counter.total(), counter.segments.load(Ordering::Relaxed));
    time::sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let bytes = (counter.total() - before) as f64 / seconds;
    let segments = (counter.segments.load(Ordering::Relaxed) - segments) as f64 / seconds;
    report.figure("idle link: bytes/s in TCP, both ways", bytes);
    report.figure("idle link: segments/s with data, both ways", segments);
}

async fn measure_time(report: &SlopeReport) {
    let mut ends = vec![link_end(2), link_end(3)];
    set_host_lists(&mut ends);
    let remote = ends[1].entry.clone();
    ends[0].hub.connect(&remote);
    ends[1].wait_until_up().await;
    ends[0].wait_until_up().await;
    let mut points = Vec::new();
    for count in [1_000, 2_000, 4_000, 8_000] {
        let cpu_start = cpu_nanos();
        for sequence in 0..count {
            ends[0].hub.send(&remote.name, &message(sequence));
            receive(&mut ends[1], 1).await;
        }
        points.push(Point {
            size: count as f64,
            value: (cpu_nanos() - cpu_start) as f64 / 1e3,
        });
    }
    report.slope(
        "processor us, one message at a time, both ends, by messages",
        &points,
    );
    let mut points = Vec::new();
    for count in [2_000, 4_000, 8_000, 16_000] {
        let cpu_start = cpu_nanos();
        for sequence in 0..count {
            ends[0].hub.send(&remote.name, &message(sequence));
            if (sequence as usize + 1).is_multiple_of(BATCH_SIZE) {
                receive(&mut ends[1], BATCH_SIZE).await;
            }
        }
        points.push(Point {
            size: count as f64,
            value: (cpu_nanos() - cpu_start) as f64 / 1e3,
        });
    }
    report.slope(
        "processor us, a hundred at a time, both ends, by messages",
        &points,
    );
}

/// A `StarLinks` is one host with links to many.
struct StarLinks {
    ends: Vec<LinkEnd>,
    linked: usize,
}

impl StarLinks {
    fn new(max_links: usize) -> Self {
        let mut ends: Vec<LinkEnd> = (0..=max_links).map(|index| link_end(index + 10)).collect();
        set_host_lists(&mut ends);
        StarLinks { ends, linked: 0 }
    }

    async fn grow(&mut self, size: usize) {
        let center = self.ends[0].entry.clone();
        for remote in &mut self.ends[self.linked + 1..=size] {
            remote.hub.connect(&center);
            remote.wait_until_up().await;
        }
        self.linked = size;
        time::sleep(Duration::from_millis(300)).await;
    }
}

const LINK_COUNTS: [usize; 4] = [20, 60, 90, 120];

async fn measure_idle_links(report: &SlopeReport) {
    let mut star = StarLinks::new(LINK_COUNTS[LINK_COUNTS.len() - 1]);
    let span = IDLE_TIME / 3;
    let mut points = Vec::new();
    for size in LINK_COUNTS {
        star.grow(size).await;
        let cpu_start = cpu_nanos();
        time::sleep(span).await;
        let cpu_micros = (cpu_nanos() - cpu_start) as f64 / 1e3;
        points.push(Point {
            size: size as f64,
            value: cpu_micros / span.as_secs_f64(),
        });
    }
    report.slope("processor us/s of idle links, both ends, by links", &points);
}

async fn measure_resident(report: &SlopeReport) {
    let mut star = StarLinks::new(LINK_COUNTS[LINK_COUNTS.len() - 1]);
    let before = resident_bytes();
    let mut points = Vec::new();
    for size in LINK_COUNTS {
        star.grow(size).await;
        points.push(Point {
            size: size as f64,
            value: (resident_bytes() - before) as f64,
        });
    }
    report.slope("resident bytes, both ends, by links", &points);
}

/// Measure the memory.
pub fn measure_memory(report: &SlopeReport) {
    report.section("links, memory in bytes");
    runtime().block_on(measure_resident(report));
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Measure.
pub fn measure(report: &SlopeReport) {
    report.section("links on loopback");
    runtime().block_on(async {
        measure_bytes(report).await;
        measure_time(report).await;
        measure_idle_links(report).await;
    });
}
