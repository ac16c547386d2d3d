//! The callers' interface, against a loop played by the test.

mod answers;
mod checks;
mod disconnects;
mod fake_loop;
mod forwarding;
mod lookups;
