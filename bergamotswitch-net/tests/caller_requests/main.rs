//! Tests of the callers' HTTP interface, with an event loop simulated by the
//! test.

mod answers;
mod checks;
mod disconnects;
mod fake_loop;
mod forwarding;
mod lookups;
