//! Provides small stand-ins for engines, plain services, the configuration
//! service and the host list: for tests, the demo and measuring only.
//!
//! Each stand-in is started on an address inside the current tokio runtime
//! and stops when its handle is dropped. The protocols are written down in
//! `docs/STANDINS.md`.

#![forbid(unsafe_code)]

mod batch;
pub mod deployment;
pub mod engine;
mod engine_core;
mod engine_stream;
pub mod gateway_target;
pub mod kv_store;
pub mod ledger;
mod listener;
mod loopback_listener;
pub mod plain;
pub mod platform;
mod prefix;
pub mod program;
mod prompt;
mod response;
pub mod stage;
pub mod switches;
pub mod target_control;
pub mod value;
