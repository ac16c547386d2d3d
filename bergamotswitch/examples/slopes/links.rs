//! Measures the bytes, CPU time and memory of real links on loopback, including
//! the overhead of TCP and tasks.

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
/// The messages that are queued at once, within the bound of a link's queue.
const BATCH_SIZE: usize = 100;
/// The time between two messages of a link with low traffic, long enough to keep
/// TCP from coalescing them.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(3);

/// A `LinkEnd` is the link hub of one host with its event channel.
struct LinkEnd {
    hub: LinkHub,
    inbox: mpsc::UnboundedReceiver<NodeInput>,
    entry: EntryHost,
}

fn link_end(index: usize) -> LinkEnd {
    let listener = StdListener::bind("127.0.0.1:0").expect("cannot bind to loopback");
    let address = listener.local_addr().expect("no local address");
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
    let hub = LinkHub::try_new(identity, listener, LinkOptions::default(), node)
        .expect("cannot create the link hub");
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

/// A `ByteCounter` is a TCP proxy that counts the bytes it forwards.
#[derive(Clone, Default)]
struct ByteCounter {
    forwarded: Arc<AtomicU64>,
    returned: Arc<AtomicU64>,
    /// The number of reads, which approximates the number of segments with data.
    segments: Arc<AtomicU64>,
}

impl ByteCounter {
    fn total(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed) + self.returned.load(Ordering::Relaxed)
    }

    async fn forward(self, listener: TcpListener, to: std::net::SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to)
                .await
                .expect("cannot connect to the host");
            client.set_nodelay(true).expect("cannot set TCP_NODELAY");
            server.set_nodelay(true).expect("cannot set TCP_NODELAY");
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
    LinkMessage::ToOwner(OwnerMessage::PermitRequest(Box::new(ask(sequence, 17))))
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
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind to loopback");
    let mut proxied = ends[1].entry.clone();
    proxied.link_address = listener.local_addr().expect("no local address");
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
    report.slope("TCP payload bytes, one ask at a time, by asks", &points);
    report.figure(
        "  frame of one ask, bytes",
        encoded_len(&message(300)) as f64,
    );
    let (before, segments) = (counter.total(), counter.segments.load(Ordering::Relaxed));
    time::sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let bytes = (counter.total() - before) as f64 / seconds;
    let segments = (counter.segments.load(Ordering::Relaxed) - segments) as f64 / seconds;
    report.figure("idle link: TCP payload bytes/s, both directions", bytes);
    report.figure("idle link: segments/s with data, both directions", segments);
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
        "CPU us, one message at a time, both ends, by messages",
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
    report.slope("CPU us, batches of 100, both ends, by messages", &points);
}

/// A `StarLinks` is one host with links to many others.
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
    report.slope("CPU us/s of idle links, both ends, by links", &points);
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

/// Measure the memory of links.
pub fn measure_memory(report: &SlopeReport) {
    report.section("links, memory in bytes");
    runtime().block_on(measure_resident(report));
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("cannot build the runtime")
}

/// Measure the bytes and CPU time of links.
pub fn measure(report: &SlopeReport) {
    report.section("links on loopback");
    runtime().block_on(async {
        measure_bytes(report).await;
        measure_time(report).await;
        measure_idle_links(report).await;
    });
}
