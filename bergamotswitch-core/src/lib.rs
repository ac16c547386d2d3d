//! Provides the scheduling, membership and routing logic of bergamotswitch as
//! state machines without sockets, clocks or threads.
//!
//! Each state machine takes the current time and one event and returns actions:
//! `fn handle(&mut self, now: Moment, event: Event) -> Vec<Action>`. The
//! network crate turns socket and timer activity into events and performs the
//! actions as I/O. This crate depends on no other crate of the workspace at run
//! time.

#![forbid(unsafe_code)]

pub mod address;
pub mod call_signature;
pub mod client_account;
pub mod clock;
pub mod cold_targets;
pub mod contract;
pub mod entry;
pub mod error;
pub mod evacuation;
pub mod event_order;
pub mod explain;
pub mod failure_domain;
pub mod host;
pub mod incident;
pub mod link;
pub mod membership;
pub mod name;
pub mod node;
pub mod permit;
pub mod pool;
pub mod pool_owner;
pub mod publication;
pub mod quarantine;
pub mod refusal;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod route;
pub mod rules;
pub mod settings;
pub mod signal_watch;
pub mod stream_table;
pub mod target;
pub mod target_answer;
pub mod target_list;
pub mod target_path;
