//! Provides admission: what a permit request is checked against before it is queued,
//! and the refusal of requests, on arrival or while they wait.

pub mod account_shares;
pub(in crate::pool_owner) mod attached_hosts;
pub(in crate::pool_owner) mod cached_streams;
pub(in crate::pool_owner) mod cost_sample;
pub(in crate::pool_owner) mod fair_admission;
pub mod key_table;
pub(in crate::pool_owner) mod quota;
pub(in crate::pool_owner) mod quota_recovery;
pub(in crate::pool_owner) mod refusals;
pub mod return_promises;
pub mod returning_calls;
pub mod room_forecast;
pub(in crate::pool_owner) mod shedding;
pub(in crate::pool_owner) mod stream_requests;
pub(in crate::pool_owner) mod wait_limit;
