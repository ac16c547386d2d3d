//! Provides the sockets, timers and event loop of a bergamotswitch host: links to
//! peers, clients of targets and the platform, and the HTTP interfaces for callers
//! and operators.

#![forbid(unsafe_code)]

pub mod answer;
mod answer_framing;
pub mod boot_clock;
pub mod caller;
pub mod event_log;
mod fingerprint;
mod follower;
pub mod gateway;
pub mod gossip;
pub mod input;
mod line_buffer;
pub mod link;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod pending_lines;
pub mod platform;
pub mod store_source;
mod submit;
pub mod target_client;
mod task_guard;
pub mod tunnel;
