//! Tests of the answers to callers within their quota when a host's process is
//! paused for one or two seconds.

mod users;

use std::time::Duration;

use http::StatusCode;
use tokio::task::JoinSet;
use users::{Call, Site, SiteOptions, until};

/// Longer than half of the suspicion timeout, and longer than all of it.
const PAUSES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(2_200)];
/// More than the engines run concurrently, so that most calls wait.
const CALLS_PER_HOST: usize = 20;
/// Longer than all calls take.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);

async fn busy_site() -> Site {
    Site::start_with(SiteOptions {
        hosts: 3,
        gap: Duration::from_millis(50),
        target_latency: Duration::from_secs(10),
        timeout: ROUTE_TIMEOUT,
        ..SiteOptions::default()
    })
    .await
}

/// Send calls to each host, within the account's quota.
fn send_calls(site: &Site, name: &str) -> JoinSet<(String, StatusCode)> {
    let mut calls = JoinSet::new();
    for (index, host) in site.hosts.iter().enumerate() {
        for number in 0..CALLS_PER_HOST {
            let (id, address) = (format!("{name}-{index}-{number}"), host.callers);
            let call = Call::stream("/draft/1", &id).with("deadline-ms", "30000");
            calls.spawn(async move {
                let answer = call.send(address).await.expect("answer");
                (id, answer.status)
            });
        }
    }
    calls
}

fn runs_at(site: &Site) -> usize {
    site.engines.iter().map(|engine| engine.calls().len()).sum()
}

// Guards against 429 for an account within its quota after a pause of its host, or
// of the owner of its calls' shard.
#[tokio::test]
async fn within_quota() {
    let site = busy_site().await;
    for paused in 0..site.hosts.len() {
        for pause in PAUSES {
            let before = runs_at(&site);
            let name = format!("late-{paused}-{}", pause.as_millis());
            let calls = send_calls(&site, &name);
            until("engines run", async || runs_at(&site) > before).await;
            site.hosts[paused].child.signal("STOP");
            tokio::time::sleep(pause).await;
            site.hosts[paused].child.signal("CONT");
            for (id, status) in calls.join_all().await {
                assert_ne!(status, StatusCode::TOO_MANY_REQUESTS, "{id}");
            }
        }
    }
}
