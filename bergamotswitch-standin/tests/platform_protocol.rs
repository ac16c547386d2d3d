//! Tests of a complete platform, controlled over HTTP.

mod support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamotswitch_standin::platform::{PlatformError, PlatformOptions, PlatformStandin};
use hyper::StatusCode;
use serde_json::{Value, json};
use support::{LOOPBACK, call, get, json as answer};

/// Write a deployment with one engine and one plain service.
fn write_deployment(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory");
    let engine = json!({"name": "e1", "address": "127.0.0.1:0", "domain": "d"});
    let plain = json!({"name": "p1", "address": "127.0.0.1:0", "domain": "d"});
    let pools = json!({"pools": [
        {"name": "llm", "kind": "engine", "targets": [engine]},
        {"name": "app", "kind": "plain", "targets": [plain]},
    ]});
    for name in ["rules", "accounts", "domains", "limits", "hosts"] {
        std::fs::write(directory.join(format!("{name}.json")), "{}").expect("written");
    }
    std::fs::write(directory.join("pools.json"), pools.to_string()).expect("written");
    directory
}

fn options(deployment: PathBuf) -> PlatformOptions {
    PlatformOptions {
        deployment,
        configuration: LOOPBACK,
        host_list: LOOPBACK,
        control: Some(LOOPBACK),
        seed: 1,
    }
}

async fn control(address: SocketAddr, message: Value) -> (StatusCode, Value) {
    let message = message.to_string();
    answer(call(address, "POST", "/control", "", &message).await).await
}

#[tokio::test]
async fn controlled_over_http() {
    let options = options(write_deployment("driven"));
    let platform = PlatformStandin::try_start(&options).await.expect("started");
    let address = platform.configuration_address();
    let publication = json!({"publish": {"name": "rules", "body": {"rules": [1]}}});
    assert_eq!(control(address, publication).await.1["revision"], 2);
    let (_, rules) = get(address, "/v1/values/rules").await;
    assert_eq!(rules["body"], json!({"rules": [1]}));
    let (_, ledger) = get(address, "/ledger").await;
    let plain = ledger["targets"]["p1"]["address"].as_str();
    let plain: SocketAddr = plain.expect("a text").parse().expect("an address");
    call(plain, "POST", "/alert", "r1", "x").await;
    let refusal = json!({"target": "p1", "set": {"error": true}});
    assert_eq!(control(address, refusal).await.0, StatusCode::OK);
    call(plain, "POST", "/alert", "r2", "x").await;
    let (_, ledger) = get(address, "/ledger").await;
    let runs = &ledger["targets"]["p1"]["runs"];
    assert_eq!(runs[0]["outcome"], "finished");
    assert_eq!(runs[1]["outcome"], "broken");
    assert_eq!(ledger["configuration"]["reads"], 1);
}

// Guards against a control interface that an outage disables: with the
// configuration service's address closed, the control address ends the outage.
#[tokio::test]
async fn control_during_outage() {
    let options = options(write_deployment("outage"));
    let platform = PlatformStandin::try_start(&options).await.expect("started");
    let address = platform.control_address().expect("bound");
    let outage = |mode: &str| json!({"target": "configuration", "set": {"outage": mode}});
    control(address, outage("refused")).await;
    let service = platform.configuration_address();
    while tokio::net::TcpStream::connect(service).await.is_ok() {
        tokio::task::yield_now().await;
    }
    control(address, outage("off")).await;
    while tokio::net::TcpStream::connect(service).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_eq!(get(service, "/v1/values/rules").await.0, StatusCode::OK);
}

#[tokio::test]
async fn errors_reported() {
    let options = options(write_deployment("faults"));
    let platform = PlatformStandin::try_start(&options).await.expect("started");
    let address = platform.configuration_address();
    let unknown = json!({"target": "p1", "set": {"no-such-switch": 1}});
    assert_eq!(control(address, unknown).await.0, StatusCode::BAD_REQUEST);
    let missing = json!({"target": "p9", "set": {"error": true}});
    assert_eq!(control(address, missing).await.0, StatusCode::BAD_REQUEST);
    let rules = options.deployment.join("rules.json");
    std::fs::write(&rules, "{").expect("written");
    let error = PlatformStandin::try_start(&options)
        .await
        .expect_err("a file with invalid JSON");
    assert!(matches!(error, PlatformError::Json(path, _) if path == rules));
}
