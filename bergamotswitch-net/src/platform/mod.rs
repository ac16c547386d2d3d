//! Provides the platform client, which reads and watches published values at
//! the configuration services and the host lists.
//!
//! The protocol is HTTP/1.1. `GET /v1/values/{name}` returns 200 with
//! `{"name","revision","body"}`. With `?after=REV&wait_ms=MS` the service waits
//! until the revision exceeds `REV`, or returns 304 when the wait ends. `GET
//! /v1/hosts` does the same for the host list, without `name`. 404 means that
//! the value is not published.

mod call;
mod client;
mod options;

pub use client::PlatformClient;
pub use options::PlatformOptions;
