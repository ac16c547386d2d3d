//! Tests of the protocol of the configuration service and of the host list.

mod support;

use std::time::Duration;

use bergamotswitch_standin::switches::OutageMode;
use bergamotswitch_standin::value::{HOSTS_VALUE, ValueSource, ValueStandin};
use hyper::StatusCode;
use serde_json::json;
use support::{LOOPBACK, get};

const RULES: &str = "/v1/values/rules";

async fn start(source: ValueSource) -> ValueStandin {
    let started = ValueStandin::try_start(LOOPBACK, source).await;
    started.expect("bound")
}

#[tokio::test]
async fn read_value() {
    let service = start(ValueSource::Configuration).await;
    assert_eq!(get(service.address(), RULES).await.0, StatusCode::NOT_FOUND);
    service.publish("rules", json!({"rules": []}));
    let (status, answer) = get(service.address(), RULES).await;
    assert_eq!(status, StatusCode::OK);
    let expected = json!({"name": "rules", "revision": 1, "body": {"rules": []}});
    assert_eq!(answer, expected);
}

#[tokio::test]
async fn watch_returns_update() {
    let service = start(ValueSource::Configuration).await;
    service.publish("rules", json!(1));
    let address = service.address();
    let path = format!("{RULES}?after=1&wait_ms=15000");
    let watch = tokio::spawn(async move { get(address, &path).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!watch.is_finished());
    service.publish("rules", json!(2));
    let (_, answer) = watch.await.expect("a response");
    assert_eq!(answer["revision"], 2);
    let path = format!("{RULES}?after=2&wait_ms=20");
    assert_eq!(get(address, &path).await.0, StatusCode::NOT_MODIFIED);
    assert_eq!(service.counts().watches, 2);
    assert_eq!(service.counts().reads, 0);
}

// Guards against a stand-in without stale reads: a stale replica answers with a
// superseded revision and does not indicate it.
#[tokio::test]
async fn stale_replica() {
    let service = start(ValueSource::Configuration).await;
    service.publish("rules", json!("old"));
    service.publish("rules", json!("new"));
    service.set(|switches| switches.stale = Some(1));
    assert_eq!(get(service.address(), RULES).await.1["body"], "old");
    service.set(|switches| switches.flapping = true);
    let first = get(service.address(), RULES).await.1;
    let second = get(service.address(), RULES).await.1;
    assert_ne!(first["revision"], second["revision"]);
}

// Guards against an outage that does not end: after 503 responses and refused
// connections, reads work again.
#[tokio::test]
async fn recovery_after_outage() {
    let service = start(ValueSource::Configuration).await;
    service.publish("rules", json!(1));
    service.set(|switches| switches.outage = OutageMode::Unavailable);
    let (status, _) = get(service.address(), RULES).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    service.set(|switches| switches.outage = OutageMode::Refused);
    while tokio::net::TcpStream::connect(service.address())
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    service.set(|switches| switches.outage = OutageMode::Off);
    while tokio::net::TcpStream::connect(service.address())
        .await
        .is_err()
    {
        tokio::task::yield_now().await;
    }
    assert_eq!(get(service.address(), RULES).await.0, StatusCode::OK);
}

#[tokio::test]
async fn delayed_host_list() {
    let list = start(ValueSource::HostList).await;
    let hosts = json!({"hosts": [], "targets": []});
    list.publish(HOSTS_VALUE, hosts.clone());
    list.set(|switches| switches.lag_ms = 1000);
    list.publish(HOSTS_VALUE, json!({"hosts": [1], "targets": []}));
    let (_, answer) = get(list.address(), "/v1/hosts").await;
    assert_eq!(answer, json!({"revision": 1, "body": hosts}));
    let (_, answer) = get(list.address(), "/v1/hosts?after=1&wait_ms=15000").await;
    assert_eq!(answer["revision"], 2);
}
