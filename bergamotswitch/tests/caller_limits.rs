//! Tests of changed limits of callers on connections that are kept open.

mod users;

use std::time::Duration;

use http::StatusCode;
use users::{Call, KeptConnection, Site, SiteOptions};

fn large_call(id: &str, bytes: usize) -> Call {
    Call::new("GET", "/status/1", id).with("x-note", &"a".repeat(bytes))
}

async fn send(connection: &mut KeptConnection, call: Call) -> StatusCode {
    let answer = connection.send(call).await.expect("an answer");
    assert!(answer.whole, "{answer:?}");
    answer.status
}

async fn site(change: impl FnOnce(&mut SiteOptions)) -> Site {
    let mut options = SiteOptions::default();
    change(&mut options);
    Site::start_with(options).await
}

// Guards against calls on kept connections that are refused by the size of head that was
// allowed when the connection was opened.
#[tokio::test]
async fn raised_head_limit() {
    let mut site = site(|options| options.max_head_bytes = 16_384).await;
    let mut kept = KeptConnection::open(site.address()).await.expect("host");
    let small = Call::new("GET", "/status/1", "r-1");
    assert_eq!(send(&mut kept, small).await, StatusCode::OK);
    site.apply_changed(|options| options.max_head_bytes = 49_152)
        .await;
    let mut fresh = KeptConnection::open(site.address()).await.expect("host");
    assert_eq!(
        send(&mut fresh, large_call("r-2", 40_000)).await,
        StatusCode::OK
    );
    assert_eq!(
        send(&mut kept, large_call("r-3", 40_000)).await,
        StatusCode::OK
    );
}

// Guards against heads above a lowered limit on kept connections.
#[tokio::test]
async fn lowered_head_limit() {
    let mut site = site(|options| options.max_head_bytes = 49_152).await;
    let mut kept = KeptConnection::open(site.address()).await.expect("host");
    assert_eq!(
        send(&mut kept, large_call("r-1", 40_000)).await,
        StatusCode::OK
    );
    site.apply_changed(|options| options.max_head_bytes = 16_384)
        .await;
    assert_eq!(
        send(&mut kept, large_call("r-2", 10_000)).await,
        StatusCode::OK
    );
    let refused = send(&mut kept, large_call("r-3", 20_000)).await;
    assert_eq!(refused, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
}

// Guards against kept connections that close by the idle timeout that was in force when
// they were opened, while callers rely on a longer one.
#[tokio::test]
async fn raised_idle_timeout() {
    let mut site = site(|options| options.idle_timeout = Duration::from_secs(4)).await;
    let mut kept = KeptConnection::open(site.address()).await.expect("host");
    for id in ["r-1", "r-2"] {
        let call = Call::new("GET", "/status/1", id);
        assert_eq!(send(&mut kept, call).await, StatusCode::OK);
        site.apply_changed(|options| options.idle_timeout = Duration::from_secs(60))
            .await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    let call = Call::new("GET", "/status/1", "r-3");
    assert_eq!(send(&mut kept, call).await, StatusCode::OK);
}

// Guards against connections that stay open beyond a lowered idle timeout after a call.
#[tokio::test]
async fn lowered_idle_timeout() {
    let mut site = site(|options| options.idle_timeout = Duration::from_secs(60)).await;
    let mut kept = KeptConnection::open(site.address()).await.expect("host");
    site.apply_changed(|options| options.idle_timeout = Duration::from_millis(500))
        .await;
    let call = Call::new("GET", "/status/1", "r-1");
    assert_eq!(send(&mut kept, call).await, StatusCode::OK);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let call = Call::new("GET", "/status/1", "r-2");
    assert!(kept.send(call).await.is_err());
}
