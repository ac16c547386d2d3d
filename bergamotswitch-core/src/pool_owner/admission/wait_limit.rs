//! Provides the longest predicted wait with which a request is admitted to the queue.

use std::time::Duration;

use crate::clock::Moment;
use crate::pool_owner::order::queue::QueuedRequest;
use crate::pool_owner::owner::ShardOwner;

impl ShardOwner {
    /// Get the longest predicted wait with which a new request stays in the queue.
    pub(in crate::pool_owner) fn wait_limit(
        &self,
        now: Moment,
        queued: &QueuedRequest,
    ) -> Duration {
        queued.plan.give_up_at.since(now)
    }
}
