//! Tests of links between hosts over sockets.

mod link_support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bergamotswitch_core::host::{HostIncarnation, HostList, HostName, Incarnation};
use bergamotswitch_core::link::{LinkEvent, LinkMessage};
use bergamotswitch_core::permit::{OwnerMessage, QuotaLevel};
use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::revision::{PublishedValue, Revision, RevisionMessage};
use bergamotswitch_net::input::NodeInput;
use bergamotswitch_net::link::codec::{self, FrameReader};
use bergamotswitch_net::link::counters::MessageKind;
use bergamotswitch_net::link::handshake::{Hello, HelloPair, LinkKey, LinkRole, PeerRefusal};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use link_support::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time;

#[tokio::test]
async fn messages_in_order() {
    let (mut a, mut b) = pair();
    assert!(!a.hub.send(&b.incarnation.host, &heartbeat(0)));
    a.hub.connect(&b.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    for sequence in 0..2_000 {
        assert!(a.hub.send(&b.incarnation.host, &heartbeat(sequence)));
        assert!(b.hub.send(&a.incarnation.host, &heartbeat(sequence)));
    }
    for sequence in 0..2_000 {
        a.expect(LinkEvent::Message(
            b.incarnation.clone(),
            heartbeat(sequence),
        ))
        .await;
        b.expect(LinkEvent::Message(
            a.incarnation.clone(),
            heartbeat(sequence),
        ))
        .await;
    }
    // Values of about the maximum size, above any HTTP/2 window, in both directions.
    let value = LinkMessage::Revision(RevisionMessage::Whole(PublishedValue {
        name: "rules".try_into().unwrap(),
        revision: Revision(1),
        body: "x".repeat(1 << 20),
    }));
    for _ in 0..2 {
        assert!(a.hub.send(&b.incarnation.host, &value));
        assert!(b.hub.send(&a.incarnation.host, &value));
    }
    for _ in 0..2 {
        a.expect(LinkEvent::Message(b.incarnation.clone(), value.clone()))
            .await;
        b.expect(LinkEvent::Message(a.incarnation.clone(), value.clone()))
            .await;
    }
    let counters = a.hub.counters();
    let sent = counters.sent.of(MessageKind::Heartbeat);
    let received = b.hub.counters().received;
    assert_eq!((sent.messages, counters.dropped), (2_000, 1));
    assert_eq!(received.of(MessageKind::Heartbeat), sent);
    assert_eq!(received.total(), counters.sent.total());
    assert_eq!(received.of(MessageKind::Whole).messages, 2);

    a.hub.disconnect(&b.incarnation.host);
    a.expect(LinkEvent::Down(b.incarnation.clone())).await;
    b.expect(LinkEvent::Down(a.incarnation.clone())).await;
    a.expect_no_event().await;
}

#[tokio::test]
async fn bytes_on_wire() {
    let (mut a, mut b) = pair();
    let proxy = TestProxy::start(Some(b.entry.link_address)).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let handshake = proxy.forwarded.load(Ordering::Relaxed);
    println!("handshake: about {handshake} bytes in both directions");
    for sequence in 0..200 {
        assert!(a.hub.send(&b.incarnation.host, &heartbeat(sequence)));
        b.expect(LinkEvent::Message(
            a.incarnation.clone(),
            heartbeat(sequence),
        ))
        .await;
    }
    let bytes = proxy.forwarded.load(Ordering::Relaxed) - handshake;
    let frame = codec::encoded_len(&heartbeat(100)) as u64;
    println!(
        "single message: {} bytes on TCP, {frame} of them its frame",
        bytes / 200
    );
    // An HTTP/2 frame header has 9 bytes; a PING or window update may add some.
    assert!(bytes >= 200 * (frame + 9) - 200, "{bytes}");
    assert!(bytes < 200 * (frame + 24), "{bytes}");
}

#[tokio::test]
async fn wrong_key() {
    // Guards against links with a process that knows a host's name but not the key.
    let (mut a, mut b) = pair();
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, "another key");
    a.hub.connect(&b.entry);
    b.wait_until("refusal", |hub| hub.counters().refused.bad_proof > 0)
        .await;
    a.wait_until("refusal by peer", |hub| hub.counters().refused_by_peers > 0)
        .await;
    a.expect_no_event().await;
    b.expect_no_event().await;

    // With the right key, the same hosts link.
    a.hub.set_host_list(&hosts, KEY);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
}

#[tokio::test]
async fn wrong_version() {
    // Guards against messages from a peer with another protocol version, which would
    // be decoded wrongly.
    let (_a, mut b) = pair();
    let mut peer = RawPeer::connect(&b, "a", 1).await;
    let mut fields = HeaderMap::new();
    peer.hello.write(&mut fields);
    fields.insert("link-version", HeaderValue::from(7));
    let (answer, _) = peer.send_request(Method::GET, fields).await;
    assert_eq!(answer.status(), StatusCode::UPGRADE_REQUIRED);
    let text = body_text(answer).await;
    assert_eq!(text, "link version \"7\" is not spoken here, only 2");
    assert_eq!(b.hub.counters().refused.version, 1);
    b.expect_no_event().await;
}

#[tokio::test]
async fn unlisted_host() {
    let (_a, mut b) = pair();
    for name in ["stranger", "b"] {
        let answer = RawPeer::connect(&b, name, 1).await.send_hello().await;
        assert_eq!(answer.status(), StatusCode::FORBIDDEN);
    }
    assert_eq!(b.hub.counters().refused.unknown_host, 2);
    // No peer may link before the host list is set or with an empty one.
    for _ in 0..2 {
        b.hub.set_host_list(&HostList::default(), KEY);
        let answer = RawPeer::connect(&b, "a", 1).await.send_hello().await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(b.hub.counters().refused.not_ready, 2);
    assert_eq!(b.hub.counters().refused.total(), 4);
    b.expect_no_event().await;
}

#[tokio::test]
async fn delisted_host() {
    let (mut a, mut b) = pair();
    a.hub.connect(&b.entry);
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let hosts = host_list(&[&b]);
    b.hub.set_host_list(&hosts, KEY);
    b.expect(LinkEvent::Down(a.incarnation.clone())).await;
    b.wait_until("refusal", |hub| hub.counters().refused.unknown_host > 0)
        .await;
}

#[test]
fn proof_binding() {
    // Guards against replay and reflection: a proof must be bound to its handshake and
    // to the side that sends it.
    let incarnation = |name: &str| HostIncarnation {
        host: HostName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    };
    let pair = HelloPair {
        dialler: Hello::new(&incarnation("a")),
        acceptor: Hello::new(&incarnation("b")),
    };
    let later = HelloPair {
        dialler: pair.dialler.clone(),
        acceptor: Hello::new(&incarnation("b")),
    };
    let key = LinkKey::new(KEY);
    let mut fields = HeaderMap::new();
    pair.write_proof(&key, LinkRole::Dialler, &mut fields);
    let refusal = |name| Err(PeerRefusal::BadProof(HostName::try_from(name).unwrap()));
    assert_eq!(pair.check_proof(&key, LinkRole::Dialler, &fields), Ok(()));
    let reflected = pair.check_proof(&key, LinkRole::Acceptor, &fields);
    assert_eq!(reflected, refusal("b"));
    let replayed = later.check_proof(&key, LinkRole::Dialler, &fields);
    assert_eq!(replayed, refusal("a"));
}

#[tokio::test]
async fn silent_connection() {
    // Guards against undetected half-open connections, for example after a middlebox
    // has dropped its state: both ends stay open, and new connections work.
    let (mut a, mut b) = pair();
    let proxy = TestProxy::start(Some(b.entry.link_address)).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    // An idle link that answers PINGs stays up.
    a.expect_no_event().await;
    let started = Instant::now();
    proxy.cut();
    a.expect(LinkEvent::Down(b.incarnation.clone())).await;
    println!("down {} ms after the cut", started.elapsed().as_millis());
    // These options detect the cut within half a second; the rest is a margin for a
    // busy machine.
    assert!(started.elapsed() < Duration::from_secs(5));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    println!("up again after {} ms", started.elapsed().as_millis());
    assert_eq!(proxy.opened.load(Ordering::Relaxed), 2);
    // The acceptor either keeps the peer up or reports it as down and up again. In
    // both cases the peer is up in the end and messages are delivered.
    a.hub.send(&b.incarnation.host, &heartbeat(1));
    let mut event = b.event().await;
    if event == LinkEvent::Down(a.incarnation.clone()) {
        b.expect(LinkEvent::Up(a.incarnation.clone())).await;
        event = b.event().await;
    }
    assert_eq!(
        event,
        LinkEvent::Message(a.incarnation.clone(), heartbeat(1))
    );
    a.expect_no_event().await;
    b.expect_no_event().await;
    assert_eq!(a.hub.counters().silent, 1);
}

#[tokio::test]
async fn partition_heals() {
    // Guards against hosts that stay disconnected after a network partition has
    // healed.
    let (mut a, mut b) = pair();
    let proxy = TestProxy::start(Some(b.entry.link_address)).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    proxy.upstream.send_replace(None);
    proxy.cut();
    a.expect(LinkEvent::Down(b.incarnation.clone())).await;
    b.expect(LinkEvent::Down(a.incarnation.clone())).await;
    assert!(!a.hub.send(&b.incarnation.host, &heartbeat(1)));
    assert!(!b.hub.send(&a.incarnation.host, &heartbeat(1)));
    a.expect_no_event().await;
    proxy.upstream.send_replace(Some(b.entry.link_address));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    assert_eq!(a.hub.counters().silent + b.hub.counters().silent, 2);
}

#[tokio::test]
async fn restarted_peer() {
    // Guards against state of a terminated incarnation that is attributed to its
    // successor: the old connection stays open while the restarted host links.
    let slow = fast_options().with_ping_timeout(TIMEOUT);
    let (mut a, mut b) = (host_with("a", 1, slow), host("b", 2));
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    let proxy = TestProxy::start(Some(a.entry.link_address)).await;
    b.hub.connect(&proxy.entry_of(&a));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    proxy.cut();
    let dead = b.incarnation.clone();
    drop(b);

    let mut b = host("b", 3);
    b.hub.set_host_list(&hosts, KEY);
    b.hub.connect(&a.entry);
    a.expect(LinkEvent::Down(dead)).await;
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    assert!(a.hub.send(&b.incarnation.host, &heartbeat(1)));
    b.expect(LinkEvent::Message(a.incarnation.clone(), heartbeat(1)))
        .await;
    a.expect_no_event().await;
}

#[tokio::test]
async fn peer_returns() {
    // Guards against a peer that stays disconnected after it was not reachable yet, or
    // after it restarted at the same address as a new incarnation.
    let (mut a, b) = pair();
    let hosts = host_list(&[&a, &b]);
    let proxy = TestProxy::start(None).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect_no_event().await;
    assert!(proxy.opened.load(Ordering::Relaxed) > 1);
    for incarnation in [3, 4, 5] {
        let mut b = host("b", incarnation);
        b.hub.set_host_list(&hosts, KEY);
        proxy.upstream.send_replace(Some(b.entry.link_address));
        a.expect(LinkEvent::Up(b.incarnation.clone())).await;
        b.expect(LinkEvent::Up(a.incarnation.clone())).await;
        proxy.upstream.send_replace(None);
        let incarnation = b.incarnation.clone();
        drop(b);
        a.expect(LinkEvent::Down(incarnation)).await;
    }
}

#[tokio::test]
async fn simultaneous_dial() {
    // Guards against flapping links when both sides dial at once: they must agree on
    // the connection to keep.
    let mut pairs = Vec::new();
    for round in 0..20 {
        let (mut a, mut b) = pair();
        a.hub.connect(&b.entry);
        b.hub.connect(&a.entry);
        a.expect(LinkEvent::Up(b.incarnation.clone())).await;
        b.expect(LinkEvent::Up(a.incarnation.clone())).await;
        exchange(&mut a, &mut b, round * 1_000).await;
        pairs.push((a, b));
    }
    // Closing the redundant connections after 3 s must not affect the links.
    time::sleep(Duration::from_millis(3_500)).await;
    for (a, b) in &mut pairs {
        exchange(a, b, 1_000_000).await;
    }
}

#[tokio::test]
async fn dial_during_handshake() {
    // Guards against a peer reported as down and up while both sides dial: the side
    // that knows first which connection stays must not close the other one while the
    // peer still uses it.
    let (mut a, mut b) = pair();
    let slow = Duration::from_millis(100);
    let proxy = TestProxy::start_slow(Some(b.entry.link_address), slow).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.wait_until("dialled", |_| proxy.opened.load(Ordering::Relaxed) > 0)
        .await;
    b.hub.connect(&a.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    for first in [0, 1_000, 2_000] {
        time::sleep(slow).await;
        exchange(&mut a, &mut b, first).await;
    }
    assert_eq!(proxy.opened.load(Ordering::Relaxed), 1);
}

/// Send heartbeats in both directions for a while. Some may be lost while the sides
/// agree on a connection, but those delivered are in order and the peers stay up.
async fn exchange(a: &mut TestHost, b: &mut TestHost, first: u64) {
    let (mut last_a, mut last_b) = (first, first);
    let mut sequence = first;
    let started = Instant::now();
    while sequence < first + 30 || last_a < sequence || last_b < sequence {
        assert!(started.elapsed() < TIMEOUT, "{last_a} {last_b} {sequence}");
        if sequence < first + 30 {
            sequence += 1;
            assert!(a.hub.send(&b.incarnation.host, &heartbeat(sequence)));
            assert!(b.hub.send(&a.incarnation.host, &heartbeat(sequence)));
        }
        time::sleep(Duration::from_millis(1)).await;
        drain(a, &mut last_a);
        drain(b, &mut last_b);
    }
}

/// Take all inputs, which must be heartbeats with increasing sequence numbers.
fn drain(host: &mut TestHost, last: &mut u64) {
    while let Ok(input) = host.inbox.try_recv() {
        match input {
            NodeInput::Link(LinkEvent::Message(_, LinkMessage::Heartbeat(heartbeat))) => {
                assert!(heartbeat.sequence > *last);
                *last = heartbeat.sequence;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[tokio::test]
async fn oversize_frame() {
    let (a, mut b) = pair();
    let mut peer = RawPeer::connect(&b, "a", 1).await;
    let (answer, mut writer) = peer.authenticate(KEY).await;
    assert_eq!(answer.status(), StatusCode::OK);
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    writer
        .send_data(codec::encode(&heartbeat(5)).unwrap(), false)
        .unwrap();
    writer
        .send_data(Bytes::from_static(&[255; 8]), false)
        .unwrap();
    b.expect(LinkEvent::Message(a.incarnation.clone(), heartbeat(5)))
        .await;
    b.expect(LinkEvent::Down(a.incarnation.clone())).await;
    b.wait_until("counted", |hub| hub.counters().malformed == 1)
        .await;
}

fn quota_levels() -> LinkMessage {
    let shard = PoolShard {
        pool: "bolido-llm".try_into().unwrap(),
        domain: None,
    };
    let level = QuotaLevel {
        account: "equipo-recuperacion".try_into().unwrap(),
        units: 272_162,
    };
    LinkMessage::ToOwner(OwnerMessage::QuotaLevels {
        shard,
        levels: vec![level],
    })
}

// Guards against links that break during a rolling upgrade because a host sends a
// message that a peer of an older release does not support.
#[tokio::test]
async fn older_peer() {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let c = host("c", 3);
    let hosts = host_list(&[&a, &b, &c]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    a.hub.connect(&b.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let mut older = RawPeer::connect(&a, "c", 3).await;
    older.omitted_field = "link-messages";
    let (answer, _writer) = older.authenticate(KEY).await;
    assert_eq!(answer.status(), StatusCode::OK);
    a.expect(LinkEvent::Up(c.incarnation.clone())).await;
    // The older peer receives only messages that it supports, the other one both.
    for host in [&b.incarnation.host, &c.incarnation.host] {
        let sent = a.hub.send(host, &quota_levels());
        assert_eq!(sent, *host == b.incarnation.host);
        assert!(a.hub.send(host, &heartbeat(1)));
    }
    for message in [quota_levels(), heartbeat(1)] {
        b.expect(LinkEvent::Message(a.incarnation.clone(), message))
            .await;
    }
    let mut body = answer.into_body();
    let data = time::timeout(TIMEOUT, body.data()).await.unwrap();
    let mut frames = FrameReader::default();
    frames.push(&data.unwrap().unwrap());
    let first = frames.next_frame().unwrap().unwrap();
    assert_eq!(first.message, heartbeat(1));
    assert_eq!(a.hub.counters().dropped, 1);
}

// Guards against undetected loss of messages on a connection that the peer has lost
// before this host detects it: each new session must be reported as up.
#[tokio::test]
async fn redial_before_detection() {
    let mut a = host("a", 1);
    let c = host("c", 3);
    a.hub.set_host_list(&host_list(&[&a, &c]), KEY);
    let mut sessions = Vec::new();
    for _ in 0..2 {
        let mut peer = RawPeer::connect(&a, "c", 3).await;
        sessions.push(peer.authenticate(KEY).await);
        a.expect(LinkEvent::Up(c.incarnation.clone())).await;
    }
    a.expect_no_event().await;
}

#[tokio::test]
async fn peer_not_reading() {
    // Guards against unbounded memory use by a peer that answers PINGs but reads no
    // messages, and against effects on other peers.
    let opts = fast_options().with_send_queue_bytes(64 << 10);
    let (mut a, mut b) = (host_with("a", 1, opts), host("b", 2));
    let c = host("c", 3);
    let hosts = host_list(&[&a, &b, &c]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    a.hub.connect(&b.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let mut peer = RawPeer::connect(&a, "c", 3).await;
    let (_answer, _writer) = peer.authenticate(KEY).await;
    a.expect(LinkEvent::Up(c.incarnation.clone())).await;

    let mut queued = 0;
    let started = Instant::now();
    while a.hub.send(&c.incarnation.host, &heartbeat(queued)) {
        queued += 1;
        assert!(started.elapsed() < TIMEOUT, "still accepted: {queued}");
        // Let the tasks send from time to time.
        if queued % 100 == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
    }
    println!("{queued} messages queued for a peer that does not read");
    a.expect(LinkEvent::Down(c.incarnation.clone())).await;
    assert!(!a.hub.send(&c.incarnation.host, &heartbeat(0)));
    let counters = a.hub.counters();
    assert_eq!(counters.overflows, 1);
    // The limit applies to the queue's memory, not only to the bytes of its frames.
    let pending = counters.dropped as usize;
    assert!((100..=(64 << 10) / 96 + 1).contains(&pending), "{pending}");
    // The other peer is not affected.
    assert!(a.hub.send(&b.incarnation.host, &heartbeat(1)));
    b.expect(LinkEvent::Message(a.incarnation.clone(), heartbeat(1)))
        .await;
    a.expect_no_event().await;
}

#[tokio::test]
async fn handshake_limit() {
    // Guards against idle connections that block links: handshakes must be limited in
    // number and duration.
    let opts = fast_options()
        .with_handshake_limit(2)
        .with_handshake_timeout(Duration::from_millis(300));
    let mut a = host_with("a", 1, opts);
    let address = a.entry.link_address;
    let mut streams = Vec::new();
    for _ in 0..3 {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    a.wait_until("refused connection", |hub| {
        hub.counters().refused.too_many == 1
    })
    .await;
    a.wait_until("timed out handshakes", |hub| {
        hub.counters().refused.timeout == 2
    })
    .await;
    for mut stream in streams {
        let mut sent = Vec::new();
        let closed = time::timeout(TIMEOUT, stream.read_to_end(&mut sent)).await;
        assert!(closed.is_ok(), "closed by the host");
    }
    // Other hosts can link again.
    let mut b = host("b", 2);
    let hosts = host_list(&[&a, &b]);
    a.hub.set_host_list(&hosts, KEY);
    b.hub.set_host_list(&hosts, KEY);
    b.hub.connect(&a.entry);
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
}
