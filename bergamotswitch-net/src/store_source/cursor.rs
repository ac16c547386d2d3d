//! Provides a cursor over the store's changes of one key prefix.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bergamotswitch_platform::store::{self, StoreChange, StoreItem};
use bytes::Bytes;
use http::StatusCode;

use super::connection::{StoreCallError, StoreConnection};

/// The timeout for an answer, in addition to the wait of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The maximum number of pages of one read.
const MAX_PAGES: usize = 32;

/// A `StoreUpdate` is the result of one read or watch.
#[derive(Debug)]
pub(super) enum StoreUpdate {
    /// All items as of a revision.
    Snapshot { items: Vec<StoreItem>, as_of: u64 },
    /// The changes since the previous update.
    Changes {
        /// The changes, in order of their revisions.
        changes: Vec<StoreChange>,
        /// The store's revision after the changes.
        as_of: u64,
    },
}

/// A `StoreCursor` reads all items of one prefix once and then follows their
/// changes.
#[derive(Debug)]
pub(super) struct StoreCursor {
    connection: StoreConnection,
    prefix: &'static str,
    wait: Duration,
    /// The revision up to which changes are known. `None` before the first read
    /// and after the store has compacted the history that the cursor needs.
    as_of: Option<u64>,
}

impl StoreCursor {
    /// Get a cursor that has read nothing yet.
    pub(super) fn new(address: SocketAddr, prefix: &'static str, wait: Duration) -> Self {
        StoreCursor {
            connection: StoreConnection::new(address),
            prefix,
            wait,
            as_of: None,
        }
    }

    /// Get the next update, by a read of all items or by a watch.
    pub(super) async fn next(&mut self, calls: &AtomicU64) -> Result<StoreUpdate, StoreCallError> {
        let Some(after) = self.as_of else {
            return self.read_all(calls).await;
        };
        let path = store::watch_path(self.prefix, after, self.wait);
        let limit = self.wait + ANSWER_TIMEOUT;
        let (status, body) = self.connection.get(&path, limit, calls).await?;
        if status == StatusCode::GONE {
            // The store has compacted the changes since the last update.
            self.as_of = None;
            return self.read_all(calls).await;
        }
        let body = check_status(status, body)?;
        let found = store::read_changes(&body).map_err(StoreCallError::Malformed)?;
        self.as_of = Some(found.as_of.max(after));
        Ok(StoreUpdate::Changes {
            changes: found.changes,
            as_of: found.as_of,
        })
    }

    async fn read_all(&mut self, calls: &AtomicU64) -> Result<StoreUpdate, StoreCallError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut as_of = None;
        for _ in 0..MAX_PAGES {
            let last_key = items.last().map(|item| item.key.clone());
            let path = store::page_path(self.prefix, last_key.as_deref());
            let (status, body) = self.connection.get(&path, ANSWER_TIMEOUT, calls).await?;
            let body = check_status(status, body)?;
            let page = store::read_page(&body).map_err(StoreCallError::Malformed)?;
            // The pages are not a consistent snapshot. The first watch starts
            // at the revision of the first page, so it repeats the changes made
            // meanwhile.
            let first = *as_of.get_or_insert(page.as_of);
            let has_more = page.has_more && !page.items.is_empty();
            items.extend(page.items);
            if !has_more {
                self.as_of = Some(first);
                return Ok(StoreUpdate::Snapshot {
                    items,
                    as_of: first,
                });
            }
        }
        Err(StoreCallError::TooMany)
    }
}

fn check_status(status: StatusCode, body: Bytes) -> Result<Bytes, StoreCallError> {
    match status {
        StatusCode::OK => Ok(body),
        other => Err(StoreCallError::Status(other)),
    }
}
