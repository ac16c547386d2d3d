//! Tests of reads and watches of published values over sockets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_net::input::{NodeInput, PlatformEvent};
use bergamotswitch_net::platform::{PlatformClient, PlatformOptions};
use bergamotswitch_standin::switches::{OutageMode, SilenceMode};
use bergamotswitch_standin::value::{ValueSource, ValueStandin};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait to verify that no further input arrives.
const NO_INPUT_PERIOD: Duration = Duration::from_millis(300);

fn short_timeouts() -> PlatformOptions {
    PlatformOptions::default()
        .with_answer_timeout(Duration::from_millis(400))
        .with_watch_wait(Duration::from_millis(300))
}

/// Get options whose watches outlast any test.
fn long_watch() -> PlatformOptions {
    PlatformOptions::default().with_watch_wait(TEST_TIMEOUT * 2)
}

struct TestClient {
    client: PlatformClient,
    inbox: mpsc::UnboundedReceiver<NodeInput>,
}

impl TestClient {
    fn new(services: &[SocketAddr], lists: &[SocketAddr], opts: PlatformOptions) -> Self {
        let (node, inbox) = mpsc::unbounded_channel();
        let client = PlatformClient::new(services.to_vec(), lists.to_vec(), opts, node);
        TestClient { client, inbox }
    }

    async fn event(&mut self) -> PlatformEvent {
        let input = time::timeout(TEST_TIMEOUT, self.inbox.recv()).await;
        match input.expect("an event in time") {
            Some(NodeInput::Platform(event)) => event,
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn expect_value(&mut self, name: &str, revision: u64, body: &str) {
        let expected = PublishedValue {
            name: value_name(name),
            revision: Revision(revision),
            body: body.to_owned(),
        };
        match self.event().await {
            PlatformEvent::Read(value) => assert_eq!(value, expected),
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn expect_unchanged(&mut self, name: &str) {
        match self.event().await {
            PlatformEvent::Unchanged(found) => assert_eq!(found, value_name(name)),
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn expect_failed(&mut self, name: &str) {
        match self.event().await {
            PlatformEvent::Failed(found) => assert_eq!(found, value_name(name)),
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn expect_no_input(&mut self) {
        if let Ok(event) = time::timeout(NO_INPUT_PERIOD, self.inbox.recv()).await {
            panic!("unexpected {event:?}");
        }
    }
}

fn value_name(name: &str) -> ValueName {
    name.try_into().unwrap()
}

async fn service(source: ValueSource) -> ValueStandin {
    let address = "127.0.0.1:0".parse().unwrap();
    ValueStandin::try_start(address, source).await.unwrap()
}

/// Get a socket that is bound but does not listen, so that connections to its
/// address are refused.
fn refusing_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Start a service that sends the same bytes on each connection and then keeps
/// it open.
async fn scripted_service(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            open.push(stream);
        }
    });
    address
}

fn http_ok(body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}")
}

#[tokio::test]
async fn read_values() {
    let values = service(ValueSource::Configuration).await;
    let hosts = service(ValueSource::HostList).await;
    values.publish("rules", json!({"b": 1, "a": [2, 3]}));
    hosts.publish("hosts", json!({"hosts": []}));
    let mut test = TestClient::new(&[values.address()], &[hosts.address()], short_timeouts());
    test.client.read(&value_name("rules"));
    test.expect_value("rules", 1, r#"{"a":[2,3],"b":1}"#).await;
    test.client.read(&value_name("hosts"));
    test.expect_value("hosts", 1, r#"{"hosts":[]}"#).await;
    test.client.read(&value_name("limits"));
    test.expect_failed("limits").await;
    assert_eq!(test.client.calls(), 3);
    assert_eq!((values.counts().reads, hosts.counts().reads), (2, 1));
}

#[tokio::test]
async fn watch_values() {
    let values = service(ValueSource::Configuration).await;
    let hosts = service(ValueSource::HostList).await;
    values.publish("rules", json!(1));
    hosts.publish("hosts", json!(1));
    let mut test = TestClient::new(&[values.address()], &[hosts.address()], long_watch());
    // A revision beyond the known one is returned at once, a later one when it
    // is published.
    test.client.watch(&value_name("rules"), Revision(0));
    test.expect_value("rules", 1, "1").await;
    test.client.watch(&value_name("rules"), Revision(1));
    test.client.watch(&value_name("hosts"), Revision(1));
    test.expect_no_input().await;
    let started_at = Instant::now();
    values.publish("rules", json!(2));
    test.expect_value("rules", 2, "2").await;
    println!("change seen after {} us", started_at.elapsed().as_micros());
    hosts.publish("hosts", json!(2));
    test.expect_value("hosts", 2, "2").await;

    let mut test = TestClient::new(&[values.address()], &[], short_timeouts());
    test.client.watch(&value_name("rules"), Revision(2));
    test.expect_unchanged("rules").await;
    assert_eq!(test.client.calls(), 1);
}

#[tokio::test]
async fn single_call_in_flight() {
    // Repeated requests while a call is in flight must not start further calls.
    let values = service(ValueSource::Configuration).await;
    values.publish("rules", json!(1));
    let mut test = TestClient::new(&[values.address()], &[], long_watch());
    for _ in 0..10 {
        test.client.watch(&value_name("rules"), Revision(1));
    }
    test.expect_no_input().await;
    assert_eq!(test.client.calls(), 1);
    // Another watch replaces the first one, whose answer is not reported.
    test.client.watch(&value_name("rules"), Revision(0));
    test.expect_value("rules", 1, "1").await;
    values.publish("rules", json!(2));
    test.expect_no_input().await;
    assert_eq!((test.client.calls(), values.counts().watches), (2, 2));
}

#[tokio::test]
async fn service_failover() {
    // A value must be read although the first services in the settings are
    // down.
    let (down, well) = (
        service(ValueSource::Configuration).await,
        service(ValueSource::Configuration).await,
    );
    down.set(|switches| switches.outage = OutageMode::Unavailable);
    well.publish("rules", json!(1));
    let (_dead, dead) = refusing_socket();
    let services = [dead, down.address(), well.address()];
    let mut test = TestClient::new(&services, &[], short_timeouts());
    test.client.read(&value_name("rules"));
    test.expect_value("rules", 1, "1").await;
    assert_eq!(test.client.calls(), 3);
    // The service that answered last is called first.
    test.client.read(&value_name("rules"));
    test.expect_value("rules", 1, "1").await;
    assert_eq!(test.client.calls(), 4);

    well.set(|switches| switches.outage = OutageMode::Unavailable);
    test.client.read(&value_name("rules"));
    test.expect_failed("rules").await;
    assert_eq!(test.client.calls(), 7);
    test.client.read(&value_name("hosts"));
    test.expect_failed("hosts").await;
}

#[tokio::test]
async fn silent_service() {
    // A watch must time out on its own when its connection becomes unresponsive
    // without an error, while new connections work.
    let values = service(ValueSource::Configuration).await;
    values.publish("rules", json!(1));
    let opts = short_timeouts().with_watch_wait(Duration::from_secs(1));
    let mut test = TestClient::new(&[values.address()], &[], opts);
    test.client.watch(&value_name("rules"), Revision(1));
    let started_at = Instant::now();
    while values.counts().watches == 0 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no watch in time");
        time::sleep(Duration::from_millis(1)).await;
    }
    values.set(|switches| switches.silent = SilenceMode::Open);
    values.publish("rules", json!(2));
    test.expect_failed("rules").await;
    let elapsed = started_at.elapsed();
    println!(
        "unresponsive connection detected after {} ms",
        elapsed.as_millis()
    );
    test.client.watch(&value_name("rules"), Revision(1));
    test.expect_value("rules", 2, "2").await;

    // With a second service, the watch continues there.
    let silent = scripted_service(String::new()).await;
    let mut test = TestClient::new(&[silent, values.address()], &[], short_timeouts());
    test.client.watch(&value_name("rules"), Revision(1));
    test.expect_value("rules", 2, "2").await;

    // A truncated answer is not reported as a value.
    let truncated_answer = http_ok(r#"{"name":"rules","revision":1,"body":1}"#);
    let truncated_answer =
        scripted_service(truncated_answer[..truncated_answer.len() - 9].to_owned()).await;
    let mut test = TestClient::new(&[truncated_answer], &[], short_timeouts());
    test.client.read(&value_name("rules"));
    test.expect_failed("rules").await;
}

#[tokio::test]
async fn wrong_answers() {
    // An answer for another value or a malformed one must not be applied.
    let bodies = [
        r#"{"name":"pools","revision":1,"body":1}"#,
        r#"{"revision":1,"body":1}"#,
        r#"{"name":"rules","revision":-1,"body":1}"#,
        r#"{"name":"rules","revision":1}"#,
        "not JSON",
    ];
    for body in bodies {
        let address = scripted_service(http_ok(body)).await;
        let mut test = TestClient::new(&[address], &[], short_timeouts());
        test.client.read(&value_name("rules"));
        test.expect_failed("rules").await;
    }
    let unrequested = "HTTP/1.1 304 Not Modified\r\n\r\n".to_owned();
    let mut test = TestClient::new(
        &[scripted_service(unrequested).await],
        &[],
        short_timeouts(),
    );
    test.client.read(&value_name("rules"));
    test.expect_failed("rules").await;
}

#[tokio::test]
async fn value_sizes() {
    // A value of 1 MiB is read; a larger body is rejected, so that a faulty
    // service cannot exhaust the host's memory.
    let values = service(ValueSource::Configuration).await;
    let text = "x".repeat((1 << 20) - 2);
    values.publish("rules", json!(text));
    values.publish("pools", json!("x".repeat(1 << 21)));
    let slow = short_timeouts().with_answer_timeout(TEST_TIMEOUT);
    let mut test = TestClient::new(&[values.address()], &[], slow);
    test.client.read(&value_name("rules"));
    test.expect_value("rules", 1, &format!("\"{text}\"")).await;
    test.client.read(&value_name("pools"));
    test.expect_failed("pools").await;
}
