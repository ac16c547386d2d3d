//! Provides what an owner learns about targets from releases, load reports and
//! published lists: their load, speed, run times and failures.

pub mod back_off;
pub(in crate::pool_owner) mod crowding;
pub(in crate::pool_owner) mod event_rate;
pub(in crate::pool_owner) mod failed_targets;
pub mod host_connections;
pub(in crate::pool_owner) mod host_reports;
pub(in crate::pool_owner) mod leaving_targets;
pub(in crate::pool_owner) mod load_history;
pub(in crate::pool_owner) mod moment_span;
pub(in crate::pool_owner) mod pool_paces;
pub(in crate::pool_owner) mod release;
pub mod run_estimate;
pub(in crate::pool_owner) mod run_time_estimator;
pub mod size_ends;
pub mod slot_limit;
pub mod slow_moments;
pub(in crate::pool_owner) mod speed_estimator;
pub(in crate::pool_owner) mod target_change;
pub(in crate::pool_owner) mod target_limits;
pub mod target_load;
pub(in crate::pool_owner) mod token_limit;
