//! Provides the stand-in for the key-value store from which the gateway reads
//! routes and targets: range reads and watches by key prefix, with fault
//! injection.

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

use crate::loopback_listener::LoopbackListener;
use crate::target_control::lock;

/// A `StoreMode` is the way in which the store answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Calls are answered normally.
    #[default]
    Normal,
    /// Every call is answered with 503.
    Unavailable,
    /// Calls are accepted but never answered.
    NoResponse,
}

/// A `StoredValue` is what the store returns for an item.
#[derive(Clone, Debug)]
enum StoredValue {
    /// An item with this value.
    Value(Bytes),
    /// These bytes in place of the item, which may be in no format.
    Raw(Bytes),
}

#[derive(Clone, Debug)]
struct StoredItem {
    value: StoredValue,
    revision: u64,
}

#[derive(Clone, Debug)]
struct StoredChange {
    key: String,
    revision: u64,
    value: Option<StoredValue>,
}

/// A `StoreCopy` is the content of a store at one moment, to which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, StoredItem>,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, StoredItem>,
    history: Vec<StoredChange>,
    revision: u64,
    /// The revision up to which the history has been compacted.
    compacted: u64,
    /// How often the store has been restored.
    era: u64,
    mode: StoreMode,
    calls: u64,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A `KvStoreStandin` is a running key-value store stand-in; it stops accepting
/// connections when dropped.
#[derive(Debug)]
pub struct KvStoreStandin {
    listener: LoopbackListener,
    shared: Arc<StoreShared>,
}

impl KvStoreStandin {
    /// Try to start an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::<StoreShared>::default();
        let served = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&served), request);
        let listener = LoopbackListener::start(handler).await?;
        Ok(KvStoreStandin { listener, shared })
    }

    /// Get the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Write an item with a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, Bytes::from(value.to_string()));
    }

    /// Write an item with arbitrary bytes, which may be invalid JSON.
    pub fn put_bytes(&self, key: &str, value: Bytes) {
        self.write(key, StoredValue::Value(value));
    }

    /// Write an item that is returned as these bytes, whatever they are.
    pub fn put_raw(&self, key: &str, item: Bytes) {
        self.write(key, StoredValue::Raw(item));
    }

    fn write(&self, key: &str, value: StoredValue) {
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

    /// Compact the history: a watch from an earlier revision is answered with
    /// 410.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Get a copy of the content.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.shared.state);
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Restore the store from a copy: what was written since is gone, and revisions are
    /// given out again. Watches from later revisions are answered with 410.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.shared.state);
        state.items = copy.items;
        state.revision = copy.revision;
        state.history.clear();
        state.compacted = copy.revision;
        state.era += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Set the way in which the store answers calls.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.shared.state).mode = mode;
    }

    /// Get the number of calls since the start.
    pub fn call_count(&self) -> u64 {
        lock(&self.shared.state).calls
    }
}

async fn handle(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mode = {
        let mut state = lock(&shared.state);
        state.calls += 1;
        state.mode
    };
    match mode {
        StoreMode::Normal => {}
        StoreMode::Unavailable => return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        StoreMode::NoResponse => {
            sleep(Duration::from_secs(3_600)).await;
        }
    }
    let query = request.uri().query().unwrap_or_default();
    let prefix = parameter(query, "pathPrefix").unwrap_or_default();
    let mut response = match request.uri().path() {
        "/kv-range" => range(&shared, &prefix),
        "/kv-watch" => watch(&shared, &prefix, query).await,
        _ => respond(StatusCode::NOT_FOUND, &json!({})),
    };
    // A watch that was pending when the mode changed must not be answered.
    let (mode, era) = {
        let state = lock(&shared.state);
        (state.mode, state.era)
    };
    if mode == StoreMode::NoResponse {
        sleep(Duration::from_secs(3_600)).await;
    }
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

fn range(shared: &StoreShared, prefix: &str) -> Response<Full<Bytes>> {
    let state = lock(&shared.state);
    let found = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let items = found.map(|(key, item)| item_bytes(key, Some(&item.value), item.revision));
    let start = "{\"truncated\":false,\"items\":[";
    respond_with_list(start, items, state.revision)
}

async fn watch(shared: &StoreShared, prefix: &str, query: &str) -> Response<Full<Bytes>> {
    let after = number(query, "after");
    let wait = Duration::from_millis(number(query, "waitMs"));
    let waiting = async {
        loop {
            let changed = shared.changed.notified();
            if let Some(found) = changes_after(shared, prefix, after) {
                return found;
            }
            changed.await;
        }
    };
    match timeout(wait, waiting).await {
        Ok(found) => found,
        Err(_) => {
            let revision = lock(&shared.state).revision;
            respond(
                StatusCode::OK,
                &json!({ "events": [], "storeRevision": revision }),
            )
        }
    }
}

fn changes_after(shared: &StoreShared, prefix: &str, after: u64) -> Option<Response<Full<Bytes>>> {
    let state = lock(&shared.state);
    if after < state.compacted || after > state.revision {
        return Some(respond(StatusCode::GONE, &json!({})));
    }
    let later = state.history.iter();
    let later = later.filter(|change| change.revision > after && change.key.starts_with(prefix));
    let mut events = later
        .map(|change| item_bytes(&change.key, change.value.as_ref(), change.revision))
        .peekable();
    events.peek()?;
    let start = "{\"events\":[";
    Some(respond_with_list(start, events, state.revision))
}

fn respond_with_list(
    start: &str,
    items: impl Iterator<Item = Bytes>,
    revision: u64,
) -> Response<Full<Bytes>> {
    let items: Vec<Bytes> = items.collect();
    let mut body = start.as_bytes().to_vec();
    body.extend(items.join(&b','));
    body.extend(format!("],\"storeRevision\":{revision}}}").bytes());
    Response::new(Full::new(Bytes::from(body)))
}

fn item_bytes(key: &str, value: Option<&StoredValue>, revision: u64) -> Bytes {
    let item = match value {
        Some(StoredValue::Raw(item)) => return item.clone(),
        Some(StoredValue::Value(value)) => json!({
            "key": key,
            "value": encode_base64(value),
            "rev": revision,
            "createdRev": revision,
            "lease": 0,
        }),
        None => json!({ "key": key, "rev": revision, "tombstone": true }),
    };
    Bytes::from(item.to_string())
}

fn encode_base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn respond(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
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
