//! Provides stand-ins: small test servers in place of engines, plain services,
//! the configuration service, the host list, and the key-value store and targets
//! of the gateway. They serve tests, the demo and benchmarks only.
//!
//! Each stand-in listens on an address, runs in the current tokio runtime and
//! stops when its handle is dropped. The protocols are described in
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
pub mod raw_connection;
mod response;
pub mod stage;
pub mod switches;
pub mod target_control;
pub mod value;
