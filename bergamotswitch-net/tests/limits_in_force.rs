//! Tests that published limits apply to clients and answers without a restart.

mod target_support;

use std::time::Duration;

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::request::RequestId;
use bergamotswitch_core::revision::RevisionOptions;
use bergamotswitch_net::answer::{AnswerBound, AnswerPart, AnswerWriter};
use bergamotswitch_net::input::NodeInput;
use bergamotswitch_net::platform::PlatformOptions;
use bergamotswitch_net::target_client::TargetClientOptions;
use bytes::Bytes;
use target_support::{CallHarness, TEST_TIMEOUT, start_engine, target_at};
use tokio::sync::mpsc;
use tokio::time::timeout;

fn options_with(change: impl Fn(&mut FleetLimits)) -> TargetClientOptions {
    let mut limits = FleetLimits::default();
    change(&mut limits);
    TargetClientOptions::default().with_limits(&limits)
}

#[test]
fn target_limits() {
    let plain = TargetClientOptions::default();
    let span = Duration::from_millis(750);
    assert_eq!(options_with(|_| ()), plain);
    assert_eq!(
        options_with(|limits| limits.idle_probe_ms = 750),
        plain.clone().with_idle_probe(span)
    );
    assert_eq!(
        options_with(|limits| limits.probe_timeout_ms = 750),
        plain.clone().with_probe_timeout(span)
    );
    assert_eq!(
        options_with(|limits| limits.connect_timeout_ms = 750),
        plain.clone().with_connect_timeout(span)
    );
    assert_eq!(
        options_with(|limits| limits.load_poll_ms = 750),
        plain.with_load_period(span)
    );
}

// Guards against a load watch that keeps the options with which it was started, so
// that a shorter published interval has no effect.
#[tokio::test]
async fn faster_load_poll() {
    let engine = start_engine(true).await;
    let slow = TargetClientOptions::default().with_load_period(Duration::from_secs(3_600));
    let mut harness = CallHarness::new(slow.clone());
    harness
        .client
        .watch_targets(&[target_at(engine.address(), true)]);
    harness
        .client
        .set_options(slow.with_load_period(Duration::from_millis(10)));
    let mut reports = 0;
    while reports < 5 {
        let input = timeout(TEST_TIMEOUT, harness.inbox.recv()).await;
        if let Some(NodeInput::Load(..)) = input.expect("a load report in time") {
            reports += 1;
        }
    }
}

// Guards against watches so short that they exhaust the read budget: no value would
// be watched for the rest of the minute.
#[test]
fn watches_within_reads() {
    let values = RevisionOptions::default().value_count() as u64;
    for reads in [12, 60, 120, 600] {
        let limits = FleetLimits {
            reads_per_minute: reads,
            ..FleetLimits::default()
        };
        let wait = PlatformOptions::default().with_limits(&limits).watch_wait();
        let calls = values * 60_000 / wait.as_millis() as u64;
        assert!(
            calls < reads,
            "{calls} calls a minute without changes, budget {reads}"
        );
        assert!(reads < 60 || wait <= Duration::from_secs(8), "{wait:?}");
    }
}

// Guards against unbounded memory use by an engine that never stops sending tokens.
#[test]
fn bounded_answer() {
    let (node, mut inbox) = mpsc::unbounded_channel();
    let request = RequestId {
        incarnation: Incarnation(7),
        sequence: 1,
    };
    let bytes = 4_096;
    let answer = AnswerWriter::bounded(AnswerBound {
        bytes,
        request,
        node,
    });
    for _ in 0..100 {
        answer.push(AnswerPart::Data(Bytes::from_static(&[b'x'; 512])));
    }
    assert!(answer.bytes() > bytes / 2 && answer.bytes() <= bytes);
    assert!(answer.is_overlong());
    let input = inbox.try_recv().expect("an input to the loop");
    assert!(matches!(input, NodeInput::AnswerTooLong(id) if id == request));
    assert!(inbox.try_recv().is_err(), "more than one input");
    answer.clear();
    assert!(!answer.is_overlong());
}
