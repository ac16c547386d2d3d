//! Provides the inputs that wait for the event loop.

use std::collections::VecDeque;

use bergamotswitch_core::clock::Moment;
use tokio::sync::mpsc;

use crate::input::NodeInput;

/// A `WaitingInput` is an input with the time at which it arrived.
#[derive(Debug)]
pub(super) struct WaitingInput {
    pub(super) arrived: Moment,
    pub(super) input: NodeInput,
}

/// A `LoopInbox` is the inputs that wait for the event loop.
#[derive(Debug)]
pub(super) struct LoopInbox {
    receiver: mpsc::UnboundedReceiver<NodeInput>,
    waiting: VecDeque<WaitingInput>,
}

impl LoopInbox {
    /// Create the inbox of this receiver.
    pub(super) fn new(receiver: mpsc::UnboundedReceiver<NodeInput>) -> Self {
        LoopInbox {
            receiver,
            waiting: VecDeque::new(),
        }
    }

    /// Wait until there is an input; get `false` if none will come.
    pub(super) async fn wait(&mut self, now: impl Fn() -> Moment) -> bool {
        if self.waiting.is_empty() {
            let Some(input) = self.receiver.recv().await else {
                return false;
            };
            let arrived = now();
            self.waiting.push_back(WaitingInput { arrived, input });
        }
        true
    }

    /// Take over the inputs that have arrived.
    pub(super) fn collect(&mut self, now: Moment) {
        while let Ok(input) = self.receiver.try_recv() {
            self.waiting.push_back(WaitingInput {
                arrived: now,
                input,
            });
        }
    }

    /// Get the next input to process.
    pub(super) fn next(&mut self) -> Option<WaitingInput> {
        self.waiting.pop_front()
    }

    /// Get the number of inputs that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Get the receiver of inputs that arrive after the event loop has ended, with those
    /// that wait.
    pub(super) fn into_parts(self) -> (mpsc::UnboundedReceiver<NodeInput>, VecDeque<WaitingInput>) {
        (self.receiver, self.waiting)
    }
}
