//! Provides the reading of routes and targets from the platform's store: one
//! call in flight for each, a read of all items first, then watches.

mod connection;
mod cursor;
mod unread_entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::revision::{
    PublishedValue, ROUTES_VALUE, Revision, TARGETS_VALUE, ValueName,
};
use bergamotswitch_core::target_list::{TargetChange, TargetUpdate};
use bergamotswitch_platform::store::{StoreChange, StoreItem};
use bergamotswitch_platform::{config, registration};
use tokio::sync::Mutex;

use crate::event_log;
use crate::input::{NodeInput, NodeSender, PlatformEvent};
use crate::task_guard::TaskGuard;
use connection::CallLoss;
use cursor::{StoreCursor, StoreNews};
use unread_entries::UnreadEntries;

/// How long a watch of the routes waits. A watch confirms the moment at which
/// it was sent, so this bounds the age of what is known of keys; keys cease
/// to be relied on at an age of five seconds. Each watch is one call: at one
/// a second, two readers in each of three failure domains make six a second
/// of the 2,000 that the store bears.
const ROUTES_WAIT: Duration = Duration::from_millis(1_000);

/// How long a watch of the targets waits. A target that leaves must get no
/// new work within two seconds, so a watch whose connection went silent must
/// be given up well before.
const TARGETS_WAIT: Duration = Duration::from_millis(1_500);

/// Shared with the call in flight, of which there is one at a time.
type SharedUnread = Arc<std::sync::Mutex<UnreadEntries>>;

/// A `StoreSource` reads and watches the store. Each read or watch ends with
/// one event, unless a later one takes its place.
#[derive(Debug)]
pub struct StoreSource {
    address: SocketAddr,
    node: NodeSender,
    calls: Arc<AtomicU64>,
    cursors: BTreeMap<ValueName, Arc<Mutex<StoreCursor>>>,
    /// The call in flight for each value.
    tasks: BTreeMap<ValueName, TaskGuard>,
    unread: SharedUnread,
}

impl StoreSource {
    /// Get a source that reads the store at this address; it must be used on
    /// a tokio runtime.
    pub fn new(address: SocketAddr, node: NodeSender) -> Self {
        StoreSource {
            address,
            node,
            calls: Arc::default(),
            cursors: BTreeMap::new(),
            tasks: BTreeMap::new(),
            unread: SharedUnread::default(),
        }
    }

    /// Get the number of calls made.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Get a value's news: all of it at first, changes from then on.
    pub fn read(&mut self, name: &ValueName) {
        let cursor = self.cursor(name);
        let calls = Arc::clone(&self.calls);
        let node = self.node.clone();
        let unread = Arc::clone(&self.unread);
        let value = name.clone();
        let task = TaskGuard::spawn(async move {
            let mut cursor = cursor.lock().await;
            let news = cursor.next(&calls).await;
            let input = match news {
                Ok(news) => input_of(&value, news, &unread),
                Err(loss) => failed(&value, loss),
            };
            // The loop is gone only while the process ends.
            let _ = node.send(input);
        });
        self.tasks.insert(name.clone(), task);
    }

    fn cursor(&mut self, name: &ValueName) -> Arc<Mutex<StoreCursor>> {
        let address = self.address;
        let cursor = self.cursors.entry(name.clone()).or_insert_with(|| {
            let cursor = match name.as_str() {
                TARGETS_VALUE => StoreCursor::new(address, registration::KEY_PREFIX, TARGETS_WAIT),
                _ => StoreCursor::new(address, config::KEY, ROUTES_WAIT),
            };
            Arc::new(Mutex::new(cursor))
        });
        Arc::clone(cursor)
    }
}

fn input_of(name: &ValueName, news: StoreNews, unread: &SharedUnread) -> NodeInput {
    match name.as_str() {
        TARGETS_VALUE => {
            let mut unread = unread.lock().unwrap_or_else(PoisonError::into_inner);
            NodeInput::Targets(target_news(news, &mut unread))
        }
        ROUTES_VALUE => NodeInput::Platform(routes_event(name, news)),
        _ => NodeInput::Platform(PlatformEvent::Failed(name.clone())),
    }
}

fn failed(name: &ValueName, loss: CallLoss) -> NodeInput {
    event_log::write(
        Incident::ServiceCallFailed,
        &[("value", name), ("cause", &loss)],
    );
    NodeInput::Platform(PlatformEvent::Failed(name.clone()))
}

fn target_news(news: StoreNews, unread: &mut UnreadEntries) -> TargetUpdate {
    match news {
        StoreNews::Whole { items, as_of } => {
            let mut entries = Vec::with_capacity(items.len());
            let mut unreadable = Vec::new();
            for item in &items {
                match unread.read(item) {
                    Ok(entry) => entries.push(entry),
                    Err(name) => unreadable.extend(name),
                }
            }
            TargetUpdate::Snapshot {
                entries,
                unreadable,
                as_of,
            }
        }
        StoreNews::Changes { changes, as_of } => TargetUpdate::Changes {
            changes: changes
                .iter()
                .filter_map(|change| change_of(change, unread))
                .collect(),
            as_of,
        },
    }
}

fn change_of(change: &StoreChange, unread: &mut UnreadEntries) -> Option<(u64, TargetChange)> {
    match change {
        StoreChange::Set(item) => {
            let change = match unread.read(item) {
                Ok(entry) => TargetChange::Set(entry),
                Err(name) => TargetChange::Unreadable(name?),
            };
            Some((item.revision, change))
        }
        StoreChange::Removed { key, revision } => {
            unread.forget(key);
            let name = registration::target_name(key)?;
            Some((*revision, TargetChange::Removed(name)))
        }
    }
}

/// Get the event of the newest routes among the news.
fn routes_event(name: &ValueName, news: StoreNews) -> PlatformEvent {
    let newest = match news {
        StoreNews::Whole { items, .. } => items.into_iter().find(|item| item.key == config::KEY),
        StoreNews::Changes { changes, .. } => changes.into_iter().rev().find_map(set_routes),
    };
    let Some(item) = newest else {
        return PlatformEvent::Unchanged(name.clone());
    };
    let book = config::read(&item.value);
    let body = book.ok().and_then(|book| serde_json::to_string(&book).ok());
    match body {
        Some(body) => PlatformEvent::Read(PublishedValue {
            name: name.clone(),
            revision: Revision(item.revision),
            body,
        }),
        None => {
            event_log::write(Incident::EntryUnreadable, &[("key", &item.key)]);
            PlatformEvent::Failed(name.clone())
        }
    }
}

fn set_routes(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Set(item) if item.key == config::KEY => Some(item),
        _ => None,
    }
}
