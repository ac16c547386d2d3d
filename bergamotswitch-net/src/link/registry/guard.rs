//! Provides the guard of a session: its right to be the link to its peer.

use std::sync::Arc;

use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::link::LinkEvent;
use tokio::sync::watch;

use super::{LinkRegistry, SessionCommand};
use crate::link::codec::ReceivedFrame;
use crate::link::counters::MessageKind;
use crate::link::queue::{QueuedFrame, SendQueue};

/// A `LinkGuard` is the right of one session to be the link to its peer. Its
/// `Drop` takes the link down, however the session ended.
#[derive(Debug)]
pub(crate) struct LinkGuard {
    pub(super) registry: Arc<LinkRegistry>,
    pub(super) session: u64,
    pub(super) incarnation: HostIncarnation,
    pub(crate) queue: Arc<SendQueue>,
    pub(super) commands: watch::Receiver<SessionCommand>,
}

impl LinkGuard {
    /// Get the peer's run.
    pub(crate) fn incarnation(&self) -> &HostIncarnation {
        &self.incarnation
    }

    /// Get the next order other than to carry messages.
    pub(crate) async fn next_command(&self) -> SessionCommand {
        let mut commands = self.commands.clone();
        match commands
            .wait_for(|command| *command != SessionCommand::Run)
            .await
        {
            Ok(command) => *command,
            // The link was removed.
            Err(_) => SessionCommand::Close,
        }
    }

    /// Wait until no session is the link to this run any more.
    pub(crate) async fn wait_unlinked(&self) {
        let mut changes = self.registry.changes.subscribe();
        while self.registry.is_linked(&self.incarnation) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Give a message to the loop, unless another session has taken over:
    /// what comes must not come after newer messages.
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

    /// Count a message as handed to the connection.
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
