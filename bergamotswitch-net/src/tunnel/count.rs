//! Provides the count of the tunnels that peers have open at a host.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A `TunnelCount` counts open tunnels and refuses new ones once it is closed.
#[derive(Debug, Default)]
pub(crate) struct TunnelCount {
    /// Each open tunnel holds a reference.
    open: Arc<()>,
    is_closed: AtomicBool,
}

/// A `TunnelGuard` counts one tunnel until it is dropped.
#[derive(Debug)]
pub(crate) struct TunnelGuard(#[allow(dead_code)] Arc<()>);

impl TunnelCount {
    /// Count a tunnel. Returns `None` if no new ones are accepted.
    pub(crate) fn try_open(&self) -> Option<TunnelGuard> {
        let is_closed = self.is_closed.load(Ordering::Relaxed);
        (!is_closed).then(|| TunnelGuard(Arc::clone(&self.open)))
    }

    /// Accept no new tunnels.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Get the number of open tunnels.
    pub(crate) fn open_count(&self) -> usize {
        Arc::strong_count(&self.open) - 1
    }
}
