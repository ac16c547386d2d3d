//! Provides the choice of which queued request gets a free slot.

/// A `SlotMatching` chooses among the requests that the order of the queue allows next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotMatching {
    /// The number of requests that compete for one slot.
    pub window: usize,
}
