//! What hosts hear of each other, of targets and of keys.

mod users;

use std::time::Duration;

use bergamotswitch_standin::users_store::StoreMood;
use http::StatusCode;
use users::{Call, KEY, REVOKE_MS, Site, until};

async fn status(site: &Site, path: &str, id: &str, key: &str) -> StatusCode {
    let call = Call::new("GET", path, id).with("authorization", &format!("Bearer {key}"));
    call.send(site.door()).await.expect("answer").status
}

#[tokio::test]
async fn found_members() {
    let mut site = Site::start(3).await;
    // One that dies is not named any more, and one that stops at once.
    site.hosts[2].child.kill();
    until("the dead host is dropped", async || {
        site.hosts[0].named().await.len() == 2
    })
    .await;
    site.hosts[1].child.signal("TERM");
    until("the stopping host is not named", async || {
        let own = site.hosts[0].callers.to_string();
        site.hosts[0].named().await == [own]
    })
    .await;
    assert!(!site.hosts[1].is_ready().await);
    let answer = Call::new("GET", "/status/1", "late")
        .send(site.hosts[1].callers)
        .await
        .expect("a stopping host still serves");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.field("connection"), "close");
}

#[tokio::test]
async fn changed_routes() {
    let mut site = Site::start(2).await;
    assert_eq!(
        status(&site, "/new/1", "r-1", KEY).await,
        StatusCode::NOT_FOUND
    );
    site.publish(&[KEY], &["/new/"]);
    until("the new route is in force", async || {
        status(&site, "/new/1", "r-2", KEY).await == StatusCode::OK
    })
    .await;
    site.publish(&["another-key"], &["/new/"]);
    until("the old key is refused", async || {
        status(&site, "/new/1", "r-3", KEY).await == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(
        status(&site, "/new/1", "r-4", "another-key").await,
        StatusCode::OK
    );
}

// Symptom: a key works that was taken away long ago. Sequence: the store falls
// silent, the key is revoked, and the host hears nothing of it. Cause: what was
// last heard was relied on for ever.
#[tokio::test]
async fn silent_store() {
    let site = Site::start(2).await;
    site.store.set_mood(StoreMood::Silent);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 100)).await;
    for path in ["/status/1", "/nowhere/1"] {
        let found = status(&site, path, "r-1", KEY).await;
        assert_eq!(found, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    }
    let public = Call::new("GET", "/open/1", "r-2").without("authorization");
    let answer = public.send(site.door()).await.expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    site.store.set_mood(StoreMood::Well);
    until("keys are relied on again", async || {
        status(&site, "/status/1", "r-3", KEY).await == StatusCode::OK
    })
    .await;
}

// Symptom: hosts act by old routes for good. Sequence: the store drops its
// history while routes change. Cause: a watch from before the gap was repeated.
#[tokio::test]
async fn lost_history() {
    let mut site = Site::start(1).await;
    site.store.set_mood(StoreMood::Busy);
    site.publish(&[KEY], &["/new/"]);
    site.store.compact();
    site.store.set_mood(StoreMood::Well);
    until("the new route is in force", async || {
        status(&site, "/new/1", "r-1", KEY).await == StatusCode::OK
    })
    .await;
}

// Symptom: a target that leaves still gets work. Sequence: it registers as
// draining, then its entry goes. Cause: the change was not followed.
#[tokio::test]
async fn leaving_target() {
    let site = Site::start(2).await;
    site.register("desk", &site.desks[0], "draining");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = site.desks[0].seen().len();
    for number in 0..10 {
        let id = format!("r-{number}");
        assert_eq!(status(&site, "/status/1", &id, KEY).await, StatusCode::OK);
    }
    assert_eq!(site.desks[0].seen().len(), before);
    site.store.remove("servers/desk-2");
    until("no target is left", async || {
        status(&site, "/status/1", "r-last", KEY).await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
}
