//! Provides the source of routes, evacuations and targets from the platform's store. Routes
//! and targets have one call in flight each: first a read of all items, then watches. The
//! calls for the routes return the evacuations as well.

mod connection;
mod cursor;
mod entry_reader;
mod evacuation_reader;
mod store_era;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::revision::{
    PublishedValue, ROUTES_VALUE, Revision, TARGETS_VALUE, ValueName,
};
use bergamotswitch_core::target_list::{StorePosition, TargetChange, TargetUpdate};
use bergamotswitch_platform::store::{StoreChange, StoreItem};
use bergamotswitch_platform::{config, evacuation, registration};
use tokio::sync::Mutex;

use crate::event_log;
use crate::input::{NodeInput, NodeSender, PlatformEvent};
use crate::task_guard::TaskGuard;
use connection::StoreCallError;
use cursor::{StoreCursor, StoreUpdate};
use entry_reader::EntryReader;
use evacuation_reader::evacuation_update;
use store_era::StoreEra;

/// The wait of a watch of the routes. A completed watch confirms the routes as
/// of the moment it was sent, so this bounds the age of the known API keys,
/// which are trusted for at most five seconds. Each watch is one read call: two
/// readers in each of three failure domains make six a second.
const ROUTES_WAIT: Duration = Duration::from_millis(1_000);

/// The wait of a watch of the targets. It is short because a deregistered target
/// should get no new work after two seconds, and an unresponsive connection is
/// detected only after the wait.
const TARGETS_WAIT: Duration = Duration::from_millis(1_500);

/// The lowest revision of published routes, above all revisions of a store. Hosts of earlier
/// releases number routes by these, and take the higher number.
const FIRST_ROUTES_REVISION: u64 = 1 << 52;

/// An `EntryReader` that is shared with the call in flight.
type SharedEntryReader = Arc<std::sync::Mutex<EntryReader>>;

/// A `StoreSource` reads and watches the store. Each read or watch ends with
/// one input to the event loop, unless it is replaced by a later one.
#[derive(Debug)]
pub struct StoreSource {
    address: SocketAddr,
    node: NodeSender,
    calls: Arc<AtomicU64>,
    cursors: BTreeMap<ValueName, Arc<Mutex<StoreCursor>>>,
    /// The call in flight for each value.
    tasks: BTreeMap<ValueName, TaskGuard>,
    reader: SharedEntryReader,
    era: StoreEra,
    routes: Arc<RoutesReader>,
}

/// A `RoutesReader` is what was read of the routes that the store has.
#[derive(Debug, Default)]
struct RoutesReader {
    /// The revision of the routes that were read last.
    revision: AtomicU64,
    /// Whether the store has no routes, or later ones that could not be read. Then no answer
    /// of the store confirms those that were read.
    is_outdated: AtomicBool,
}

/// A `RoutesChange` is what an update says of the routes.
enum RoutesChange {
    Set(StoreItem),
    Removed,
    Unchanged,
}

impl StoreSource {
    /// Get a source that reads the store at this address. Must be used within a
    /// tokio runtime.
    pub fn new(address: SocketAddr, node: NodeSender) -> Self {
        StoreSource {
            address,
            node,
            calls: Arc::default(),
            cursors: BTreeMap::new(),
            tasks: BTreeMap::new(),
            reader: SharedEntryReader::default(),
            era: StoreEra::default(),
            routes: Arc::default(),
        }
    }

    /// Get the number of calls made.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Get whether the store has no routes, or later ones that could not be read.
    pub fn has_unreadable_routes(&self) -> bool {
        self.routes.is_outdated.load(Ordering::Relaxed)
    }

    /// Start a call for a value: a full read at first, then watches for
    /// changes.
    pub fn read(&mut self, name: &ValueName) {
        let cursor = self.cursor(name);
        let calls = Arc::clone(&self.calls);
        let node = self.node.clone();
        let reader = Arc::clone(&self.reader);
        let routes = Arc::clone(&self.routes);
        let era = self.era.clone();
        let value = name.clone();
        let task = TaskGuard::spawn(async move {
            let mut cursor = cursor.lock().await;
            let update = cursor.next(&calls).await;
            let input = match update {
                Ok(update) if value.as_str() == TARGETS_VALUE => targets_input(update, &reader),
                Ok(update) => {
                    // A starting host has to know the evacuations before it serves.
                    if let Some(update) = evacuation_update(&update) {
                        let _ = node.send(NodeInput::Evacuations(update));
                    }
                    routes_input(&value, update, &routes, &era)
                }
                Err(error) => failure_input(&value, error),
            };
            // Sending fails only if the event loop has ended.
            let _ = node.send(input);
        });
        self.tasks.insert(name.clone(), task);
    }

    fn cursor(&mut self, name: &ValueName) -> Arc<Mutex<StoreCursor>> {
        let address = self.address;
        let era = &self.era;
        let cursor = self.cursors.entry(name.clone()).or_insert_with(|| {
            let cursor = match name.as_str() {
                TARGETS_VALUE => {
                    let prefix = registration::KEY_PREFIX;
                    StoreCursor::new(address, era.clone(), prefix, TARGETS_WAIT)
                }
                _ => {
                    let prefix = evacuation::OPERATOR_PREFIX;
                    StoreCursor::new(address, era.clone(), prefix, ROUTES_WAIT)
                }
            };
            Arc::new(Mutex::new(cursor))
        });
        Arc::clone(cursor)
    }
}

fn targets_input(update: StoreUpdate, reader: &SharedEntryReader) -> NodeInput {
    let mut reader = reader.lock().unwrap_or_else(PoisonError::into_inner);
    NodeInput::Targets(target_update(update, &mut reader))
}

fn routes_input(
    name: &ValueName,
    update: StoreUpdate,
    routes: &RoutesReader,
    era: &StoreEra,
) -> NodeInput {
    match name.as_str() {
        ROUTES_VALUE => NodeInput::Platform(routes.event(name, update, era)),
        _ => NodeInput::Platform(PlatformEvent::Failed(name.clone())),
    }
}

fn failure_input(name: &ValueName, error: StoreCallError) -> NodeInput {
    event_log::write(
        Incident::ServiceCallFailed,
        &[("value", name), ("cause", &error)],
    );
    NodeInput::Platform(PlatformEvent::Failed(name.clone()))
}

fn target_update(update: StoreUpdate, reader: &mut EntryReader) -> TargetUpdate {
    match update {
        StoreUpdate::Snapshot { items, as_of } => {
            let mut entries = Vec::with_capacity(items.len());
            let mut unreadable = Vec::new();
            for item in &items {
                match reader.read(item) {
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
        StoreUpdate::Partial { items, as_of } => TargetUpdate::Changes {
            changes: items
                .iter()
                .filter_map(|item| set_change(item, as_of.era(), reader))
                .collect(),
            as_of,
        },
        StoreUpdate::Changes { changes, as_of } => TargetUpdate::Changes {
            changes: changes
                .iter()
                .filter_map(|change| to_change(change, as_of.era(), reader))
                .collect(),
            as_of,
        },
    }
}

fn to_change(
    change: &StoreChange,
    era: u64,
    reader: &mut EntryReader,
) -> Option<(StorePosition, TargetChange)> {
    match change {
        StoreChange::Set(item) => set_change(item, era, reader),
        StoreChange::Removed { key, revision } => {
            reader.remove(key);
            let name = registration::target_name(key)?;
            let position = StorePosition::new(era, *revision);
            Some((position, TargetChange::Removed(name)))
        }
    }
}

fn set_change(
    item: &StoreItem,
    era: u64,
    reader: &mut EntryReader,
) -> Option<(StorePosition, TargetChange)> {
    let change = match reader.read(item) {
        Ok(entry) => TargetChange::Set(entry),
        Err(name) => TargetChange::Unreadable(name?),
    };
    Some((StorePosition::new(era, item.revision), change))
}

impl RoutesReader {
    /// Get the event for the latest routes in an update.
    ///
    /// Routes are ordered by the operators' version, which never goes back, and not by the
    /// store's revisions. A restored store may lack routes until they are written again, so
    /// for a while only new routes confirm anything.
    fn event(&self, name: &ValueName, update: StoreUpdate, era: &StoreEra) -> PlatformEvent {
        let is_snapshot = !matches!(update, StoreUpdate::Changes { .. });
        let known = self.revision.load(Ordering::Relaxed);
        let item = match routes_change(update) {
            RoutesChange::Set(item) => item,
            RoutesChange::Removed => {
                self.is_outdated.store(true, Ordering::Relaxed);
                return self.unchanged(name, known, era);
            }
            RoutesChange::Unchanged => return self.unchanged(name, known, era),
        };
        let Some((revision, body)) = read_routes(&item) else {
            self.is_outdated.store(true, Ordering::Relaxed);
            return PlatformEvent::Failed(name.clone());
        };
        self.is_outdated.store(false, Ordering::Relaxed);
        self.revision.store(revision, Ordering::Relaxed);
        if known > 0 && (revision < known || (is_snapshot && revision == known)) {
            return self.unchanged(name, revision, era);
        }
        PlatformEvent::Read(PublishedValue {
            name: name.clone(),
            revision: Revision(revision),
            body,
        })
    }

    /// Get the event for a store that has these routes as before.
    fn unchanged(&self, name: &ValueName, revision: u64, era: &StoreEra) -> PlatformEvent {
        let is_outdated = self.is_outdated.load(Ordering::Relaxed);
        let confirmed = match era.is_incomplete() || is_outdated {
            true => Revision::default(),
            false => Revision(revision),
        };
        PlatformEvent::UnchangedAt(name.clone(), confirmed)
    }
}

/// Get what an update says of the routes.
fn routes_change(update: StoreUpdate) -> RoutesChange {
    match update {
        StoreUpdate::Snapshot { items, .. } | StoreUpdate::Partial { items, .. } => {
            let mut items = items.into_iter();
            let found = items.find(|item| item.key == config::KEY);
            found.map_or(RoutesChange::Removed, RoutesChange::Set)
        }
        StoreUpdate::Changes { changes, .. } => {
            let mut changes = changes.into_iter().rev();
            let found = changes.find_map(|change| match change {
                StoreChange::Set(item) if item.key == config::KEY => Some(RoutesChange::Set(item)),
                StoreChange::Removed { key, .. } if key == config::KEY => {
                    Some(RoutesChange::Removed)
                }
                _ => None,
            });
            found.unwrap_or(RoutesChange::Unchanged)
        }
    }
}

/// Get the revision and the text of routes as they are published, or `None` if they cannot be
/// read. What cannot be read is logged.
fn read_routes(item: &StoreItem) -> Option<(u64, String)> {
    let found = config::read(&item.value);
    let found = match found {
        Ok(found) => found,
        Err(error) => {
            let details: [(&str, &dyn std::fmt::Display); 2] =
                [("key", &item.key), ("cause", &error)];
            event_log::write(Incident::RoutesUnreadable, &details);
            return None;
        }
    };
    for part in &found.unreadable {
        let details: [(&str, &dyn std::fmt::Display); 3] = [
            ("key", &item.key),
            ("place", &part.place),
            ("cause", &part.cause),
        ];
        event_log::write(Incident::EntryUnreadable, &details);
    }
    let body = serde_json::to_string(&found.config).ok()?;
    Some((FIRST_ROUTES_REVISION + found.config.version, body))
}
