//! Provides the guard that ties a session to its registered link.

use std::sync::Arc;

use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::link::LinkEvent;
use tokio::sync::watch;

use super::{LinkRegistry, SessionCommand};
use crate::link::codec::ReceivedFrame;
use crate::link::counters::MessageKind;
use crate::link::queue::{QueuedFrame, SendQueue};

/// A `LinkGuard` is the registration of one session as the link to its peer. Dropping
/// it unregisters the link, however the session ended.
#[derive(Debug)]
pub(crate) struct LinkGuard {
    pub(super) registry: Arc<LinkRegistry>,
    pub(super) session: u64,
    pub(super) incarnation: HostIncarnation,
    pub(crate) queue: Arc<SendQueue>,
    pub(super) commands: watch::Receiver<SessionCommand>,
}

impl LinkGuard {
    /// Get the peer's incarnation.
    pub(crate) fn incarnation(&self) -> &HostIncarnation {
        &self.incarnation
    }

    /// Wait for a command other than [`SessionCommand::Run`].
    pub(crate) async fn next_command(&self) -> SessionCommand {
        let mut commands = self.commands.clone();
        match commands
            .wait_for(|command| *command != SessionCommand::Run)
            .await
        {
            Ok(command) => *command,
            // The sender is dropped when the link is unregistered.
            Err(_) => SessionCommand::Close,
        }
    }

    /// Wait until there is no active link to the peer's incarnation.
    pub(crate) async fn wait_unlinked(&self) {
        let mut changes = self.registry.changes.subscribe();
        while self.registry.is_linked(&self.incarnation) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Pass a message to the event loop. It is ignored if another session has taken
    /// over and delivered messages already, since it would arrive out of order.
    pub(crate) fn deliver(&self, frame: ReceivedFrame) {
        let mut state = self.registry.lock();
        let Some(link) = state.links.get_mut(&self.incarnation.host) else {
            return;
        };
        if link.session == self.session {
            link.yielded = None;
        } else if link.yielded != Some(self.session) {
            return;
        }
        let kind = MessageKind::of(&frame.message);
        state.counters.received.add(kind, frame.len);
        self.registry
            .notify(LinkEvent::Message(self.incarnation.clone(), frame.message));
    }

    /// Count a message as passed to the connection.
    pub(crate) fn count_sent(&self, frame: &QueuedFrame) {
        let mut state = self.registry.lock();
        state.counters.sent.add(frame.kind, frame.bytes.len());
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.registry
            .unregister(&self.incarnation.host, self.session);
    }
}
