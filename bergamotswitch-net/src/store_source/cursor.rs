//! Provides a cursor over the store's changes of one key prefix.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target_list::StorePosition;
use bergamotswitch_platform::evacuation;
use bergamotswitch_platform::store::{self, StoreChange, StoreItem};
use bytes::Bytes;
use http::StatusCode;

use super::connection::{StoreAnswer, StoreCallError, StoreConnection};
use super::store_era::StoreEra;
use crate::event_log;

/// The timeout for an answer, in addition to the wait of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The wait of a watch shortly after the store was restored.
const RECENT_WAIT: Duration = Duration::from_millis(250);

/// The maximum number of pages of one read.
const MAX_PAGES: usize = 32;

/// A `StoreUpdate` is the result of one read or watch.
#[derive(Debug)]
pub(super) enum StoreUpdate {
    /// All items as of a position.
    Snapshot {
        items: Vec<StoreItem>,
        as_of: StorePosition,
    },
    /// Items as of a position, of which some are not known since their keys could not be
    /// read and nothing can be read after them.
    Partial {
        items: Vec<StoreItem>,
        as_of: StorePosition,
    },
    /// The changes since the previous update.
    Changes {
        /// The changes, in order of their revisions.
        changes: Vec<StoreChange>,
        /// The store's position after the changes.
        as_of: StorePosition,
    },
}

/// A `StoreCursor` reads all items of one prefix once and then follows their
/// changes.
#[derive(Debug)]
pub(super) struct StoreCursor {
    connection: StoreConnection,
    era: StoreEra,
    prefix: &'static str,
    wait: Duration,
    /// The position up to which changes are known. `None` before the first read
    /// and after the store has compacted the history that the cursor needs.
    as_of: Option<StorePosition>,
    /// Whether items without a readable key were logged since the last full read without any.
    logged_without_key: bool,
}

impl StoreCursor {
    /// Get a cursor that has read nothing yet.
    pub(super) fn new(
        address: SocketAddr,
        era: StoreEra,
        prefix: &'static str,
        wait: Duration,
    ) -> Self {
        StoreCursor {
            connection: StoreConnection::new(address),
            era,
            prefix,
            wait,
            as_of: None,
            logged_without_key: false,
        }
    }

    /// Get the next update, by a read of all items or by a watch.
    pub(super) async fn next(&mut self, calls: &AtomicU64) -> Result<StoreUpdate, StoreCallError> {
        let known = self.as_of.filter(|known| known.era() >= self.era.current());
        let Some(after) = known else {
            return self.read_all(calls).await;
        };
        // Until a restored store is complete, no answer confirms anything: the first one
        // after that should come soon.
        let wait = match self.era.is_recent() {
            true => self.wait.min(RECENT_WAIT),
            false => self.wait,
        };
        let path = store::watch_path(self.prefix, after.revision(), wait);
        let limit = wait + ANSWER_TIMEOUT;
        let era = self.era.clone();
        let answer = tokio::select! {
            answer = self.connection.get(&path, limit, calls) => answer?,
            // Another call found that the store was restored, so this watch waits for
            // revisions of an earlier era.
            () = era.wait_beyond(after.era()) => return self.read_all(calls).await,
        };
        let is_latest = self.era.record(answer.era);
        let is_restored = self.era.current() > after.era();
        // The store has compacted the changes since the last update, or was restored.
        if answer.status == StatusCode::GONE || (is_latest && is_restored) {
            self.as_of = None;
            return self.read_all(calls).await;
        }
        let body = self.check(answer)?;
        let found = store::read_changes(&body).map_err(StoreCallError::Malformed)?;
        let as_of = StorePosition::new(after.era(), found.as_of);
        if found.without_key > 0 {
            self.log_without_key();
            // The item may be any of those that are followed by name.
            if self.prefix == evacuation::OPERATOR_PREFIX {
                self.as_of = None;
                return self.read_all(calls).await;
            }
        }
        self.as_of = Some(as_of.max(after));
        Ok(StoreUpdate::Changes {
            changes: found.changes,
            as_of,
        })
    }

    async fn read_all(&mut self, calls: &AtomicU64) -> Result<StoreUpdate, StoreCallError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut first = None;
        let mut without_key = 0;
        for _ in 0..MAX_PAGES {
            let last_key = items.last().map(|item| item.key.clone());
            let path = store::page_path(self.prefix, last_key.as_deref());
            let answer = self.connection.get(&path, ANSWER_TIMEOUT, calls).await?;
            let body = self.check(answer)?;
            let page = store::read_page(&body).map_err(StoreCallError::Malformed)?;
            let era = self.era.current();
            // The pages are not a consistent snapshot. The first watch starts
            // at the revision of the first page, so it repeats the changes made
            // meanwhile.
            let first = *first.get_or_insert(StorePosition::new(era, page.as_of));
            // The store was restored between two pages.
            if first.era() < era {
                return Err(StoreCallError::EarlierEra);
            }
            without_key += page.without_key;
            let is_empty = page.items.is_empty();
            items.extend(page.items);
            if page.has_more && !is_empty {
                continue;
            }
            self.as_of = Some(first);
            match without_key {
                0 => self.logged_without_key = false,
                _ => self.log_without_key(),
            }
            let as_of = first;
            return Ok(match page.has_more && page.without_key > 0 {
                true => StoreUpdate::Partial { items, as_of },
                false => StoreUpdate::Snapshot { items, as_of },
            });
        }
        Err(StoreCallError::TooMany)
    }

    /// Log that there are items without a readable key, once until a full read has none.
    fn log_without_key(&mut self) {
        if !std::mem::replace(&mut self.logged_without_key, true) {
            let details: [(&str, &dyn std::fmt::Display); 2] = [
                ("key", &self.prefix),
                ("cause", &"item without a readable key"),
            ];
            event_log::write(Incident::EntryUnreadable, &details);
        }
    }

    /// Get the body of an answer, unless the answer is an error or of an earlier era.
    fn check(&self, answer: StoreAnswer) -> Result<Bytes, StoreCallError> {
        if !self.era.record(answer.era) {
            return Err(StoreCallError::EarlierEra);
        }
        match answer.status {
            StatusCode::OK => Ok(answer.body),
            other => Err(StoreCallError::Status(other)),
        }
    }
}
