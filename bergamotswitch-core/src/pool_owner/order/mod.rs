//! Provides the order in which queued requests are served: by tier, by the tiers'
//! guaranteed service, by account within a tier and by deadline within an account.

pub(in crate::pool_owner) mod fair_queue;
pub(in crate::pool_owner) mod preemption;
pub mod queue;
pub(in crate::pool_owner) mod service_share;
pub(in crate::pool_owner) mod size_floor;
pub(in crate::pool_owner) mod tier_floor;
pub mod wait_plan;
