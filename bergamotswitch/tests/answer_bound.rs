//! Tests that an engine with an endless answer exhausts neither a host's memory nor
//! its time.

mod fleet;

use bergamotswitch::command::demo::calls::{self, DemoCall};
use fleet::{Fleet, view, wait_revision};
use serde_json::Value;

const MAX_ANSWER_BYTES: u64 = 65_536;

fn cancelled_runs(ledger: &Value) -> usize {
    let text = ledger.to_string();
    text.matches("\"outcome\":\"cancelled\"").count()
}

// Guards against unbounded memory for an answer that an engine produces without end,
// both in flight and retained for resubmissions.
#[tokio::test]
async fn endless_engine() {
    let fleet = Fleet::start("red-austral").await;
    let host = fleet.hosts[0].address();
    let plain = calls::DEPLOYMENTS[0].calls[1];
    let kept = plain.send(host, "kept").await.expect("answer");
    assert!(kept.complete, "{kept:?}");
    let before = view(host).await;
    let kept_bytes = before["desk"]["kept_answer_bytes"].as_u64();
    assert!(kept_bytes.is_some_and(|bytes| bytes > 100), "{before}");

    let revision = fleet
        .publish("limits", |limits| {
            limits["max_answer_bytes"] = MAX_ANSWER_BYTES.into()
        })
        .await;
    wait_revision(host, "limits", revision).await;

    let endless = DemoCall {
        max_tokens: 100_000,
        ..plain
    };
    let truncated = endless.send(host, "endless").await.expect("answer");
    assert_eq!(
        truncated.refusal.as_deref(),
        Some("answer-truncated"),
        "{truncated:?}"
    );
    let after = view(host).await;
    let kept_bytes = after["desk"]["kept_answer_bytes"].as_u64();
    assert!(
        kept_bytes.is_some_and(|bytes| bytes < 2 * MAX_ANSWER_BYTES),
        "{after}"
    );
    assert!(cancelled_runs(&fleet.ledger().await) > 0, "still running");
}
