//! Provides the era of the store, which rises when the store is restored from a copy.

use std::time::{Duration, Instant};

use bergamotswitch_core::incident::Incident;
use tokio::sync::watch;

use crate::event_log;

/// How long after a restore the store may lack what was written before. Until then, its
/// answers do not show that nothing newer was published.
const REWRITE_PERIOD: Duration = Duration::from_millis(2_200);

/// How long after a restore watches are short, so that the first answer of the store that
/// counts again comes soon.
const RECENT_PERIOD: Duration = Duration::from_millis(2_700);

/// An `EraState` is the latest era named by any answer of the store.
#[derive(Clone, Copy, Debug, Default)]
struct EraState {
    era: Option<u64>,
    risen_at: Option<Instant>,
}

/// A `StoreEra` is the latest era of the store, shared by all calls to it.
#[derive(Clone, Debug)]
pub(super) struct StoreEra {
    state: watch::Sender<EraState>,
}

impl Default for StoreEra {
    fn default() -> Self {
        StoreEra {
            state: watch::Sender::new(EraState::default()),
        }
    }
}

impl StoreEra {
    /// Get the latest era, 0 if the store names none.
    pub(super) fn current(&self) -> u64 {
        self.state.borrow().era.unwrap_or_default()
    }

    /// Record the era of an answer; get whether the answer is of the latest one. An answer
    /// without an era counts as one of the latest.
    pub(super) fn record(&self, named: Option<u64>) -> bool {
        let Some(named) = named else {
            return true;
        };
        let known = self.state.borrow().era;
        if known.is_some_and(|known| named < known) {
            return false;
        }
        let has_risen = known.is_some_and(|known| named > known);
        if known != Some(named) {
            let risen_at = has_risen.then(Instant::now);
            self.state.send_replace(EraState {
                era: Some(named),
                risen_at,
            });
        }
        if has_risen {
            event_log::write(Incident::ServiceRestored, &[("era", &named)]);
        }
        true
    }

    /// Wait until the store is in a later era than `era`.
    pub(super) async fn wait_beyond(&self, era: u64) {
        let mut states = self.state.subscribe();
        // The sender lives as long as this future.
        let _ = states
            .wait_for(|state| state.era.is_some_and(|latest| latest > era))
            .await;
    }

    /// Get whether the store may still lack what was written before its restore.
    pub(super) fn is_incomplete(&self) -> bool {
        self.has_risen_within(REWRITE_PERIOD)
    }

    /// Get whether the store was restored a short time ago.
    pub(super) fn is_recent(&self) -> bool {
        self.has_risen_within(RECENT_PERIOD)
    }

    fn has_risen_within(&self, span: Duration) -> bool {
        let risen_at = self.state.borrow().risen_at;
        risen_at.is_some_and(|at| at.elapsed() < span)
    }
}
