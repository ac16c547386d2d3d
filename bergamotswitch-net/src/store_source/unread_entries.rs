//! Provides the reading of target entries, and the memory of those that are no
//! registration.

use std::collections::BTreeSet;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target::TargetName;
use bergamotswitch_core::target_list::TargetEntry;
use bergamotswitch_platform::registration;
use bergamotswitch_platform::store::StoreItem;

use crate::event_log;

/// The most keys that are remembered as logged. The store holds some hundred
/// targets; whoever fills it with more foreign entries is logged once for each
/// of the first thousand.
const MAX_LOGGED: usize = 1_000;

/// An `UnreadEntries` knows whose unreadable entries were logged. Another writer
/// may write over an entry several times a second, for hours: one line a key is
/// logged until the key is good again or gone.
#[derive(Debug, Default)]
pub(super) struct UnreadEntries {
    logged: BTreeSet<String>,
}

impl UnreadEntries {
    /// Try to read a target's entry.
    ///
    /// # Errors
    ///
    /// Returns the target in whose place something else lies, where the key
    /// names one.
    pub(super) fn read(&mut self, item: &StoreItem) -> Result<TargetEntry, Option<TargetName>> {
        match registration::read(&item.key, &item.value) {
            Ok(entry) => {
                self.logged.remove(&item.key);
                Ok(entry)
            }
            Err(fault) => {
                if self.is_first(&item.key) {
                    event_log::write(
                        Incident::EntryUnreadable,
                        &[("key", &item.key), ("cause", &fault)],
                    );
                }
                Err(registration::target_name(&item.key))
            }
        }
    }

    /// Take note that a key is gone.
    pub(super) fn forget(&mut self, key: &str) {
        self.logged.remove(key);
    }

    fn is_first(&mut self, key: &str) -> bool {
        self.logged.len() < MAX_LOGGED && self.logged.insert(key.to_owned())
    }
}
