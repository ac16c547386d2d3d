//! Provides placement: which queued request gets a permit for which target.
//!
//! `dispatch` serves the queue. It differs only in how the next request and its target
//! are chosen: by slots (`slot_dispatch`, `slot_routing`) if all targets publish theirs,
//! else by tokens (`token_dispatch`, `token_routing`).

pub(in crate::pool_owner) mod cold_tolerance;
pub(in crate::pool_owner) mod connection_reuse;
pub(in crate::pool_owner) mod dispatch;
pub mod permit_table;
pub mod prefix_table;
pub(in crate::pool_owner) mod request_pace;
pub mod routing;
pub(in crate::pool_owner) mod slot_dispatch;
pub mod slot_matching;
pub(in crate::pool_owner) mod slot_routing;
pub(in crate::pool_owner) mod target_pace;
pub(in crate::pool_owner) mod token_dispatch;
pub mod token_routing;
