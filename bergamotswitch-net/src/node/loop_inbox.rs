//! Provides the inbox of the event loop.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::node::{InputBacklog, NextInput};
use tokio::sync::mpsc;

use crate::input::NodeInput;

/// The number of inputs that are processed before other tasks of the thread run. Without
/// it, a long backlog would keep the thread from reading its sockets.
const INPUTS_IN_TURN: u32 = 32;

/// A `LoopInbox` is the inputs that wait for the event loop.
#[derive(Debug)]
pub(super) struct LoopInbox {
    receiver: mpsc::UnboundedReceiver<NodeInput>,
    backlog: InputBacklog<NodeInput>,
    in_turn: u32,
}

impl LoopInbox {
    /// Create the inbox of this receiver.
    pub(super) fn new(receiver: mpsc::UnboundedReceiver<NodeInput>) -> Self {
        LoopInbox {
            receiver,
            backlog: InputBacklog::default(),
            in_turn: 0,
        }
    }

    /// Wait until there is an input; get `false` if none will come.
    pub(super) async fn wait(&mut self, now: impl Fn() -> Moment) -> bool {
        self.in_turn += 1;
        if self.in_turn >= INPUTS_IN_TURN {
            self.in_turn = 0;
            tokio::task::yield_now().await;
        }
        if self.backlog.is_empty() {
            self.in_turn = 0;
            let Some(input) = self.receiver.recv().await else {
                return false;
            };
            self.backlog.push(now(), input);
        }
        true
    }

    /// Take over the inputs that have arrived.
    pub(super) fn collect(&mut self, now: Moment) {
        while let Ok(input) = self.receiver.try_recv() {
            self.backlog.push(now, input);
        }
    }

    /// Get the next input to process.
    pub(super) fn next(&mut self, now: Moment) -> Option<NextInput<NodeInput>> {
        self.backlog.next(now)
    }

    /// Get the number of inputs that wait.
    pub(super) fn len(&self) -> usize {
        self.backlog.len()
    }

    /// Get the inputs that wait, and the receiver of those that arrive later.
    pub(super) fn into_parts(
        self,
    ) -> (InputBacklog<NodeInput>, mpsc::UnboundedReceiver<NodeInput>) {
        (self.backlog, self.receiver)
    }
}
