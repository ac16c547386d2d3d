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
use crate::probe::{cpu_nanos, resident_bytes};
use crate::sheet::SlopeSheet;
use crate::world::{ask, domain_of, name, run_of};

const KEY: &str = "a-link-key-of-some-length";
const IDLE: Duration = Duration::from_secs(6);
/// Messages that wait at once; the queue of a link has its bound.
const BATCH: usize = 100;
/// The pause between two messages of a link with little traffic: longer than
/// what TCP puts together.
const SPACING: Duration = Duration::from_millis(3);

/// A `LinkEnd` is one host's links and what they report.
struct LinkEnd {
    hub: LinkHub,
    inbox: mpsc::UnboundedReceiver<NodeInput>,
    entry: EntryHost,
}

fn end(index: usize) -> LinkEnd {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let run = run_of(index);
    let entry = EntryHost {
        capacity: 0,
        name: run.host.clone(),
        domain: name(domain_of(index)),
        caller_address: address,
        link_address: address,
        standing: Default::default(),
    };
    let me = HostIdentity {
        incarnation: run,
        domain: entry.domain.clone(),
    };
    let (node, inbox) = mpsc::unbounded_channel();
    let hub = LinkHub::try_new(me, listener, LinkOptions::default(), node).expect("a hub");
    LinkEnd { hub, inbox, entry }
}

impl LinkEnd {
    async fn until_up(&mut self) {
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
    there: Arc<AtomicU64>,
    back: Arc<AtomicU64>,
    /// Reads that brought something: about the segments with data.
    pieces: Arc<AtomicU64>,
}

impl ByteCounter {
    fn total(&self) -> u64 {
        self.there.load(Ordering::Relaxed) + self.back.load(Ordering::Relaxed)
    }

    async fn forward(self, listener: TcpListener, to: std::net::SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.expect("the host behind");
            near.set_nodelay(true).expect("an option");
            far.set_nodelay(true).expect("an option");
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let pieces = self.pieces.clone();
            tokio::spawn(copy(near_in, far_out, self.there.clone(), pieces.clone()));
            tokio::spawn(copy(far_in, near_out, self.back.clone(), pieces));
        }
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
    pieces: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(len) = from.read(&mut buffer).await {
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        pieces.fetch_add(1, Ordering::Relaxed);
        if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

fn roster(ends: &mut [LinkEnd]) {
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
    let mut ends = vec![end(0), end(1)];
    roster(&mut ends);
    let counter = ByteCounter::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut through = ends[1].entry.clone();
    through.link_address = listener.local_addr().expect("an address");
    tokio::spawn(
        counter
            .clone()
            .forward(listener, ends[1].entry.link_address),
    );
    ends[0].hub.connect(&through);
    ends[1].until_up().await;
    ends[0].until_up().await;
    time::sleep(Duration::from_millis(200)).await;
    (ends, counter)
}

async fn measure_bytes(sheet: &SlopeSheet) {
    let (mut ends, counter) = counted_pair().await;
    let mut points = Vec::new();
    for count in [50, 100, 200, 400] {
        let before = counter.total();
        for sequence in 0..count {
            ends[0].hub.send(&run_of(1).host, &message(sequence));
            receive(&mut ends[1], 1).await;
            time::sleep(SPACING).await;
        }
        points.push(Point {
            size: count as f64,
            value: (counter.total() - before) as f64,
        });
    }
    sheet.slope("bytes in TCP, one ask at a time, by asks", &points);
    sheet.figure(
        "  frame of such an ask, bytes",
        encoded_len(&message(300)) as f64,
    );
    let (before, pieces) = (counter.total(), counter.pieces.load(Ordering::Relaxed));
    time::sleep(IDLE).await;
    let seconds = IDLE.as_secs_f64();
    let bytes = (counter.total() - before) as f64 / seconds;
    let pieces = (counter.pieces.load(Ordering::Relaxed) - pieces) as f64 / seconds;
    sheet.figure("idle link: bytes/s in TCP, both ways", bytes);
    sheet.figure("idle link: segments/s with data, both ways", pieces);
}

async fn measure_time(sheet: &SlopeSheet) {
    let mut ends = vec![end(2), end(3)];
    roster(&mut ends);
    let far = ends[1].entry.clone();
    ends[0].hub.connect(&far);
    ends[1].until_up().await;
    ends[0].until_up().await;
    let mut points = Vec::new();
    for count in [1_000, 2_000, 4_000, 8_000] {
        let began = cpu_nanos();
        for sequence in 0..count {
            ends[0].hub.send(&far.name, &message(sequence));
            receive(&mut ends[1], 1).await;
        }
        points.push(Point {
            size: count as f64,
            value: (cpu_nanos() - began) as f64 / 1e3,
        });
    }
    sheet.slope(
        "processor us, one message at a time, both ends, by messages",
        &points,
    );
    let mut points = Vec::new();
    for count in [2_000, 4_000, 8_000, 16_000] {
        let began = cpu_nanos();
        for sequence in 0..count {
            ends[0].hub.send(&far.name, &message(sequence));
            if (sequence as usize + 1).is_multiple_of(BATCH) {
                receive(&mut ends[1], BATCH).await;
            }
        }
        points.push(Point {
            size: count as f64,
            value: (cpu_nanos() - began) as f64 / 1e3,
        });
    }
    sheet.slope(
        "processor us, a hundred at a time, both ends, by messages",
        &points,
    );
}

/// A `ManyLinks` is one host with links to many.
struct ManyLinks {
    ends: Vec<LinkEnd>,
    linked: usize,
}

impl ManyLinks {
    fn new(most: usize) -> Self {
        let mut ends: Vec<LinkEnd> = (0..=most).map(|index| end(index + 10)).collect();
        roster(&mut ends);
        ManyLinks { ends, linked: 0 }
    }

    async fn grow(&mut self, size: usize) {
        let middle = self.ends[0].entry.clone();
        for far in &mut self.ends[self.linked + 1..=size] {
            far.hub.connect(&middle);
            far.until_up().await;
        }
        self.linked = size;
        time::sleep(Duration::from_millis(300)).await;
    }
}

const LINK_COUNTS: [usize; 4] = [20, 60, 90, 120];

async fn measure_many(sheet: &SlopeSheet) {
    let mut many = ManyLinks::new(LINK_COUNTS[LINK_COUNTS.len() - 1]);
    let span = IDLE / 3;
    let mut points = Vec::new();
    for size in LINK_COUNTS {
        many.grow(size).await;
        let began = cpu_nanos();
        time::sleep(span).await;
        let spent = (cpu_nanos() - began) as f64 / 1e3;
        points.push(Point {
            size: size as f64,
            value: spent / span.as_secs_f64(),
        });
    }
    sheet.slope("processor us/s of idle links, both ends, by links", &points);
}

async fn measure_resident(sheet: &SlopeSheet) {
    let mut many = ManyLinks::new(LINK_COUNTS[LINK_COUNTS.len() - 1]);
    let before = resident_bytes();
    let mut points = Vec::new();
    for size in LINK_COUNTS {
        many.grow(size).await;
        points.push(Point {
            size: size as f64,
            value: (resident_bytes() - before) as f64,
        });
    }
    sheet.slope("resident bytes, both ends, by links", &points);
}

/// Measure the memory.
pub fn measure_memory(sheet: &SlopeSheet) {
    sheet.part("links, memory in bytes");
    runtime().block_on(measure_resident(sheet));
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Measure.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("links on loopback");
    runtime().block_on(async {
        measure_bytes(sheet).await;
        measure_time(sheet).await;
        measure_many(sheet).await;
    });
}
