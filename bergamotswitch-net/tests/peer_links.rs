//! Tests of links between hosts, over sockets.

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
    // The largest values cross each other, far over any window of h2.
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
    a.expect_quiet().await;
}

#[tokio::test]
async fn bytes_on_wire() {
    let (mut a, mut b) = pair();
    let proxy = TestProxy::start(Some(b.entry.link_address)).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let handshake = proxy.forwarded.load(Ordering::Relaxed);
    println!("handshake: about {handshake} bytes both directions");
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
        "a message alone: {} bytes on TCP, {frame} of them its frame",
        bytes / 200
    );
    // 9 bytes are the header of h2; a PING or window update may fall between.
    assert!(bytes >= 200 * (frame + 9) - 200, "{bytes}");
    assert!(bytes < 200 * (frame + 24), "{bytes}");
}

#[tokio::test]
async fn wrong_key() {
    // Symptom: a stranger's asks take slots. Sequence: a process that knows a
    // host's name but not the key connects. Cause: the name alone was trusted.
    let (mut a, mut b) = pair();
    let roster = host_list(&[&a, &b]);
    a.hub.set_roster(&roster, "another key");
    a.hub.connect(&b.entry);
    b.wait_until("refusal", |hub| hub.counters().refused.bad_proof > 0)
        .await;
    a.wait_until("told", |hub| hub.counters().refused_by_peers > 0)
        .await;
    a.expect_quiet().await;
    b.expect_quiet().await;

    // With the right key the same hosts link.
    a.hub.set_roster(&roster, KEY);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
}

#[tokio::test]
async fn wrong_version() {
    // Symptom: nonsense in an owner's queue while versions are mixed.
    // Sequence: a peer of another version links. Cause: no check.
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
    b.expect_quiet().await;
}

#[tokio::test]
async fn unlisted_host() {
    let (_a, mut b) = pair();
    for name in ["stranger", "b"] {
        let answer = RawPeer::connect(&b, name, 1).await.send_hello().await;
        assert_eq!(answer.status(), StatusCode::FORBIDDEN);
    }
    assert_eq!(b.hub.counters().refused.unknown_host, 2);
    // Before the roster is known, and with an empty one, none may link.
    for _ in 0..2 {
        b.hub.set_roster(&HostList::default(), KEY);
        let answer = RawPeer::connect(&b, "a", 1).await.send_hello().await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(b.hub.counters().refused.not_ready, 2);
    assert_eq!(b.hub.counters().refused.total(), 4);
    b.expect_quiet().await;
}

#[tokio::test]
async fn delisted_host() {
    let (mut a, mut b) = pair();
    a.hub.connect(&b.entry);
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let roster = host_list(&[&b]);
    b.hub.set_roster(&roster, KEY);
    b.expect(LinkEvent::Down(a.incarnation.clone())).await;
    b.wait_until("refusal", |hub| hub.counters().refused.unknown_host > 0)
        .await;
}

#[test]
fn proof_binding() {
    // Symptom: a stranger is taken for a host. Sequence: it sends a recorded
    // proof, or sends the prover's own proof back. Cause: a proof that is not
    // bound to this handshake and to its side.
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
    // Symptom: a peer seems up and hears nothing for minutes. Sequence: what
    // stands between loses track of the connection; both ends keep it open,
    // new connections work. Cause: only an answered PING proves a connection.
    let (mut a, mut b) = pair();
    let proxy = TestProxy::start(Some(b.entry.link_address)).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    // An idle link that answers its PINGs stays.
    a.expect_quiet().await;
    let started = Instant::now();
    proxy.cut();
    a.expect(LinkEvent::Down(b.incarnation.clone())).await;
    println!("down {} ms after the cut", started.elapsed().as_millis());
    // Half a second is the bound of these options; the rest is for a busy
    // machine.
    assert!(started.elapsed() < Duration::from_secs(5));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    println!("up again after {} ms", started.elapsed().as_millis());
    assert_eq!(proxy.opened.load(Ordering::Relaxed), 2);
    // The acceptor sees the same peer come again, or its silence before it;
    // either way the peer is up in the end, and messages pass.
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
    a.expect_quiet().await;
    b.expect_quiet().await;
    assert_eq!(a.hub.counters().silent, 1);
}

#[tokio::test]
async fn partition_heals() {
    // Symptom: two hosts stay apart after a partition. Sequence: what they
    // send vanishes and no connection can be made, then all is well again.
    // Cause: an end that is never noticed, or never tried again.
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
    a.expect_quiet().await;
    proxy.upstream.send_replace(Some(b.entry.link_address));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    assert_eq!(a.hub.counters().silent + b.hub.counters().silent, 2);
}

#[tokio::test]
async fn restarted_peer() {
    // Symptom: facts of a dead run are taken for facts of its successor.
    // Sequence: a host dies without a word (its connection stays open) and
    // its successor links. Cause: the link was known by name only.
    let slow = fast_options().with_ping_timeout(TIMEOUT);
    let (mut a, mut b) = (host_with("a", 1, slow), host("b", 2));
    let roster = host_list(&[&a, &b]);
    a.hub.set_roster(&roster, KEY);
    b.hub.set_roster(&roster, KEY);
    let proxy = TestProxy::start(Some(a.entry.link_address)).await;
    b.hub.connect(&proxy.entry_of(&a));
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    proxy.cut();
    let dead = b.incarnation.clone();
    drop(b);

    let mut b = host("b", 3);
    b.hub.set_roster(&roster, KEY);
    b.hub.connect(&a.entry);
    a.expect(LinkEvent::Down(dead)).await;
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    assert!(a.hub.send(&b.incarnation.host, &heartbeat(1)));
    b.expect(LinkEvent::Message(a.incarnation.clone(), heartbeat(1)))
        .await;
    a.expect_quiet().await;
}

#[tokio::test]
async fn peer_returns() {
    // Symptom: a peer that was away stays away. Sequence: a host dials one
    // that is not there yet, then one that comes back at its address as a new
    // run. Cause: an attempt that is not repeated, or the old run kept.
    let (mut a, b) = pair();
    let roster = host_list(&[&a, &b]);
    let proxy = TestProxy::start(None).await;
    a.hub.connect(&proxy.entry_of(&b));
    a.expect_quiet().await;
    assert!(proxy.opened.load(Ordering::Relaxed) > 1);
    for incarnation in [3, 4, 5] {
        let mut b = host("b", incarnation);
        b.hub.set_roster(&roster, KEY);
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
    // Symptom: links flap for ever after a fleet's start. Sequence: both
    // sides dial at once, and each closes the connection that the other
    // keeps. Cause: no common rule for which one stays.
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
    // The connections that were not kept are closed after 3 s. Nobody notices.
    time::sleep(Duration::from_millis(3_500)).await;
    for (a, b) in &mut pairs {
        exchange(a, b, 1_000_000).await;
    }
}

#[tokio::test]
async fn crossed_dial() {
    // Symptom: a peer is taken as down and up again while a fleet starts.
    // Sequence: both sides dial; the acceptor of the connection that stays
    // learns of it first and closes the other one before the dialler has its
    // answer. Cause: a connection closed that the peer still has in use.
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

/// Send both directions for a while. What is sent while two connections settle may
/// be lost; what comes, comes in order, and the peers stay up.
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

/// Take all messages, which must be of rising sequence and nothing else.
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

// Symptom: while a fleet is replaced by a newer version, host by host, links
// between old and new hosts break at each planned stop, and calls wait. Cause:
// a stopping owner hands its quotas over in a message that the older host takes
// for no message, and so it drops the link.
#[tokio::test]
async fn older_peer() {
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let c = host("c", 3);
    let roster = host_list(&[&a, &b, &c]);
    a.hub.set_roster(&roster, KEY);
    b.hub.set_roster(&roster, KEY);
    a.hub.connect(&b.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let mut older = RawPeer::connect(&a, "c", 3).await;
    older.omitted_field = "link-messages";
    let (answer, _writer) = older.authenticate(KEY).await;
    assert_eq!(answer.status(), StatusCode::OK);
    a.expect(LinkEvent::Up(c.incarnation.clone())).await;
    // It gets what it knows, and nothing else; one of this version gets both.
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

// Guards against messages that are lost unseen with a connection that the peer has
// given up before this host.
#[tokio::test]
async fn dialled_again() {
    let mut a = host("a", 1);
    let c = host("c", 3);
    a.hub.set_roster(&host_list(&[&a, &c]), KEY);
    let mut sessions = Vec::new();
    for _ in 0..2 {
        let mut peer = RawPeer::connect(&a, "c", 3).await;
        sessions.push(peer.authenticate(KEY).await);
        a.expect(LinkEvent::Up(c.incarnation.clone())).await;
    }
    a.expect_quiet().await;
}

#[tokio::test]
async fn peer_not_reading() {
    // Symptom: a host's memory grows until it dies. Sequence: a peer stays
    // connected, answers PINGs and reads nothing. Cause: a queue without
    // bound, or one queue for all peers.
    let opts = fast_options().with_send_queue_bytes(64 << 10);
    let (mut a, mut b) = (host_with("a", 1, opts), host("b", 2));
    let c = host("c", 3);
    let roster = host_list(&[&a, &b, &c]);
    a.hub.set_roster(&roster, KEY);
    b.hub.set_roster(&roster, KEY);
    a.hub.connect(&b.entry);
    a.expect(LinkEvent::Up(b.incarnation.clone())).await;
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
    let mut peer = RawPeer::connect(&a, "c", 3).await;
    let (_answer, _writer) = peer.authenticate(KEY).await;
    a.expect(LinkEvent::Up(c.incarnation.clone())).await;

    let mut taken = 0;
    let started = Instant::now();
    while a.hub.send(&c.incarnation.host, &heartbeat(taken)) {
        taken += 1;
        assert!(started.elapsed() < TIMEOUT, "still taken: {taken}");
        // Now and then the tasks get their turn to send.
        if taken % 100 == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
    }
    println!("{taken} messages taken by a peer that does not read");
    a.expect(LinkEvent::Down(c.incarnation.clone())).await;
    assert!(!a.hub.send(&c.incarnation.host, &heartbeat(0)));
    let counters = a.hub.counters();
    assert_eq!(counters.overflows, 1);
    // The queue is bounded by what it takes in memory, not by its bytes.
    let waited = counters.dropped as usize;
    assert!((100..=(64 << 10) / 96 + 1).contains(&waited), "{waited}");
    // The other peer noticed nothing.
    assert!(a.hub.send(&b.incarnation.host, &heartbeat(1)));
    b.expect(LinkEvent::Message(a.incarnation.clone(), heartbeat(1)))
        .await;
    a.expect_quiet().await;
}

#[tokio::test]
async fn handshake_limit() {
    // Symptom: no host can link. Sequence: strangers open connections and say
    // nothing. Cause: connections in their handshake without bound in number
    // and time.
    let opts = fast_options()
        .with_handshake_limit(2)
        .with_handshake_timeout(Duration::from_millis(300));
    let mut a = host_with("a", 1, opts);
    let address = a.entry.link_address;
    let mut streams = Vec::new();
    for _ in 0..3 {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    a.wait_until("one too many", |hub| hub.counters().refused.too_many == 1)
        .await;
    a.wait_until("others late", |hub| hub.counters().refused.timeout == 2)
        .await;
    for mut stream in streams {
        let mut sent = Vec::new();
        let closed = time::timeout(TIMEOUT, stream.read_to_end(&mut sent)).await;
        assert!(closed.is_ok(), "closed by the host");
    }
    // The places are free again.
    let mut b = host("b", 2);
    let roster = host_list(&[&a, &b]);
    a.hub.set_roster(&roster, KEY);
    b.hub.set_roster(&roster, KEY);
    b.hub.connect(&a.entry);
    b.expect(LinkEvent::Up(a.incarnation.clone())).await;
}
