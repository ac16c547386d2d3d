//! Provides a stand-in of the users' platform's store: items by key, reads by
//! prefix, watches, and a switch for each way in which the store misbehaves.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::target_control::lock;
use crate::users_listener::UsersListener;

/// A `StoreMood` is how the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMood {
    /// As it should.
    #[default]
    Well,
    /// With 503 to every call.
    Busy,
    /// Never.
    Silent,
}

#[derive(Clone, Debug)]
struct StoredItem {
    value: Bytes,
    revision: u64,
}

#[derive(Clone, Debug)]
struct StoredChange {
    key: String,
    revision: u64,
    value: Option<Bytes>,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, StoredItem>,
    history: Vec<StoredChange>,
    revision: u64,
    /// The revision up to which the history is gone.
    dropped: u64,
    mood: StoreMood,
    calls: u64,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A `UsersStore` is a running stand-in; its drop stops it.
#[derive(Debug)]
pub struct UsersStore {
    listener: UsersListener,
    shared: Arc<StoreShared>,
}

impl UsersStore {
    /// Try to start a store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error where there is none.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::<StoreShared>::default();
        let served = Arc::clone(&shared);
        let handler = move |request| answer(Arc::clone(&served), request);
        let listener = UsersListener::start(handler).await?;
        Ok(UsersStore { listener, shared })
    }

    /// Get where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Write an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, Bytes::from(value.to_string()));
    }

    /// Write an item of any bytes, as another writer may.
    pub fn put_bytes(&self, key: &str, value: Bytes) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        let item = StoredItem {
            value: value.clone(),
            revision,
        };
        state.items.insert(key.to_owned(), item);
        state.history.push(StoredChange {
            key: key.to_owned(),
            revision,
            value: Some(value),
        });
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Remove an item.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push(StoredChange {
            key: key.to_owned(),
            revision,
            value: None,
        });
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Drop the history: watches from before are told so.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.dropped = state.revision;
        state.history.clear();
    }

    /// Set how the store answers from now on.
    pub fn set_mood(&self, mood: StoreMood) {
        lock(&self.shared.state).mood = mood;
    }

    /// Get the calls since the start.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }
}

async fn answer(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mood = {
        let mut state = lock(&shared.state);
        state.calls += 1;
        state.mood
    };
    match mood {
        StoreMood::Well => {}
        StoreMood::Busy => return Ok(page(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        StoreMood::Silent => {
            sleep(Duration::from_secs(3_600)).await;
        }
    }
    let query = request.uri().query().unwrap_or_default();
    let prefix = parameter(query, "pathPrefix").unwrap_or_default();
    let answer = match request.uri().path() {
        "/kv-range" => range(&shared, &prefix),
        "/kv-watch" => watch(&shared, &prefix, query).await,
        _ => page(StatusCode::NOT_FOUND, &json!({})),
    };
    // A watch that waited when the store fell silent must not tell its news.
    if lock(&shared.state).mood == StoreMood::Silent {
        sleep(Duration::from_secs(3_600)).await;
    }
    Ok(answer)
}

fn range(shared: &StoreShared, prefix: &str) -> Response<Full<Bytes>> {
    let state = lock(&shared.state);
    let found = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let items: Vec<Value> = found
        .map(|(key, item)| item_json(key, Some(&item.value), item.revision))
        .collect();
    let body = json!({
        "items": items,
        "truncated": false,
        "storeRevision": state.revision,
    });
    page(StatusCode::OK, &body)
}

async fn watch(shared: &StoreShared, prefix: &str, query: &str) -> Response<Full<Bytes>> {
    let beyond = number(query, "after");
    let wait = Duration::from_millis(number(query, "waitMs"));
    let waiting = async {
        loop {
            let changed = shared.changed.notified();
            if let Some(found) = changes(shared, prefix, beyond) {
                return found;
            }
            changed.await;
        }
    };
    match timeout(wait, waiting).await {
        Ok(found) => found,
        Err(_) => {
            let revision = lock(&shared.state).revision;
            page(
                StatusCode::OK,
                &json!({ "events": [], "storeRevision": revision }),
            )
        }
    }
}

fn changes(shared: &StoreShared, prefix: &str, beyond: u64) -> Option<Response<Full<Bytes>>> {
    let state = lock(&shared.state);
    if beyond < state.dropped {
        return Some(page(StatusCode::GONE, &json!({})));
    }
    let later = state.history.iter();
    let later = later.filter(|change| change.revision > beyond && change.key.starts_with(prefix));
    let events: Vec<Value> = later
        .map(|change| item_json(&change.key, change.value.as_ref(), change.revision))
        .collect();
    if events.is_empty() {
        return None;
    }
    let body = json!({ "events": events, "storeRevision": state.revision });
    Some(page(StatusCode::OK, &body))
}

fn item_json(key: &str, value: Option<&Bytes>, revision: u64) -> Value {
    match value {
        Some(value) => json!({
            "key": key,
            "value": encode_base64(value),
            "rev": revision,
            "createdRev": revision,
            "lease": 0,
        }),
        None => json!({ "key": key, "rev": revision, "tombstone": true }),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn page(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let (_, value) = pairs.find(|(found, _)| found == name)?;
    Some(value.into_owned())
}

fn number(query: &str, name: &str) -> u64 {
    let text = parameter(query, name).unwrap_or_default();
    text.parse().unwrap_or_default()
}
