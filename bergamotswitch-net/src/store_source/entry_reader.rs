//! Provides the parsing of target entries and the logging of unreadable ones.

use std::collections::BTreeSet;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target::TargetName;
use bergamotswitch_core::target_list::TargetEntry;
use bergamotswitch_platform::registration;
use bergamotswitch_platform::store::StoreItem;

use crate::event_log;

/// The maximum number of keys tracked as logged. Once it is reached, further
/// unreadable entries are not logged.
const MAX_LOGGED: usize = 1_000;

/// An `EntryReader` parses target entries. It logs an unreadable entry once,
/// until the entry becomes readable or is removed, since another writer may
/// overwrite it several times a second.
#[derive(Debug, Default)]
pub(super) struct EntryReader {
    logged: BTreeSet<String>,
}

impl EntryReader {
    /// Try to parse a target's entry.
    ///
    /// # Errors
    ///
    /// Returns the name of the target whose entry is unreadable, if the key
    /// contains one.
    pub(super) fn read(&mut self, item: &StoreItem) -> Result<TargetEntry, Option<TargetName>> {
        match registration::read(&item.key, &item.value, item.revision) {
            Ok(entry) => {
                self.logged.remove(&item.key);
                Ok(entry)
            }
            Err(error) => {
                if self.should_log(&item.key) {
                    event_log::write(
                        Incident::EntryUnreadable,
                        &[("key", &item.key), ("cause", &error)],
                    );
                }
                Err(registration::target_name(&item.key))
            }
        }
    }

    /// Remove a key that was deleted from the store.
    pub(super) fn remove(&mut self, key: &str) {
        self.logged.remove(key);
    }

    fn should_log(&mut self, key: &str) -> bool {
        self.logged.len() < MAX_LOGGED && self.logged.insert(key.to_owned())
    }
}
