//! Tests of targets whose connections stall, break or carry wrong answers.

mod fleet;

use fleet::caller::{Answer, Call, send_all};
use fleet::{Fleet, Run, assert_ran_once};
use serde_json::json;

/// Begin reports at all hosts, set fault switches of every engine during the streams,
/// and read the streams to their ends.
async fn run_with_faults(
    fleet: &Fleet,
    max_tokens: u32,
    switches: serde_json::Value,
) -> Vec<Answer> {
    let mut open = Vec::new();
    for n in 0..12 {
        let host = fleet.hosts[n % 3].address();
        let call = Call::report(&format!("fall-{n}"), max_tokens);
        open.push(call.begin(host).await.expect("head"));
    }
    for answer in &mut open {
        answer.read_output().await;
    }
    for change in switches.as_array().expect("switches") {
        fleet.set_engines(change.clone()).await;
    }
    let mut answers = Vec::new();
    for answer in open {
        answers.push(answer.finish().await);
    }
    answers
}

fn assert_resumed(answers: &[Answer], runs: &[Run], max_tokens: u32) {
    for answer in answers {
        answer.assert_own_output(runs, max_tokens);
    }
    assert_eq!(runs.len(), answers.len());
    assert_ran_once(runs);
}

// Guards against a report that hangs or runs twice when its connection stalls: the
// stream has to be resumed, not submitted again.
#[tokio::test]
async fn stalled_streams() {
    let fleet = Fleet::start("red-austral").await;
    let answers = run_with_faults(&fleet, 1_500, json!([{ "silent": "open" }])).await;
    assert_resumed(&answers, &fleet.runs().await, 1_500);
}

// Guards against the same failures when the connections break.
#[tokio::test]
async fn broken_streams() {
    let fleet = Fleet::start("red-austral").await;
    let answers = run_with_faults(&fleet, 1_500, json!([{ "drop": 0 }, { "drop": null }])).await;
    assert_resumed(&answers, &fleet.runs().await, 1_500);
}

// Guards against a truncated answer, or that of another request, that its caller
// accepts as whole.
#[tokio::test]
async fn wrong_answers() {
    let fleet = Fleet::start("red-austral").await;
    for (fault, count) in [("truncate", 12), ("crossed", 24)] {
        fleet.set_engines(json!({ fault: true })).await;
        let calls = (0..12).map(|n| {
            let mut call = Call::report(&format!("{fault}-{n}"), 60);
            call.streaming = n % 2 == 0;
            (call, fleet.hosts[n % 3].address())
        });
        for answer in send_all(calls.collect()).await {
            let answer = answer.expect("answer");
            assert!(!answer.is_whole(), "{fault}: {answer:?}");
            assert!(answer.ran() == "unknown", "{fault}: {answer:?}");
        }
        fleet.set_engines(json!({ fault: false })).await;
        let runs = fleet.runs().await;
        assert_eq!(runs.len(), count);
        assert_ran_once(&runs);
    }
}

// Guards against a crew alert that goes out twice when the service fails during its
// answer and the caller resubmits the alert to all hosts.
#[tokio::test]
async fn broken_alerts() {
    let fleet = Fleet::start("red-austral").await;
    let services = ["red-app-1", "red-app-2", "red-app-3"];
    for (number, fault) in [json!({ "drop": 1 }), json!({ "error": true })]
        .iter()
        .enumerate()
    {
        for service in services {
            fleet.set(service, fault.clone()).await;
        }
        let call = Call::alert(&format!("alert-{number}"));
        let first = call.send(fleet.hosts[0].address()).await;
        assert!(!first.is_whole(), "{first:?}");
        let again = call
            .as_resubmission()
            .with_incarnation(&first.incarnation());
        for service in services {
            fleet
                .set(service, json!({ "drop": null, "error": false }))
                .await;
        }
        for host in &fleet.hosts {
            for call in [&call, &again] {
                let answer = call.send(host.address()).await;
                assert!(!answer.is_whole(), "{answer:?}");
            }
        }
        let runs = fleet.runs().await;
        assert_eq!(runs.len(), number + 1, "{runs:?}");
    }
    let answer = Call::alert("sound").send(fleet.hosts[0].address()).await;
    assert!(answer.is_whole(), "{answer:?}");
}
