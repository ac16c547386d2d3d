//! Provides the public interface of bergamotswitch: the scheduling logic
//! ([`crate::core`]), the network layer ([`crate::net`]) and the operator's
//! commands ([`crate::command`]).
//!
//! A program that embeds a host needs only this crate:
//! [`net::node::NodeSetup`] binds the listening sockets and
//! [`net::node::HostNode`] runs the host.

#![forbid(unsafe_code)]

pub mod command;

pub use bergamotswitch_core as core;
pub use bergamotswitch_net as net;
