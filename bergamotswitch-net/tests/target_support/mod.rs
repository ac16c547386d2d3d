//! Provides shared helpers for the tests of calls to targets.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamotswitch_core::contract::TargetContract;
use bergamotswitch_core::entry::AttemptEvent;
use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::request::{AttemptId, RequestId};
use bergamotswitch_core::target::PoolTarget;
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::input::{NodeInput, OutgoingCall};
use bergamotswitch_net::target_client::{CallRoute, TargetClient, TargetClientOptions};
use bergamotswitch_standin::deployment;
use bergamotswitch_standin::engine::{EngineOptions, EngineStandin};
use bergamotswitch_standin::ledger::RunOutcome;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A loopback address with an ephemeral port.
pub const EPHEMERAL_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A `CallHarness` is a client with the receiver of its reports.
pub struct CallHarness {
    pub client: TargetClient,
    pub inbox: mpsc::UnboundedReceiver<NodeInput>,
    next: u64,
}

impl CallHarness {
    pub fn new(options: TargetClientOptions) -> Self {
        let (sender, inbox) = mpsc::unbounded_channel();
        CallHarness {
            client: TargetClient::new(options, sender),
            inbox,
            next: 0,
        }
    }

    pub fn start(
        &mut self,
        target: &PoolTarget,
        kind: PoolKind,
        call: &OutgoingCall,
    ) -> (AttemptId, AnswerWriter) {
        self.start_on(target, kind, call, CallRoute::default())
    }

    pub fn start_on(
        &mut self,
        target: &PoolTarget,
        kind: PoolKind,
        call: &OutgoingCall,
        route: CallRoute,
    ) -> (AttemptId, AnswerWriter) {
        self.next += 1;
        let request = RequestId {
            incarnation: Incarnation(7),
            sequence: self.next,
        };
        let attempt = AttemptId {
            request,
            attempt: 0,
        };
        let answer = AnswerWriter::new();
        self.client
            .start_on(attempt, target, kind, call, answer.clone(), route);
        (attempt, answer)
    }

    /// Get the next event of any attempt.
    pub async fn next_event(&mut self) -> (AttemptId, AttemptEvent) {
        let waiting = timeout(TEST_TIMEOUT, self.inbox.recv());
        match waiting.await.expect("no event in time") {
            Some(NodeInput::Attempt(attempt, event)) => (attempt, event),
            other => panic!("unexpected input: {other:?}"),
        }
    }

    /// Wait for the first token of an attempt.
    pub async fn first_token(&mut self) {
        let (_, event) = self.next_event().await;
        assert_eq!(event, AttemptEvent::FirstToken);
    }

    /// Get the events of a single attempt up to its end.
    pub async fn events(&mut self) -> Vec<AttemptEvent> {
        let mut events = Vec::new();
        loop {
            let (_, event) = self.next_event().await;
            events.push(event);
            if is_end(&event) {
                return events;
            }
        }
    }
}

/// Get whether an event is the last one of an attempt.
pub fn is_end(event: &AttemptEvent) -> bool {
    match event {
        AttemptEvent::Connected
        | AttemptEvent::FirstToken
        | AttemptEvent::Progress(_)
        | AttemptEvent::Resumed
        | AttemptEvent::LimitNamed(_)
        | AttemptEvent::LeavingNamed
        | AttemptEvent::BrittleNamed(_)
        | AttemptEvent::PaceNamed(_)
        | AttemptEvent::RestAsked(_)
        | AttemptEvent::Stalled => false,
        AttemptEvent::NotSent(_)
        | AttemptEvent::Refused
        | AttemptEvent::Failed
        | AttemptEvent::FailureWithheld
        | AttemptEvent::Finished(_)
        | AttemptEvent::Broken(_)
        | AttemptEvent::TunnelBroken(_) => true,
    }
}

/// Get the parts of the answer of a finished attempt.
pub async fn parts_of(answer: AnswerWriter) -> Vec<AnswerPart> {
    answer.push(AnswerPart::End);
    let mut parts = answer.reader().collect().await;
    parts.pop();
    parts
}

/// Get the output text of an engine's answer.
pub async fn text_of(answer: AnswerWriter) -> String {
    let mut text = String::new();
    for part in parts_of(answer).await {
        if let AnswerPart::Data(data) = part {
            let chunk: serde_json::Value = serde_json::from_slice(&data).expect("a chunk");
            let content = &chunk["choices"][0]["delta"]["content"];
            text.push_str(content.as_str().unwrap_or_default());
        }
    }
    text
}

/// Get a call for `tokens` tokens. Equal names yield equal texts.
pub fn engine_call(name: &str, tokens: u32) -> OutgoingCall {
    let body = serde_json::json!({
        "model": "drafting-lm",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": name}],
    });
    OutgoingCall {
        routed: None,
        method: http::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::from(body.to_string()),
    }
}

/// Start an engine that produces a token every 3 ms.
pub async fn start_engine(resumes: bool) -> EngineStandin {
    let contract = deployment::TargetContract {
        resumes,
        cancels: true,
        ..deployment::TargetContract::default()
    };
    let options = EngineOptions::default().with_contract(contract);
    let started = EngineStandin::try_start(EPHEMERAL_ADDRESS, options).await;
    started.expect("an engine")
}

/// Get a target at `address`.
pub fn target_at(address: SocketAddr, resumes: bool) -> PoolTarget {
    let mut target: PoolTarget = serde_json::from_value(serde_json::json!({
        "name": "target-1",
        "domain": "espoo-hall",
        "address": address,
    }))
    .expect("a target");
    target.contract = TargetContract {
        resumes,
        cancels: true,
        ..TargetContract::default()
    };
    target
}

/// Get options that detect an unresponsive connection within a fraction of a
/// second.
pub fn quick_options() -> TargetClientOptions {
    TargetClientOptions::default()
        .with_idle_probe(Duration::from_millis(100))
        .with_probe_period(Duration::from_millis(100))
        .with_silent_grace(Duration::from_millis(50))
}

/// Wait until the engine has cancelled its run of a request.
pub async fn wait_for_cancel(engine: &EngineStandin, request_id: &str) {
    let cancelled = async {
        loop {
            let ledger = engine.control().ledger();
            let runs = ledger.runs_of(request_id);
            if runs.iter().any(|run| run.outcome == RunOutcome::Cancelled) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, cancelled)
        .await
        .expect("a cancelled run");
}
