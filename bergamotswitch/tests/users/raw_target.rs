//! Provides targets that answer with bytes as they are.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Answer, Call, Site, SiteOptions, until};

/// The signature of the target.
pub const SEAL: &str = "seal-of-raw";

/// A `RawTarget` answers each call with the same bytes and then closes the connection.
pub struct RawTarget {
    pub address: SocketAddr,
    /// The ids of the calls that it ran.
    runs: Arc<Mutex<Vec<String>>>,
}

impl RawTarget {
    /// Start a target that answers with this status line, these fields, and all that follows
    /// them.
    pub async fn start(status: &str, rest: &str) -> Self {
        RawTarget::start_until(status, rest, usize::MAX).await
    }

    /// Start a target that accepts no connection from when it has this number of calls.
    pub async fn start_until(status: &str, rest: &str, most_calls: usize) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (status, rest) = (status.to_owned(), rest.to_owned());
        let known = Arc::clone(&runs);
        tokio::spawn(async move {
            for _ in 0..most_calls {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (status, rest) = (status.clone(), rest.clone());
                let runs = Arc::clone(&known);
                tokio::spawn(answer_call(stream, status, rest, runs));
            }
        });
        RawTarget { address, runs }
    }

    /// Get how often a call ran.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("no panic");
        runs.iter().filter(|known| *known == id).count()
    }
}

/// Answer one call.
async fn answer_call(
    mut stream: TcpStream,
    status: String,
    rest: String,
    runs: Arc<Mutex<Vec<String>>>,
) {
    let mut bytes = vec![0; 16_384];
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
    let id = head.split("request-id: ").nth(1).unwrap_or_default();
    let id = id.lines().next().unwrap_or_default();
    runs.lock().expect("no panic").push(id.to_owned());
    let head = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Seal: {SEAL}\r\n");
    // The host may have left.
    let _ = stream.write_all(format!("{head}{rest}").as_bytes()).await;
}

/// Start a site whose only targets are these.
pub async fn raw_site(targets: &[&RawTarget]) -> Site {
    let site = Site::start_with(SiteOptions {
        engine_versions: Vec::new(),
        ..SiteOptions::default()
    })
    .await;
    for desk in &site.desks {
        site.store.remove(&format!("servers/{}", desk.name()));
    }
    for (number, target) in targets.iter().enumerate() {
        for service in ["drafting", "desk"] {
            let entry = json!({
                "service": service, "address": target.address.to_string(), "zone": "hall-1",
                "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0,
                "sequence": 1,
            });
            let key = format!("servers/raw-{service}-{number}");
            site.store.put(&key, &entry);
        }
    }
    site
}

/// Send calls, each with an id of its own, until one of them ran at these targets, and get
/// its answer. A host that has not read the store yet sends calls to a removed target.
pub async fn answer_after_run(site: &Site, targets: &[&RawTarget], call: &Call) -> Answer {
    let mut number = 0;
    let mut answer = None;
    until("a run", async || {
        number += 1;
        let id = format!("r-{number}");
        let sent = call.clone().with("request-id", &id).send(site.address());
        let sent = sent.await;
        if targets.iter().any(|target| target.runs_of(&id) > 0) {
            answer = sent.ok();
        }
        answer.is_some()
    })
    .await;
    answer.expect("an answer")
}
