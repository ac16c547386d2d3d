//! Provides the backlog of a host's event loop: the inputs that have arrived and wait to
//! be processed, and the order in which they are.

use std::collections::VecDeque;

use crate::clock::Moment;

/// A `NextInput` is the next input to process.
#[derive(Debug, PartialEq, Eq)]
pub struct NextInput<T> {
    /// The input.
    pub input: T,
    /// When it arrived.
    pub arrived: Moment,
}

/// An `InputBacklog` is the inputs that wait for a host's event loop.
#[derive(Debug)]
pub struct InputBacklog<T> {
    waiting: VecDeque<NextInput<T>>,
}

impl<T> Default for InputBacklog<T> {
    fn default() -> Self {
        InputBacklog {
            waiting: VecDeque::new(),
        }
    }
}

impl<T> InputBacklog<T> {
    /// Get the number of waiting inputs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Get whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Add an input that has arrived.
    pub fn push(&mut self, now: Moment, input: T) {
        self.waiting.push_back(NextInput {
            input,
            arrived: now,
        });
    }

    /// Get the next input to process.
    pub fn next(&mut self, _now: Moment) -> Option<NextInput<T>> {
        self.waiting.pop_front()
    }
}
